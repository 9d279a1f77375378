"""Crashes of workers: which task is given up, and which is not."""

from pimentomill.dispatch import Planner
from pimentomill.dispatch.tests.samples import info, step
from pimentomill.fleet import EARLY_RUN_MS, AttemptPhase, RunStatus, WorkerReport
from pimentomill.jobs import JobState, encode_record, progress_key

from .test_leader_state import JOB, LeaderStateCase

OTHER = "b" * 16
FUSE_MS = 10
DOWN_MS = 3300
MOST_STARTS = 5
"""Starts after three crashes are bounded by two."""


class CrashCase(LeaderStateCase):
    """Plays starts and crashes in steps; the planner chooses the workers."""

    def setUp(self):
        super().setUp()
        self.planner = Planner(self.state.quotas)
        self.incarnation_ms = 1
        self.starts = []

    def new_state(self, epoch, names=("w1", "w2", "w3", "w4")):
        state = super().new_state(epoch)
        for name in names[2:]:
            worker = state.sync_worker(info(name))
            state.apply_report(worker, self.report(), self.clock.now())
        return state

    def take_over(self):
        """Let a successor read what has been stored."""
        records, _ = self.state.pop_changes()
        for record in records:
            self.table.apply(progress_key(record.job), encode_record(record))
        self.state = self.new_state(self.state.epoch + 1)
        self.planner = Planner(self.state.quotas)
        for entry in list(self.table.iter_accepted()):
            job = entry.accepted_.job
            self.state.sync_job(job, entry, inherited=True)
        self.state.inheritance.end_survey([])

    def plan(self):
        """Start what the planner places now."""
        steps = list(self.state.ready_steps())
        now = self.clock.now()
        plan = self.planner.plan(now, steps, self.state.workers.values())
        started = []
        gang_runs = {}
        for item in plan.placements:
            key = item.step.key
            if item.step.spec.gang:
                run = gang_runs.get(key) or item.step.allocate_run(0)
                gang_runs[key] = run
            else:
                run = item.step.allocate_run(item.index)
            attempt = self.state.begin_attempt(item.step, item.index, item.worker, run)
            attempt.phase = AttemptPhase.RUNNING
            attempt.last_answer_at = now
            started.append(attempt)
        self.starts += started
        return started

    def go_silent(self, worker):
        worker.is_reachable = False
        self.state.crashes.record_silence(worker, self.clock.now())

    def come_back(self, worker):
        """Let a worker register and answer as a new incarnation."""
        self.incarnation_ms += 1
        born = worker.info._replace(incarnation_ms=self.incarnation_ms)
        self.state.sync_worker(born)
        report = WorkerReport(self.incarnation_ms, 0, [], [], True)
        self.state.apply_report(worker, report, self.clock.now())

    def crash(self, *workers, down_ms=DOWN_MS):
        for worker in workers:
            self.go_silent(worker)
        self.clock.advance(down_ms)
        for worker in workers:
            self.come_back(worker)

    def report_all(self):
        """Let each worker in reach report its runs, all of which progress."""
        percent = self.clock.now() // 100 % 100
        for worker in self.state.workers.values():
            if not worker.is_reachable:
                continue
            running = [
                RunStatus(item.task, item.run, "", percent, 0)
                for item in worker.attempts.values()
            ]
            report = self.report(running, incarnation_ms=worker.incarnation_ms)
            self.state.apply_report(worker, report, self.clock.now())

    def carry_out_stops(self):
        for order in self.state.pop_stop_orders():
            attempt = order.worker.attempts.get(order.task)
            if attempt is not None and order.worker.is_reachable:
                self.state.release(attempt)

    def play(self, is_deadly, rounds=60, step_ms=100):
        """Crash each worker soon after it starts a deadly task.

        Parameters
        ----------
        is_deadly : callable
            Returns whether an attempt crashes its worker.
        rounds, step_ms : int
            Number of passes of the planner, and the time between them.
        """
        back_at = {}
        for _ in range(rounds):
            started = self.plan()
            self.clock.advance(FUSE_MS)
            for attempt in started:
                worker = attempt.worker
                if is_deadly(attempt) and worker.is_reachable:
                    self.go_silent(worker)
                    back_at[worker.info.worker] = self.clock.now() + DOWN_MS
            self.clock.advance(step_ms - FUSE_MS)
            for name, at in list(back_at.items()):
                if self.clock.now() >= at:
                    del back_at[name]
                    self.come_back(self.state.workers[name])
            self.carry_out_stops()
            self.report_all()

    def starts_of(self, job, index=0):
        return [
            item
            for item in self.starts
            if item.task.job == job and item.task.index == index
        ]


