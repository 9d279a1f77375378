"""HTTP server that bounds what its clients make the process hold."""

import asyncio
import logging
import socket
import ssl
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from ..exceptions import (
    BodyLostError,
    BodyTimeoutError,
    BodyTooLargeError,
    HeaderTooLargeError,
)
from ..telemetry import ComponentLogger
from ._account import IngressAccount
from ._closures import CloseReason, ClosureLog
from ._connection import IngressConnection
from ._limits import (
    CONNECTION_BYTES,
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    TLS_BYTES,
    RequestBounds,
)
from ._pacer import ReceivePacer

__all__ = ["IngressServer"]

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
ErrorEncoder = Callable[[int, str], tuple[str, bytes]]

REJECTIONS = {
    HeaderTooLargeError: (
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        CloseReason.HEADER_SIZE,
    ),
    BodyTooLargeError: (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, CloseReason.REQUEST_SIZE),
    BodyTimeoutError: (HTTPStatus.REQUEST_TIMEOUT, CloseReason.BODY_TIMEOUT),
    BodyLostError: (HTTPStatus.BAD_REQUEST, CloseReason.MALFORMED),
}
"""Status and reason by the error for which a request is not carried out."""
FORMATTER = logging.Formatter()
ACCEPTS_PER_WAKEUP = 8
"""Connections accepted in an iteration of the event loop. With more, new connections
would be closed for the next ones before they are read."""
ACCEPT_PAUSE_S = 0.1
"""Pause after a connection could not be accepted, as descriptors are used up."""


def encode_text_error(status: int, reason: str) -> tuple[str, bytes]:
    """Return media type and body of an error response."""
    return "text/plain; charset=utf-8", reason.encode()


