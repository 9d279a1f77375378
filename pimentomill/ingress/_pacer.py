"""Order in which received bytes are parsed when there are many."""

import asyncio
import heapq
import itertools
from collections.abc import Callable

__all__ = ["ReceivePacer"]

SLICE_S = 0.002
"""Time in an iteration of the event loop from which on bytes wait to be parsed."""


class ReceivePacer:
    """Bound the time that one iteration of the event loop spends on parsing.

    Bytes that are received later in the iteration wait, and the requests of which least
    has been received come first, so that small requests are not delayed by large ones.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The event loop.
    slice_s : float, default=0.002
        Time in an iteration, in seconds, after which no parsing begins.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, slice_s: float = SLICE_S
    ) -> None:
        self.loop = loop
        self.slice_s = slice_s
        self._spent_s = 0.0
        self._is_scheduled = False
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def has_time(self) -> bool:
        """Return whether bytes may be parsed in this iteration."""
        return self._spent_s < self.slice_s

    def run(self, parse: Callable[..., None], *args) -> None:
        """Call a function that parses, and count its time."""
        started_at = self.loop.time()
        parse(*args)
        self._spent_s += self.loop.time() - started_at
        self._schedule()

    def defer(self, received_bytes: int, parse: Callable[[], None]) -> None:
        """Call a function that parses in a later iteration.

        Parameters
        ----------
        received_bytes : int
            Bytes received of the request so far; the lowest come first.
        parse : callable
            Parses some of the bytes that wait.
        """
        heapq.heappush(self._queue, (received_bytes, next(self._numbers), parse))
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._is_scheduled = False
        self._spent_s = 0.0
        while self._queue and self.has_time():
            _, _, parse = heapq.heappop(self._queue)
            self.run(parse)
        if self._queue:
            self._schedule()
