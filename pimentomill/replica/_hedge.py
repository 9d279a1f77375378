"""A second try beside a first one that takes long."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ..exceptions import AppendUnknownError, LogUnavailableError
from ..utils import Clock, Instant

__all__ = ["Hedge"]

T = TypeVar("T")
INITIAL_LATENCY_MS = 15.0
"""Usual time assumed at first: an append takes 10 to 13 ms."""
HEDGE_DELAY_FACTOR = 4
"""Multiple of the usual time after which the second try starts."""
MIN_HEDGE_DELAY_MS = 60.0
"""Shortest time before it, above the spread of a store that is well."""
SLOW_LATENCY_MS = 150.0
"""Usual time from which the store counts as slow; it is below 20 where it is well."""
RISE_WEIGHT = 0.7
"""Weight of a longer time in the usual one: a store that turns slow is soon known."""
FALL_WEIGHT = 0.2
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
    smoothed_latency_ms_ : float
        Usual time of a first try; it grows when the store turns slow.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.smoothed_latency_ms_ = INITIAL_LATENCY_MS
        self._abandoned: set[asyncio.Task] = set()

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
        attempts = [asyncio.ensure_future(first())]
        delay_s = (
            max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * self.smoothed_latency_ms_)
            / 1000
        )
        try:
            await asyncio.wait(attempts, timeout=delay_s)
            if not attempts[0].done():
                attempts.append(asyncio.ensure_future(second()))
            await self._wait_first_success(attempts)
        finally:
            self._abandon_pending(attempts)
            self._record_latency(began)
        return _outcome(attempts)

    def is_slow(self) -> bool:
        """Return whether appends usually take long."""
        return self.smoothed_latency_ms_ >= SLOW_LATENCY_MS

    async def run_single(self, attempt: Callable[[], Awaitable[T]]) -> T:
        """Run one try and let its time count."""
        began = self.clock.now()
        try:
            return await attempt()
        finally:
            self._record_latency(began)

    def _record_latency(self, began: Instant) -> None:
        elapsed_ms = self.clock.now() - began
        weight = RISE_WEIGHT if elapsed_ms > self.smoothed_latency_ms_ else FALL_WEIGHT
        self.smoothed_latency_ms_ += weight * (elapsed_ms - self.smoothed_latency_ms_)

    @staticmethod
    async def _wait_first_success(attempts: list[asyncio.Task]) -> None:
        """Wait until one try has succeeded or all have failed."""
        pending = set(attempts)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            if any(not task.cancelled() and not task.exception() for task in done):
                return

    def _abandon_pending(self, attempts: list[asyncio.Task]) -> None:
        """Let a try that is still under way end by itself."""
        for task in attempts:
            if not task.done():
                self._abandoned.add(task)
                task.add_done_callback(self._discard_abandoned)

    def _discard_abandoned(self, task: asyncio.Task) -> None:
        self._abandoned.discard(task)
        if not task.cancelled():
            # Its outcome no longer matters; reading it keeps it from being reported.
            task.exception()


def _outcome(attempts: list[asyncio.Task]):
    """Return the result of a try, or raise what is certain of all."""
    errors = []
    for task in attempts:
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
