"""Clocks of the simulated processes."""

from pimentomill.utils import Clock, Instant

__all__ = ["SkewedClock"]

MILLION = 1_000_000


class SkewedClock:
    """Clock with an offset and a drift relative to simulated time.

    Parameters
    ----------
    base : Clock
        Simulated time.
    offset_ms : int
        Reading in milliseconds at simulated time 0.
    drift_ppm : int
        Drift in parts per million, negative if the clock runs slow.
    """

    def __init__(self, base: Clock, offset_ms: int, drift_ppm: int) -> None:
        self.base = base
        self.offset_ms = offset_ms
        self.drift_ppm = drift_ppm

    def now(self) -> Instant:
        """Return the skewed reading in milliseconds."""
        return Instant(self._reading_at(self.base.now()))

    def _reading_at(self, true_ms: int) -> int:
        return self.offset_ms + true_ms + true_ms * self.drift_ppm // MILLION

    def true_at(self, reading: int) -> int:
        """Return the first simulated time in milliseconds with at least a reading."""
        elapsed_ms = (reading - self.offset_ms) * MILLION // (MILLION + self.drift_ppm)
        while self._reading_at(elapsed_ms) < reading:
            elapsed_ms += 1
        return elapsed_ms

    def wall_ms(self) -> int:
        """Return the simulated time, since wall-clock displays need no skew."""
        return self.base.now()
