"""A leader and its successors start no task in two places, whatever is cut off."""

import unittest

from proofs.authority import (
    MUTATIONS,
    NO_TASK_TWICE,
    POWER_LOSS_S,
    SCENARIOS,
    measure,
    run_scenario,
    run_seed,
)

SEEDS = (1, 2)
SCENARIO_SEEDS = (1, 2)
MAX_WITHOUT_LEADER_S = 7.0
"""Seconds that the users' rules allow for contact (`ContactMs`) and for a calm time,
before work that waits counts as lost."""
MAX_ELECTION_S = 1.0
"""Seconds that the election of the new leader may take itself."""
DETECTIONS = {
    "a successor waits only for a lease": ("leader alone", 2),
    "a leader acts without proof": ("leader alone", 1),
    "enrolments are forgotten early": ("leader alone", 1),
    "refusals count as grants": ("store lost", 1),
    "a leader never lapses": ("join beside outage", 1),
    "an entry that is not enrolled claims at once": ("join beside outage", 1),
    "an append counts from its answer": ("pause after append", 1),
    "an entry claims while its grant is in force": ("claim after grant", 1),
    "ended entries are forgotten at once": ("claimant ends", 1),
    "a restarted process claims at once": ("claim after restart", 5),
    "listed addresses are not asked": ("leads after restart", 1),
    "entries that a claim names are not asked": ("claimant alone", 1),
    "any process proves for a listed address": ("leads after restart", 1),
    "lost runs are released without a later proof": ("worker lost first", 3),
    "inherited ends are not withheld": ("ends beside claim", 2),
    "a new incarnation of a worker is used at once": ("restart beside claim", 2),
}


class AuthorityTest(unittest.TestCase):
    # Guards against two leaders that start one task, beside random cuts and crashes.
    def test_no_invariant_is_violated_by_random_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = run_seed(seed)
                self.assertEqual(result.failures, {}, "\n".join(result.trace))
                self.assertGreater(result.leaders, 1)
                self.assertGreater(result.starts, 0)

    # Guards against the same in each case that one rule is for.
    def test_no_invariant_is_violated_by_scripted_cuts(self):
        for name in SCENARIOS:
            for seed in SCENARIO_SEEDS:
                with self.subTest(name, seed=seed):
                    result = run_scenario(name, seed)
                    self.assertEqual(result.failures, {}, "\n".join(result.trace))
                    self.assertGreater(result.leaders, 1)

    # Guards against accepted work that waits for half a minute on idle workers: entries
    # that have all restarted waited until a leader that is gone must have stepped down.
    def test_entries_that_restart_together_replace_a_leader_that_never_returns(self):
        self.check_replacement("power loss of all entries, the leader never returns")

    # Guards against the same where all lose power right after a change of the leader,
    # before the new one knows who may replace it.
    def test_a_leader_that_is_lost_right_after_its_claim_is_replaced(self):
        self.check_replacement(
            "power loss of all entries right after a change of the leader"
        )

    def check_replacement(self, power_loss):
        """Check how long no leader may act after the entries are back."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cost = measure(power_loss, seed)
                self.assertEqual(cost.failures, {})
                without_leader_s = cost.longest_without_leader_s - POWER_LOSS_S
                self.assertLess(without_leader_s, MAX_WITHOUT_LEADER_S)

    # Guards against accepted work that stands still because the whole store goes down
    # before the other entries have read the claim of a new leader.
    def test_a_leader_acts_on_while_the_store_is_down_right_after_its_claim(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                name = "store down for 20 s right after a change of the leader"
                cost = measure(name, seed)
                self.assertEqual(cost.failures, {})
                self.assertLess(cost.without_leader_s, MAX_ELECTION_S)

    # Guards against a model that a broken rule does not violate.
    def test_each_mutation_is_detected(self):
        self.assertEqual(set(DETECTIONS), set(MUTATIONS))
        for name, (scenario, seed) in DETECTIONS.items():
            with self.subTest(name), MUTATIONS[name]():
                result = run_scenario(scenario, seed)
                self.assertIn(NO_TASK_TWICE, result.failures)

    # Guards against a failing seed that can't be played again.
    def test_a_run_is_the_same_for_a_seed(self):
        first, second = (run_seed(4, 20.0) for _ in range(2))
        self.assertEqual(first, second)
