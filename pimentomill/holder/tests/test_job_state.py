import unittest

from pimentomill.holder import JobState
from pimentomill.utils import Resources
from pimentomill.work import BatchSpec

from .fixtures import LEASES, HolderFixture

SPEC = BatchSpec(resources=Resources(8_000, 100, 0), command=["serve"])


class JobStateTest(unittest.TestCase):
    def setUp(self):
        self.fixture = HolderFixture(["w1"])

    def states(self, duration_ms):
        """Return the states that are shown at any moment within a time."""
        seen = set()
        self.fixture.on_read = lambda: seen.add(self.fixture.holder.describe("j").state)
        self.fixture.run(duration_ms)
        self.fixture.on_read()
        return seen

    # Guards against MIXED: jobs of which no task had started were shown as running
    # while a worker rejected each of their starts.
    def test_a_job_whose_starts_are_rejected_is_shown_as_waiting(self):
        self.fixture.rejecting = {"w1"}
        self.fixture.accept(SPEC)
        self.assertEqual(self.states(3_000), {JobState.WAITING})
        self.assertGreater(self.fixture.rejected_starts_, 0)

    def test_a_job_whose_start_is_not_answered_is_running_once_a_report_lists_it(self):
        self.fixture.silent = {"w1"}
        self.fixture.accept(SPEC)
        self.assertEqual(self.states(1_000), {JobState.WAITING})
        self.fixture.silent = set()
        self.fixture.run(LEASES.report_ms)
        self.assertEqual(self.states(1_000), {JobState.RUNNING})

    def test_a_running_job_stays_so_under_a_later_holder(self):
        self.fixture.accept(SPEC)
        self.fixture.run(500)
        self.assertEqual(self.states(1_000), {JobState.RUNNING})
        self.fixture.take_over()
        self.fixture.step()
        self.assertIs(self.fixture.holder.describe("j").state, JobState.RUNNING)
        self.assertEqual(self.states(5_000), {JobState.RUNNING})
