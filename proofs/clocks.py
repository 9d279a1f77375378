"""Clocks of the simulated processes."""

from pimentomill.utils import Instant, ManualClock

__all__ = ["SkewedClock"]

MILLION = 1_000_000


class SkewedClock:
    """Clock with an offset and a drift relative to simulated time.

    Parameters
    ----------
    base : ManualClock
        Simulated time.
    offset_ms : int
        Reading in milliseconds at simulated time 0.
    drift_ppm : int
        Drift in parts per million, negative if the clock runs slow.
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
        """Return the simulated time, since wall-clock displays need no skew."""
        return self.base.now()
