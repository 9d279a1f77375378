import unittest

from pimentomill.control._relocation import is_straggler, must_evacuate
from pimentomill.dispatch.tests.samples import first_step, step, worker
from pimentomill.fleet import Attempt, AttemptPhase
from pimentomill.jobs import TaskKey
from pimentomill.utils import Resources


class RelocationCase(unittest.TestCase):
    def run_of(self, spec, reports):
        """Return a step and a run that reported (time, percent) pairs."""
        step_run = first_step(steps=[spec])
        task = TaskKey("a" * 16, 0, 0, 0)
        attempt = Attempt(task, 1, worker(), Resources(1, 0, 0), 0)
        attempt.phase = AttemptPhase.RUNNING
        for at, percent in reports:
            attempt.update_progress(percent, at)
        return step_run, attempt


class TestStragglers(RelocationCase):
    """Workers that become several times slower while they run short tasks."""

    def check(self, reports, durations=(700,), **fields):
        step_run, attempt = self.run_of(step(count=4, **fields), reports)
        step_run.durations = list(durations)
        return is_straggler(attempt, step_run, reports[-1][0])

    def test_a_run_six_times_slower_than_its_siblings(self):
        self.assertTrue(self.check([(1000, 22)]))

    def test_a_run_that_has_just_begun_is_not_judged(self):
        self.assertFalse(self.check([(60, 3)]))
        self.assertFalse(self.check([(50, 1), (75, 2)]))
        self.assertFalse(self.check([(300, 12)]))

    def test_a_slightly_slower_run_stays(self):
        self.assertFalse(self.check([(800, 60)]))

    def test_nothing_is_slow_before_a_sibling_is_done(self):
        self.assertFalse(self.check([(1000, 22)], durations=()))

    def test_a_slow_run_that_is_nearly_done_stays(self):
        self.assertFalse(self.check([(4000, 90)]))

    def test_a_resumed_run_is_judged_by_its_own_speed(self):
        step_run, attempt = self.run_of(step(checkpointed=True), [])
        attempt.is_resumed = True
        step_run.durations = [1000]
        attempt.update_progress(50, 100)
        self.assertFalse(is_straggler(attempt, step_run, 100))
        attempt.update_progress(52, 900)
        self.assertTrue(is_straggler(attempt, step_run, 900))


class TestEvacuation(RelocationCase):
    """Workers that are drained at short notice."""

    def check(self, reports, left_ms, **fields):
        step_run, attempt = self.run_of(step(**fields), reports)
        now = reports[-1][0] if reports else 0
        attempt.worker.earliest_leave_at = now + left_ms
        return must_evacuate(attempt, step_run, now)

    def test_a_run_that_will_finish_in_time_stays(self):
        self.assertFalse(self.check([(1000, 50)], left_ms=2000))

    def test_a_checkpointed_run_is_moved_at_once(self):
        self.assertTrue(self.check([(1000, 10)], left_ms=2000, checkpointed=True))

    def test_a_long_running_task_is_moved_at_once(self):
        self.assertTrue(self.check([(1000, 100)], left_ms=2000, long_running=True))

    def test_an_advanced_run_stays_until_the_last_moment(self):
        self.assertFalse(self.check([(4000, 50)], left_ms=2000))
        self.assertTrue(self.check([(4000, 50)], left_ms=200))
