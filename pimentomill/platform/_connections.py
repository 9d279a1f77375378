"""Connections of callers, with a bound on the time for a header."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from ..telemetry import PartLog

__all__ = ["CallerConnection", "CallerServer"]

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = PartLog("front")


class CallerServer(web.Server):
    """Makes a connection handler that gives up on half-sent headers.

    Parameters
    ----------
    handler : callable
        Answers a request whose header has arrived.
    header_timeout_s : callable
        Returns the longest time for a whole header in seconds, as it is set now.
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
        """Return the handler of a new connection."""
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
    """One connection; closed if a header is not whole in time."""

    def __init__(self, server: CallerServer, **options) -> None:
        super().__init__(server, **options)
        self.server = server
        self._is_answering = False
        self._header_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Take in bytes; those of a new header start its time."""
        if not self._is_answering and self._header_timer is None:
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(
                self.server.header_timeout_s(), self._on_header_timeout
            )
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the time of a header that will not come."""
        self._cancel_header_timer()
        super().connection_lost(exc)

    def mark_header_received(self) -> None:
        """Take in that a header is whole."""
        self._is_answering = True
        self._cancel_header_timer()

    def mark_answered(self) -> None:
        """Take in that the request has been answered."""
        self._is_answering = False

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        _log.info("Connection closed", why="header not sent in time")
        self.force_close()
