import unittest

from pimentomill.replica import (
    AUTHORITY_MS,
    MAX_APPEND_SILENCE_MS,
    Authority,
    authority_end_bound,
)

CLAIMED_AT = 1000
READ_AT = 1100


class TestAuthority(unittest.TestCase):
    def setUp(self):
        self.read_at = None
        self.authority = Authority(CLAIMED_AT, READ_AT, lambda: self.read_at)

    # Guards against a leader that acts for long without a proof that it still leads.
    def test_it_ends_a_term_after_the_latest_proof(self):
        end = READ_AT + AUTHORITY_MS
        self.assertTrue(self.authority.is_valid(end - 1))
        self.assertFalse(self.authority.is_valid(end))

    # Guards against two leaders: the successor has to wait longer than the other acts.
    def test_a_successor_on_a_faster_clock_waits_for_longer_than_the_term(self):
        fastest = 1.02 / 0.98
        wait_ms = authority_end_bound(READ_AT) - READ_AT
        self.assertGreater(wait_ms, AUTHORITY_MS * fastest)

    def test_each_kind_of_proof_counts_from_its_request(self):
        self.authority.prove_by_append(2000, now=2300)
        self.assertEqual(self.authority.proven_at_, 2000)
        self.read_at = 2500
        self.assertEqual(self.authority.proven_at_, 2500)
        self.authority.prove_by_grants(2700, now=2900)
        self.assertEqual(self.authority.proven_at_, 2700)
        self.assertEqual(self.authority.stored_at_, 2500)

    def test_an_older_proof_changes_nothing(self):
        self.authority.prove_by_append(3000, now=3010)
        self.authority.prove_by_grants(2000, now=3020)
        self.assertEqual(self.authority.proven_at_, 3000)

    # Guards against workers that are taken for gone after a later leader has renewed
    # their leases.
    def test_it_covers_the_time_up_to_the_proof(self):
        self.authority.prove_by_append(2000, now=4000)
        self.assertTrue(self.authority.covers(2000))
        self.assertFalse(self.authority.covers(2001))

    # Guards against an entry that has never enrolled and claims after a long silence.
    def test_it_lapses_for_good_without_an_append(self):
        end = CLAIMED_AT + MAX_APPEND_SILENCE_MS
        self.read_at = end - 1
        self.assertTrue(self.authority.is_valid(end - 1))
        self.assertFalse(self.authority.is_valid(end))
        self.authority.prove_by_append(end - 1, now=end)
        self.authority.prove_by_grants(end - 1, now=end)
        self.assertFalse(self.authority.is_valid(end))
        self.assertTrue(self.authority.has_lapsed(end))

    def test_it_ends_with_the_leadership(self):
        self.authority.end()
        self.read_at = 2000
        self.authority.prove_by_append(2000, now=2000)
        self.assertFalse(self.authority.is_valid(READ_AT))
        self.assertFalse(self.authority.covers(2000))
