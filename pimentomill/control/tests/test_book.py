import unittest

from pimentomill.control import CellBook
from pimentomill.dispatch.tests.samples import (
    SERVICE,
    accepted,
    info,
    queue,
    step,
)
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
from pimentomill.utils import ManualClock

JOB = "a" * 16


class BookCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1000)
        self.table = JobTable()
        self.book = self.new_book(1)

    def new_book(self, epoch):
        book = CellBook(epoch, self.clock, self.table.find)
        for name in ("w1", "w2"):
            made = book.sync_worker(info(name))
            book.take_report(made, self.report(), self.clock.now())
        return book

    def report(self, running=(), ended=(), born=1):
        return WorkerReport(born, 5000, list(running), list(ended), True)

    def hand_in(self, steps, job=JOB, inherited=False, **fields):
        record = accepted(job, steps, **fields)
        self.table.apply(accepted_key(job), encode_record(record))
        self.book.sync_job(job, self.table.find(job), inherited)
        return self.book.jobs[job]

    def start(self, job, index=0, worker="w1", step_number=0):
        run_step = list(job.steps.values())[step_number]
        run = run_step.allocate_run(index)
        attempt = self.book.begin(run_step, index, self.book.workers[worker], run)
        attempt.phase = AttemptPhase.RUNNING
        attempt.last_answer_at = self.clock.now()
        return attempt

    def end(self, attempt, kind, number=1, saved=""):
        end = RunEnd(number, attempt.task, attempt.run, kind, saved)
        others = [
            RunStatus(other.task, other.run, "", 50, 0)
            for other in attempt.worker.attempts.values()
            if other is not attempt
        ]
        self.clock.advance(10)
        report = self.report(others, [end])
        self.book.take_report(attempt.worker, report, self.clock.now())

    def ready(self):
        return [found.key for found in self.book.ready_steps()]


class TestJobs(BookCase):
    def test_a_step_waits_for_those_it_depends_on(self):
        job = self.hand_in([step(count=2), step(depends_on=(0,))])
        self.assertEqual([key.step for key in self.ready()], [0])
        first, second = self.start(job, 0), self.start(job, 1)
        self.end(first, EndKind.DONE, 1)
        self.assertEqual(self.ready(), [])
        self.end(second, EndKind.DONE, 2)
        self.assertEqual([key.step for key in self.ready()], [1])

    def test_a_job_is_completed_when_all_tasks_are_done(self):
        job = self.hand_in([step()])
        self.end(self.start(job), EndKind.DONE)
        records, marks = self.book.take_dirty()
        self.assertEqual([record.state for record in records], [JobState.COMPLETED])
        self.assertEqual([mark.number for mark in marks], [1])
        self.assertNotIn(JOB, self.book.jobs)

    def test_a_task_runs_again_until_its_attempts_are_used_up(self):
        job = self.hand_in([step()], of=queue(max_attempts=2))
        self.end(self.start(job), EndKind.FAILED, 1)
        self.assertEqual(len(self.ready()), 1)
        self.end(self.start(job), EndKind.FAILED, 2)
        self.assertEqual(job.state, JobState.FAILED)
        self.assertEqual(self.ready(), [])

    def test_only_failures_use_attempts_up(self):
        job = self.hand_in([step()], of=queue(max_attempts=1))
        for number, kind in enumerate((EndKind.LEASE_EXPIRED, EndKind.STOPPED), 1):
            self.end(self.start(job), kind, number)
        self.assertEqual(job.state, JobState.RUNNING)

    def test_a_lasting_task_starts_again_however_it_ends(self):
        job = self.hand_in([step(long_running=True)], of=queue(max_attempts=1))
        for number, kind in enumerate((EndKind.DONE, EndKind.FAILED), 1):
            self.end(self.start(job), kind, number)
            self.assertEqual(len(self.ready()), 1)

    def test_a_cancelled_job_stops_its_runs_and_keeps_their_room(self):
        job = self.hand_in([step(count=2)])
        attempt = self.start(job)
        self.table.apply(cancelled_key(JOB), encode_record(Cancelled(JOB, 5)))
        self.book.sync_job(JOB, self.table.find(JOB), inherited=False)
        self.assertEqual([order.run for order in self.book.take_stops()], [1])
        self.assertEqual(self.ready(), [])
        self.assertIn(attempt.task, attempt.worker.attempts)
        self.end(attempt, EndKind.STOPPED)
        self.assertNotIn(attempt.task, attempt.worker.attempts)

    def test_a_finished_job_is_remembered_only_until_its_records_are_dropped(self):
        job = self.hand_in([step()])
        self.end(self.start(job), EndKind.DONE)
        self.book.take_dirty()
        self.assertEqual(self.book.finished, {JOB})
        self.book.sync_job(JOB, self.table.find(JOB), False)
        self.assertEqual(self.book.jobs, {})
        self.table.apply(accepted_key(JOB), b"")
        self.book.sync_job(JOB, self.table.find(JOB), False)
        self.assertEqual(self.book.finished, set())

    def test_an_occurrence_opens_when_it_is_due(self):
        self.hand_in([step()], occurrences=2, first_due_ms=1500, interval_ms=1000)
        self.book.open_due()
        self.assertEqual(self.ready(), [])
        self.clock.advance(600)
        self.book.open_due()
        self.assertEqual([key.occurrence for key in self.ready()], [0])

    def test_a_gang_ends_as_one(self):
        job = self.hand_in([step(count=2, gang=True)])
        run_step = next(iter(job.steps.values()))
        run = run_step.allocate_run(0)
        for index, name in enumerate(("w1", "w2")):
            self.book.begin(run_step, index, self.book.workers[name], run)
        first = run_step.active[0]
        first.phase = AttemptPhase.RUNNING
        self.end(first, EndKind.DONE)
        self.assertEqual(job.state, JobState.COMPLETED)

    def test_a_broken_gang_stops_whole_and_starts_under_a_higher_number(self):
        job = self.hand_in([step(count=2, gang=True)])
        run_step = next(iter(job.steps.values()))
        run = run_step.allocate_run(0)
        for index, name in enumerate(("w1", "w2")):
            self.book.begin(run_step, index, self.book.workers[name], run)
        self.end(run_step.active[0], EndKind.FAILED)
        self.assertEqual([order.task.index for order in self.book.take_stops()], [1])
        self.assertGreater(run_step.allocate_run(0), run)


