import unittest

from pimentomill.cell import CellState, GroupClaim, Member, Ownership
from pimentomill.ownership import (
    LeaseGuard,
    LeaseTracker,
    choose_claims,
    choose_evictions,
    choose_releases,
)
from pimentomill.utils import ManualClock

TERM_MS = 8_000
MARGIN_MS = 500


def member(name, renewal):
    return Member(name, name, "dc1", "p", "c", "a", renewal)


class GuardTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.guard = LeaseGuard(self.clock, TERM_MS, MARGIN_MS)

    def test_guard_is_invalid_before_the_first_renewal(self):
        self.assertFalse(self.guard.is_valid())

    def test_term_counts_from_before_the_renewal_was_sent(self):
        self.clock.advance(3_000)
        self.guard.renew(1_000)
        self.assertEqual(self.guard.remaining_ms(), 1_000 + 7_500 - 3_000)

    def test_guard_is_invalid_after_a_pause_past_the_deadline(self):
        self.guard.renew(0)
        self.clock.advance(60_000)
        self.assertFalse(self.guard.is_valid())

    def test_older_renewal_read_late_does_not_shorten_the_lease(self):
        self.guard.renew(2_000)
        self.guard.renew(1_000)
        self.assertEqual(self.guard.deadline_, 9_500)


class PolicyTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.leases = LeaseTracker(self.clock, TERM_MS, MARGIN_MS)
        self.state = CellState()
        for index, name in enumerate("abc"):
            self.state.members[name] = member(name, index)
        self.leases.observe(self.state)

    def hold(self, group, holder, epoch=10):
        self.state.groups[group] = Ownership(holder, epoch)

    def claims(self, me, groups, since=None):
        since = {} if since is None else since
        return choose_claims(self.state, groups, me, self.leases, since)

    def renew(self, *names):
        for name in names:
            self.state.members[name].renewal += 100
        self.leases.observe(self.state)

    def test_each_free_group_is_claimed_by_one_member_first(self):
        groups = [f"g{i}" for i in range(9)]
        claimed = [c.group for me in "abc" for c in self.claims(me, groups)]
        self.assertEqual(sorted(claimed), groups)

    def test_free_groups_are_spread_evenly(self):
        groups = [f"g{i}" for i in range(9)]
        counts = [len(self.claims(me, groups)) for me in "abc"]
        self.assertEqual(counts, [3, 3, 3])

    def test_next_in_rank_claims_when_the_first_does_not(self):
        since = {me: {} for me in "abc"}
        first = [me for me in "abc" if self.claims(me, ["g1"], since[me])]
        self.clock.advance(1_000)
        later = [me for me in "abc" if self.claims(me, ["g1"], since[me])]
        self.assertEqual((len(first), len(later)), (1, 3))

    def test_group_is_not_claimed_before_term_and_margin_have_passed(self):
        self.hold("g1", "a")
        for _ in range(4):
            self.clock.advance(2_000)
            self.renew("b", "c")
        self.clock.advance(MARGIN_MS - 1)
        self.assertEqual(self.claims("b", ["g1"]) + self.claims("c", ["g1"]), [])

    def test_claim_states_the_observed_epoch_and_renewal(self):
        self.hold("g1", "a")
        for _ in range(5):
            self.clock.advance(2_000)
            self.renew("b", "c")
        claims = self.claims("b", ["g1"]) + self.claims("c", ["g1"])
        self.assertEqual(claims, [GroupClaim("g1", 10, 0)])

    def test_entry_with_an_expired_lease_claims_nothing(self):
        self.clock.advance(TERM_MS + MARGIN_MS)
        self.renew("b")
        self.assertEqual(self.claims("a", ["g1"]), [])

    def test_overloaded_entry_releases_one_group(self):
        for i in range(3):
            self.hold(f"g{i}", "a")
        self.assertEqual(choose_releases(self.state, "a", self.leases), ["g2"])
        self.assertEqual(choose_releases(self.state, "b", self.leases), [])

    def test_difference_of_one_releases_no_group(self):
        self.hold("g1", "a")
        self.assertEqual(choose_releases(self.state, "a", self.leases), [])

    def test_expired_member_is_evicted_by_one_member_only(self):
        for _ in range(30):
            self.clock.advance(2_000)
            self.renew("b", "c")
        evictions = {me: choose_evictions(self.state, me, self.leases) for me in "bc"}
        self.assertEqual(evictions, {"b": [("a", 0)], "c": []})

    def test_expired_member_with_groups_is_not_evicted(self):
        self.hold("g1", "a")
        for _ in range(30):
            self.clock.advance(2_000)
            self.renew("b", "c")
        self.assertEqual(choose_evictions(self.state, "b", self.leases), [])
