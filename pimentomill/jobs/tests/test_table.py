import unittest

from pimentomill.dispatch.tests.samples import accepted, step
from pimentomill.jobs import (
    Cancelled,
    JobState,
    JobTable,
    Progress,
    accepted_key,
    cancelled_key,
    encode_record,
    progress_key,
)

JOB = "a" * 16


class TestJobTable(unittest.TestCase):
    def setUp(self):
        self.table = JobTable()

    def put(self, key, record):
        return self.table.apply(key(JOB), encode_record(record))

    def accept(self, **fields):
        self.put(accepted_key, accepted(JOB, [step()], **fields))

    def state(self):
        return self.table.find(JOB).state

    def test_states_of_a_job(self):
        self.accept()
        self.assertIs(self.state(), JobState.QUEUED)
        self.put(progress_key, Progress(JOB, JobState.RUNNING, 1))
        self.assertIs(self.state(), JobState.RUNNING)
        self.put(cancelled_key, Cancelled(JOB, 2))
        self.assertIs(self.state(), JobState.CANCELLED)

    def test_a_final_state_never_changes(self):
        self.accept()
        self.put(progress_key, Progress(JOB, JobState.COMPLETED, 1))
        self.put(progress_key, Progress(JOB, JobState.RUNNING, 2))
        self.put(cancelled_key, Cancelled(JOB, 3))
        self.assertIs(self.state(), JobState.COMPLETED)

    def test_repeated_submission_changes_nothing(self):
        self.accept(team="t")
        self.accept(team="u")
        self.assertEqual(self.table.find(JOB).accepted_.team, "t")

    def test_records_in_any_order_and_dropped_keys(self):
        self.put(progress_key, Progress(JOB, JobState.FAILED, 1))
        self.assertIsNone(self.table.find(JOB))
        self.accept()
        self.assertIs(self.state(), JobState.FAILED)
        for key in (accepted_key, progress_key, cancelled_key):
            self.table.apply(key(JOB), b"")
        self.assertEqual(self.table.entries_, {})

    def test_unreadable_and_unrelated_records_are_ignored(self):
        self.assertIsNone(self.table.apply("j:" + JOB, b"\xff"))
        self.assertIsNone(self.table.apply("leader", b"x"))
        self.assertIsNone(self.table.find(JOB))
