import unittest

from pimentomill.control._expiry import expired_keys
from pimentomill.dispatch.tests.samples import accepted, step
from pimentomill.jobs import (
    Cancelled,
    JobState,
    JobTable,
    Progress,
    Withdrawn,
    accepted_key,
    cancelled_key,
    encode_record,
    progress_key,
)

JOB = "a" * 16


class TableCase(unittest.TestCase):
    def setUp(self):
        self.table = JobTable()

    def put(self, key, record):
        return self.table.apply(key(JOB), encode_record(record))

    def accept(self, **fields):
        self.put(accepted_key, accepted(JOB, [step()], **fields))

    def state(self):
        return self.table.find(JOB).state


class TestJobTable(TableCase):
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


class TestWithdrawnJobs(TableCase):
    """Callers cancel jobs that have not been accepted."""

    def withdraw(self, team="t", queue="q"):
        record = Withdrawn(JOB, queue, team, 5)
        self.table.apply(record.key, encode_record(record))
        return record

    # Guards against a job that runs although its cancelling was answered with 410, as
    # its submission was still on its way.
    def test_a_job_accepted_later_is_cancelled(self):
        self.withdraw()
        self.assertIsNone(self.table.find(JOB))
        self.accept(team="t")
        self.assertIs(self.state(), JobState.CANCELLED)

    # Guards against a job that runs on, as it was accepted just before the record.
    def test_a_job_accepted_shortly_before_is_cancelled(self):
        self.accept(team="t")
        self.put(progress_key, Progress(JOB, JobState.RUNNING, 1))
        self.withdraw()
        self.assertIs(self.state(), JobState.CANCELLED)

    # Guards against a key of one team that cancels jobs of another one by their names.
    def test_a_job_of_another_team_or_queue_is_not_concerned(self):
        self.withdraw(team="u")
        self.withdraw(queue="other")
        self.accept(team="t")
        self.assertIs(self.state(), JobState.QUEUED)
        self.withdraw(team="t")
        self.assertIs(self.state(), JobState.CANCELLED)

    # Guards against a reload that lets a job start before it reads the record.
    def test_the_record_is_read_before_that_of_the_acceptance(self):
        self.assertLess(self.withdraw().key, accepted_key(JOB))

    # Guards against a bound that counts records twice or for good.
    def test_the_records_of_a_team_are_counted_until_they_are_dropped(self):
        self.withdraw()
        record = self.withdraw()
        self.withdraw(team="u")
        self.assertEqual(self.table.count_withdrawn("q", "t"), 1)
        self.assertTrue(self.table.is_withdrawn(JOB, "q", "t"))
        self.table.apply(record.key, b"")
        self.table.apply(record.key, b"")
        self.assertEqual(self.table.count_withdrawn("q", "t"), 0)
        self.assertEqual(self.table.count_withdrawn("q", "u"), 1)
        self.assertFalse(self.table.is_withdrawn(JOB, "q", "t"))
        self.table.apply(self.withdraw(team="u").key, b"")
        self.assertEqual(self.table.entries_, {})

    # Guards against a job that comes to life again, and against records kept for good.
    def test_all_records_expire_together(self):
        record = self.withdraw()
        self.assertEqual(expired_keys(self.table, 5), [])
        self.assertIn(record.key, expired_keys(self.table, 6))
        self.accept(team="t", at_ms=9)
        self.assertEqual(expired_keys(self.table, 9), [])
        keys = expired_keys(self.table, 10)
        self.assertLess(keys.index(accepted_key(JOB)), keys.index(record.key))
        for key in keys:
            self.table.apply(key, b"")
        self.assertEqual(self.table.entries_, {})

    # Guards against a record without an acceptance that is kept for good.
    def test_a_cancellation_without_an_acceptance_expires(self):
        self.put(cancelled_key, Cancelled(JOB, 5))
        self.assertIn(cancelled_key(JOB), expired_keys(self.table, 6))
