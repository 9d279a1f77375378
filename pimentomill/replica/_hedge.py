"""A second try beside a first one that takes long."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ..exceptions import AppendUnknownError, LogUnavailableError
from ..utils import Clock, Instant

__all__ = ["Hedge"]

T = TypeVar("T")
START_MS = 15.0
"""Usual time assumed at first: an append takes 10 to 13 ms."""
FACTOR = 4
"""Multiple of the usual time after which the second try starts."""
MIN_DELAY_MS = 60.0
"""Shortest time before it, above the spread of a store that is well."""
SLOW_MS = 150.0
"""Usual time from which the store counts as slow; it is below 20 where it is well."""
RISE = 0.7
"""Weight of a longer time in the usual one: a store that turns slow is soon known."""
FALL = 0.2
"""Weight of a shorter one; it takes some ten appends to call the store well again."""


class Hedge:
    """Runs an append, and the same once more beside it if it takes long.

    An answer that is lost, or a way to the store that is cut, then costs a few tens
    of milliseconds instead of a whole timeout. Both tries may be carried out, so the
    append has to be one that changes nothing the second time.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    usual_ms_ : float
        Usual time of a first try; it grows when the store turns slow.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.usual_ms_ = START_MS
        self._left: set[asyncio.Task] = set()

    async def run(
        self,
        first: Callable[[], Awaitable[T]],
        second: Callable[[], Awaitable[T]],
    ) -> T:
        """Return the first success.

        Parameters
        ----------
        first, second : callable
            Start a try.

        Raises
        ------
        LogUnavailableError
            If nothing was kept by any try.
        AppendUnknownError
            If that is not known.
        """
        began = self.clock.now()
        tries = [asyncio.ensure_future(first())]
        delay_s = max(MIN_DELAY_MS, FACTOR * self.usual_ms_) / 1000
        try:
            await asyncio.wait(tries, timeout=delay_s)
            if not tries[0].done():
                tries.append(asyncio.ensure_future(second()))
            await self._settle(tries)
        finally:
            self._leave(tries)
            self._note(began)
        return _outcome(tries)

    def is_slow(self) -> bool:
        """Return whether appends usually take long."""
        return self.usual_ms_ >= SLOW_MS

    async def timed(self, only: Callable[[], Awaitable[T]]) -> T:
        """Run one try and let its time count."""
        began = self.clock.now()
        try:
            return await only()
        finally:
            self._note(began)

    def _note(self, began: Instant) -> None:
        took = self.clock.now() - began
        weight = RISE if took > self.usual_ms_ else FALL
        self.usual_ms_ += weight * (took - self.usual_ms_)

    @staticmethod
    async def _settle(tries: list[asyncio.Task]) -> None:
        """Wait until one try has succeeded or all have failed."""
        pending = set(tries)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            if any(not task.cancelled() and not task.exception() for task in done):
                return

    def _leave(self, tries: list[asyncio.Task]) -> None:
        """Let a try that is still under way end by itself."""
        for task in tries:
            if not task.done():
                self._left.add(task)
                task.add_done_callback(self._note_left)

    def _note_left(self, task: asyncio.Task) -> None:
        self._left.discard(task)
        if not task.cancelled():
            # Its outcome no longer matters; reading it keeps it from being reported.
            task.exception()


def _outcome(tries: list[asyncio.Task]):
    """Return the result of a try, or raise what is certain of all."""
    errors = []
    for task in tries:
        if not task.done():
            continue
        exc = task.exception()
        if exc is None:
            return task.result()
        errors.append(exc)
    for exc in errors:
        if not isinstance(exc, LogUnavailableError | AppendUnknownError):
            raise exc
    for exc in errors:
        if isinstance(exc, AppendUnknownError):
            raise exc
    raise errors[0]
