"""HTTP server that runs a router in background threads."""

import asyncio
import ssl
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from http import HTTPStatus

from aiohttp import web

from ..exceptions import BodyTooLargeError
from ..settings import TlsSettings
from ..utils import read_body
from ._app import HttpRequest, HttpResponse, Router
from ._errors import ErrorBody

__all__ = ["HttpServer"]

MAX_HEADER_BYTES = 16_384
"""Maximum size of the request line and of each header field."""
RETRY_AFTER_S = 1
"""Sent with status 503; long enough since requests take milliseconds."""


class HttpServer:
    """Serve a router in background threads.

    A single event loop thread reads headers and bodies of all connections, so slow
    clients don't block others. Handlers may block; they run in a thread pool.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port.
    router : Router
        Handles the requests.
    threads : int, default=4
        Number of requests handled concurrently.
    backlog : int, default=128
        Complete requests that may wait for a thread; further ones get 503
        immediately.
    max_body_bytes : int, default=4194304
        Maximum size of a request body.
    timeout_ms : int, default=10000
        Timeout in milliseconds for the complete header and for the complete body.
    shutdown_timeout_ms : int, default=5000
        Milliseconds that requests in flight may take at shutdown.
    tls : TlsSettings or None, default=None
        Certificate and key; plain HTTP if None.
    """

    def __init__(
        self,
        host: str,
        port: int,
        router: Router,
        threads: int = 4,
        backlog: int = 128,
        max_body_bytes: int = 4_194_304,
        timeout_ms: int = 10_000,
        shutdown_timeout_ms: int = 5_000,
        tls: TlsSettings | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.router = router
        self.threads = threads
        self.backlog = backlog
        self.max_body_bytes = max_body_bytes
        self.timeout_ms = timeout_ms
        self.shutdown_timeout_ms = shutdown_timeout_ms
        self.tls = tls
        self._in_flight = 0
        self._pool = ThreadPoolExecutor(threads, "http")
        self._started: Future[None] = Future()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stopping: asyncio.Event | None = None
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._serve()), daemon=True
        )

    def start(self) -> None:
        """Bind the port and start serving.

        Raises
        ------
        OSError
            If the port can't be bound.
        """
        self._thread.start()
        self._started.result()

    def stop(self) -> None:
        """Stop accepting connections and wait for requests in flight."""
        self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join()
        self._pool.shutdown(wait=False)

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        runner = web.ServerRunner(
            self._make_server(), shutdown_timeout=self.shutdown_timeout_ms / 1000
        )
        try:
            await self._listen(runner)
        except (OSError, ssl.SSLError) as exc:
            self._started.set_exception(exc)
            return
        self._started.set_result(None)
        await self._stopping.wait()
        await runner.cleanup()

    def _make_server(self) -> web.Server:
        return web.Server(
            self._handle,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=self.timeout_ms / 1000,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    async def _listen(self, runner: web.ServerRunner) -> None:
        context = None
        if self.tls is not None:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(self.tls.certificate, self.tls.private_key)
        await runner.setup()
        site = web.TCPSite(
            runner, self.host, self.port, backlog=self.backlog, ssl_context=context
        )
        await site.start()

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        timeout_s = self.timeout_ms / 1000
        try:
            body = await read_body(
                req.content.iter_any(), self.max_body_bytes, timeout_s
            )
        except TimeoutError:
            return _reject(
                HTTPStatus.REQUEST_TIMEOUT, "timed out reading the request body"
            )
        except BodyTooLargeError as exc:
            return _reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, str(exc))
        if self._in_flight >= self.threads + self.backlog:
            return _reject(
                HTTPStatus.SERVICE_UNAVAILABLE, "too many requests are queued"
            )
        headers = {name.lower(): value for name, value in req.headers.items()}
        request = HttpRequest(req.method, req.path, req.query_string, headers, body)
        self._in_flight += 1
        try:
            future = self._loop.run_in_executor(self._pool, self.router.serve, request)
            return _encode(await future)
        finally:
            self._in_flight -= 1


def _encode(response: HttpResponse) -> web.Response:
    headers = {"Content-Type": response.content_type, **response.headers}
    return web.Response(status=response.status, body=response.body, headers=headers)


def _reject(status: HTTPStatus, reason: str) -> web.Response:
    """Return an error response for a request that no handler has seen."""
    response = HttpResponse.json(ErrorBody(status.name.lower(), reason), status)
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return _encode(response)
