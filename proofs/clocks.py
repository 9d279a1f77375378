"""Clocks of the fakes."""

from pimentomill.utils import Instant, ManualClock

__all__ = ["SkewedClock"]

MILLION = 1_000_000


class SkewedClock:
    """Clock that started elsewhere and runs a little fast or slow.

    Parameters
    ----------
    base : ManualClock
        True time.
    offset_ms : int
        Reading at the true time 0.
    drift_ppm : int
        Millionths that it runs fast, negative if slow.
    """

    def __init__(self, base: ManualClock, offset_ms: int, drift_ppm: int) -> None:
        self.base = base
        self.offset_ms = offset_ms
        self.drift_ppm = drift_ppm

    def now(self) -> Instant:
        """Return the skewed reading in milliseconds."""
        true_ms = self.base.now()
        return Instant(self.offset_ms + true_ms + true_ms * self.drift_ppm // MILLION)

    def wall_ms(self) -> int:
        """Return the true time; displays do not need skew."""
        return self.base.now()
