"""HTTP server that runs a router in background threads."""

import asyncio
import ssl
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from http import HTTPStatus

from aiohttp import web

from ..ingress import (
    IngressAccount,
    IngressLimits,
    IngressServer,
    Machine,
    RequestBounds,
    read_request_body,
)
from ..settings import TlsSettings
from ..telemetry import ComponentLogger
from ._app import HttpRequest, HttpResponse, Router
from ._errors import ErrorBody

__all__ = ["HttpServer"]

MAX_FIELD_BYTES = 16_384
"""Maximum size of the request line and of each header field."""
MAX_HEADER_BYTES = 65_536
"""Maximum size of the request line and all header fields together."""
RETRY_AFTER_S = 1
"""Sent with status 503; long enough since requests take milliseconds."""

_log = ComponentLogger("http")


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
        Timeout in milliseconds for the complete header, for the complete body and for
        a client to read an answer.
    shutdown_timeout_ms : int, default=5000
        Milliseconds that requests in flight may take at shutdown.
    tls : TlsSettings or None, default=None
        Certificate and key; plain HTTP if None.
    limits : IngressLimits or None, default=None
        Bounds on what all clients together hold; None for those of the callers of a
        default machine.
    on_closure : callable, optional
        Called with the name of the reason for each connection closed, or request
        refused, before its answer.
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
        limits: IngressLimits | None = None,
        on_closure: Callable[[str], None] = lambda reason: None,
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
        self.limits = limits or IngressLimits.for_callers(Machine())
        self.on_closure = on_closure
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
        server = self._make_server()
        try:
            await server.start(
                self.host, self.port, self.backlog, self._make_tls_context()
            )
        except (OSError, ssl.SSLError) as exc:
            self._started.set_exception(exc)
            return
        self._started.set_result(None)
        await self._stopping.wait()
        await server.stop(self.shutdown_timeout_ms / 1000)

    def _make_server(self) -> IngressServer:
        timeout_s = self.timeout_ms / 1000
        bounds = RequestBounds(
            MAX_HEADER_BYTES, self.max_body_bytes, timeout_s, timeout_s
        )
        return IngressServer(
            self._handle,
            IngressAccount(self.limits),
            lambda: bounds,
            _log,
            self.on_closure,
            _encode_error,
            access_log=None,
            keepalive_timeout=timeout_s,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )

    def _make_tls_context(self) -> ssl.SSLContext | None:
        if self.tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(self.tls.certificate, self.tls.private_key)
        return context

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        timeout_s = self.timeout_ms / 1000
        body = await read_request_body(req, self.max_body_bytes, timeout_s)
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


def _encode_error(status: int, reason: str) -> tuple[str, bytes]:
    """Return media type and body of the response to a refused request."""
    response = HttpResponse.json(ErrorBody(HTTPStatus(status).name.lower(), reason))
    return response.content_type, response.body


def _reject(status: HTTPStatus, reason: str) -> web.Response:
    """Return an error response for a request that no handler has seen."""
    response = HttpResponse.json(ErrorBody(status.name.lower(), reason), status)
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return _encode(response)
