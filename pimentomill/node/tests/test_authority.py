"""What an entry proves, grants and claims as a leader and beside one."""

import asyncio
import unittest
from unittest import mock

import msgspec

from pimentomill.control import ControlSettings
from pimentomill.jobs import KeyedRecord
from pimentomill.links import LeaseOutcome, LeaseQuery
from pimentomill.node import CellNode, MemberRecord, NodeSettings, _node
from pimentomill.node._election import Claim
from pimentomill.node._records import member_key
from pimentomill.replica import (
    GRANT_MS,
    GRANTORS_KEY,
    LEADER_KEY,
    GrantorList,
    GrantRefusal,
    LeaderRecord,
    LeaseRequest,
)
from pimentomill.standins import MemoryStore, MemoryWorkers
from pimentomill.telemetry import CellMetrics
from pimentomill.utils import ManualClock

NOW = 10_000
READ_AT = 9000
CLAIMED_AT = 8900


class FakeLinks:
    def __init__(self):
        self.queries = []

    async def request_lease(self, address, query):
        self.queries.append((address, query))
        return LeaseOutcome.GRANTED


class TestAuthority(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.links = FakeLinks()
        self.node = CellNode(
            NodeSettings("n1", "127.0.0.1:1", key_term_ms=1000),
            ControlSettings(),
            MemoryStore(),
            MemoryWorkers(),
            None,
            lambda key, value: None,
            lambda key, value: None,
            self.links,
            ManualClock(NOW),
            CellMetrics(),
        )
        self.never = self.node.work.current_as_of_
        self.node.work.current_as_of_ = READ_AT

    def apply_leader(self, epoch, incarnation, resigned=False):
        record = LeaderRecord(epoch, "n", incarnation, resigned)
        value = msgspec.msgpack.encode(record)
        self.node._apply_work(KeyedRecord(LEADER_KEY, value))

    async def lead(self):
        """Return what the leader is created with."""
        with mock.patch.object(_node, "Leader", autospec=True) as leader_type:
            leader_type.return_value.usage = mock.Mock()
            leader_type.return_value.run = mock.AsyncMock(return_value="end")
            await self.node._lead(1, Claim(7, CLAIMED_AT))
        return leader_type.call_args.args

    # Guards against two leaders: the authority counts from a time after which another
    # entry may have claimed.
    async def test_the_first_proof_is_the_read_that_returned_the_claim(self):
        *_, authority, grant_round = await self.lead()
        self.assertEqual(authority.proven_at_, READ_AT)
        self.assertEqual(authority.appended_at_, CLAIMED_AT)

    # Guards against two leaders: a replaced leader goes on reading the store.
    async def test_a_read_proves_the_authority_only_of_the_leader_on_record(self):
        *_, authority, grant_round = await self.lead()
        self.apply_leader(1, self.node.incarnation)
        self.node.work.current_as_of_ = READ_AT + 500
        self.assertEqual(authority.proven_at_, READ_AT + 500)
        for epoch, incarnation, resigned in (
            (1, self.node.incarnation, True),
            (2, "life-2", False),
        ):
            self.apply_leader(epoch, incarnation, resigned)
            self.node.work.current_as_of_ += 100
            self.assertEqual(authority.proven_at_, READ_AT + 500)

    # Guards against leases of all workers that end while the whole store is down.
    async def test_a_leader_asks_the_entries_that_have_enrolled(self):
        *_, authority, grant_round = await self.lead()
        self.node.enrol("life-2", "a2")
        self.assertTrue(await grant_round(READ_AT))
        query = LeaseQuery(1, self.node.incarnation, "life-2")
        self.assertEqual(self.links.queries, [("a2", query)])

    def apply_list(self, addresses, epoch=3, incarnation="life-2"):
        listed = GrantorList(epoch, incarnation, tuple(addresses))
        value = msgspec.msgpack.encode(listed)
        self.node._apply_work(KeyedRecord(GRANTORS_KEY, value))

    # Guards against entries that wait for 26 s as they have all restarted.
    def test_an_entry_that_the_leader_lists_may_claim(self):
        candidate = self.node._candidate
        self.node.work.current_as_of_ = NOW + GRANT_MS
        self.apply_leader(3, "life-2")
        self.node.grantor.record_reachable()
        self.node.clock.advance(GRANT_MS)
        self.assertFalse(candidate._may_claim())
        self.apply_list(["127.0.0.1:1", "127.0.0.2:1"])
        self.assertTrue(candidate._may_claim())
        self.apply_list(["127.0.0.2:1"])
        self.assertFalse(candidate._may_claim())

    # Guards against two leaders: a newer list that can't be read may leave it out.
    def test_a_list_that_cannot_be_read_ends_the_one_before(self):
        self.apply_list(["127.0.0.1:1"])
        self.node._apply_work(KeyedRecord(GRANTORS_KEY, b"\xc1"))
        self.assertIsNone(self.node.grantor.describe()["listed_by"])

    # Guards against a leader that acts without an entry that relies on its list.
    def test_a_leader_stores_the_entries_that_it_asks(self):
        leader = mock.Mock()
        leader.record.epoch = 3
        self.node.enrol("life-2", "a2")
        required = []

        def replace_extra_record(record):
            required.append(set(self.node.enrolments._listed_until))

        leader.progress_writer.replace_extra_record = replace_extra_record
        for _ in range(2):
            self.node.grantor_lister._store(leader)
        self.assertEqual(required, [{"a2"}])

    # Guards against two leaders: where the store is slow, a list is read after the next
    # one has been sent, and an address that is only on that one was soon left out.
    def test_an_address_of_the_newest_list_is_asked_after_an_earlier_list_is_read(self):
        leader = mock.Mock()
        leader.record.epoch = 3
        lister = self.node.grantor_lister
        for incarnation, address in (("life-2", "a2"), ("life-3", "a3")):
            self.node.enrol(incarnation, address)
            lister._store(leader)
        for addresses in (["a2"], ["a2", "a3"]):
            self.apply_list(addresses, 3, self.node.incarnation)
        self.node.clock.advance(100_000)
        required = self.node.enrolments.required(self.node.clock.now())
        self.assertEqual(set(required.values()), {"a2", "a3"})

    # Guards against leases of workers that end because an entry restarts while the
    # store is down.
    def test_an_entry_that_has_read_nothing_grants_a_lease(self):
        self.assertIs(self.grant(), GrantRefusal.OTHER_LEADER)
        self.node.work.current_as_of_ = self.never
        self.assertIsNone(self.grant())

    def grant(self, epoch=3, incarnation="life-2"):
        return self.node.grant_lease(LeaseRequest(epoch, incarnation))

    def test_a_lease_is_granted_to_the_leader_on_record(self):
        self.assertIs(self.grant(), GrantRefusal.OTHER_LEADER)
        self.apply_leader(3, "life-2")
        self.assertIsNone(self.grant())
        self.assertIs(self.grant(2), GrantRefusal.OTHER_LEADER)

    # Guards against leases of all workers that end because the store has gone down
    # before the other entries have read the claim of the leader.
    def test_a_lease_is_granted_to_a_leader_whose_claim_has_not_been_read(self):
        for resigned in (False, True):
            self.apply_leader(2, "life-1", resigned)
            self.assertIsNone(self.grant())
        self.node.work.current_as_of_ = NOW
        self.assertIs(self.grant(), GrantRefusal.STORE_REACHABLE)

    # Guards against two leaders: the entry knows only that the one before has resigned.
    def test_a_lease_of_a_leader_whose_claim_has_not_been_read_binds_as_well(self):
        candidate = self.node._candidate
        self.apply_leader(2, "life-1", resigned=True)
        self.assertTrue(candidate._may_claim())
        self.assertIsNone(self.grant())
        self.assertFalse(candidate._may_claim())
        self.node.clock.advance(GRANT_MS)
        self.assertTrue(candidate._may_claim())

    # Guards against two leaders: a lease to an earlier leader replaced the one that
    # binds this entry once it has read the claim.
    def test_a_leader_before_one_that_was_granted_a_lease_is_granted_none(self):
        self.apply_leader(2, "life-1")
        self.assertIsNone(self.grant(2, "life-1"))
        self.assertIsNone(self.grant(3, "life-2"))
        self.assertIs(self.grant(2, "life-1"), GrantRefusal.OTHER_LEADER)
        self.apply_leader(3, "life-2")
        candidate = self.node._candidate
        candidate._on_heartbeat("life-2", True, NOW)
        self.assertFalse(candidate._may_claim())

    # Guards against entries that wait for 26 s: the leader is lost together with all
    # others right after its claim, before it has stored whom it asks.
    async def test_a_claim_names_the_other_entries_but_the_latest_leaders(self):
        self.apply_leader(1, "life-0")
        self.apply_leader(2, "life-1")
        for name in "0123":
            member = MemberRecord(f"m{name}", f"a{name}", f"life-{name}")
            value = msgspec.msgpack.encode(member)
            self.node._apply_work(KeyedRecord(member_key(f"m{name}"), value))
        await self.node._candidate._claim(3)
        keys = [record.key for record in self.node.store.records("work")]
        self.assertEqual(keys, [LEADER_KEY, GRANTORS_KEY])
        stored = self.node.store.records("work")[1].value
        listed = msgspec.msgpack.decode(stored, type=GrantorList)
        expected = GrantorList(3, self.node.incarnation, ("a2", "a3"))
        self.assertEqual(listed, expected)

    # Guards against two leaders: an entry that the claim has named replaces the leader,
    # which acts on as none has enrolled.
    async def test_a_leader_asks_the_entries_that_its_claim_has_named(self):
        value = msgspec.msgpack.encode(MemberRecord("m2", "a2", "life-2"))
        self.node._apply_work(KeyedRecord(member_key("m2"), value))
        required = []

        async def append(stream, records, writer=None):
            required.append(self.node.enrolments.required(0))

        self.node._candidate.store.append = append
        self.node._candidate.work = mock.AsyncMock()
        await self.node._candidate._claim(3)
        self.assertEqual(required, [{"life-2": "a2"}])

    # Guards against a lease granted beside the claim that a resignation permits.
    def test_a_leader_that_has_resigned_is_granted_no_lease(self):
        self.apply_leader(3, "life-2", resigned=True)
        self.assertIs(self.grant(), GrantRefusal.OTHER_LEADER)

    # Guards against a leader without the store that keeps its replacement away.
    def test_an_entry_that_reads_the_store_grants_no_lease(self):
        self.apply_leader(3, "life-2")
        self.node.work.current_as_of_ = NOW
        self.assertIs(self.grant(), GrantRefusal.STORE_REACHABLE)

    # Guards against two leaders: this entry claims while its lease to the leader lasts.
    def test_the_leases_that_an_entry_grants_bind_its_claims(self):
        candidate = self.node._candidate
        self.apply_leader(3, "life-2")
        self.assertFalse(candidate._may_claim())
        candidate._on_heartbeat("life-2", True, NOW)
        self.assertTrue(candidate._may_claim())
        self.assertIsNone(self.grant())
        self.assertFalse(candidate._may_claim())

    # Guards against two leaders: a claim is on its way while this entry grants a lease.
    async def test_an_entry_grants_nothing_once_its_claim_is_on_its_way(self):
        self.apply_leader(3, "life-2")
        refusals = []

        async def append(stream, records, writer=None):
            refusals.append(self.grant())
            raise asyncio.CancelledError

        self.node._candidate.store.append = append
        with self.assertRaises(asyncio.CancelledError):
            await self.node._candidate._claim(4)
        self.assertEqual(refusals, [GrantRefusal.CLAIMED])
