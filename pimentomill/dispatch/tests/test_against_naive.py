"""Compare the planner with a naive one on seeded random loads."""

import random
import unittest
from unittest import mock

from pimentomill.catalog import Team
from pimentomill.dispatch import Planner, QuotaBook, _planner
from pimentomill.fleet import Attempt
from pimentomill.jobs import TaskKey
from pimentomill.utils import ZERO, Resources

from .samples import first_step, queue, step, worker

SEEDS = range(300)
PACKING_GAIN = 1.01
"""Minimum ratio of placed tasks to those of first fit."""


def naive_plan(steps, workers, quotas):
    """Return the tasks that first fit places, without gangs or reserved workers."""
    free = {item.info.worker: item.free for item in workers}
    planned = {}
    placed = 0
    for found in steps:
        need, team = found.spec.reserved, found.job.accepted.team
        for _ in found.waiting:
            used = planned.get(team, ZERO)
            fits = [name for name in free if need.fits_in(free[name])]
            if not fits or not quotas.allows(team, found.spec.need, used):
                break
            free[fits[0]] = free[fits[0]] - need
            planned[team] = used + found.spec.need
            placed += 1
    return placed


def draw_load(seed, gangs, widest=7000, most_steps=12):
    """Return random steps, workers and limits for a seed."""
    rng = random.Random(seed)
    sizes = [rng.choice((8000, 16000, 32000)) for _ in range(rng.randint(1, 8))]
    workers = [worker(f"w{i}", cpu=size) for i, size in enumerate(sizes)]
    steps = []
    for number in range(rng.randint(1, most_steps)):
        spec = step(
            count=rng.randint(1, 9),
            cpu=min(widest, rng.choice((500, 1500, 4000, 7000))),
            memory=rng.choice((100, 3000, 9000)),
            gang=gangs and rng.random() < 0.3,
            max_per_worker=rng.choice((0, 0, 0, 2)),
        )
        team = rng.choice("tu")
        steps.append(
            first_step(f"{number:016x}", [spec], of=queue(priority=1), team=team)
        )
    quotas = QuotaBook()
    quotas.teams = {"t": Team("t", 1.0, Resources(cpu_milli=rng.choice((0, 20000))))}
    return steps, workers, quotas


def shrink_some(seed, workers):
    """Shrink some workers, below what runs there or above it."""
    rng = random.Random(seed)
    for number, item in enumerate(workers):
        used = Resources(rng.choice((0, 3000, 8000)), rng.choice((0, 9000)), 0)
        task = TaskKey("f" * 16, 0, 0, number)
        item.add_attempt(Attempt(task, 1, item, used, 0))
        if rng.random() < 0.5:
            capacity = Resources(
                rng.choice((0, 600, 2000, 7000)), rng.choice((50, 4000, 32000)), 0
            )
            item.register(item.info._replace(capacity=capacity))


class TestAgainstNaive(unittest.TestCase):
    def check_plan(self, seed, plan, workers, quotas):
        used = {item.info.worker: ZERO for item in workers}
        counts, teams = {}, {}
        for item in plan.placements:
            spec, name = item.step.spec, item.worker.info.worker
            used[name] = used[name] + spec.reserved
            counts[item.step.key, name] = counts.get((item.step.key, name), 0) + 1
            team = item.step.job.accepted.team
            teams[team] = teams.get(team, ZERO) + spec.need
            if spec.max_per_worker:
                self.assertLessEqual(
                    counts[item.step.key, name], spec.max_per_worker, seed
                )
        for item in workers:
            self.assertTrue(used[item.info.worker].fits_in(item.info.capacity), seed)
        for team, total in teams.items():
            rights = quotas.teams.get(team)
            if rights and rights.limit.cpu_milli:
                self.assertLessEqual(total.cpu_milli, rights.limit.cpu_milli, seed)

    def test_plans_respect_capacity_limits_and_spreading(self):
        for seed in SEEDS:
            steps, workers, quotas = draw_load(seed, gangs=True)
            plan = Planner(quotas).plan(0, steps, workers)
            self.check_plan(seed, plan, workers, quotas)
            for found in steps:
                count = sum(item.step is found for item in plan.placements)
                if found.spec.gang:
                    self.assertIn(count, (0, found.spec.count), seed)

    def test_ranking_once_per_step_matches_a_scan_per_task(self):
        class Scan:
            def __init__(self, planner_pass, step, candidates):
                self.scan = lambda: planner_pass._best_candidate(step, candidates, -1)

            def best(self):
                return self.scan()

            def update(self, candidate):
                pass

        def chosen(seed):
            steps, workers, quotas = draw_load(seed, gangs=True)
            plan = Planner(quotas).plan(0, steps, workers)
            return [
                (item.step.key, item.index, item.worker.info.worker)
                for item in plan.placements
            ]

        for seed in SEEDS:
            ranked = chosen(seed)
            with mock.patch.object(_planner, "_Ranking", Scan):
                self.assertEqual(ranked, chosen(seed), seed)

    def check_steps_out_of_reach(self, change_workers):
        # With up to 60 steps most of these loads exceed the capacity several times.
        def planned(seed):
            steps, workers, quotas = draw_load(seed, gangs=True, most_steps=60)
            change_workers(seed, workers)
            plan = Planner(quotas).plan(0, steps, workers)
            placements = [
                (item.step.key, item.index, item.worker.info.worker)
                for item in plan.placements
            ]
            return placements, plan.reserved_for, plan.missing_tickets

        for seed in SEEDS:
            found = planned(seed)
            with mock.patch.object(_planner.Pool, "is_out_of_reach", return_value=0):
                self.assertEqual(found, planned(seed), seed)

    def test_steps_out_of_reach_change_no_plan(self):
        self.check_steps_out_of_reach(lambda seed, workers: None)

    def test_steps_out_of_reach_change_no_plan_beside_shrunk_workers(self):
        self.check_steps_out_of_reach(shrink_some)

    # Guards against passes that look at every worker for every waiting step, because a
    # single worker of a full cell has shrunk to nothing.
    def test_a_shrunk_worker_does_not_bring_steps_back_into_reach(self):
        workers = [worker(f"w{number}") for number in range(10)]
        for number, item in enumerate(workers):
            task = TaskKey("f" * 16, 0, 0, number)
            whole = item.info.capacity
            item.add_attempt(Attempt(task, 1, item, whole, 0))
        steps = [first_step(f"{number:016x}", [step()]) for number in range(20)]
        for cpu in (16000, 0, 900):
            capacity = Resources(cpu, 32000, 0)
            workers[0].register(workers[0].info._replace(capacity=capacity))
            with mock.patch.object(_planner._Pass, "_place_step") as place:
                Planner(QuotaBook()).plan(0, steps, workers)
            self.assertEqual(place.call_count, 0, cpu)

    def test_aligned_packing_places_more_than_first_fit(self):
        # Excludes tasks over half a worker, as the planner reserves workers for them.
        ours = naive = 0
        for seed in SEEDS:
            steps, workers, quotas = draw_load(seed, gangs=False, widest=4000)
            steps = [found for found in steps if not found.spec.max_per_worker]
            naive += naive_plan(steps, workers, quotas)
            ours += len(Planner(quotas).plan(0, steps, workers).placements)
        self.assertGreaterEqual(ours, PACKING_GAIN * naive)
