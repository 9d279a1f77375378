"""Callers' HTTP connections with a timeout for the request header."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from ..telemetry import ComponentLogger

__all__ = ["CallerConnection", "CallerServer"]

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = ComponentLogger("front")


class CallerServer(web.Server):
    """HTTP server that closes connections with an incomplete header.

    Parameters
    ----------
    handler : callable
        Coroutine function that answers a request whose header is complete.
    header_timeout_s : callable
        Returns the current timeout for a complete header in seconds.
    options : dict
        Options of `aiohttp.web.Server`.
    """

    def __init__(
        self, handler: Handler, header_timeout_s: Callable[[], float], **options
    ) -> None:
        super().__init__(self._answer, **options)
        self.handler = handler
        self.header_timeout_s = header_timeout_s
        self.options = options

    def __call__(self) -> "CallerConnection":
        """Create the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return CallerConnection(self, loop=loop, **self.options)

    async def _answer(self, req: web.BaseRequest) -> web.StreamResponse:
        connection = req.protocol
        connection.mark_header_received()
        try:
            return await self.handler(req)
        finally:
            connection.mark_answered()


class CallerConnection(web.RequestHandler):
    """Connection that is closed if a header is not complete in time."""

    def __init__(self, server: CallerServer, **options) -> None:
        super().__init__(server, **options)
        self.server = server
        self._is_answering = False
        self._header_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Process received bytes; the first bytes of a header start its timeout."""
        if not self._is_answering and self._header_timer is None:
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(
                self.server.header_timeout_s(), self._on_header_timeout
            )
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the header timeout, and log a caller that left without an answer."""
        self._cancel_header_timer()
        if self._is_answering:
            _log.info("Connection lost before the answer", why=str(exc or "closed"))
        super().connection_lost(exc)

    def mark_header_received(self) -> None:
        """Cancel the timeout, as the header is complete."""
        self._is_answering = True
        self._cancel_header_timer()

    def mark_answered(self) -> None:
        """Note that the request has been answered, so that a new header may start."""
        self._is_answering = False

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        _log.info("Connection closed", why="timed out waiting for the header")
        self.force_close()
