"""Capacity that the planner keeps for one step while another one could use it."""

import unittest

from pimentomill.catalog import Team
from pimentomill.dispatch import Planner, QuotaBook
from pimentomill.utils import Resources

from .samples import first_step, queue, step, worker

NOW = 10_000


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
