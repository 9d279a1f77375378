"""A change of the leader in a large pool, where some worker is always silent."""

import unittest

from pimentomill.control import LeaderState
from pimentomill.dispatch.tests.samples import SERVICE, accepted, info, step
from pimentomill.fleet import EndKind, RunEnd, RunStatus, WorkerReport
from pimentomill.jobs import JobTable, TaskKey, accepted_key, encode_record
from pimentomill.utils import ManualClock

JOB = "a" * 16
FIRST_TASK = TaskKey(JOB, 0, 0, 0)
LEASE_MS = 6000


class TestInheritance(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1000)
        self.table = JobTable()
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

    def test_a_reported_task_that_fails_starts_again_at_once(self):
        self.inherit([step()])
        self.report(self.prompt, [RunStatus(FIRST_TASK, 1, "", 40, 0)])
        self.end_survey()
        self.report(self.prompt, ended=[RunEnd(1, FIRST_TASK, 1, EndKind.FAILED, "")])
        self.assertEqual(self.ready(), [0])

    def test_a_step_after_a_reported_task_starts_at_once(self):
        self.inherit([step(), step(depends_on=(0,)), step(depends_on=(1,))])
        self.report(self.prompt, [RunStatus(FIRST_TASK, 1, "", 40, 0)])
        self.end_survey()
        self.report(self.prompt, ended=[RunEnd(1, FIRST_TASK, 1, EndKind.DONE, "")])
        self.assertEqual(self.ready(), [1])

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
