"""Randomised simulations with fixed seeds."""

import unittest

from proofs.soak import Soak

SEEDS = (1, 2, 3, 11, 23)
STEPS = 15_000


class SoakTest(unittest.TestCase):
    def test_no_invariant_is_violated(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = Soak(seed).run(STEPS)
                self.assertEqual(result.failure, "", "\n".join(result.trace))

    def test_run_is_deterministic_for_a_seed(self):
        first, second = (Soak(5).run(5_000) for _ in range(2))
        self.assertEqual(first, second)