class IngressServer(web.Server):
    """HTTP server for clients that can't be trusted to behave.

    Every connection is in an account from the moment it is accepted until it is
    closed. The account closes connections if they hold too much together.

    Parameters
    ----------
    handler : callable
        Coroutine function that answers a request whose header is complete. Before it
        does anything else, it reads the body with `read_request_body` or leaves it with
        `skip_request_body`.
    account : IngressAccount
        Account of the connections.
    bounds : callable
        Returns the current `RequestBounds`.
    log : ComponentLogger
        Logger of closed connections.
    on_closure : callable, optional
        Called with the name of the reason for each connection closed before its
        answer.
    encode_error : callable, optional
        Returns media type and body of the response to a refused request, given its
        status and the reason.
    options : dict
        Options of `aiohttp.web.Server`.
    """

    def __init__(
        self,
        handler: Handler,
        account: IngressAccount,
        bounds: Callable[[], RequestBounds],
        log: ComponentLogger,
        on_closure: Callable[[str], None] = lambda reason: None,
        encode_error: ErrorEncoder = encode_text_error,
        **options,
    ) -> None:
        super().__init__(self._answer, **options)
        self.handler = handler
        self.account = account
        self.bounds = bounds
        self.log = log
        self.encode_error = encode_error
        self.closures = ClosureLog(log, on_closure)
        self.pacer = ReceivePacer(self._loop)
        self.options = {"logger": self._make_library_logger(), **options}
        self.address_: tuple[str, int] | None = None
        self._listener: socket.socket | None = None
        self._ssl_context: ssl.SSLContext | None = None
        self._base_bytes = CONNECTION_BYTES
        self._opening: set[asyncio.Task] = set()

    async def start(
        self,
        host: str,
        port: int,
        backlog: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Listen on an address.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit the sizes, which also fixes them.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.setblocking(False)
        try:
            listener.bind((host, port))
            listener.listen(backlog)
        except OSError:
            listener.close()
            raise
        if ssl_context is not None:
            self._ssl_context = ssl_context
            self._base_bytes += TLS_BYTES
        self._listener = listener
        self.address_ = listener.getsockname()[:2]
        self._watch_listener()

    async def stop(self, timeout_s: float) -> None:
        """Stop listening, close idle connections and wait for the answers of others."""
        if self._listener is not None:
            self._loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for task in list(self._opening):
            task.cancel()
        # Lets connections whose setup is done be closed with the others.
        await asyncio.sleep(0)
        self.pre_shutdown()
        await self.shutdown(timeout_s)

    def _watch_listener(self) -> None:
        if self._listener is not None:
            self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_WAKEUP):
            try:
                sock, address = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                self.log.warning("Connection not accepted", why=str(exc))
                self._loop.remove_reader(self._listener)
                self._loop.call_later(ACCEPT_PAUSE_S, self._watch_listener)
                return
            self._open(sock, address[0])

    def _open(self, sock: socket.socket, peer: str) -> None:
        """Add an accepted connection to the account, or close it."""
        conn = IngressConnection(
            self, peer, self._base_bytes, loop=self._loop, **self.options
        )
        if not self.account.open(conn):
            self.closures.record(CloseReason.CONNECTIONS, conn.peer)
            sock.close()
            return
        conn.opening = task = self._loop.create_task(self._connect(conn, sock))
        self._opening.add(task)
        task.add_done_callback(lambda _: self._on_opened(task, sock))

    def _on_opened(self, task: asyncio.Task, sock: socket.socket) -> None:
        self._opening.discard(task)
        if task.cancelled():
            # A task that is cancelled before it begins leaves its socket open.
            sock.close()

    async def _connect(self, conn: IngressConnection, sock: socket.socket) -> None:
        """Attach the connection to its transport, after the TLS handshake if any."""
        timeouts = {}
        if self._ssl_context is not None:
            timeouts["ssl_handshake_timeout"] = self.bounds().header_timeout_s
        try:
            await self._loop.connect_accepted_socket(
                lambda: conn, sock, ssl=self._ssl_context, **timeouts
            )
        except OSError as exc:
            self.closures.record(CloseReason.HANDSHAKE, conn.peer, str(exc))
            self.account.close(conn)
        except asyncio.CancelledError:
            self.account.close(conn)
            raise
        finally:
            conn.opening = None

    async def _answer(self, req: web.BaseRequest) -> web.StreamResponse:
        conn: IngressConnection = req.protocol
        if conn.writing_paused:
            try:
                await req.writer.drain()
            except ConnectionError:
                # The caller has left without reading earlier answers, and is recorded.
                return web.Response(status=503)
        if conn.is_refused_:
            # The parser had the request complete, but its refusal has been sent.
            return web.Response(status=503)
        conn.begin_answer(req)
        try:
            self._check_header_size(req)
            resp = await self.handler(req)
        except tuple(REJECTIONS) as exc:
            resp = self._reject(req, exc)
        finally:
            is_complete = req.content.is_eof()
            conn.end_answer(is_complete)
        if not is_complete:
            resp.force_close()
        return resp

    def _check_header_size(self, req: web.BaseRequest) -> None:
        max_bytes = self.bounds().header_bytes
        if req.protocol.received_bytes_ <= max_bytes:
            return
        header_bytes = len(req.path_qs) + sum(
            len(name) + len(value) for name, value in req.raw_headers
        )
        if header_bytes > max_bytes:
            raise HeaderTooLargeError(f"request header exceeds {max_bytes} bytes")

    def _reject(self, req: web.BaseRequest, exc: Exception) -> web.Response:
        """Return the response to a request that no handler has carried out."""
        status, reason = REJECTIONS[type(exc)]
        # A caller that has left is recorded by its connection.
        if req.transport is not None:
            self.closures.record(reason, req.protocol.peer)
        content_type, body = self.encode_error(status, str(exc))
        resp = web.Response(
            status=status, body=body, headers={"Content-Type": content_type}
        )
        resp.force_close()
        return resp

    def _make_library_logger(self) -> logging.Logger:
        """Return a logger of the HTTP library whose records are counted and bounded."""
        logger = logging.Logger("ingress")
        logger.addHandler(_LibraryLogHandler(self))
        return logger


class _LibraryLogHandler(logging.Handler):
    """Record malformed requests as closures, and log other errors of the library."""

    def __init__(self, server: IngressServer) -> None:
        super().__init__()
        self.server = server

    def emit(self, record: logging.LogRecord) -> None:
        exc = record.exc_info[1] if record.exc_info else None
        if isinstance(exc, HttpProcessingError):
            peer = str(record.args[0]) if record.args else ""
            detail = type(exc).__name__
            self.server.closures.record(CloseReason.MALFORMED, peer, detail)
            return
        fields = {"error": repr(exc)}
        if record.exc_info:
            fields["traceback"] = FORMATTER.formatException(record.exc_info)
        self.server.log.warning("Request failed", why=record.getMessage(), **fields)
