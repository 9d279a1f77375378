"""Clocks that are handed in, so that decisions can be replayed."""

import time
from typing import NewType, Protocol

__all__ = ["Clock", "Instant", "ManualClock", "SystemClock"]

Instant = NewType("Instant", int)
"""Point on a monotonic clock of one process, in milliseconds."""

NANOSECONDS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of time."""

    def now(self) -> Instant:
        """Return the monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Return the time of day in milliseconds since 1970, for display."""


class SystemClock:
    """Clock of the operating system.

    Notes
    -----
    The reading goes on while the machine is suspended, so that a deadline set
    before a suspension has passed after it.
    """

    def now(self) -> Instant:
        """Return the monotonic time in milliseconds."""
        return Instant(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS)

    def wall_ms(self) -> int:
        """Return the time of day in milliseconds since 1970, for display."""
        return time.time_ns() // NANOSECONDS_PER_MS


class ManualClock:
    """Clock that moves only when told to.

    Parameters
    ----------
    start : int, default=0
        First reading in milliseconds.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(250)
    >>> clock.now()
    250
    """

    def __init__(self, start: int = 0) -> None:
        self.start = start
        self.elapsed_ = 0

    def now(self) -> Instant:
        """Return the monotonic time in milliseconds."""
        return Instant(self.start + self.elapsed_)

    def wall_ms(self) -> int:
        """Return the same reading as `now`."""
        return self.start + self.elapsed_

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward.

        Parameters
        ----------
        span_ms : int
            Milliseconds to add.
        """
        self.elapsed_ += duration_ms
