import unittest

from pimentomill.catalog import PlacementPolicy
from pimentomill.control import LeaderState
from pimentomill.dispatch import Planner, Ticket
from pimentomill.dispatch.tests.samples import (
    accepted,
    info,
    queue,
    step,
)
from pimentomill.dispatch.tests.samples import worker as idle_worker
from pimentomill.fleet import (
    AttemptPhase,
    EndKind,
    RunEnd,
    RunStatus,
    WorkerReport,
)
from pimentomill.jobs import (
    Cancelled,
    JobState,
    JobTable,
    TaskKey,
    accepted_key,
    cancelled_key,
    encode_record,
    progress_key,
)
from pimentomill.utils import ZERO, ManualClock

JOB = "a" * 16


class LeaderStateCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1000)
        self.table = JobTable()
        self.state = self.new_state(1)

    def new_state(self, epoch):
        state = LeaderState(epoch, self.clock, self.table.find)
        for name in ("w1", "w2"):
            worker = state.sync_worker(info(name))
            state.apply_report(worker, self.report(), self.clock.now())
        return state

    def report(self, running=(), ended=(), incarnation_ms=1):
        return WorkerReport(incarnation_ms, 5000, list(running), list(ended), True)

    def submit(self, steps, job=JOB, inherited=False, **fields):
        record = accepted(job, steps, **fields)
        self.table.apply(accepted_key(job), encode_record(record))
        self.state.sync_job(job, self.table.find(job), inherited)
        return self.state.jobs[job]

    def order_run(self, job, index=0, worker="w1", step_number=0):
        run_step = list(job.steps.values())[step_number]
        run = run_step.allocate_run(index)
        return self.state.begin_attempt(
            run_step, index, self.state.workers[worker], run
        )

    def start(self, job, index=0, worker="w1", step_number=0):
        attempt = self.order_run(job, index, worker, step_number)
        attempt.phase = AttemptPhase.RUNNING
        attempt.last_answer_at = self.clock.now()
        return attempt

    def end(self, attempt, kind, number=1, checkpoint=""):
        end = RunEnd(number, attempt.task, attempt.run, kind, checkpoint)
        others = [
            RunStatus(other.task, other.run, "", 50, 0)
            for other in attempt.worker.attempts.values()
            if other is not attempt
        ]
        self.clock.advance(10)
        report = self.report(others, [end])
        self.state.apply_report(attempt.worker, report, self.clock.now())

    def policy_queue(self):
        return queue(placement_policy=PlacementPolicy(10.0, 1.0, 2000))

    def plan(self, steps):
        workers = [*self.state.workers.values(), idle_worker("w3")]
        return Planner(self.state.quotas).plan(self.clock.now(), steps, workers)

    def ready(self):
        return [ready_step.key for ready_step in self.state.ready_steps()]