class TestDeadlyTask(CrashCase):
    # A task that crashed each worker was started again without a bound.
    def test_a_task_that_crashes_its_workers_is_given_up(self):
        job = self.submit([step()])
        self.play(lambda attempt: True, rounds=200)
        self.assertEqual(job.state, JobState.FAILED)
        self.assertEqual(len(self.starts), 3)

    # Tasks that last have no limit of failed runs, so that nothing ended such a one.
    def test_a_long_running_task_that_crashes_its_workers_is_given_up(self):
        job = self.submit([step(long_running=True)])
        self.play(lambda attempt: True, rounds=200)
        self.assertEqual(job.state, JobState.FAILED)
        self.assertLessEqual(len(self.starts), MOST_STARTS)

    # The members share their evidence, as any of them may be the cause.
    def test_a_gang_that_crashes_its_workers_is_given_up(self):
        job = self.submit([step(count=2, cpu=9000, gang=True)])
        self.play(lambda attempt: attempt.task.index == 1, rounds=200)
        self.assertEqual(job.state, JobState.FAILED)
        self.assertLessEqual(len(self.starts_of(JOB, 1)), MOST_STARTS)

    # An order without an answer left no trace, and the task was started again.
    def test_an_unanswered_start_counts(self):
        job = self.submit([step()])
        for _ in range(3):
            attempt = self.plan()[0]
            attempt.is_start_unconfirmed = True
            self.state.order_stop(attempt, "start order got no answer")
            self.crash(attempt.worker)
            self.state.release(attempt)
            self.clock.advance(2000)
        self.assertEqual(job.state, JobState.FAILED)

    # The same run was counted again when its worker ended a second time.
    def test_one_run_counts_once(self):
        job = self.submit([step()])
        attempt = self.plan()[0]
        attempt.is_start_unconfirmed = True
        for _ in range(4):
            self.crash(attempt.worker)
        self.assertEqual(job.state, JobState.QUEUED)

    # Runs released with the lease of a silent worker were forgotten before its end
    # was known.
    def test_a_crash_counts_after_the_lease_has_expired(self):
        job = self.submit([step()])
        for _ in range(3):
            attempt = self.plan()[0]
            self.clock.advance(FUSE_MS)
            self.go_silent(attempt.worker)
            self.state.release_lost(attempt.worker, "worker lease has expired")
            self.clock.advance(2000)
            self.state.release_lost(attempt.worker, "new address", has_ended=True)
            attempt.worker.is_reachable = True
            self.state.crashes.record_answer(attempt.worker)
        self.assertEqual(job.state, JobState.FAILED)


