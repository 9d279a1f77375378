import unittest

import msgspec

from pimentomill.cell import (
    AllotmentDrawn,
    AllotmentReturned,
    CellFold,
    GroupClaim,
    GroupsClaimed,
    GroupsReleased,
    KeyGiven,
    KeyWithdrawn,
    MemberEvicted,
    MemberJoined,
    MemberRenewed,
    TeamRemoved,
    TeamSet,
    allotted_total,
)
from pimentomill.exceptions import InvariantError
from pimentomill.journal import decode_envelope, encode_envelope
from pimentomill.utils import Resources

LIMIT = Resources(10_000, 10_000, 2)


class FoldCase(unittest.TestCase):
    def setUp(self):
        self.fold = CellFold()
        self.seq = 0

    @property
    def state(self):
        return self.fold.state_

    def apply(self, record, writer="w", seq=None):
        self.seq += 1
        payload = encode_envelope(writer, seq or self.seq, record)
        return self.fold.apply(self.state.next_offset, decode_envelope(payload))

    def join(self, member):
        record = MemberJoined(member, 0, member, "dc1", "p", "c", "a")
        return self.apply(record)

    def claim(self, member, group="g1", epoch=-1, renewal=-1):
        return self.apply(GroupsClaimed(member, [GroupClaim(group, epoch, renewal)]))


class CellFoldTest(FoldCase):
    def test_first_claim_on_an_epoch_wins(self):
        self.join("a")
        self.join("b")
        self.assertEqual(self.claim("a").refusal, "")
        self.assertNotEqual(self.claim("b").refusal, "")
        self.assertEqual(self.state.ownership("g1").holder, "a")
        self.assertEqual(self.state.ownership("g1").epoch, 2)

    def test_renewal_that_the_claimant_did_not_see_voids_its_claim(self):
        self.join("a")
        self.join("b")
        epoch = self.claim("a").offset
        seen = self.state.members["a"].renewal
        self.apply(MemberRenewed("a", 0))
        self.assertNotEqual(self.claim("b", "g1", epoch, seen).refusal, "")
        self.assertEqual(self.state.ownership("g1").holder, "a")

    def test_claim_after_the_last_renewal_takes_the_group(self):
        self.join("a")
        self.join("b")
        epoch = self.claim("a").offset
        seen = self.state.members["a"].renewal
        self.assertEqual(self.claim("b", "g1", epoch, seen).refusal, "")

    def test_released_group_is_free(self):
        self.join("a")
        self.join("b")
        self.claim("a")
        epoch = self.apply(GroupsReleased("a", ["g1"])).offset
        self.assertEqual(self.claim("b", "g1", epoch).refusal, "")

    def test_stranger_can_not_claim(self):
        self.assertNotEqual(self.claim("x").refusal, "")

    def test_eviction_is_void_if_the_member_renewed_or_holds_groups(self):
        self.join("a")
        seen = self.state.members["a"].renewal
        self.apply(MemberRenewed("a", 0))
        self.assertNotEqual(self.apply(MemberEvicted("a", seen)).refusal, "")
        self.claim("a")
        seen = self.state.members["a"].renewal
        self.assertNotEqual(self.apply(MemberEvicted("a", seen)).refusal, "")

    def test_repeat_of_a_record_is_dropped(self):
        self.apply(TeamSet("kiln", 1, LIMIT, -1), "a", 1)
        self.apply(TeamSet("kiln", 2, LIMIT, 0), "a", 2)
        self.assertIsNone(self.apply(TeamSet("kiln", 1, LIMIT, -1), "a", 1))
        self.assertEqual(self.state.teams["kiln"].share, 2)

    def test_skipped_record_is_noticed(self):
        payload = encode_envelope("w", 1, TeamSet("kiln", 1, LIMIT, -1))
        with self.assertRaises(InvariantError):
            self.fold.apply(3, decode_envelope(payload))

    def test_second_of_two_racing_operators_is_refused(self):
        version = self.apply(TeamSet("kiln", 1, LIMIT, -1)).offset
        self.assertEqual(self.apply(TeamSet("kiln", 2, LIMIT, version)).refusal, "")
        refused = self.apply(TeamSet("kiln", 3, LIMIT, version))
        self.assertIn("expected", refused.refusal)
        self.assertEqual(self.state.teams["kiln"].share, 2)

    def test_removed_team_takes_its_keys_along(self):
        version = self.apply(TeamSet("kiln", 1, LIMIT, -1)).offset
        self.apply(KeyGiven("k1", "kiln", "d", ""))
        self.apply(TeamRemoved("kiln", version))
        self.assertEqual(self.state.keys, {})

    def test_withdrawn_key_is_gone(self):
        self.apply(TeamSet("kiln", 1, LIMIT, -1))
        self.apply(KeyGiven("k1", "kiln", "d", ""))
        self.apply(KeyWithdrawn("k1"))
        self.assertNotIn("k1", self.state.keys)

    def test_state_survives_encoding(self):
        self.join("a")
        self.claim("a")
        self.apply(TeamSet("kiln", 1, LIMIT, -1))
        packed = msgspec.msgpack.encode(self.state)
        again = msgspec.msgpack.decode(packed, type=type(self.state))
        self.assertEqual(again, self.state)


