"""What the time limits of a small cell count."""

import unittest
from unittest import mock

from scripts import cell as cell_module
from scripts.cell import READY_WITHIN_S, CellShape, SmallCell

SHAPE = CellShape(entries=1, workers=1, backends=0, groups=1)
STEP_S = 1.0


class StarvedCell:
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

    def processor_wait_s(self):
        """Return how long the processes have waited for a processor."""
        return min(self.now_s, self.starved_s)


class WaitingTest(unittest.TestCase):
    def wait(self, starved_s, takes_s):
        """Wait for what takes a time with a processor; return when it ended."""
        cell = SmallCell(SHAPE)
        self.addCleanup(cell.close)
        fake = StarvedCell(starved_s)
        with (
            mock.patch.object(cell_module, "time", fake),
            mock.patch.object(
                SmallCell, "processor_wait_s", fake.processor_wait_s, create=True
            ),
        ):
            cell.wait_for(lambda: fake.now_s >= starved_s + takes_s, "it")
        return fake.now_s

    # A cell whose processes did not get a processor was given up as not ready.
    def test_wait_for_a_processor_does_not_count(self):
        self.assertEqual(self.wait(30, READY_WITHIN_S - 1), 30 + READY_WITHIN_S - 1)

    def test_process_that_runs_and_does_not_get_ready_is_given_up(self):
        with self.assertRaises(TimeoutError):
            self.wait(0, READY_WITHIN_S + 1)

    def test_process_that_gets_no_processor_at_all_is_given_up(self):
        with self.assertRaises(TimeoutError):
            self.wait(10_000, 0)