class TestJobs(LeaderStateCase):
    def test_a_step_waits_for_those_it_depends_on(self):
        job = self.submit([step(count=2), step(depends_on=(0,))])
        self.assertEqual([key.step for key in self.ready()], [0])
        first, second = self.start(job, 0), self.start(job, 1)
        self.end(first, EndKind.DONE, 1)
        self.assertEqual(self.ready(), [])
        self.end(second, EndKind.DONE, 2)
        self.assertEqual([key.step for key in self.ready()], [1])

    def test_a_job_is_completed_when_all_tasks_are_done(self):
        job = self.submit([step()])
        self.end(self.start(job), EndKind.DONE)
        records, acks = self.state.pop_changes()
        self.assertEqual([record.state for record in records], [JobState.COMPLETED])
        self.assertEqual([ack.number for ack in acks], [1])
        self.assertNotIn(JOB, self.state.jobs)

    # Guards against a job that is shown as running, and left out of the waiting jobs,
    # although each of its starts has been rejected.
    def test_an_order_alone_does_not_begin_a_job(self):
        job = self.submit([step()])
        attempt = self.order_run(job)
        self.state.release(attempt)
        self.state.pop_changes()
        self.assertEqual(job.state, JobState.QUEUED)

    # Guards against a job that counts as waiting although a worker has run it.
    def test_a_report_of_a_run_or_of_its_end_begins_a_job(self):
        job = self.submit([step(), step()])
        attempt = self.order_run(job)
        status = RunStatus(attempt.task, attempt.run, "", 50, 0)
        self.state.apply_report(attempt.worker, self.report([status]), self.clock.now())
        self.assertEqual(job.state, JobState.RUNNING)
        records, _ = self.state.pop_changes()
        self.assertEqual([record.state for record in records], [JobState.RUNNING])
        other = self.submit([step()], job="b" * 16)
        self.end(self.order_run(other), EndKind.STOPPED)
        self.assertEqual(other.state, JobState.RUNNING)

    def test_a_task_runs_again_until_its_attempts_are_used_up(self):
        job = self.submit([step()], of=queue(max_attempts=2))
        self.end(self.start(job), EndKind.FAILED, 1)
        self.assertEqual(len(self.ready()), 1)
        self.end(self.start(job), EndKind.FAILED, 2)
        self.assertEqual(job.state, JobState.FAILED)
        self.assertEqual(self.ready(), [])

    def test_only_failures_use_attempts_up(self):
        job = self.submit([step()], of=queue(max_attempts=1))
        for number, kind in enumerate((EndKind.LEASE_EXPIRED, EndKind.STOPPED), 1):
            self.end(self.start(job), kind, number)
        self.assertEqual(job.state, JobState.RUNNING)

    def test_a_long_running_task_restarts_whether_it_succeeds_or_fails(self):
        job = self.submit([step(long_running=True)], of=queue(max_attempts=1))
        for number, kind in enumerate((EndKind.DONE, EndKind.FAILED), 1):
            self.end(self.start(job), kind, number)
            self.assertEqual(len(self.ready()), 1)

    def test_a_cancelled_job_stops_its_runs_and_keeps_their_resources(self):
        job = self.submit([step(count=2)])
        attempt = self.start(job)
        self.table.apply(cancelled_key(JOB), encode_record(Cancelled(JOB, 5)))
        self.state.sync_job(JOB, self.table.find(JOB), inherited=False)
        self.assertEqual([order.run for order in self.state.pop_stop_orders()], [1])
        self.assertEqual(self.ready(), [])
        self.assertIn(attempt.task, attempt.worker.attempts)
        self.end(attempt, EndKind.STOPPED)
        self.assertNotIn(attempt.task, attempt.worker.attempts)

    # Guards against LOST: a step that another worker refuses every 700 ms never used a
    # reserved one, as each refusal counted as the end of a run.
    def test_a_refused_start_is_no_run_of_a_step_that_needs_a_reserved_worker(self):
        for lasts in (False, True):
            state = self.state = self.new_state(1)
            occupant = self.submit([step(cpu=6000)], job="f" * 16)
            large, small = (
                self.submit([spec], job=name * 16, of=self.policy_queue())
                for name, spec in (
                    ("a", step(cpu=12000, estimate_ms=10_000)),
                    ("b", step(cpu=4000, long_running=lasts)),
                )
            )
            self.start(occupant)
            steps = [next(iter(job.steps.values())) for job in (large, small)]
            for waiting in steps:
                waiting.allowed = {"w1"}
                waiting.tickets = {"w1": Ticket("ticket", 10**6)}
            for _ in range(4):
                self.clock.advance(700)
                attempt = self.start(small, worker="w2")
                attempt.phase = AttemptPhase.STARTING
                state.release(attempt)
            plan = self.plan(steps)
            self.assertEqual([item.step for item in plan.placements], steps[1:])
            state.release(self.start(small))
            self.assertEqual(self.plan(steps).placements, [])

    def test_a_finished_job_is_remembered_only_until_its_records_are_dropped(self):
        job = self.submit([step()])
        self.end(self.start(job), EndKind.DONE)
        self.state.pop_changes()
        self.assertEqual(self.state.finished, {JOB})
        self.state.sync_job(JOB, self.table.find(JOB), False)
        self.assertEqual(self.state.jobs, {})
        self.table.apply(accepted_key(JOB), b"")
        self.state.sync_job(JOB, self.table.find(JOB), False)
        self.assertEqual(self.state.finished, set())

    def test_an_occurrence_opens_when_it_is_due(self):
        self.submit([step()], occurrences=2, first_due_ms=1500, interval_ms=1000)
        self.state.open_due_occurrences()
        self.assertEqual(self.ready(), [])
        self.clock.advance(600)
        self.state.open_due_occurrences()
        self.assertEqual([key.occurrence for key in self.ready()], [0])

    def test_a_gang_ends_as_one(self):
        job = self.submit([step(count=2, gang=True)])
        run_step = next(iter(job.steps.values()))
        run = run_step.allocate_run(0)
        for index, name in enumerate(("w1", "w2")):
            self.state.begin_attempt(run_step, index, self.state.workers[name], run)
        first = run_step.active[0]
        first.phase = AttemptPhase.RUNNING
        self.end(first, EndKind.DONE)
        self.assertEqual(job.state, JobState.COMPLETED)

    def test_a_failed_member_stops_its_gang_which_restarts_with_a_higher_run(self):
        job = self.submit([step(count=2, gang=True)])
        run_step = next(iter(job.steps.values()))
        run = run_step.allocate_run(0)
        for index, name in enumerate(("w1", "w2")):
            self.state.begin_attempt(run_step, index, self.state.workers[name], run)
        self.end(run_step.active[0], EndKind.FAILED)
        self.assertEqual(
            [order.task.index for order in self.state.pop_stop_orders()], [1]
        )
        self.assertGreater(run_step.allocate_run(0), run)