class EscrowTest(FoldCase):
    def setUp(self):
        super().setUp()
        self.join("a")
        self.epochs = {g: self.claim("a", g).offset for g in ("g1", "g2")}
        self.version = self.apply(TeamSet("kiln", 1, LIMIT, -1)).offset

    def draw(self, group, cpu):
        record = AllotmentDrawn("kiln", group, self.epochs[group], Resources(cpu))
        return self.apply(record)

    def give_back(self, group, cpu):
        amount = Resources(cpu)
        record = AllotmentReturned("kiln", group, self.epochs[group], amount)
        return self.apply(record)

    def allotment(self, group):
        amounts = self.state.allotments.get("kiln", {})
        return amounts.get(group, Resources()).cpu_milli

    def test_grants_never_exceed_the_limit(self):
        self.draw("g1", 7_000)
        self.draw("g2", 7_000)
        self.assertEqual((self.allotment("g1"), self.allotment("g2")), (7_000, 3_000))

    def test_what_is_given_back_goes_to_who_waits(self):
        self.draw("g1", 10_000)
        self.draw("g2", 4_000)
        self.give_back("g1", 6_000)
        self.assertEqual((self.allotment("g1"), self.allotment("g2")), (4_000, 4_000))

    def test_more_than_the_allotment_can_not_be_given_back(self):
        self.draw("g1", 1_000)
        self.assertNotEqual(self.give_back("g1", 2_000).refusal, "")

    def test_lowered_limit_grants_nothing_until_enough_is_back(self):
        self.draw("g1", 10_000)
        limit = Resources(4_000, 10_000, 2)
        self.apply(TeamSet("kiln", 1, limit, self.version))
        self.draw("g2", 1_000)
        self.give_back("g1", 5_000)
        self.assertEqual(self.allotment("g2"), 0)
        self.give_back("g1", 3_000)
        self.assertEqual(self.allotment("g2"), 1_000)
        self.assertTrue(allotted_total(self.state, "kiln").fits_in(limit))

    def test_raised_limit_is_granted_to_who_waits(self):
        self.draw("g1", 10_000)
        self.draw("g2", 2_000)
        limit = Resources(20_000, 10_000, 2)
        self.apply(TeamSet("kiln", 1, limit, self.version))
        self.assertEqual(self.allotment("g2"), 2_000)

    def test_holder_of_an_old_epoch_draws_nothing(self):
        self.epochs["g1"] -= 1
        self.assertNotEqual(self.draw("g1", 1_000).refusal, "")
