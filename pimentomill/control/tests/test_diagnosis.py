import unittest

from pimentomill.catalog import PlacementPolicy
from pimentomill.control._diagnosis import (
    QueueLoad,
    Reservation,
    ReservationTracker,
    queue_loads,
)
from pimentomill.dispatch.tests.samples import SERVICE, first_step, queue, step, worker
from pimentomill.fleet import Attempt
from pimentomill.jobs import StepKey, TaskKey
from pimentomill.utils import Resources


class TestQueueLoads(unittest.TestCase):
    def test_tasks_are_counted_by_queue_and_outlook(self):
        spec = step(estimate_ms=1000, count=2)
        advised = queue("a", priority=2, placement_policy=PlacementPolicy(10, 1, 1000))
        other = queue("b", priority=0)
        fresh = first_step("a" * 16, [spec], of=advised, seen_at=9000)
        late = first_step("b" * 16, [spec], of=advised, seen_at=4000)
        late.queried.add("w1")
        late.active[0] = object()
        late.dequeue(0)
        beyond = first_step("c" * 16, [spec], of=other, seen_at=9000)
        beyond.job.over_share = True
        loads = queue_loads([beyond, fresh, late], 9500)
        self.assertEqual(
            loads,
            [
                QueueLoad("a", SERVICE, 2, {"late": 1}, {"in time": 2, "late": 1}, 2),
                QueueLoad("b", SERVICE, 0, {}, {"beyond share": 2}, 0),
            ],
        )


class TestReservationTracker(unittest.TestCase):
    def test_a_reservation_is_reported_with_its_age_and_the_runs_in_its_way(self):
        reserved = worker("w1", cpu=16000)
        run = Attempt(TaskKey("b" * 16, 0, 0, 3), 1, reserved, Resources(6000), 0)
        run.percent = 40
        reserved.add_attempt(run)
        key, other = StepKey("a" * 16, 0, 0), StepKey("c" * 16, 0, 0)
        tracker = ReservationTracker()
        tracker.update({"w1": other}, 1000)
        tracker.update({"w1": key, "w2": other}, 2000)
        tracker.update({"w1": key, "w2": other}, 2500)
        free = "10.0 cpu 32000 MB 0 acc"
        self.assertEqual(
            tracker.report({"w1": reserved}, 3000),
            [Reservation("w1", key, 1000, free, {f"{'b' * 16}.0.0.3": 40})],
        )