class TestRecovery(BookCase):
    def store_progress(self):
        records, _ = self.book.take_dirty()
        for record in records:
            self.table.apply(progress_key(record.job), encode_record(record))

    def take_over(self):
        self.store_progress()
        self.book = self.new_book(2)
        self.book.sync_job(JOB, self.table.find(JOB), inherited=True)
        self.book.withheld_until = {SERVICE: self.clock.now() + 500}
        return self.book.jobs[JOB]

    def test_a_successor_starts_no_task_that_was_recorded_as_done(self):
        job = self.hand_in([step(count=2)])
        self.end(self.start(job, 0), EndKind.DONE)
        successor = next(iter(self.take_over().steps.values()))
        self.assertEqual(successor.waiting, [1])

    def test_a_successor_adopts_what_runs(self):
        job = self.hand_in([step(count=2)])
        attempt = self.start(job, 1)
        inherited = next(iter(self.take_over().steps.values()))
        status = RunStatus(attempt.task, attempt.run, "saved", 40, 0)
        worker = self.book.workers["w1"]
        self.book.take_report(worker, self.report([status]), self.clock.now())
        self.assertEqual(inherited.waiting, [0])
        self.assertEqual(inherited.active[1].phase, AttemptPhase.RUNNING)
        self.assertEqual(worker.used.cpu_milli, 1000)

    def test_a_successor_numbers_its_runs_higher(self):
        job = self.hand_in([step()])
        before = self.start(job).run
        inherited = next(iter(self.take_over().steps.values()))
        self.assertGreater(inherited.allocate_run(0), before)

    def test_inherited_work_waits_until_the_workers_have_been_asked(self):
        self.hand_in([step()])
        self.take_over()
        self.assertEqual(self.ready(), [])
        self.clock.advance(600)
        self.assertEqual(len(self.ready()), 1)

    def test_a_failure_that_was_recorded_counts_once(self):
        job = self.hand_in([step()], of=queue(max_attempts=2))
        attempt = self.start(job)
        self.end(attempt, EndKind.FAILED)
        inherited = self.take_over()
        end = RunEnd(1, attempt.task, attempt.run, EndKind.FAILED, "")
        worker = self.book.workers["w1"]
        worker.begin_incarnation(1)
        self.book.take_report(worker, self.report(ended=[end]), self.clock.now())
        self.assertEqual(inherited.state, JobState.RUNNING)

    def test_a_run_of_a_finished_job_takes_room_until_it_has_ended(self):
        job = self.hand_in([step(cpu=9000)])
        attempt = self.start(job)
        self.table.apply(cancelled_key(JOB), encode_record(Cancelled(JOB, 5)))
        self.store_progress()
        self.book = self.new_book(2)
        worker = self.book.workers["w1"]
        status = RunStatus(attempt.task, attempt.run, "", 40, 0)
        self.book.take_report(worker, self.report([status]), self.clock.now())
        self.assertEqual(worker.used.cpu_milli, 9000)
        self.assertEqual([o.task for o in self.book.take_stops()], [attempt.task])


