import unittest

import msgspec

from pimentomill.journal import decode_envelope, encode_envelope
from pimentomill.utils import Resources
from pimentomill.work import (
    OPERATORS,
    BatchSpec,
    EpochStarted,
    GangSpec,
    JobAccepted,
    JobCancelled,
    JobMoved,
    JobWithdrawn,
    RequestClaimed,
    RequestEnded,
    RequestOutcome,
    ServiceSpec,
    TaskAssigned,
    TaskEnded,
    TaskOutcome,
    TaskState,
    WorkFold,
)

NEED = Resources(1_000, 100, 0)
DAY_MS = 86_400_000


class WorkFoldTest(unittest.TestCase):
    def setUp(self):
        self.fold = WorkFold()
        self.seq = 0
        self.apply(EpochStarted(0, 5, "a"))

    @property
    def state(self):
        return self.fold.state_

    def apply(self, record):
        self.seq += 1
        payload = encode_envelope("w", self.seq, record)
        offset = self.state.next_offset
        return self.fold.apply(offset, decode_envelope(payload)).refusal

    def accept(self, spec, job="j"):
        return self.apply(JobAccepted(1, job, "kiln", spec, False, 1))

    def assign(self, index=0, attempt=1, epoch=5, job="j"):
        return self.apply(TaskAssigned(2, epoch, job, index, attempt, "w1", 1, "why"))

    def end(self, outcome, index=0, attempt=1, epoch=5, job="j", at=3):
        return self.apply(TaskEnded(at, epoch, job, index, attempt, outcome))

    def task(self, index=0, job="j"):
        return self.state.jobs[job].tasks[index]

    def test_repeated_submission_keeps_the_first(self):
        self.accept(BatchSpec(resources=NEED, tasks=2))
        self.assertNotEqual(self.accept(BatchSpec(resources=NEED, tasks=9)), "")
        self.assertEqual(len(self.state.jobs["j"].tasks), 2)

    def test_task_attempt_is_assigned_once(self):
        self.accept(BatchSpec(resources=NEED))
        self.assertEqual(self.assign(), "")
        self.assertNotEqual(self.assign(), "")
        self.assertNotEqual(self.assign(attempt=2), "")

    def test_record_of_an_earlier_holder_is_rejected(self):
        self.accept(BatchSpec(resources=NEED))
        self.apply(EpochStarted(0, 9, "b"))
        self.assertNotEqual(self.assign(epoch=5), "")
        self.assertEqual(self.assign(epoch=9), "")
        self.assertNotEqual(self.apply(EpochStarted(0, 7, "c")), "")

    def test_failed_batch_task_is_retried_up_to_max_attempts(self):
        self.accept(BatchSpec(resources=NEED, max_attempts=2))
        self.assign()
        self.end(TaskOutcome.FAILED)
        self.assertIs(self.task().state, TaskState.WAITING)
        self.assign(attempt=2)
        self.end(TaskOutcome.FAILED, attempt=2)
        self.assertTrue(self.state.jobs["j"].ended_at)

    def test_lost_non_idempotent_task_is_not_retried(self):
        self.accept(BatchSpec(resources=NEED, idempotent=False))
        self.assign()
        self.end(TaskOutcome.LOST)
        self.assertIs(self.task().state, TaskState.ENDED)

    def test_unstarted_task_does_not_count_as_a_failure(self):
        self.accept(BatchSpec(resources=NEED, max_attempts=1, idempotent=False))
        self.assign()
        self.end(TaskOutcome.NOT_STARTED)
        self.assertIs(self.task().state, TaskState.WAITING)
        self.assertEqual(self.task().failures, 0)

    def test_service_is_requeued_after_any_outcome(self):
        self.accept(ServiceSpec(resources=NEED, replicas=1))
        self.assign()
        self.end(TaskOutcome.SUCCEEDED)
        self.assertIs(self.task().state, TaskState.WAITING)

    def test_gang_is_requeued_as_a_whole(self):
        self.accept(GangSpec(resources=NEED, tasks=2))
        self.assign(0)
        self.assign(1)
        self.end(TaskOutcome.FAILED, 0)
        self.assertIs(self.task(0).state, TaskState.ENDED)
        self.end(TaskOutcome.STOPPED, 1)
        states = [task.state for task in self.state.jobs["j"].tasks]
        self.assertEqual(states, [TaskState.WAITING, TaskState.WAITING])

    def test_cancelled_job_ends_with_its_last_task(self):
        self.accept(BatchSpec(resources=NEED, tasks=2))
        self.assign(0)
        self.apply(JobCancelled(3, "j"))
        self.assertFalse(self.state.jobs["j"].ended_at)
        self.assertNotEqual(self.assign(1), "")
        self.end(TaskOutcome.CANCELLED, 0)
        self.assertTrue(self.state.jobs["j"].ended_at)

    # Guards against UNASKED: a submission that was on its way while its job was
    # cancelled, and answered as unknown, ran after all.
    def test_a_job_that_is_cancelled_before_its_acceptance_never_runs(self):
        self.assertEqual(self.apply(JobWithdrawn(3, "j", "kiln")), "")
        self.assertEqual(self.accept(BatchSpec(resources=NEED, tasks=2)), "")
        job = self.state.jobs["j"]
        self.assertTrue(job.cancelled)
        self.assertTrue(job.ended_at)
        self.assertNotEqual(self.assign(), "")

    def test_an_operator_cancels_unknown_jobs_of_any_team(self):
        self.apply(JobWithdrawn(3, "j", OPERATORS))
        self.accept(BatchSpec(resources=NEED))
        self.assertTrue(self.state.jobs["j"].cancelled)

    def test_another_team_cannot_cancel_a_job_by_its_id(self):
        self.apply(JobWithdrawn(3, "j", "planting"))
        self.accept(BatchSpec(resources=NEED))
        self.assertNotEqual(self.apply(JobWithdrawn(3, "j", "planting")), "")
        self.assertFalse(self.state.jobs["j"].cancelled)
        self.assertEqual(self.apply(JobWithdrawn(3, "j", "kiln")), "")
        self.assertTrue(self.state.jobs["j"].cancelled)

    def test_cancellations_of_unknown_jobs_are_removed_after_a_day(self):
        self.apply(JobWithdrawn(3, "j", "kiln"))
        self.apply(JobWithdrawn(3, "k", "kiln"))
        self.assertEqual(self.state.count_withdrawn(), {"kiln": 2})
        self.apply(JobCancelled(DAY_MS + 4, "none"))
        self.assertEqual(self.state.count_withdrawn(), {})

    def test_job_with_a_running_task_cannot_move(self):
        self.accept(BatchSpec(resources=NEED))
        self.assign()
        self.assertNotEqual(self.apply(JobMoved(3, 5, "j", "g2")), "")

    def test_moved_job_cannot_be_assigned(self):
        self.accept(BatchSpec(resources=NEED))
        self.assertEqual(self.apply(JobMoved(3, 5, "j", "g2")), "")
        self.assertNotEqual(self.assign(), "")

    def test_returning_job_continues_its_attempt_numbers(self):
        spec = BatchSpec(resources=NEED)
        self.accept(spec)
        self.apply(JobMoved(3, 5, "j", "g2"))
        record = JobAccepted(4, "j", "kiln", spec, False, 1, 2, [(3, 1)])
        self.assertEqual(self.apply(record), "")
        self.assertNotEqual(self.assign(attempt=1), "")
        self.assertEqual(self.assign(attempt=4), "")

    def test_request_is_claimed_again_only_if_it_was_not_run(self):
        claim = RequestClaimed(1, 5, "r", "kiln", "svc")
        self.assertEqual(self.apply(claim), "")
        self.assertNotEqual(self.apply(claim), "")
        self.apply(RequestEnded(2, 5, "r", RequestOutcome.NOT_RUN, 0))
        self.assertEqual(self.apply(claim), "")
        self.assertEqual(self.state.requests["r"].claim_count, 2)
        self.apply(RequestEnded(2, 5, "r", RequestOutcome.UNKNOWN, 0))
        self.assertNotEqual(self.apply(claim), "")

    def test_ended_jobs_are_removed_after_a_day(self):
        self.accept(BatchSpec(resources=NEED))
        self.assign()
        self.end(TaskOutcome.SUCCEEDED, at=3)
        self.apply(JobCancelled(DAY_MS, "j"))
        self.assertIn("j", self.state.jobs)
        self.apply(JobCancelled(DAY_MS + 4, "j"))
        self.assertNotIn("j", self.state.jobs)

    def test_state_round_trips_through_msgpack(self):
        self.accept(GangSpec(resources=NEED, tasks=2))
        self.assign(0)
        self.apply(JobWithdrawn(3, "k", "kiln"))
        encoded = msgspec.msgpack.encode(self.state)
        decoded = msgspec.msgpack.decode(encoded, type=type(self.state))
        self.assertEqual(decoded, self.state)
