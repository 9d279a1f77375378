"""A large task waits for a worker that a long run occupies in part."""

import random
import unittest

from pimentomill.catalog import PlacementPolicy
from pimentomill.dispatch import Planner, QuotaBook, Ticket, order_steps
from pimentomill.dispatch._state import STARVATION_MS
from pimentomill.fleet import Attempt
from pimentomill.jobs import TaskKey
from pimentomill.utils import Resources

from .samples import first_step, queue, step, worker

NOW = 10_000
STARVING_SINCE = NOW - STARVATION_MS
SEEDS = range(300)


def occupy(occupied, cpu, job="f" * 16):
    """Add a run that uses so many thousandths of a core."""
    task = TaskKey(job, 0, 0, len(occupied.attempts))
    run = Attempt(task, 1, occupied, Resources(cpu, 100), 0)
    occupied.add_attempt(run)
    return run


def allowed_step(job, spec, names, priority, seen_at=STARVING_SINCE):
    """Return a step whose policy allows the named workers, with valid tickets."""
    policy = PlacementPolicy(10.0, 1.0, 2000)
    of = queue(f"q{priority}", priority=priority, placement_policy=policy)
    made = first_step(job, [spec], of=of, seen_at=seen_at)
    made.allowed = set(names)
    made.tickets = {name: Ticket("ticket", NOW + 1000) for name in names}
    return made


class TestReservedWorker(unittest.TestCase):
    def setUp(self):
        self.shared = worker("w1", cpu=16000)
        occupy(self.shared, 6000)
        self.idle = [worker("w2"), worker("w3")]
        self.large = allowed_step("a" * 16, step(cpu=12000), ["w1"], priority=0)
        self.small = allowed_step("b" * 16, step(2, cpu=4000), ["w1"], priority=1)

    def plan(self):
        steps = order_steps([self.large, self.small], NOW)
        self.assertIs(steps[0], self.large)
        workers = [self.shared, *self.idle]
        found = Planner(QuotaBook()).plan(NOW, steps, workers)
        self.assertEqual(found.reserved_for, {"w1": self.large.key})
        return [item.step for item in found.placements]

    # Guards against LOST: a step with nothing running is kept off the only worker that
    # it may use, for as long as a run there blocks the step that reserved the worker.
    def test_a_starving_step_uses_a_reserved_worker_of_a_pool_that_is_mostly_free(self):
        self.assertEqual(self.plan(), [self.small, self.small])

    def test_a_reservation_holds_before_a_step_starves(self):
        self.small.ready_at = STARVING_SINCE + 1
        self.assertEqual(self.plan(), [])

    def test_a_reservation_holds_against_a_step_of_which_a_task_runs(self):
        self.small.dequeue(0)
        self.small.active[0] = object()
        self.assertEqual(self.plan(), [])

    def test_a_reservation_holds_in_a_crowded_pool(self):
        for crowded in self.idle:
            occupy(crowded, 9000)
        self.assertEqual(self.plan(), [])

    # Guards against LOST: a lasting task has to be at work however full the pool is.
    def test_a_starving_lasting_task_uses_a_reserved_worker_of_a_crowded_pool(self):
        for crowded in self.idle:
            occupy(crowded, 9000)
        self.small = allowed_step(
            "b" * 16, step(2, cpu=4000, long_running=True), ["w1"], priority=1
        )
        self.assertEqual(self.plan(), [self.small, self.small])

    # Guards against LOST: a lasting task that waits beside running ones of its step.
    def test_one_waiting_task_makes_a_lasting_step_starve(self):
        self.small = allowed_step(
            "b" * 16, step(2, cpu=4000, long_running=True), ["w1"], priority=1
        )
        self.small.dequeue(0)
        self.small.active[0] = object()
        self.small.released_at[1] = STARVING_SINCE + 1
        self.small.ended_at[1] = STARVING_SINCE + 1
        self.assertFalse(self.small.is_starving(NOW))
        self.assertEqual(self.plan(), [])
        self.small.released_at[1] = STARVING_SINCE
        self.small.ended_at[1] = STARVING_SINCE
        self.assertTrue(self.small.is_starving(NOW))
        self.assertEqual(self.plan(), [self.small])

    # Guards against LOST: a reservation that could only end with a run that lasts.
    def test_no_worker_is_reserved_behind_a_run_that_lasts(self):
        next(iter(self.shared.attempts.values())).is_long_running = True
        steps = order_steps([self.large, self.small], NOW)
        found = Planner(QuotaBook()).plan(NOW, steps, [self.shared])
        self.assertEqual(found.reserved_for, {})
        self.assertEqual(len(found.placements), 2)


class TestRandomPools(unittest.TestCase):
    def draw(self, seed):
        rng = random.Random(seed)
        workers = [worker(f"w{i}") for i in range(rng.randint(2, 6))]
        for occupied in workers:
            if rng.random() < 0.5:
                occupy(occupied, rng.choice((2000, 5000, 7000)))
        steps = []
        for number in range(rng.randint(2, 5)):
            spec = step(cpu=rng.choice((1000, 3000, 9000, 14000)))
            names = rng.sample([item.info.worker for item in workers], 1)
            priority = rng.randint(0, 2)
            steps.append(allowed_step(f"{number:016x}", spec, names, priority))
        return workers, order_steps(steps, NOW)

    def test_no_starving_step_is_left_while_its_worker_has_room(self):
        for seed in SEEDS:
            workers, steps = self.draw(seed)
            if sum(item.used.cpu_milli for item in workers) * 2 >= 16000 * len(workers):
                continue
            free = {item.info.worker: item.free for item in workers}
            plan = Planner(QuotaBook()).plan(NOW, steps, workers)
            for item in plan.placements:
                name = item.worker.info.worker
                free[name] = free[name] - item.step.spec.need
            started = {item.step.key for item in plan.placements}
            for waiting in steps:
                if waiting.key not in started:
                    room = free[next(iter(waiting.allowed))]
                    self.assertFalse(waiting.spec.need.fits_in(room), seed)
