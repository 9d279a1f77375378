"""Capacity that the planner keeps for one step while another one could use it."""

import unittest

from pimentomill.catalog import PlacementPolicy, Team
from pimentomill.dispatch import Planner, QuotaBook, Ticket, order_steps
from pimentomill.fleet import Attempt
from pimentomill.jobs import TaskKey
from pimentomill.utils import Resources

from .samples import first_step, queue, step, worker

NOW = 10_000


def occupy(occupied, cpu, job="f" * 16):
    """Add a run that uses so many thousandths of a core."""
    task = TaskKey(job, 0, 0, len(occupied.attempts))
    run = Attempt(task, 1, occupied, Resources(cpu, 100), 0)
    occupied.add_attempt(run)
    return run


class TestGangBeyondQuota(unittest.TestCase):
    # Guards against workers reserved for a gang that waits for its team's quota only.
    def test_no_worker_is_reserved_for_a_gang_beyond_the_quota(self):
        quotas = QuotaBook()
        quotas.teams = {"g": Team("g", 1.0, Resources(cpu_milli=12000))}
        pool = [worker("w1"), worker("w2")]
        gang = first_step(
            "a" * 16,
            [step(2, cpu=12000, gang=True)],
            of=queue(priority=0),
            seen_at=NOW,
            team="g",
        )
        small = first_step("b" * 16, [step(2, cpu=8000)], seen_at=NOW)
        plan = Planner(quotas).plan(NOW, [gang, small], pool)
        self.assertEqual(plan.reserved_for, {})
        self.assertEqual([item.step for item in plan.placements], [small, small])


class TestProbation(unittest.TestCase):
    def setUp(self):
        self.full, self.suspect = worker("w1"), worker("w2")
        occupy(self.full, 14000)
        self.run = occupy(self.suspect, 1000)
        self.suspect.is_stalled = True

    def placed(self):
        waiting = first_step("b" * 16, [step(3, cpu=4000)], seen_at=NOW)
        workers = [self.full, self.suspect]
        plan = Planner(QuotaBook()).plan(NOW, [waiting], workers)
        return [item.worker for item in plan.placements]

    # Guards against LOST: probation ends with a run that succeeds, and one that lasts
    # never does, so that the rest of the worker would stay idle.
    def test_a_suspect_worker_with_a_run_that_lasts_gets_one_more(self):
        self.run.is_long_running = True
        self.assertEqual(self.placed(), [self.suspect])

    def test_a_suspect_worker_runs_one_task_that_ends_at_a_time(self):
        self.assertEqual(self.placed(), [])
        self.run.is_long_running = True
        occupy(self.suspect, 1000)
        self.assertEqual(self.placed(), [])


class TestLargeTaskAmongSmallOnes(unittest.TestCase):
    # Guards against a large task that never starts, as starving small ones of a stream
    # take the room that is reserved for it one after the other.
    def test_a_stream_of_small_jobs_does_not_starve_a_large_task(self):
        shared = worker("w1")
        pool = [shared, *(worker(f"w{i}") for i in range(2, 8))]
        ends = [(NOW + 3000, occupy(shared, 4000))]
        large = self.job("a" * 16, step(cpu=14000, estimate_ms=30_000), 0, NOW)
        waiting = []
        # One job of 3 s a second, and ten passes a second, for 60 s.
        for now in range(NOW, NOW + 60_000, 100):
            for end in [end for end in ends if end[0] <= now]:
                shared.remove_attempt(end[1])
                ends.remove(end)
            if now % 1000 == 0:
                spec = step(cpu=4000, estimate_ms=3000)
                waiting.append(self.job(f"{now:016x}", spec, 1, now))
            steps = order_steps([large, *waiting], now)
            for placement in Planner(QuotaBook()).plan(now, steps, pool).placements:
                if placement.step is large:
                    return
                waiting.remove(placement.step)
                run = occupy(shared, 4000, placement.step.key.job)
                run.is_backfill = placement.is_backfill
                ends.append((now + 3000, run))
        self.fail("the large task has not started within 60 s")

    def job(self, name, spec, priority, now):
        policy = PlacementPolicy(10.0, 1.0, 2000)
        of = queue(f"q{priority}", priority=priority, placement_policy=policy)
        made = first_step(name, [spec], of=of, seen_at=now)
        made.allowed = {"w1"}
        made.tickets = {"w1": Ticket("ticket", 10**9)}
        return made