class TestGoodTasks(CrashCase):
    # Tasks that were lost beside a deadly one looked like the cause.
    def test_tasks_beside_a_deadly_one_are_not_given_up(self):
        good = self.submit([step(count=12, cpu=2000)], job=OTHER)
        bad = self.submit([step(count=2, cpu=2000)])
        self.play(lambda attempt: attempt.task.job == JOB, rounds=300)
        self.assertEqual(bad.state, JobState.FAILED)
        self.assertEqual(good.state, JobState.RUNNING)
        run_step = next(iter(good.steps.values()))
        self.assertEqual(len(run_step.active), 12)
        self.assertFalse(run_step.crashed_runs)

    # Two deadly tasks that started beside each other suspect their neighbours twice.
    def test_a_good_task_beside_two_deadly_ones_is_not_given_up(self):
        good = self.submit([step()], job=OTHER)
        bad = self.submit([step(count=3)])
        self.play(lambda attempt: attempt.task.job == JOB, rounds=300)
        self.assertEqual(bad.state, JobState.FAILED)
        self.assertEqual(good.state, JobState.RUNNING)

    # Workers that crash again and again for another cause must not fail good work.
    def test_plain_crashes_fail_nothing(self):
        job = self.submit([step(count=16, cpu=2000)])
        for _ in range(8):
            self.plan()
            self.clock.advance(FUSE_MS)
            self.crash(*self.state.workers.values())
            self.clock.advance(1000)
        self.assertEqual(job.state, JobState.QUEUED)

    # A task at work for long has not crashed its worker.
    def test_settled_runs_are_no_suspects(self):
        job = self.submit([step(long_running=True)])
        for _ in range(5):
            attempt = self.plan()[0]
            self.clock.advance(EARLY_RUN_MS)
            self.report_all()
            self.crash(attempt.worker)
        self.assertEqual(job.state, JobState.RUNNING)
        self.assertFalse(next(iter(job.steps.values())).crashed_runs)

    # A silent worker may be cut off, and a planned end is no crash.
    def test_silence_and_planned_ends_are_no_crashes(self):
        job = self.submit([step()])
        run_step = next(iter(job.steps.values()))
        attempt = self.plan()[0]
        self.go_silent(attempt.worker)
        self.state.release_lost(attempt.worker, "worker lease has expired")
        attempt.worker.is_reachable = True
        self.report_all()
        self.assertFalse(run_step.crashed_runs)
        attempt = self.plan()[0]
        drained = attempt.worker.info._replace(is_draining=True)
        self.state.sync_worker(drained)
        self.crash(attempt.worker)
        self.assertFalse(run_step.crashed_runs)

    # A fault that takes idle workers at the same time has no task as its cause.
    def test_a_crash_beside_that_of_an_idle_worker_is_no_evidence(self):
        job = self.submit([step()])
        attempt = self.plan()[0]
        idle = next(item for item in self.state.workers.values() if not item.attempts)
        self.crash(attempt.worker, idle)
        self.assertFalse(next(iter(job.steps.values())).crashed_runs)

    # A task stayed suspected for good after it had run well.
    def test_a_run_that_outlasts_its_start_clears_its_task(self):
        job = self.submit([step()])
        run_step = next(iter(job.steps.values()))
        self.crash(self.plan()[0].worker)
        self.assertTrue(run_step.is_suspect(0))
        self.plan()
        self.clock.advance(EARLY_RUN_MS)
        self.report_all()
        self.assertFalse(run_step.is_suspect(0))
        records, _ = self.state.pop_changes()
        self.assertFalse(records[0].crashes)


class TestChangeOfLeader(CrashCase):
    # A successor started the task from nothing, and so did its own successor.
    def test_a_successor_knows_the_crashes(self):
        self.submit([step()])
        for _ in range(3):
            self.crash(self.plan()[0].worker)
            self.clock.advance(2000)
            self.take_over()
        self.assertEqual(self.table.find(JOB).state, JobState.FAILED)
        self.assertEqual(len(self.starts), 3)

    # A leader that ended before the crash was certain left nothing to its successor.
    def test_a_successor_knows_a_crash_that_was_not_yet_confirmed(self):
        self.submit([step()])
        for _ in range(2):
            attempt = self.plan()[0]
            self.clock.advance(FUSE_MS)
            self.go_silent(attempt.worker)
            self.take_over()
        self.crash(self.plan()[0].worker)
        self.assertEqual(self.state.jobs[JOB].state, JobState.FAILED)
        self.assertEqual(len(self.starts), 3)

    # The link to a worker was cut, which looked like a crash to the leader before.
    def test_a_successor_drops_the_crash_of_a_run_that_is_reported(self):
        self.submit([step()])
        attempt = self.plan()[0]
        self.clock.advance(FUSE_MS)
        self.go_silent(attempt.worker)
        self.take_over()
        run_step = next(iter(self.state.jobs[JOB].steps.values()))
        self.assertTrue(run_step.is_suspect(0))
        running = [RunStatus(attempt.task, attempt.run, "", 1, 0)]
        worker = self.state.workers[attempt.worker.info.worker]
        self.state.apply_report(worker, self.report(running), self.clock.now())
        self.assertFalse(run_step.is_suspect(0))

    # A crash that no leader sees to its end must stay inside the bound.
    def test_crashes_around_two_changes_of_leader_stay_inside_the_bound(self):
        self.submit([step()])
        for number in range(MOST_STARTS):
            attempt = self.plan()[0]
            if number in (1, 2):
                self.clock.advance(DOWN_MS)
                self.take_over()
            else:
                self.crash(attempt.worker)
            self.clock.advance(2000)
        self.assertEqual(self.state.jobs[JOB].state, JobState.FAILED)
        self.assertEqual(len(self.starts), MOST_STARTS)
