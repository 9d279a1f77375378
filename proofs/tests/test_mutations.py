"""Each proof fails when the mechanism that it covers is disabled."""

import unittest

from pimentomill.exceptions import InvariantError
from proofs.authority import MUTATIONS as AUTHORITY_MUTATIONS
from proofs.histories import check_answers, check_backends, check_keys, check_requests
from proofs.mutations import MUTATIONS
from proofs.points import POINTS
from proofs.soak import Soak

STEPS = 12_000
SEEDS = (1, 2, 3, 4)
HISTORY_CHECKS = {
    "digests are not compared": lambda: check_keys(1, 300),
    "answers are not matched": lambda: check_answers(1, 60),
    "lost answers count as not run": lambda: check_answers(1, 60),
    "claims of requests are forgotten": lambda: check_requests(1, 400),
    "leaving is not noticed": lambda: check_backends(1, 400),
}
SOAK_INVARIANTS = {
    "nothing is promised": "capacity is not exceeded",
    "lost tasks are not waited for": "no task in two places",
    "guard is always valid": "one holder at a time",
    "claims do not wait": "one holder at a time",
    "limits are not split": "limit is not exceeded",
    "older snapshots are taken": "configuration never reverts",
    "withdrawals are forgotten": "a job cancelled before its acceptance never runs",
}
PROCESS_MUTATIONS = {"killed instead of stopped"}


class MutationTest(unittest.TestCase):
    def test_histories_detect_mutations(self):
        for name, check in HISTORY_CHECKS.items():
            with self.subTest(name):
                check()
                with MUTATIONS[name](), self.assertRaises(InvariantError):
                    check()

    def test_soak_detects_mutations(self):
        for name, invariant in SOAK_INVARIANTS.items():
            with self.subTest(name), MUTATIONS[name]():
                self.assertTrue(any(self.violates(seed, invariant) for seed in SEEDS))

    @staticmethod
    def violates(seed, invariant):
        return invariant in Soak(seed).run(STEPS).failure

    def test_each_point_has_a_proof_and_a_mutation(self):
        known = {
            *HISTORY_CHECKS,
            *SOAK_INVARIANTS,
            *PROCESS_MUTATIONS,
            *AUTHORITY_MUTATIONS,
        }
        for point in POINTS:
            self.assertTrue(point.mutations, point.point)
            self.assertLessEqual(set(point.mutations), known)