class TestWorkers(BookCase):
    def test_a_life_that_ended_takes_its_runs_with_it(self):
        job = self.hand_in([step()])
        attempt = self.start(job)
        self.book.take_report(attempt.worker, self.report(born=2), self.clock.now())
        self.assertEqual(len(self.ready()), 1)
        self.assertEqual(attempt.worker.used.cpu_milli, 0)

    def test_a_start_in_doubt_is_stopped_at_the_next_life_before_it_runs_again(self):
        job = self.hand_in([step()])
        attempt = self.start(job)
        attempt.phase = AttemptPhase.STARTING
        self.book.take_report(attempt.worker, self.report(born=2), self.clock.now())
        self.assertEqual([o.task for o in self.book.take_stops()], [attempt.task])
        self.assertEqual(self.ready(), [])

    def test_a_run_that_a_later_report_lacks_is_started_again(self):
        job = self.hand_in([step()])
        attempt = self.start(job)
        self.book.take_report(attempt.worker, self.report(), self.clock.now())
        self.assertEqual(self.ready(), [])
        self.clock.advance(5)
        self.book.take_report(attempt.worker, self.report(), self.clock.now())
        self.assertEqual(len(self.ready()), 1)

    def test_an_end_is_acknowledged_only_after_it_is_stored(self):
        job = self.hand_in([step()])
        attempt = self.start(job)
        self.end(attempt, EndKind.DONE)
        worker = attempt.worker
        self.assertEqual(worker.acknowledged, 0)
        _, marks = self.book.take_dirty()
        for mark in marks:
            mark.worker.mark_end_durable(mark.born_ms, mark.number)
        self.assertEqual(worker.acknowledged, 1)

    def test_a_mark_of_an_earlier_life_acknowledges_nothing(self):
        worker = self.book.workers["w1"]
        worker.record_end(1)
        worker.mark_end_durable(incarnation_ms=99, number=1)
        self.assertEqual(worker.acknowledged, 0)

    def test_a_worker_that_fails_what_it_starts_gets_a_pause(self):
        for number in range(1, 3):
            job = self.hand_in([step()], job=f"{number:016x}")
            self.end(self.start(job), EndKind.FAILED, number)
        worker = self.book.workers["w1"]
        self.assertFalse(worker.can_start(self.clock.now()))
        self.clock.advance(5000)
        self.assertTrue(worker.can_start(self.clock.now()))

    def test_a_job_that_fails_everywhere_gives_no_worker_a_pause(self):
        job = self.hand_in([step(count=5)], of=queue(max_attempts=9))
        for number in range(1, 5):
            self.end(self.start(job, number), EndKind.FAILED, number)
        self.assertTrue(self.book.workers["w1"].can_start(self.clock.now()))

    def test_a_run_without_progress_is_stopped(self):
        job = self.hand_in([step()])
        attempt = self.start(job)
        for _ in range(4):
            status = RunStatus(TaskKey(JOB, 0, 0, 0), attempt.run, "", 7, 0)
            now = self.clock.now()
            self.book.take_report(attempt.worker, self.report([status]), now)
            self.clock.advance(1000)
        self.assertEqual([o.why for o in self.book.take_stops()], ["no progress"])
        self.assertTrue(attempt.worker.is_suspect)
        self.assertFalse(attempt.worker.can_start(self.clock.now() - 1000))
