import unittest

from pimentomill.holder import JobState
from pimentomill.utils import Resources
from pimentomill.work import BatchSpec

from .holding import Holding
from .test_leases import LEASES

SPEC = BatchSpec(resources=Resources(8_000, 100, 0), command=["serve"])


class JobStateTest(unittest.TestCase):
    def setUp(self):
        self.cell = Holding(["w1"], LEASES)

    def states(self, duration_ms):
        """Return the states that are shown at any moment within a time."""
        seen = set()
        self.cell.on_read = lambda: seen.add(self.cell.holder.describe("j").state)
        self.cell.run(duration_ms)
        self.cell.on_read()
        return seen

    # Guards against MIXED: jobs of which no task had started were shown as running
    # while a worker rejected each of their starts.
    def test_a_job_whose_starts_are_rejected_is_shown_as_waiting(self):
        self.cell.rejecting = {"w1"}
        self.cell.accept(SPEC)
        self.assertEqual(self.states(3_000), {JobState.WAITING})
        self.assertGreater(self.cell.rejected_starts_, 0)

    def test_a_job_whose_start_is_not_answered_is_running_once_a_report_lists_it(self):
        self.cell.silent = {"w1"}
        self.cell.accept(SPEC)
        self.assertEqual(self.states(1_000), {JobState.WAITING})
        self.cell.silent = set()
        self.cell.run(LEASES.report_ms)
        self.assertEqual(self.states(1_000), {JobState.RUNNING})

    def test_a_running_job_stays_so_under_a_later_holder(self):
        self.cell.accept(SPEC)
        self.cell.run(500)
        self.assertEqual(self.states(1_000), {JobState.RUNNING})
        self.cell.take_over()
        self.cell.step()
        self.assertIs(self.cell.holder.describe("j").state, JobState.RUNNING)
        self.assertEqual(self.states(5_000), {JobState.RUNNING})