class TestRecovery(LeaderStateCase):
    def store_progress(self):
        records, _ = self.state.pop_changes()
        for record in records:
            self.table.apply(progress_key(record.job), encode_record(record))

    def take_over(self):
        self.store_progress()
        self.state = self.new_state(2)
        self.state.sync_job(JOB, self.table.find(JOB), inherited=True)
        return self.state.jobs[JOB]

    def test_a_successor_starts_no_task_that_was_recorded_as_done(self):
        job = self.submit([step(count=2)])
        self.end(self.start(job, 0), EndKind.DONE)
        successor = next(iter(self.take_over().steps.values()))
        self.assertEqual(successor.waiting, [1])

    def test_a_successor_adopts_running_attempts(self):
        job = self.submit([step(count=2)])
        attempt = self.start(job, 1)
        inherited = next(iter(self.take_over().steps.values()))
        status = RunStatus(attempt.task, attempt.run, "saved", 40, 0)
        worker = self.state.workers["w1"]
        self.state.apply_report(worker, self.report([status]), self.clock.now())
        self.assertEqual(inherited.waiting, [0])
        self.assertEqual(inherited.active[1].phase, AttemptPhase.RUNNING)
        self.assertEqual(worker.used.cpu_milli, 1000)

    def test_a_successor_uses_higher_run_numbers(self):
        job = self.submit([step()])
        before = self.start(job).run
        inherited = next(iter(self.take_over().steps.values()))
        self.assertGreater(inherited.allocate_run(0), before)

    def test_inherited_work_waits_for_the_worker_survey(self):
        self.submit([step()])
        self.take_over()
        self.assertEqual(self.ready(), [])
        self.state.inheritance.end_survey([])
        self.assertEqual(len(self.ready()), 1)

    def test_a_failure_that_was_recorded_counts_once(self):
        job = self.submit([step()], of=queue(max_attempts=2))
        attempt = self.start(job)
        self.end(attempt, EndKind.FAILED)
        inherited = self.take_over()
        end = RunEnd(1, attempt.task, attempt.run, EndKind.FAILED, "")
        worker = self.state.workers["w1"]
        worker.begin_incarnation(1)
        self.state.apply_report(worker, self.report(ended=[end]), self.clock.now())
        self.assertEqual(inherited.state, JobState.RUNNING)

    def test_a_run_of_a_finished_job_uses_resources_until_it_ends(self):
        job = self.submit([step(cpu=9000)])
        attempt = self.start(job)
        self.table.apply(cancelled_key(JOB), encode_record(Cancelled(JOB, 5)))
        self.store_progress()
        self.state = self.new_state(2)
        worker = self.state.workers["w1"]
        status = RunStatus(attempt.task, attempt.run, "", 40, 0)
        self.state.apply_report(worker, self.report([status]), self.clock.now())
        self.assertEqual(worker.used.cpu_milli, 9000)
        self.assertEqual([o.task for o in self.state.pop_stop_orders()], [attempt.task])

    # Guards against a team beyond its limit: after a change of the leader, runs of a
    # cancelled job that were being stopped did not count for it.
    def test_a_run_of_a_cancelled_job_counts_for_its_team_until_it_ends(self):
        job = self.submit([step(count=2, cpu=1000)])
        attempts = [self.start(job, index) for index in range(2)]
        self.table.apply(cancelled_key(JOB), encode_record(Cancelled(JOB, 5)))
        self.store_progress()
        running = [RunStatus(item.task, item.run, "", 40, 0) for item in attempts]
        for epoch in (2, 3):
            self.state = self.new_state(epoch)
            self.state.sync_job(JOB, self.table.find(JOB), inherited=True)
            self.state.inheritance.end_survey([])
            worker = self.state.workers["w1"]
            self.state.apply_report(worker, self.report(running), self.clock.now())
            self.assertEqual(self.used_cpu(), 2000)
        self.clock.advance(10)
        end = RunEnd(1, attempts[0].task, attempts[0].run, EndKind.STOPPED, "")
        report = self.report(running[1:], [end])
        self.state.apply_report(worker, report, self.clock.now())
        self.assertEqual(self.used_cpu(), 1000)
        self.state.release_lost(worker, "worker lease has expired")
        self.assertEqual(self.used_cpu(), 0)

    def used_cpu(self):
        return self.state.quotas.used.get("t", ZERO).cpu_milli

    # Guards against a team whose limit stays used up: a run on a worker that still
    # stops another one of the same task took its place without giving it back.
    def test_a_run_beside_another_one_of_its_task_is_given_back(self):
        job = self.submit([step(count=1, cpu=1000)])
        elsewhere = self.start(job, worker="w2")
        other = RunStatus(elsewhere.task, elsewhere.run + 7, "", 40, 0)
        worker = self.state.workers["w1"]
        self.state.apply_report(worker, self.report([other]), self.clock.now())
        self.assertEqual(self.used_cpu(), 2000)
        self.state.release(elsewhere)
        self.end(self.start(job), EndKind.DONE)
        self.assertEqual(self.used_cpu(), 0)
        self.assertEqual(worker.used, ZERO)


