"""Timeouts of a local cell exclude time without a CPU."""

import unittest
from unittest import mock

from scripts import cell as cell_module
from scripts.cell import READY_TIMEOUT_S, CellShape, LocalCell

SHAPE = CellShape(entries=1, workers=1, backends=0, groups=1)
STEP_S = 1.0


class StarvedCellClock:
    """Simulated time in which the processes of a cell wait for a CPU at first.

    Parameters
    ----------
    starved_s : float
        Seconds from the start during which no process gets a CPU.
    """

    def __init__(self, starved_s):
        self.starved_s = starved_s
        self.now_s = 0.0

    def monotonic(self):
        """Return the simulated time in seconds."""
        return self.now_s

    def sleep(self, seconds):
        """Advance the simulated time by a step."""
        self.now_s += STEP_S

    def cpu_wait_s(self):
        """Return the seconds that the processes have waited for a CPU."""
        return min(self.now_s, self.starved_s)


class CellTimeoutsTest(unittest.TestCase):
    def wait_for_process(self, starved_s, needed_cpu_s):
        """Wait for a process that needs some CPU time, and return the end time."""
        cell = LocalCell(SHAPE)
        self.addCleanup(cell.close)
        fake = StarvedCellClock(starved_s)
        with (
            mock.patch.object(cell_module, "time", fake),
            mock.patch.object(LocalCell, "cpu_wait_s", fake.cpu_wait_s, create=True),
        ):
            cell.wait_for(lambda: fake.now_s >= starved_s + needed_cpu_s, "it")
        return fake.now_s

    # The wait for a cell timed out although its processes were only short of CPU.
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
