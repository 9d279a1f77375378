"""What the time limits of a small cell count."""

import unittest
from unittest import mock

from scripts import cell as cell_module
from scripts.cell import READY_TIMEOUT_S, CellShape, LocalCell

SHAPE = CellShape(entries=1, workers=1, backends=0, groups=1)
STEP_S = 1.0


class StarvedCellClock:
    """Time in which the cell's processes wait for a processor for a while.

    Parameters
    ----------
    starved_s : float
        Seconds, from the start on, in which nothing gets a processor.
    """

    def __init__(self, starved_s):
        self.starved_s = starved_s
        self.now_s = 0.0

    def monotonic(self):
        """Return the time in seconds."""
        return self.now_s

    def sleep(self, seconds):
        """Let time pass."""
        self.now_s += STEP_S

    def cpu_wait_s(self):
        """Return how long the processes have waited for a processor."""
        return min(self.now_s, self.starved_s)


class CellTimeoutsTest(unittest.TestCase):
    def wait_for_process(self, starved_s, needed_cpu_s):
        """Wait for what takes a time with a processor; return when it ended."""
        cell = LocalCell(SHAPE)
        self.addCleanup(cell.close)
        fake = StarvedCellClock(starved_s)
        with (
            mock.patch.object(cell_module, "time", fake),
            mock.patch.object(LocalCell, "cpu_wait_s", fake.cpu_wait_s, create=True),
        ):
            cell.wait_for(lambda: fake.now_s >= starved_s + needed_cpu_s, "it")
        return fake.now_s

    # A cell whose processes did not get a processor was given up as not ready.
    def test_time_without_cpu_does_not_count(self):
        self.assertEqual(
            self.wait_for_process(30, READY_TIMEOUT_S - 1), 30 + READY_TIMEOUT_S - 1
        )

    def test_running_process_that_is_not_ready_times_out(self):
        with self.assertRaises(TimeoutError):
            self.wait_for_process(0, READY_TIMEOUT_S + 1)

    def test_process_without_any_cpu_times_out(self):
        with self.assertRaises(TimeoutError):
            self.wait_for_process(10_000, 0)