class TestWorkers(LeaderStateCase):
    def test_a_worker_restart_releases_its_runs(self):
        job = self.submit([step()])
        attempt = self.start(job)
        self.state.apply_report(
            attempt.worker, self.report(incarnation_ms=2), self.clock.now()
        )
        self.assertEqual(len(self.ready()), 1)
        self.assertEqual(attempt.worker.used.cpu_milli, 0)

    def test_an_unconfirmed_start_is_stopped_after_a_worker_restart(self):
        job = self.submit([step()])
        attempt = self.start(job)
        attempt.phase = AttemptPhase.STARTING
        self.state.apply_report(
            attempt.worker, self.report(incarnation_ms=2), self.clock.now()
        )
        self.assertEqual([o.task for o in self.state.pop_stop_orders()], [attempt.task])
        self.assertEqual(self.ready(), [])

    # A run of the new incarnation counted as lost, and its task ran a second time.
    def test_a_start_answered_after_the_hold_may_run_in_the_new_incarnation(self):
        job = self.submit([step()])
        sent_at = self.clock.now()
        self.clock.advance(1)
        attempt = self.start(job)
        self.state.apply_report(attempt.worker, self.report(incarnation_ms=2), sent_at)
        self.assertEqual([o.task for o in self.state.pop_stop_orders()], [attempt.task])
        self.assertEqual(self.ready(), [])
        self.clock.advance(1)
        self.state.apply_report(
            attempt.worker, self.report(incarnation_ms=2), self.clock.now()
        )
        self.assertEqual(len(self.ready()), 1)

    def test_a_run_missing_from_a_later_report_is_restarted(self):
        job = self.submit([step()])
        attempt = self.start(job)
        self.state.apply_report(attempt.worker, self.report(), self.clock.now())
        self.assertEqual(self.ready(), [])
        self.clock.advance(5)
        self.state.apply_report(attempt.worker, self.report(), self.clock.now())
        self.assertEqual(len(self.ready()), 1)

    def test_an_end_is_acknowledged_only_after_it_is_stored(self):
        job = self.submit([step()])
        attempt = self.start(job)
        self.end(attempt, EndKind.DONE)
        worker = attempt.worker
        self.assertEqual(worker.acknowledged, 0)
        _, acks = self.state.pop_changes()
        for ack in acks:
            ack.worker.mark_end_durable(ack.incarnation_ms, ack.number)
        self.assertEqual(worker.acknowledged, 1)

    def test_an_ack_of_an_earlier_incarnation_is_ignored(self):
        worker = self.state.workers["w1"]
        worker.record_end(1)
        worker.mark_end_durable(incarnation_ms=99, number=1)
        self.assertEqual(worker.acknowledged, 0)

    def test_a_worker_with_repeated_failures_backs_off(self):
        for number in range(1, 3):
            job = self.submit([step()], job=f"{number:016x}")
            self.end(self.start(job), EndKind.FAILED, number)
        worker = self.state.workers["w1"]
        self.assertFalse(worker.can_start(self.clock.now()))
        self.clock.advance(5000)
        self.assertTrue(worker.can_start(self.clock.now()))

    def test_failures_of_one_job_put_no_worker_in_backoff(self):
        job = self.submit([step(count=5)], of=queue(max_attempts=9))
        for number in range(1, 5):
            self.end(self.start(job, number), EndKind.FAILED, number)
        self.assertTrue(self.state.workers["w1"].can_start(self.clock.now()))

    def test_a_run_without_progress_is_stopped(self):
        job = self.submit([step()])
        attempt = self.start(job)
        for _ in range(4):
            status = RunStatus(TaskKey(JOB, 0, 0, 0), attempt.run, "", 7, 0)
            now = self.clock.now()
            self.state.apply_report(attempt.worker, self.report([status]), now)
            self.clock.advance(1000)
        self.assertEqual(
            [o.reason for o in self.state.pop_stop_orders()], ["no progress"]
        )
        self.assertTrue(attempt.worker.is_suspect)
        self.assertFalse(attempt.worker.can_start(self.clock.now() - 1000))


