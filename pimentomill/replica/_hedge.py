"""Hedged appends: a second attempt runs alongside a slow first one."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ..exceptions import AppendUnknownError, LogUnavailableError
from ..utils import Clock, Instant

__all__ = ["Hedge"]

T = TypeVar("T")
INITIAL_LATENCY_MS = 15.0
"""Initial value of the smoothed latency; an append takes 10 to 13 ms."""
HEDGE_DELAY_FACTOR = 4
"""Multiple of the smoothed latency after which the second attempt starts."""
MIN_HEDGE_DELAY_MS = 60.0
"""Minimum delay of the second attempt, above the latency spread of a healthy store."""
SLOW_LATENCY_MS = 150.0
"""Smoothed latency from which the store counts as slow; a healthy one has below
20 ms."""
RISE_WEIGHT = 0.7
"""Smoothing weight of a latency above the average, to detect a slow store quickly."""
FALL_WEIGHT = 0.2
"""Smoothing weight of a latency below the average; a store counts as healthy again
after some ten appends."""


class Hedge:
    """Runs an append, and a second attempt alongside it if it takes long.

    A lost answer or a broken path to the store then costs a few tens of milliseconds
    instead of a whole timeout. Both attempts may take effect, so the append must be
    idempotent.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    smoothed_latency_ms_ : float
        Exponential moving average of the latency in milliseconds; it rises faster
        than it falls.
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
        """Run the attempts and return the result of the first that succeeds.

        Parameters
        ----------
        first, second : callable
            Start an attempt.

        Raises
        ------
        LogUnavailableError
            If no attempt made anything durable.
        AppendUnknownError
            If that is unknown.
        """
        started_at = self.clock.now()
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
            self._record_latency(started_at)
        return _outcome(attempts)

    def is_slow(self) -> bool:
        """Return whether the smoothed latency shows that the store is slow."""
        return self.smoothed_latency_ms_ >= SLOW_LATENCY_MS

    async def run_single(self, attempt: Callable[[], Awaitable[T]]) -> T:
        """Run one attempt without a hedge and record its latency."""
        started_at = self.clock.now()
        try:
            return await attempt()
        finally:
            self._record_latency(started_at)

    def _record_latency(self, started_at: Instant) -> None:
        elapsed_ms = self.clock.now() - started_at
        weight = RISE_WEIGHT if elapsed_ms > self.smoothed_latency_ms_ else FALL_WEIGHT
        self.smoothed_latency_ms_ += weight * (elapsed_ms - self.smoothed_latency_ms_)

    @staticmethod
    async def _wait_first_success(attempts: list[asyncio.Task]) -> None:
        """Wait until one attempt has succeeded or all have failed."""
        pending = set(attempts)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            if any(not task.cancelled() and not task.exception() for task in done):
                return

    def _abandon_pending(self, attempts: list[asyncio.Task]) -> None:
        """Let pending attempts finish in the background."""
        for task in attempts:
            if not task.done():
                self._abandoned.add(task)
                task.add_done_callback(self._discard_abandoned)

    def _discard_abandoned(self, task: asyncio.Task) -> None:
        self._abandoned.discard(task)
        if not task.cancelled():
            # Retrieve the exception so that asyncio doesn't report it as unhandled.
            task.exception()


def _outcome(attempts: list[asyncio.Task]):
    """Return the result of a successful attempt, or raise the error that covers all.

    Other errors, such as fencing, come before an unknown outcome, and an unknown
    outcome before a rejection.
    """
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
