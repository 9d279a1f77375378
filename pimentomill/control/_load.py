"""Load of the leading process, for the log."""

import time

__all__ = ["LoadMeter"]

MS_PER_S = 1000


class LoadMeter:
    """Sums up the passes of the planner and the processor time between two reports."""

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self._passes = 0
        self._pass_s = 0.0
        self._longest_pass_s = 0.0
        self._since_s = time.perf_counter()
        self._cpu_since_s = time.process_time()

    def record_pass(self, took_s: float) -> None:
        """Record a pass of the planner that took `took_s` seconds."""
        self._passes += 1
        self._pass_s += took_s
        self._longest_pass_s = max(self._longest_pass_s, took_s)

    def report(self) -> dict[str, int]:
        """Return the sums since the last report and start anew.

        Returns
        -------
        dict of str to int
            Number of passes; milliseconds of all passes, of the longest one, of
            processor time and of the whole interval.
        """
        now_s, cpu_s = time.perf_counter(), time.process_time()
        sums = {
            "passes": self._passes,
            "passes_ms": round(self._pass_s * MS_PER_S),
            "longest_pass_ms": round(self._longest_pass_s * MS_PER_S),
            "cpu_ms": round((cpu_s - self._cpu_since_s) * MS_PER_S),
            "interval_ms": round((now_s - self._since_s) * MS_PER_S),
        }
        self._reset()
        return sums