class TestConfirmation(LeaderStateCase):
    """A worker restarts after a later leader has called all workers."""

    def setUp(self):
        super().setUp()
        self.proven_at = self.clock.now()
        self.state.is_covered = lambda at: at <= self.proven_at
        self.clock.advance(100)
        self.worker = self.state.workers["w1"]

    def restart(self):
        report = self.report(incarnation_ms=2)
        self.state.apply_report(self.worker, report, self.clock.now())

    # Guards against two runs of a task, and against a worker with more than it has room
    # for: the new incarnation has seen no token, so that a replaced leader fills it.
    def test_a_new_incarnation_gets_no_run_before_a_later_proof(self):
        self.restart()
        self.state.sync_worker(info("w1", incarnation_ms=2))
        self.assertFalse(self.worker.accepts_runs())
        self.assertFalse(self.state.confirm_workers())
        self.proven_at = self.clock.now()
        self.assertTrue(self.state.confirm_workers())
        self.assertTrue(self.worker.accepts_runs())

    def test_a_worker_that_goes_on_answering_needs_no_later_proof(self):
        self.state.apply_report(self.worker, self.report(), self.clock.now())
        self.assertTrue(self.worker.accepts_runs())

    # Guards against the same for workers that don't tell their incarnation.
    def test_a_first_answer_without_an_incarnation_needs_a_later_proof(self):
        worker = self.state.sync_worker(info("w3"))
        report = self.report(incarnation_ms=0)
        self.state.apply_report(worker, report, self.clock.now())
        self.assertFalse(worker.accepts_runs())

    def test_a_worker_that_answers_for_the_first_time_needs_a_later_proof(self):
        worker = self.state.sync_worker(info("w3"))
        self.state.apply_report(worker, self.report(), self.clock.now())
        self.assertFalse(worker.accepts_runs())
