"""Clocks that are injected, so that decisions can be replayed."""

import math
import time
from typing import NewType, Protocol

__all__ = ["Clock", "Instant", "ManualClock", "SystemClock", "to_other_clock"]

Instant = NewType("Instant", int)
"""Reading of the monotonic clock of one process, in milliseconds."""

NANOSECONDS_PER_MS = 1_000_000
CLOCK_DRIFT = 0.02
"""Fraction by which the clock of a machine may run fast or slow."""
BOUND_MARGIN_MS = 50
"""Milliseconds added to a bound on another clock, for rounding."""


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
    The monotonic clock keeps running while the machine is suspended, so that
    deadlines also expire during a suspension.
    """

    def now(self) -> Instant:
        """Return the monotonic time in milliseconds."""
        return Instant(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS)

    def wall_ms(self) -> int:
        """Return the time of day in milliseconds since 1970, for display."""
        return time.time_ns() // NANOSECONDS_PER_MS


class ManualClock:
    """Clock that advances only on request.

    Parameters
    ----------
    start : int, default=0
        Initial reading in milliseconds.

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
        """Advance the clock.

        Parameters
        ----------
        duration_ms : int
            Milliseconds to add.
        """
        self.elapsed_ += duration_ms


def to_other_clock(duration_ms: int) -> int:
    """Return the time on any clock that lasts as long as a time on another clock.

    Parameters
    ----------
    duration_ms : int
        Milliseconds on the other clock, which may run slow while this one runs fast.

    Examples
    --------
    >>> to_other_clock(1000)
    1091
    """
    ratio = (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
    return math.ceil(duration_ms * ratio) + BOUND_MARGIN_MS
