"""Order in which received bytes are parsed when there are many."""

import asyncio
import heapq
import itertools
from collections.abc import Callable

__all__ = ["ReceivePacer"]

ITERATION_BYTES = 32 * 1024
"""Bytes parsed per iteration of the event loop. Parsing 16 KB of chunks of one byte
takes about 10 ms."""


class ReceivePacer:
    """Bound the bytes that are parsed in one iteration of the event loop.

    What exceeds the bound waits, and the requests of which least has been received
    come first, so that small requests are not delayed by large ones.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The event loop.
    iteration_bytes : int, default=32768
        Bytes per iteration; one piece may exceed them.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, iteration_bytes: int = ITERATION_BYTES
    ) -> None:
        self.loop = loop
        self.iteration_bytes = iteration_bytes
        self._parsed_bytes = 0
        self._is_scheduled = False
        self._queue: list[tuple[int, int, Callable[[], int]]] = []
        self._numbers = itertools.count()

    def take(self, count: int) -> bool:
        """Return whether bytes may be parsed now, and count them if so."""
        if self._parsed_bytes >= self.iteration_bytes:
            return False
        self._parsed_bytes += count
        self._schedule()
        return True

    def defer(self, received_bytes: int, parse: Callable[[], int]) -> None:
        """Call a function in a later iteration.

        Parameters
        ----------
        received_bytes : int
            Bytes received of the request so far; the lowest come first.
        parse : callable
            Parses the bytes that wait and returns their number.
        """
        heapq.heappush(self._queue, (received_bytes, next(self._numbers), parse))
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._is_scheduled = False
        self._parsed_bytes = 0
        while self._queue and self._parsed_bytes < self.iteration_bytes:
            _, _, parse = heapq.heappop(self._queue)
            self._parsed_bytes += parse()
        if self._queue:
            self._schedule()
