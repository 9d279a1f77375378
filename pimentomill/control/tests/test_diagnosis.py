import unittest

from pimentomill.catalog import PlacementPolicy
from pimentomill.control._diagnosis import QueueLoad, queue_loads
from pimentomill.dispatch.tests.samples import SERVICE, first_step, queue, step


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
