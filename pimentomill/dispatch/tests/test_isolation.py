"""Placement of tasks under which workers have crashed."""

import unittest

from pimentomill.dispatch import Planner, QuotaBook
from pimentomill.fleet import EARLY_RUN_MS, Attempt
from pimentomill.jobs import TaskKey
from pimentomill.utils import Resources

from .samples import first_step, step, worker
from .test_planner import placed

START_BOUND_MS = 3000
"""Runnable work has to start within this time."""
PASS_MS = 50


def busy_worker(name, now=0):
    made = worker(name)
    task = TaskKey(name, 0, 0, 0)
    made.add_attempt(Attempt(task, 1, made, Resources(1000, 0, 0), now))
    return made


class TestIsolation(unittest.TestCase):
    def setUp(self):
        self.planner = Planner(QuotaBook())

    def plan(self, steps, workers, now=0):
        return self.planner.plan(now, steps, workers)

    def suspect(self, job="a" * 16, **fields):
        made = first_step(job, [step(**fields)])
        for index in range(made.spec.count):
            made.record_crash(index, 1, False, 0)
        return made

    # A suspected task was started beside others and took them with it.
    def test_a_suspected_task_gets_an_idle_worker(self):
        plan = self.plan([self.suspect()], [busy_worker("w1"), worker("w2")])
        self.assertEqual(placed(plan), [(0, "w2")])

    def test_nothing_is_started_beside_a_suspected_task(self):
        other = first_step("b" * 16, [step(count=3)])
        plan = self.plan([self.suspect(), other], [worker("w1")])
        self.assertEqual([item.step.key.job for item in plan.placements], ["a" * 16])

    def test_a_closed_worker_starts_nothing_until_its_run_has_settled(self):
        closed = worker("w1")
        closed.close(0)
        other = first_step(steps=[step()])
        self.assertEqual(placed(self.plan([other], [closed], EARLY_RUN_MS - 1)), [])
        plan = self.plan([other], [closed], EARLY_RUN_MS)
        self.assertEqual(placed(plan), [(0, "w1")])

    def test_suspected_tasks_do_not_share_a_worker(self):
        both = self.suspect(count=2)
        workers = [worker("w1"), worker("w2")]
        self.assertEqual(len(self.plan([both], workers).placements), 1)

    # Many suspects after crashes of many workers would close the whole cell.
    def test_suspected_tasks_use_a_part_of_the_workers(self):
        many = self.suspect(count=8)
        workers = [worker(f"w{number}") for number in range(8)]
        self.assertEqual(len(self.plan([many], workers).placements), 2)

    # A suspected task waited for an idle worker for as long as the cell was busy.
    def test_a_suspected_task_starts_in_time_on_a_busy_worker(self):
        self.assert_starts_in_time(self.suspect())

    def test_a_suspected_gang_starts_in_time_on_a_busy_worker(self):
        self.assert_starts_in_time(self.suspect(count=2, gang=True))

    def assert_starts_in_time(self, suspected):
        only = busy_worker("w1")
        for now in range(0, START_BOUND_MS, PASS_MS):
            # Other work starts in each pass unless the worker is held.
            other = first_step(f"{now:016d}", [step(cpu=1)])
            plan = self.plan([other, suspected], [only], now)
            for item in plan.placements:
                if item.step is suspected:
                    self.assertTrue(only.is_quiet(now))
                    return
                task = TaskKey(other.key.job, 0, 0, 0)
                only.add_attempt(Attempt(task, 1, only, other.spec.reserved, now))
        self.fail("not started")

    def test_a_task_is_no_suspect_once_cleared(self):
        cleared = self.suspect()
        cleared.clear_crashes(0)
        plan = self.plan([cleared], [busy_worker("w1")])
        self.assertEqual(placed(plan), [(0, "w1")])
