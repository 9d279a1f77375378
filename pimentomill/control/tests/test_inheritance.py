"""A change of the leader in a large pool, where some worker is always silent."""

import unittest

from pimentomill.catalog import Catalog, RequestLimits, Team
from pimentomill.control import LeaderState
from pimentomill.control._leader_state import MAX_REMNANT_AGE_MS, WAITING_HOLD_MS
from pimentomill.dispatch import Planner
from pimentomill.dispatch.tests.samples import SERVICE, accepted, info, queue, step
from pimentomill.fleet import EndKind, RunEnd, RunStatus, WorkerReport
from pimentomill.jobs import (
    Cancelled,
    JobState,
    JobTable,
    Progress,
    TaskKey,
    accepted_key,
    cancelled_key,
    encode_record,
    progress_key,
)
from pimentomill.utils import ManualClock, Resources

JOB = "a" * 16
FIRST_TASK = TaskKey(JOB, 0, 0, 0)
LEASE_MS = 6000


class TestInheritance(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1000)
        self.table = JobTable()
        self.set_up_state()

    def set_up_state(self):
        self.state = LeaderState(2, self.clock, self.table.find)
        self.prompt = self.state.sync_worker(info("w1"))
        self.silent = self.state.sync_worker(info("w2", cpu=8000))
        self.silent.lease_until = self.clock.now() + LEASE_MS

    def inherit(self, steps):
        record = accepted(JOB, steps)
        self.table.apply(accepted_key(JOB), encode_record(record))
        self.state.sync_job(JOB, self.table.find(JOB), inherited=True)

    def report(self, worker, running=(), ended=()):
        report = WorkerReport(1, 5000, list(running), list(ended), True)
        self.state.apply_report(worker, report, self.clock.now())
        self.clock.advance(10)

    def end_survey(self):
        self.state.inheritance.end_survey([self.silent])

    def ready(self):
        return [found.key.step for found in self.state.ready_steps()]

    def test_a_task_that_nobody_reports_waits_for_the_lease_of_the_silent_worker(self):
        self.inherit([step()])
        self.report(self.prompt)
        self.end_survey()
        self.assertEqual(self.ready(), [])
        self.assertEqual(self.state.inheritance.waits_ms(), {SERVICE: LEASE_MS - 10})
        self.clock.advance(LEASE_MS)
        self.assertEqual(self.ready(), [0])

    def test_the_wait_ends_when_the_silent_worker_answers(self):
        self.inherit([step()])
        self.end_survey()
        self.report(self.silent)
        self.assertEqual(self.ready(), [0])

    def test_a_task_that_does_not_fit_on_the_silent_worker_does_not_wait(self):
        self.inherit([step(cpu=9000)])
        self.end_survey()
        self.assertEqual(self.ready(), [0])

    # Guards against two runs of a task at a time: the previous leader started it while
    # the silent worker was larger.
    def test_a_task_that_fitted_on_the_silent_worker_before_it_shrank_waits(self):
        self.inherit([step(cpu=7000)])
        self.state.sync_worker(info("w2", cpu=2000))
        self.end_survey()
        self.assertEqual(self.ready(), [])
        self.report(self.silent)
        self.assertEqual(self.ready(), [0])

    def test_a_task_without_the_label_of_the_silent_worker_does_not_wait(self):
        self.inherit([step(required_label="gpu")])
        self.end_survey()
        self.assertEqual(self.ready(), [0])

    def report_first_run(self):
        """Report a run when the survey ends, and again once no earlier hold waits."""
        running = [RunStatus(FIRST_TASK, 1, "", 40, 0)]
        self.report(self.prompt, running)
        self.end_survey()
        self.clock.advance(WAITING_HOLD_MS)
        self.report(self.prompt, running)

    def test_a_reported_task_that_fails_starts_again_at_once(self):
        self.inherit([step()])
        self.report_first_run()
        self.report(self.prompt, ended=[RunEnd(1, FIRST_TASK, 1, EndKind.FAILED, "")])
        self.assertEqual(self.ready(), [0])

    def test_a_step_after_a_reported_task_starts_at_once(self):
        self.inherit([step(), step(depends_on=(0,)), step(depends_on=(1,))])
        self.report_first_run()
        self.report(self.prompt, ended=[RunEnd(1, FIRST_TASK, 1, EndKind.DONE, "")])
        self.assertEqual(self.ready(), [1])

    # Guards against two runs of a task: the previous leader reads the end by a hold
    # that was waiting, and starts what follows on the silent worker.
    def test_an_end_that_a_waiting_hold_may_have_told_the_previous_leader_waits(self):
        for kind in (EndKind.FAILED, EndKind.DONE, EndKind.STOPPED):
            with self.subTest(kind=kind):
                self.setUp()
                self.inherit([step(), step(depends_on=(0,))])
                self.report(self.prompt, [RunStatus(FIRST_TASK, 1, "", 40, 0)])
                self.end_survey()
                self.clock.advance(WAITING_HOLD_MS - 20)
                self.report(self.prompt, [RunStatus(FIRST_TASK, 1, "", 41, 0)])
                # The end may have been told long before this report.
                self.clock.advance(1000)
                end = RunEnd(1, FIRST_TASK, 1, kind, "")
                self.report(self.prompt, ended=[end])
                self.assertEqual(self.ready(), [])
                self.report(self.silent)
                self.assertEqual(len(self.ready()), 1)

    # Guards against two runs of a task: an answer that was held up on its way tells
    # only of the time before a hold of the previous leader was answered.
    def test_an_answer_that_was_held_up_does_not_end_the_wait(self):
        self.inherit([step()])
        running = [RunStatus(FIRST_TASK, 1, "", 40, 0)]
        answered_at = self.clock.now()
        self.report(self.prompt, running)
        self.end_survey()
        self.clock.advance(answered_at + WAITING_HOLD_MS + 100 - self.clock.now())
        held_up = WorkerReport(1, 5000, running, [], True)
        sent_at = answered_at + WAITING_HOLD_MS - 200
        self.state.apply_report(self.prompt, held_up, sent_at)
        self.report(self.prompt, ended=[RunEnd(1, FIRST_TASK, 1, EndKind.FAILED, "")])
        self.assertEqual(self.ready(), [])

    # Guards against two runs of a task: a worker that has answered restarts, which the
    # previous leader notices as well, as the new incarnation has seen no token.
    def test_a_task_lost_by_a_restart_waits_for_the_silent_worker(self):
        self.inherit([step()])
        self.report_first_run()
        restarted = WorkerReport(2, 100, [], [], True)
        self.state.apply_report(self.prompt, restarted, self.clock.now())
        self.assertEqual(self.ready(), [])
        self.report(self.silent)
        self.assertEqual(self.ready(), [0])

    # Guards against two runs of a task: the previous leader has been told the end as
    # well, and starts the task on the silent worker.
    def test_a_task_whose_run_is_missing_waits_for_the_silent_worker(self):
        self.inherit([step()])
        self.report(self.prompt, [RunStatus(FIRST_TASK, 1, "", 40, 0)])
        self.end_survey()
        self.report(self.prompt)
        self.assertFalse(self.prompt.attempts)
        self.assertEqual(self.ready(), [])
        self.report(self.silent)
        self.assertEqual(self.ready(), [0])

    # Guards against the same after the end of a worker, which both leaders notice.
    def test_a_task_lost_with_its_worker_waits_for_the_silent_worker(self):
        for has_ended in (True, False):
            self.setUp()
            self.inherit([step()])
            self.report_first_run()
            self.state.release_lost(self.prompt, "worker is gone", has_ended)
            self.assertEqual(self.ready(), [])
            self.report(self.silent)
            self.assertEqual(self.ready(), [0])

    # Guards against two runs of a task: a later leader reaches the silent worker and
    # renews its lease, which this leader takes for expired.
    def test_a_silent_worker_is_waited_for_until_no_later_leader_can_have_renewed(self):
        proven_at = self.clock.now()
        self.state.inheritance.is_covered = lambda at: at <= proven_at
        self.inherit([step()])
        self.report(self.prompt)
        self.end_survey()
        self.clock.advance(LEASE_MS)
        self.assertEqual(self.ready(), [])
        proven_at = self.clock.now()
        self.assertEqual(self.ready(), [0])

    def test_a_step_after_an_end_that_the_previous_leader_may_have_read_waits(self):
        self.inherit([step(), step(depends_on=(0,))])
        self.report(self.prompt, ended=[RunEnd(1, FIRST_TASK, 1, EndKind.DONE, "")])
        self.end_survey()
        self.assertEqual(self.ready(), [])

    def test_a_step_after_a_task_with_an_earlier_run_waits(self):
        # The first run may have ended unheard, been read late, and let the next step
        # start while the second run was still there.
        self.inherit([step(), step(depends_on=(0,))])
        self.report(self.prompt, [RunStatus(FIRST_TASK, 2, "", 40, 0)])
        self.end_survey()
        self.report(self.prompt, ended=[RunEnd(1, FIRST_TASK, 2, EndKind.DONE, "")])
        self.assertEqual(self.ready(), [])

    def test_a_gang_that_was_started_in_part_is_stopped_once_that_is_certain(self):
        self.inherit([step(count=2, gang=True)])
        self.report(self.prompt, [RunStatus(FIRST_TASK, 1, "", 40, 0)])
        self.end_survey()
        self.state.stop_partial_gangs(self.state.ready_steps())
        self.assertEqual(self.state.pop_stop_orders(), [])
        self.report(self.silent)
        self.state.stop_partial_gangs(self.state.ready_steps())
        stops = [order.task for order in self.state.pop_stop_orders()]
        self.assertEqual(stops, [FIRST_TASK])

    def test_a_gang_with_a_member_that_nobody_reports_waits(self):
        self.inherit([step(count=2, gang=True)])
        self.report(self.prompt, [RunStatus(FIRST_TASK, 1, "", 40, 0)])
        self.end_survey()
        self.report(self.prompt, ended=[RunEnd(1, FIRST_TASK, 1, EndKind.ALONE, "")])
        self.assertEqual(self.ready(), [])

    # Guards against a team beyond its limit: what the previous leader has started on a
    # silent worker goes on until the lease there expires.
    def test_tasks_that_may_run_on_a_silent_worker_count_for_the_limit_of_their_team(
        self,
    ):
        limit = Resources(cpu_milli=2000)
        self.state.quotas.teams = {"t": Team("t", 1.0, limit)}
        self.inherit([step(count=2, cpu=1000)])
        self.report(self.prompt)
        self.end_survey()
        later = "b" * 16
        record = accepted(later, [step(count=2, cpu=1000)])
        self.table.apply(accepted_key(later), encode_record(record))
        self.state.sync_job(later, self.table.find(later), inherited=False)
        self.prompt.confirm(lambda at: True)
        self.assertEqual(self.plan(), [])
        self.report(self.silent)
        self.assertEqual(len(self.plan()), 2)

    # Guards against the same beside a job that is cancelled meanwhile: no stop reaches
    # its tasks on the silent worker.
    def test_cancelled_tasks_that_may_run_on_a_silent_worker_count_as_well(self):
        limit = Resources(cpu_milli=2000)
        self.state.quotas.teams = {"t": Team("t", 1.0, limit)}
        self.inherit([step(count=2, cpu=1000)])
        self.report(self.prompt)
        self.end_survey()
        record = Cancelled(JOB, 0)
        self.table.apply(cancelled_key(JOB), encode_record(record))
        self.state.sync_job(JOB, self.table.find(JOB), inherited=False)
        later = "b" * 16
        record = accepted(later, [step(count=2, cpu=1000)])
        self.table.apply(accepted_key(later), encode_record(record))
        self.state.sync_job(later, self.table.find(later), inherited=False)
        self.prompt.confirm(lambda at: True)
        self.assertEqual(self.plan(), [])
        self.report(self.silent)
        self.assertEqual(len(self.plan()), 2)

    def store_cancelled(self, count, **fields):
        """Store a cancelled job with tasks of one core, which no leader has ended."""
        record = accepted(JOB, [step(count=count, cpu=1000)], **fields)
        self.table.apply(accepted_key(JOB), encode_record(record))
        cancelled = Cancelled(JOB, self.clock.wall_ms())
        self.table.apply(cancelled_key(JOB), encode_record(cancelled))

    def take_over(self, limit_cpu):
        """Let a successor inherit the job and a new one of its team, at its limit."""
        self.set_up_state()
        limit = Resources(cpu_milli=limit_cpu)
        self.state.quotas.teams = {"t": Team("t", 1.0, limit)}
        self.state.sync_job(JOB, self.table.find(JOB), inherited=True)
        later = "b" * 16
        record = accepted(later, [step(count=limit_cpu // 1000, cpu=1000)])
        self.table.apply(accepted_key(later), encode_record(record))
        self.state.sync_job(later, self.table.find(later), inherited=False)

    # Guards against a team beyond its limit: after a change of the leader, runs of a
    # job that was cancelled before it counted nowhere on a worker that is cut off.
    def test_runs_of_a_job_that_was_cancelled_before_the_takeover_count_as_well(self):
        self.store_cancelled(2)
        for _ in range(2):
            self.take_over(2000)
            self.report(self.prompt)
            self.end_survey()
            self.prompt.confirm(lambda at: True)
            self.assertEqual(self.plan(), [])
        self.clock.advance(LEASE_MS)
        self.assertEqual(len(self.plan()), 2)

    # Guards against a limit that stays blocked for a lease: the runs of the cancelled
    # job have ended on workers that answer, beside one that does not.
    def test_the_limit_is_free_once_the_runs_of_a_cancelled_job_have_ended(self):
        self.store_cancelled(2)
        self.take_over(2000)
        first, second = FIRST_TASK, FIRST_TASK._replace(index=1)
        ends = [RunEnd(1, first, 1, EndKind.STOPPED, "")]
        self.report(self.prompt, [RunStatus(second, 1, "", 40, 0)], ends)
        self.end_survey()
        self.prompt.confirm(lambda at: True)
        self.assertEqual(len(self.plan()), 1)
        ends = [RunEnd(2, second, 1, EndKind.STOPPED, "")]
        self.report(self.prompt, ended=ends)
        self.assertEqual(len(self.plan()), 2)

    # Guards against a limit that stays blocked beside a silent worker by jobs that were
    # cancelled before the takeover, as nobody ever stores their end.
    def test_a_successor_stores_the_end_of_a_job_that_was_cancelled_before(self):
        self.store_cancelled(2)
        self.take_over(2000)
        self.report(self.prompt, [RunStatus(FIRST_TASK, 1, "", 40, 0)])
        self.end_survey()
        self.assertEqual(self.state.pop_changes()[0], [])
        self.report(self.silent)
        self.ready()
        self.assertEqual(self.state.pop_changes()[0], [])
        end = RunEnd(1, FIRST_TASK, 1, EndKind.STOPPED, "")
        self.report(self.prompt, ended=[end])
        records, _ = self.state.pop_changes()
        self.assertEqual([item.state for item in records], [JobState.CANCELLED])
        self.table.apply(progress_key(JOB), encode_record(records[0]))
        self.take_over(2000)
        self.report(self.prompt)
        self.end_survey()
        self.prompt.confirm(lambda at: True)
        self.assertEqual(len(self.plan()), 2)

    def test_a_job_of_which_no_run_can_be_left_blocks_no_limit(self):
        final = Progress(JOB, JobState.CANCELLED, self.clock.wall_ms())
        completed = Progress(JOB, JobState.COMPLETED, self.clock.wall_ms())
        for record, age_ms in ((final, 0), (completed, 0), (None, MAX_REMNANT_AGE_MS)):
            with self.subTest(record=record, age_ms=age_ms):
                self.setUp()
                self.store_cancelled(2)
                if record is not None:
                    self.table.apply(progress_key(JOB), encode_record(record))
                self.clock.advance(age_ms + 1)
                self.take_over(2000)
                self.report(self.prompt)
                self.end_survey()
                self.prompt.confirm(lambda at: True)
                self.assertEqual(len(self.plan()), 2)

    def test_occurrences_of_a_cancelled_job_count_once_they_are_due(self):
        due_ms = self.clock.wall_ms() - 1500
        self.store_cancelled(1, occurrences=3, first_due_ms=due_ms, interval_ms=1000)
        self.take_over(3000)
        self.report(self.prompt)
        self.end_survey()
        self.prompt.confirm(lambda at: True)
        self.assertEqual(len(self.plan()), 1)

    # Guards against a successor that takes the end of a job for that of its runs.
    def test_the_end_of_a_cancelled_job_is_stored_after_that_of_its_runs(self):
        self.inherit([step(count=2)])
        running = [RunStatus(FIRST_TASK, 1, "", 40, 0)]
        self.report(self.prompt, running)
        self.state.pop_changes()
        cancelled = Cancelled(JOB, self.clock.wall_ms())
        self.table.apply(cancelled_key(JOB), encode_record(cancelled))
        self.state.sync_job(JOB, self.table.find(JOB), inherited=False)
        self.assertEqual(self.state.pop_changes()[0], [])
        end = RunEnd(1, FIRST_TASK, 1, EndKind.STOPPED, "")
        self.report(self.prompt, ended=[end])
        self.end_survey()
        self.ready()
        # The other task may run on the silent worker.
        self.assertEqual(self.state.pop_changes()[0], [])
        self.report(self.silent)
        self.ready()
        records, _ = self.state.pop_changes()
        self.assertEqual([item.state for item in records], [JobState.CANCELLED])
        self.assertEqual(self.state.jobs, {})

    # A queue that moves to another service

    def route(self, state, *services):
        """Send the queue to services in turn; None removes it."""
        for service in services:
            queues = [] if service is None else [queue(service=service)]
            teams = self.state.quotas.teams.values()
            catalog = Catalog(1, queues, teams, {}, [SERVICE], RequestLimits())
            state.set_catalog(catalog)

    def store_changes(self, state):
        """Store what a leader has changed and let it read that."""
        records, _ = state.pop_changes()
        for record in records:
            self.table.apply(progress_key(record.job), encode_record(record))
            state.sync_job(record.job, self.table.find(record.job), inherited=False)

    def take_over_beside(self, silent_service):
        """Let a successor survey a worker of a service that does not answer."""
        self.set_up_state()
        self.silent.register(self.silent.info._replace(service=silent_service))
        catalog = self.previous.catalog
        self.state.set_catalog(catalog)
        self.state.sync_job(JOB, self.table.find(JOB), inherited=True)
        self.report(self.prompt)
        self.end_survey()
        self.store_changes(self.state)

    def lead_before(self, *services):
        """Let a leader run a task of the queue in each of the services in turn."""
        self.previous = LeaderState(1, self.clock, self.table.find)
        self.inherit([step()])
        self.previous.sync_job(JOB, self.table.find(JOB), inherited=False)
        for service in services:
            self.route(self.previous, service)
            self.store_changes(self.previous)

    # Guards against two runs of a task: the silent worker is of a service to which the
    # queue was sent before, once or several times, and is named in no setting any more.
    def test_a_task_waits_for_a_silent_worker_of_each_service_its_queue_has_had(self):
        moves = (
            (SERVICE, ["b"]),
            ("b", ["b", "c"]),
            ("b", ["b", SERVICE]),
            ("b", ["b", None]),
            (SERVICE, ["b", "c", None, "c"]),
        )
        for silent_service, services in moves:
            with self.subTest(silent=silent_service, services=services):
                self.setUp()
                self.lead_before(*services)
                self.take_over_beside(silent_service)
                self.assertEqual(self.ready(), [])
                self.report(self.silent)
                self.assertEqual(self.ready(), [0])

    def test_a_task_waits_for_no_silent_worker_of_a_service_its_queue_never_had(self):
        self.lead_before("b")
        self.take_over_beside("other")
        self.assertEqual(self.ready(), [0])

    # Guards against two runs of a task: a leader that is lost right after a start in
    # the new service of a queue leaves no trace of it.
    def test_nothing_starts_in_a_new_service_before_a_successor_can_know_of_it(self):
        self.lead_before()
        self.route(self.previous, "b")
        self.assertEqual(list(self.previous.ready_steps()), [])
        self.store_changes(self.previous)
        self.assertEqual(len(list(self.previous.ready_steps())), 1)

    # Guards against the same if an entry with later settings has accepted the job.
    def test_nothing_starts_in_another_service_than_that_of_the_acceptance(self):
        record = accepted(JOB, [step()], of=queue(service="b"))
        self.table.apply(accepted_key(JOB), encode_record(record))
        self.route(self.state, SERVICE)
        self.state.sync_job(JOB, self.table.find(JOB), inherited=False)
        self.assertEqual(self.ready(), [])
        self.store_changes(self.state)
        self.assertEqual(self.ready(), [0])

    # Guards against a team beyond its limit: its job on the silent worker was
    # cancelled, or has failed, after the queue had moved.
    def test_runs_in_a_former_service_count_for_the_limit_of_their_team(self):
        for state in (JobState.CANCELLED, JobState.FAILED):
            with self.subTest(state=state):
                self.setUp()
                self.lead_before("b")
                if state is JobState.CANCELLED:
                    record = Cancelled(JOB, self.clock.wall_ms())
                    self.table.apply(cancelled_key(JOB), encode_record(record))
                else:
                    self.previous.jobs[JOB].state = state
                    self.previous.dirty.add(JOB)
                    self.store_changes(self.previous)
                self.take_over_beside(SERVICE)
                self.state.inheritance.end_survey([self.silent])
                withheld = self.state.inheritance.withheld_by_team()
                self.assertEqual(withheld, {"t": step().need})

    def plan(self):
        planner = Planner(self.state.quotas)
        steps = list(self.state.ready_steps())
        workers = self.state.workers.values()
        return planner.plan(self.clock.now(), steps, workers).placements
