import unittest

from pimentomill.replica import (
    ANY_GRANTOR,
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
    LISTED_MS,
    MAX_LIST_AGE_MS,
    NAMED_CLAIM_MS,
    NAMED_MS,
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


class TestListedEntry(unittest.TestCase):
    """An entry that has restarted, at an address that the leader lists."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.grantor = Grantor(self.clock)
        self.grantor.apply_list(LEADER)
        self.grantor.record_reachable()

    def may_claim(self, leader=LEADER, replay_age_ms=0):
        return self.grantor.may_claim(leader, 0, replay_age_ms)

    # Guards against a wait of 26 s of entries that have all restarted.
    def test_a_restarted_entry_that_the_leader_lists_may_claim(self):
        self.clock.advance(GRANT_MS)
        self.assertTrue(self.may_claim())

    # Guards against two leaders: the leader goes on after it found that nothing listens
    # at the address.
    def test_the_start_of_a_process_counts_as_a_grant(self):
        self.clock.advance(GRANT_MS - 1)
        self.assertFalse(self.may_claim())
        self.grantor.record_reachable()
        self.clock.advance(1)
        self.assertTrue(self.may_claim())

    def test_a_grant_binds_an_entry_that_is_listed(self):
        self.clock.advance(GRANT_MS)
        self.grantor.grant(LEADER, LEADER, CURRENT_AGE_MS)
        self.assertFalse(self.may_claim())

    # Guards against two leaders: the leader may have left the address out since.
    def test_a_list_that_may_be_out_of_date_is_not_relied_on(self):
        self.clock.advance(GRANT_MS)
        self.assertTrue(self.may_claim(replay_age_ms=MAX_LIST_AGE_MS - 1))
        self.assertFalse(self.may_claim(replay_age_ms=MAX_LIST_AGE_MS))
        self.grantor.apply_list(None)
        self.assertFalse(self.may_claim())

    def test_the_list_of_another_leader_does_not_count(self):
        self.clock.advance(GRANT_MS)
        for other in (LeaseRequest(4, "life-l"), LeaseRequest(3, "life-m")):
            self.assertFalse(self.may_claim(other))

    def test_a_process_that_is_not_reachable_yet_does_not_claim(self):
        grantor = Grantor(self.clock)
        grantor.apply_list(LEADER)
        self.clock.advance(10 * GRANT_MS)
        self.assertFalse(grantor.may_claim(LEADER, 0))


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


class TestListedAddresses(unittest.TestCase):
    """A leader that has listed an address, before and after a process there ends."""

    def setUp(self):
        self.clock = ManualClock(100_000)
        self.enrolments = Enrolments(self.clock)
        self.enrolments.add("life-a", "a1")
        self.enrolments.begin_listing(["a1"])

    def required(self, stored_at=0):
        return self.enrolments.required(stored_at)

    def ungranted(self, requested_at):
        names = list(self.required())
        return self.enrolments.ungranted(names, requested_at, 0)

    def find_ended(self):
        """Let the process grant a lease, and find 1 s later that it has ended."""
        self.enrolments.record_grant("life-a", self.clock.now())
        self.clock.advance(1000)
        self.enrolments.record_end("life-a", self.clock.now())
        [name] = self.required()
        return name

    # Guards against two leaders: another process at the address relies on the list.
    def test_a_listed_address_is_asked_after_the_end_of_its_process(self):
        name = self.find_ended()
        self.assertEqual(self.required(), {name: "a1"})
        self.assertEqual(self.enrolments.grantor_of(name), ANY_GRANTOR)
        self.assertEqual(self.ungranted(self.clock.now()), [name])

    # Guards against leases of workers that end because an entry restarts while the
    # store is down.
    def test_answers_without_a_gap_prove_that_no_process_there_has_claimed(self):
        name = self.find_ended()
        for record in (self.enrolments.record_end, self.enrolments.record_grant):
            self.clock.advance(1400)
            record(name, self.clock.now())
            self.assertEqual(self.ungranted(self.clock.now()), [])

    # Guards against two leaders: an unknown process there may have claimed meanwhile.
    def test_an_answer_after_a_gap_proves_nothing(self):
        for record in (Enrolments.record_end, Enrolments.record_grant):
            with self.subTest(record.__name__):
                self.setUp()
                name = self.find_ended()
                self.clock.advance(AUTHORITY_MS)
                for _ in range(3):
                    record(self.enrolments, name, self.clock.now())
                    self.assertEqual(self.ungranted(self.clock.now()), [name])
                    self.clock.advance(100)

    def test_a_process_that_enrols_is_asked_instead_of_its_address(self):
        self.find_ended()
        self.enrolments.add("life-b", "a1")
        self.assertEqual(self.required(), {"life-b": "a1"})

    # Guards against two leaders: an entry has read the list before the address was
    # left out, and the store carries out its claim late.
    def test_an_address_is_asked_until_no_claim_by_an_earlier_list_can_show(self):
        self.enrolments.observe_list([])
        latest = self.clock.now() + int(MAX_LIST_AGE_MS * FASTEST) + LATE_CLAIM_MS
        self.clock.advance(100_000)
        self.assertEqual(set(self.required(latest).values()), {"a1"})
        self.assertEqual(self.required(self.clock.now()), {})

    def test_an_address_that_is_listed_again_is_asked(self):
        self.enrolments.observe_list([])
        self.enrolments.begin_listing(["a1"])
        self.clock.advance(100_000)
        self.assertEqual(set(self.required(self.clock.now()).values()), {"a1"})

    def test_entries_that_have_enrolled_recently_are_listed(self):
        self.clock.advance(LISTED_MS - 1)
        self.enrolments.add("life-b", "b1")
        self.assertEqual(self.enrolments.listable(), ("a1", "b1"))
        self.clock.advance(1)
        self.assertEqual(self.enrolments.listable(), ("b1",))
        self.required()
        self.assertEqual(self.enrolments.listable(), ("b1",))

    # Guards against two leaders: a process that the claim names, and others that run at
    # its address later, rely on the list until a later one without it has been read.
    def test_an_entry_that_a_claim_names_is_asked_until_it_is_left_out(self):
        self.assertEqual(self.enrolments.begin_claim({"life-c": "c1"}), ("c1",))
        self.assertEqual(self.required(), {"life-a": "a1", "life-c": "c1"})
        self.clock.advance(NAMED_CLAIM_MS)
        self.assertIn("c1", self.required(self.clock.now()).values())
        self.enrolments.observe_list([])
        self.clock.advance(NAMED_CLAIM_MS)
        self.assertNotIn("c1", self.required(self.clock.now()).values())

    def test_a_named_entry_is_listed_for_as_long_as_it_may_take_to_enrol(self):
        self.enrolments.begin_claim({"life-b": "b1", "life-c": "c1"})
        self.clock.advance(NAMED_MS - 1)
        self.enrolments.add("life-b", "b1")
        self.assertEqual(self.enrolments.listable(), ("a1", "b1", "c1"))
        self.clock.advance(1)
        self.assertEqual(self.enrolments.listable(), ("a1", "b1"))

    # Guards against a leader that cannot act while the store is down, for want of a
    # lease of an entry that only an earlier claim or list of it has named.
    def test_a_claim_ends_the_lists_before(self):
        self.enrolments.begin_claim({"life-b": "b1", "life-c": "c1"})
        self.enrolments.add("life-b", "b1")
        self.enrolments.begin_claim({"life-d": "d1"})
        enrolled = {"life-a": "a1", "life-b": "b1"}
        self.assertEqual(self.required(), {**enrolled, "life-d": "d1"})
        self.clock.advance(100_000)
        self.assertEqual(set(self.required(self.clock.now()).values()), {"d1"})
