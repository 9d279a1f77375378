import unittest

from pimentomill.replica import (
    AUTHORITY_MS,
    ENROLMENT_MS,
    GRANT_MS,
    MAX_APPEND_SILENCE_MS,
    Enrolments,
    Grantor,
    GrantRefusal,
    LeaseRequest,
)
from pimentomill.replica._grants import (
    CURRENT_AGE_MS,
    LATE_CLAIM_MS,
    UNENROLLED_SILENCE_MS,
)
from pimentomill.utils import ManualClock

LEADER = LeaseRequest(3, "life-l")
FASTEST = 1.02 / 0.98
"""Largest ratio of two clocks."""


class TestGrantor(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1000)
        self.grantor = Grantor(self.clock)

    def enrol(self):
        self.grantor.enrol(LEADER.incarnation, self.clock.now())

    def grant(self, known=LEADER, age_ms=CURRENT_AGE_MS):
        return self.grantor.grant(LEADER, known, age_ms)

    def may_claim(self, silence_ms=0, leader=LEADER):
        return self.grantor.may_claim(leader, silence_ms)

    def test_an_enrolled_entry_may_claim(self):
        self.enrol()
        self.assertTrue(self.may_claim())

    # Guards against a claim of an entry that the leader does not ask for a lease.
    def test_an_entry_that_is_not_enrolled_may_claim_only_after_a_long_silence(self):
        self.assertFalse(self.may_claim(UNENROLLED_SILENCE_MS - 1))
        self.assertTrue(self.may_claim(UNENROLLED_SILENCE_MS))

    def test_an_enrolment_ends(self):
        self.enrol()
        self.clock.advance(ENROLMENT_MS)
        self.assertFalse(self.may_claim())

    def test_an_enrolment_at_another_leader_does_not_count(self):
        self.enrol()
        self.assertFalse(self.may_claim(leader=LeaseRequest(4, "life-m")))

    # Guards against a successor of a leader that acts on the lease of that very entry.
    def test_an_entry_that_has_granted_a_lease_does_not_claim(self):
        self.enrol()
        self.assertIsNone(self.grant())
        self.clock.advance(GRANT_MS - 1)
        self.assertFalse(self.may_claim(UNENROLLED_SILENCE_MS))
        self.clock.advance(1)
        self.assertTrue(self.may_claim())

    # Guards against two leaders where one clock is faster than the other.
    def test_an_entry_on_a_faster_clock_waits_for_longer_than_the_leader_acts(self):
        self.assertGreater(GRANT_MS, AUTHORITY_MS * FASTEST)
        self.assertGreater(UNENROLLED_SILENCE_MS, MAX_APPEND_SILENCE_MS * FASTEST)

    def test_a_grant_binds_only_against_its_leader(self):
        self.grant()
        self.grantor.enrol("life-m", self.clock.now())
        self.assertTrue(self.may_claim(leader=LeaseRequest(4, "life-m")))

    # Guards against a lease granted while a claim is on its way to the store.
    def test_an_entry_that_has_claimed_grants_nothing(self):
        self.grantor.record_claim(4)
        self.assertIs(self.grant(), GrantRefusal.CLAIMED)

    def test_a_lease_is_granted_only_to_the_leader_on_record(self):
        for known in (None, LeaseRequest(4, "life-l"), LeaseRequest(3, "life-m")):
            self.assertIs(self.grant(known), GrantRefusal.OTHER_LEADER)

    # Guards against a leader without the store that keeps its replacement away.
    def test_an_entry_that_reads_the_store_grants_nothing(self):
        refusal = self.grant(age_ms=CURRENT_AGE_MS - 1)
        self.assertIs(refusal, GrantRefusal.STORE_REACHABLE)
        self.enrol()
        self.assertTrue(self.may_claim())


class TestEnrolments(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1000)
        self.enrolments = Enrolments(self.clock)
        self.enrolments.add("life-a", "a1")

    def required(self, stored_at=0):
        return self.enrolments.required(stored_at)

    def test_an_enrolled_entry_is_asked(self):
        self.assertEqual(self.required(), {"life-a": "a1"})

    # Guards against a lease without an entry that may have claimed meanwhile.
    def test_an_entry_is_asked_until_the_store_shows_that_it_made_no_claim(self):
        self.clock.advance(10 * ENROLMENT_MS)
        self.assertEqual(set(self.required(1000 + ENROLMENT_MS)), {"life-a"})
        self.assertEqual(self.required(self.clock.now()), {})

    # Guards against two leaders: an entry on a slower clock claims while its enrolment
    # lasts there, and the store carries out the claim late.
    def test_an_entry_is_asked_until_its_latest_claim_would_show(self):
        latest_ms = ENROLMENT_MS * FASTEST + LATE_CLAIM_MS
        self.assertEqual(set(self.required(1000 + int(latest_ms))), {"life-a"})

    # Guards against a claim that the store carries out after its entry has ended.
    def test_an_entry_that_has_ended_is_asked_until_a_late_claim_would_show(self):
        self.enrolments.record_end("life-a")
        ended_at = self.clock.now()
        self.assertEqual(set(self.required(ended_at)), {"life-a"})
        self.assertEqual(set(self.required(ended_at + LATE_CLAIM_MS - 1)), {"life-a"})
        self.assertEqual(self.required(ended_at + LATE_CLAIM_MS), {})

    def test_an_entry_that_ends_while_its_grant_lasts_is_not_asked_again(self):
        self.enrolments.record_grant("life-a", self.clock.now())
        self.clock.advance(AUTHORITY_MS - 1)
        self.enrolments.record_end("life-a")
        self.assertEqual(self.required(), {})

    def test_a_grant_that_is_over_proves_nothing_of_an_entry_that_has_ended(self):
        self.enrolments.record_grant("life-a", self.clock.now())
        self.clock.advance(AUTHORITY_MS)
        self.enrolments.record_end("life-a")
        self.assertEqual(set(self.required()), {"life-a"})

    def test_a_new_incarnation_at_an_address_shows_the_end_of_the_one_before(self):
        self.enrolments.add("life-b", "a1")
        late = self.clock.now() + LATE_CLAIM_MS
        self.assertEqual(set(self.required()), {"life-a", "life-b"})
        self.assertEqual(set(self.required(late)), {"life-b"})

    def test_an_entry_that_enrols_again_stays_enrolled(self):
        self.clock.advance(ENROLMENT_MS)
        self.enrolments.add("life-a", "a2")
        self.assertEqual(self.required(1000 + 2 * ENROLMENT_MS), {"life-a": "a2"})
