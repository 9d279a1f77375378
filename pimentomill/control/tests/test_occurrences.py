"""Scheduled jobs of which many occurrences are due at once."""

from unittest.mock import patch

from pimentomill.control._occurrences import (
    DUE_MARGIN_MS,
    FULL_RETRY_MS,
    MAX_OPENED_STEPS,
    MAX_WAITING_OCCURRENCES,
    STALL_MS,
)
from pimentomill.dispatch import JobRun
from pimentomill.dispatch.tests.samples import step
from pimentomill.fleet import EndKind, RunEnd, RunStatus
from pimentomill.jobs import JobState, TaskKey, encode_record, progress_key

from .test_leader_state import JOB, LeaderStateCase

INTERVAL_MS = 10_000
LABEL_OF_NO_WORKER = "no-such-label"


class OccurrencesTest(LeaderStateCase):
    def setUp(self):
        super().setUp()
        self.clock.advance(2 * 10_000 * INTERVAL_MS)
        self.number = 0

    def submit_past(self, occurrences, steps=None, job=JOB, inherited=False):
        """Submit a job of which all occurrences are due."""
        return self.submit(
            steps or [step()],
            job,
            inherited,
            occurrences=occurrences,
            first_due_ms=1,
            interval_ms=INTERVAL_MS,
        )

    def hopeless_step(self):
        return step(required_label=LABEL_OF_NO_WORKER)

    def open_due(self):
        """Open occurrences as in one turn of the leader, and return their steps."""
        before = set(self.state.open_steps)
        self.state.open_due_occurrences()
        return [key for key in self.state.open_steps if key not in before]

    def run_ready(self, may_start=lambda found: True):
        """Start all ready steps, end them as done and return their occurrences."""
        found = [ready for ready in self.state.ready_steps() if may_start(ready)]
        worker = self.state.workers["w1"]
        running = [
            RunStatus(attempt.task, attempt.run, "", 50, 0)
            for attempt in worker.attempts.values()
        ]
        ends = []
        for ready in found:
            run = ready.allocate_run(0)
            attempt = self.state.begin_attempt(ready, 0, worker, run)
            self.number += 1
            ends.append(RunEnd(self.number, attempt.task, run, EndKind.DONE, ""))
        self.clock.advance(FULL_RETRY_MS)
        report = self.report(running, ends)
        self.state.apply_report(worker, report, self.clock.now())
        return [ready.key.occurrence for ready in found]

    def store_progress(self):
        for record in self.state.pop_changes()[0]:
            self.table.apply(progress_key(record.job), encode_record(record))
        return self.table.find(JOB).progress_

    # One job of 10,000 past times kept each leader from all other work until replaced.
    def test_one_turn_opens_a_bounded_number_of_occurrences(self):
        job = self.submit_past(10_000, [self.hopeless_step()])
        for _ in range(5):
            self.assertLessEqual(len(self.open_due()), MAX_OPENED_STEPS)
            self.clock.advance(10 * STALL_MS)
        self.assertEqual(len(job.steps), MAX_WAITING_OCCURRENCES)

    # Twelve jobs of 2,880 past times each did the same, and no other job began.
    def test_a_job_begins_beside_many_with_past_occurrences(self):
        for number in range(12):
            self.submit_past(2880, [self.hopeless_step()], f"{number:016x}")
        self.submit_past(1, job="f" * 16)
        for _ in range(3):
            self.assertLessEqual(len(self.open_due()), MAX_OPENED_STEPS)
        ready = self.ready()
        self.assertIn("f" * 16, {key.job for key in ready})
        self.assertLessEqual(len(ready), 12 * MAX_WAITING_OCCURRENCES + 1)

    # The work for each occurrence grew with the number of those before it.
    def test_an_occurrence_costs_the_same_however_many_there_are(self):
        checked = {}
        for count in (200, 2000):
            job_id = f"{count:016x}"
            job = self.submit_past(count, [step(), step(depends_on=(0,))], job_id)
            is_ready = JobRun.is_ready
            with patch.object(JobRun, "is_ready", autospec=True) as counted:
                counted.side_effect = is_ready
                while not job.state.is_final:
                    self.open_due()
                    self.run_ready()
                    self.assertLessEqual(len(job.steps), 4 * MAX_WAITING_OCCURRENCES)
            checked[count] = counted.call_count / count
        self.assertEqual(checked[200], checked[2000])

    # A bound on open occurrences must not drop any of them.
    def test_each_occurrence_runs_once_and_in_order(self):
        job = self.submit_past(500)
        done = []
        while not job.state.is_final:
            self.open_due()
            done += self.run_ready()
        self.assertEqual(done, list(range(500)))
        self.assertIs(job.state, JobState.COMPLETED)

    # An occurrence that had to wait for others of its job counted as due only then.
    def test_an_occurrence_counts_as_ready_since_it_was_due(self):
        submitted_at = self.clock.now()
        self.submit_past(100)
        for _ in range(2):
            self.open_due()
            self.run_ready()
        self.open_due()
        found = {ready.ready_at for ready in self.state.ready_steps()}
        self.assertEqual(found, {submitted_at})

    def test_an_occurrence_is_not_ready_before_it_was_due(self):
        now = self.clock.now()
        self.submit([step()], occurrences=2, first_due_ms=now, interval_ms=1000)
        self.clock.advance(1500)
        self.open_due()
        found = [ready.ready_at - now for ready in self.state.ready_steps()]
        self.assertEqual(found, [DUE_MARGIN_MS, 1000 + DUE_MARGIN_MS])

    # Occurrences that are stuck must not keep back others for which there is room.
    def test_stuck_occurrences_do_not_keep_back_others(self):
        job = self.submit_past(200, [step(), step(depends_on=(0,)), step()])
        done = set()
        turns = 0
        while len(done) < 200:
            self.open_due()
            done.update(self.run_ready(lambda found: found.key.step == 0))
            turns += 1
            self.assertLess(turns * FULL_RETRY_MS, 10 * 2 * STALL_MS)
        self.assertFalse(job.state.is_final)

    # A successor must not run again what was done, nor drop it from the record.
    def test_a_successor_continues_after_the_occurrences_that_are_done(self):
        self.submit_past(300)
        for _ in range(5):
            self.open_due()
            self.run_ready()
        done = 5 * MAX_WAITING_OCCURRENCES
        job = self.take_over()
        self.assertEqual(job.next_occurrence, done)
        self.open_due()
        self.state.inheritance.end_survey([])
        self.number = 0
        occurrences = self.run_ready()
        self.assertEqual(occurrences[0], done)
        stored = self.store_progress()
        self.assertEqual(len(stored.steps), done + len(occurrences))

    def take_over(self):
        self.store_progress()
        self.state = self.new_state(2)
        self.state.sync_job(JOB, self.table.find(JOB), inherited=True)
        return self.state.jobs[JOB]

    # A run in an occurrence that the successor had not opened yet was stopped, and its
    # end was dropped, so that the task ran again.
    def test_runs_in_occurrences_that_are_not_open_yet_are_adopted(self):
        self.submit_past(300)
        self.open_due()
        self.run_ready()
        job = self.take_over()
        running, ended = TaskKey(JOB, 250, 0, 0), TaskKey(JOB, 270, 0, 0)
        report = self.report(
            [RunStatus(running, 1, "", 40, 0)], [RunEnd(1, ended, 1, EndKind.DONE, "")]
        )
        self.clock.advance(10)
        worker = self.state.workers["w1"]
        self.state.apply_report(worker, report, self.clock.now())
        self.assertEqual(self.state.pop_stop_orders(), [])
        self.assertIn(running, worker.attempts)
        self.state.inheritance.end_survey([])
        self.number = 1
        again = []
        for _ in range(20):
            self.open_due()
            again += self.run_ready()
        self.assertEqual(len(again), len(set(again)))
        self.assertFalse({250, 270} & set(again))
        self.assertFalse(job.state.is_final)
        self.clock.advance(10)
        end = RunEnd(self.number + 1, running, 1, EndKind.DONE, "")
        self.state.apply_report(worker, self.report(ended=[end]), self.clock.now())
        self.assertIs(job.state, JobState.COMPLETED)

    # The record of a job that recurred often grew with each time, up to one that the
    # store refuses, which keeps the progress of all jobs from being stored.
    @patch("pimentomill.dispatch._state.MAX_LISTED_BYTES", 1100)
    def test_the_record_of_done_occurrences_stays_small(self):
        self.submit_past(600, [step(), step(depends_on=(0,))])
        ran = set()

        def start_once(found):
            self.assertNotIn(found.key, ran)
            ran.add(found.key)
            return True

        for _ in range(20):
            self.open_due()
            self.run_ready(start_once)
            listed = len(self.store_progress().steps)
            self.assertLessEqual(listed, 100 + 2 * MAX_WAITING_OCCURRENCES)
        self.assertGreater(len(ran), 2 * listed)
        job = self.take_over()
        self.state.inheritance.end_survey([])
        self.number = 0
        while not job.state.is_final:
            self.open_due()
            self.run_ready(start_once)
        self.assertEqual(len(ran), 2 * 600)

    # Progress of an occurrence that is not open was lost with the next record.
    def test_progress_of_occurrences_that_are_not_open_stays_stored(self):
        self.submit_past(MAX_WAITING_OCCURRENCES + 1, [step(count=2)])
        for occurrence in range(MAX_WAITING_OCCURRENCES + 1):
            self.open_due()
            found = next(
                ready
                for ready in self.state.ready_steps()
                if ready.key.occurrence == occurrence
            )
            self.run_ready(lambda ready, found=found: ready is found)
            self.clock.advance(STALL_MS)
        stored = self.store_progress()
        self.take_over()
        self.open_due()
        self.state.dirty.add(JOB)
        self.assertCountEqual(self.store_progress().steps, stored.steps)
