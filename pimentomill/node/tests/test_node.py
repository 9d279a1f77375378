import asyncio
import math
import unittest
from unittest import mock

import msgspec

from pimentomill.catalog import Catalog, EvacuationRequest, RequestLimits
from pimentomill.control import (
    SPEEDS_KEY,
    WORK_STREAM,
    ControlSettings,
    Features,
    PolicyQueryDispatcher,
)
from pimentomill.dispatch.tests.samples import accepted, step
from pimentomill.exceptions import StateUnavailableError, TransportError
from pimentomill.jobs import (
    JobState,
    KeyedRecord,
    accepted_key,
    encode_record,
)
from pimentomill.node import CellNode, MemberRecord, NodeSettings, _node
from pimentomill.node._election import Claim
from pimentomill.replica import LEADER_KEY, LeaderRecord
from pimentomill.standins import MemoryStore, MemoryWorkers
from pimentomill.telemetry import CellMetrics
from pimentomill.usage import USAGE_KEY, TeamUsage, UsageRecord
from pimentomill.utils import ManualClock, SystemClock

JOB = "a" * 16


class FakeLinks:
    def __init__(self):
        self.notices = []
        self.state_ = JobState.RUNNING

    async def notify_appended(self, address, first_offset, records):
        self.notices.append((address, first_offset))

    async def query_state(self, address, job):
        if self.state_ is None:
            raise TransportError("silent", sent=True)
        return self.state_


class TestPushedRecords(unittest.IsolatedAsyncioTestCase):
    """Reads from the store are delayed while jobs are submitted."""

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
            ManualClock(1000),
            CellMetrics(),
        )
        self.node.work.offset_ = 5
        record = accepted(steps=[step()])
        self.record = KeyedRecord(accepted_key(JOB), encode_record(record))

    def apply_leader_records(self):
        leader = msgspec.msgpack.encode(LeaderRecord(1, "n2", "life-2"))
        member = msgspec.msgpack.encode(MemberRecord("n2", "a2", "life-2"))
        self.node._apply_work(KeyedRecord(LEADER_KEY, leader))
        self.node._apply_work(KeyedRecord("m:n2", member))

    def test_a_pushed_record_is_applied_before_it_is_read(self):
        self.node.on_appended(5, [self.record])
        self.assertIsNotNone(self.node.table.find(JOB))

    def test_a_pushed_record_below_the_offset_is_ignored(self):
        self.node.on_appended(4, [self.record])
        self.assertIsNone(self.node.table.find(JOB))

    def test_a_replaced_leader_learns_of_no_job_accepted_after_the_claim(self):
        """The claim is at an offset that this entry has not read."""
        self.node.on_appended(6, [self.record])
        self.assertIsNone(self.node.table.find(JOB))
        claim = msgspec.msgpack.encode(LeaderRecord(2, "n3", "life-3"))
        self.node.on_appended(5, [KeyedRecord(LEADER_KEY, claim)])
        self.assertEqual(self.node.watch.epoch, 2)
        self.assertIsNotNone(self.node.table.find(JOB))

    def test_the_newest_record_of_learned_speeds_is_kept_for_a_leadership(self):
        """Guards against a successor that starts from an old or deleted record."""
        for value in (b"old", b"new", b""):
            self.node._apply_work(KeyedRecord(SPEEDS_KEY, value))
            self.assertEqual(self.node._speeds, value)

    async def test_the_leader_is_notified_of_appended_records(self):
        self.node._publish_appended(5, [self.record])
        self.apply_leader_records()
        self.node._publish_appended(6, [self.record])
        for notice in list(self.node._notices):
            await notice
        self.assertEqual(self.links.notices, [("a2", 6)])

    async def test_the_leader_is_asked_about_a_job(self):
        self.apply_leader_records()
        self.assertIs(await self.node._query_leader(JOB), JobState.RUNNING)
        self.links.state_ = None
        self.assertIsNone(await self.node._query_leader(JOB))
        self.links.state_ = JobState.RUNNING
        self.assertIsNone(await self.node._query_leader(JOB))
        self.node.clock.advance(200)
        self.assertIs(await self.node._query_leader(JOB), JobState.RUNNING)

    async def test_a_leader_hands_over_to_an_entry_with_more_cores(self):
        resigned = asyncio.Event()

        class FakeLeader:
            async def resign(self):
                resigned.set()

        with mock.patch.object(_node, "HANDOVER_CHECK_INTERVAL_MS", 1):
            watching = asyncio.ensure_future(self.node._hand_over_to_larger())
            self.addCleanup(watching.cancel)
            self.node.leader_ = FakeLeader()
            self.apply_member_record("n2", 1.2)
            self.node.clock.advance(_node.MIN_LEADERSHIP_MS)
            await asyncio.sleep(0.02)
            self.assertFalse(resigned.is_set())
            self.apply_member_record("n3", 2.0)
            async with asyncio.timeout(30):
                await resigned.wait()

    # Guards against a leader that hands over to an entry that does not exist, and
    # against an entry that calls another one in place of itself.
    def test_a_member_record_that_no_entry_writes_is_ignored(self):
        self.apply_member_record("n2", 1.0)
        for record in (
            MemberRecord("n2", "a", "odd", math.inf),
            MemberRecord("n2", "a", "odd", math.nan),
            MemberRecord("n2", "a", "odd", 1e300),
            MemberRecord("n2", "a", "odd", -1.0),
            MemberRecord("n1", "a", "odd", 1.0),
            MemberRecord("", "a", "odd", 1.0),
        ):
            value = msgspec.msgpack.encode(record)
            self.node._apply_work(KeyedRecord("m:n2", value))
        for part in (b"\x91", b"\x81\xa1a"):
            nested = b"\x81\xa1x" + part * 200_000 + b"\x01"
            self.node._apply_work(KeyedRecord("m:n2", nested))
        self.assertEqual(
            [rival.incarnation for rival in self.node.members.rivals()], ["life-n2"]
        )

    def test_step_down_reason_distinguishes_resignation_from_a_later_leader(self):
        reasons = []

        class FakeLeader:
            def step_down(self, why):
                reasons.append(why)

        self.node.leader_ = FakeLeader()
        for epoch, incarnation, resigned in (
            (1, self.node.incarnation, True),
            (2, "life-2", False),
        ):
            record = LeaderRecord(epoch, "n", incarnation, resigned)
            value = msgspec.msgpack.encode(record)
            self.node._apply_work(KeyedRecord(LEADER_KEY, value))
        self.assertEqual(reasons, ["resigned", "a later leader is on record"])

    # Guards against an entry that becomes the leader and forgets past use.
    async def test_a_new_leader_takes_over_the_usage_record(self):
        self.node.control = ControlSettings(features=Features(past_use_half_life_s=60))
        record = UsageRecord(0, 60.0, (TeamUsage("t", 12.5),))
        value = msgspec.msgpack.encode(record)
        self.node._apply_work(KeyedRecord(USAGE_KEY, value))
        leading = asyncio.ensure_future(
            self.node._lead(2, Claim(7, self.node.clock.now()))
        )
        await asyncio.sleep(0)
        now = self.node.clock.now()
        self.assertEqual(self.node.leader_.state.usage.past_s("t", now), 12.5)
        leading.cancel()
        await asyncio.gather(leading, return_exceptions=True)

    def apply_member_record(self, name, cores):
        record = MemberRecord(name, f"a-{name}", f"life-{name}", cores)
        value = msgspec.msgpack.encode(record)
        self.node.members.apply(KeyedRecord(f"m:{name}", value))

    def test_an_entry_that_has_restarted_gets_a_new_policy_port(self):
        """Guards against a backoff that outlasts the restart of the entry."""
        queries = PolicyQueryDispatcher(self.node.clock, 100, notices_restarts=True)
        self.apply_member_record("n2", 1.0)
        self.node._set_policy_ports(queries)
        port = queries.ports["n2"]
        self.node._set_policy_ports(queries)
        self.assertIs(queries.ports["n2"], port)
        restarted = msgspec.msgpack.encode(MemberRecord("n2", "a-n2", "life-new"))
        self.node.members.apply(KeyedRecord("m:n2", restarted))
        self.node._set_policy_ports(queries)
        self.assertIsNot(queries.ports["n2"], port)

    # Guards against a takeover that waits for a sparse read, and against reads that are
    # rarer where the feature is off.
    def test_only_entries_far_from_a_takeover_read_sparsely(self):
        self.apply_leader_records()
        for number in range(3, 30):
            self.apply_member_record(f"n{number}", 1.0)
        self.assertEqual(self.node.work.timing.interval_ms, 0)
        self.assertEqual(self.node.rules.timing.wait_ms, 400)
        sparse = msgspec.structs.replace(self.node.cfg, sparse_reads=True)
        self.node.cfg = sparse
        intervals = set()
        for epoch in range(2, 60):
            leader = msgspec.msgpack.encode(LeaderRecord(epoch, "n2", "life-2"))
            self.node._apply_work(KeyedRecord(LEADER_KEY, leader))
            member = msgspec.msgpack.encode(MemberRecord("n2", "a2", "life-2"))
            self.node._apply_work(KeyedRecord("m:n2", member))
            is_next = self.node.watch.is_likely_successor(self.node.members.rivals())
            interval_ms = self.node.work.timing.interval_ms
            self.assertEqual(interval_ms == 0, is_next)
            intervals.add(interval_ms)
        self.assertEqual(len(intervals), 2)
        self.assertEqual(self.node.rules.timing.wait_ms, 0)

    def test_only_a_leader_returns_job_states(self):
        with self.assertRaises(StateUnavailableError):
            self.node.state_for(JOB)

    def test_an_entry_with_older_settings_than_already_served_rejects(self):
        with self.assertRaises(StateUnavailableError):
            self.node.check_answerable(3)
        self.node._max_version_served = 4
        with self.assertRaises(StateUnavailableError):
            self.node.check_answerable()


class TestLoading(unittest.IsolatedAsyncioTestCase):
    """An entry with a slow link starts while the stored state has many pages."""

    PAGES = 2

    async def asyncSetUp(self):
        self.store = MemoryStore(page_size=1)
        names = [f"{number:016x}" for number in range(5)]
        member = msgspec.msgpack.encode(MemberRecord("n2", "a2", "life-2"))
        await self.store.append(
            WORK_STREAM,
            [KeyedRecord(accepted_key(name), b"x") for name in names]
            + [KeyedRecord("m:n2", member)],
        )
        newest = self.store.newest
        self.pages = 0
        self.held = asyncio.Event()

        async def slow(stream, after):
            if self.pages == self.PAGES:
                self.held.set()
                await asyncio.sleep(60)
            self.pages += 1
            return await newest(stream, after)

        self.store.newest = slow

    # Guards against answering 503 while other entries could answer: member records are
    # on the last pages, so no entry is known to forward to during a load.
    async def test_other_entries_are_known_before_the_load_has_ended(self):
        node = CellNode(
            NodeSettings("n1", "127.0.0.1:1", key_term_ms=1000),
            ControlSettings(),
            self.store,
            MemoryWorkers(),
            None,
            lambda key, value: None,
            lambda key, value: None,
            FakeLinks(),
            ManualClock(1000),
            CellMetrics(),
        )
        loading = asyncio.ensure_future(node.work.run())
        self.addCleanup(loading.cancel)
        async with asyncio.timeout(30):
            await self.held.wait()
        known = [member.node for member in node.members.others_by_recency()]
        self.assertEqual(known, ["n2"])


class TestRestart(unittest.IsolatedAsyncioTestCase):
    """An entry restarts while operators withdraw a key.

    The first page that it reads holds the settings with the key; those without it are
    stored before it reads the second page.
    """

    async def asyncSetUp(self):
        self.store = MemoryStore(page_size=1)
        await self.put(b"1", key="config")
        await self.put(b"", key="other")
        newest = self.store.newest
        self.held, self.released = asyncio.Event(), asyncio.Event()

        async def slow(stream, after):
            if after is not None:
                self.held.set()
                await self.released.wait()
            return await newest(stream, after)

        self.store.newest = slow
        self.node = CellNode(
            NodeSettings("n1", "127.0.0.1:1", key_term_ms=60_000),
            ControlSettings(),
            self.store,
            MemoryWorkers(),
            None,
            lambda key, value: (
                Catalog(int(value), [], [], {}, [], RequestLimits())
                if key == "config"
                else None
            ),
            lambda key, value: None,
            FakeLinks(),
            SystemClock(),
            CellMetrics(),
        )

    async def put(self, value, key):
        await self.store.append("rules", [KeyedRecord(key, value or b"x")])

    async def test_no_key_is_accepted_before_the_newest_settings_are_known(self):
        loading = asyncio.ensure_future(self.node.rules.run())
        self.addCleanup(loading.cancel)
        async with asyncio.timeout(30):
            await self.held.wait()
            await self.put(b"2", key="config")
            self.assertEqual(self.node.catalog_.version, 1)
            self.assertFalse(self.node.are_keys_valid())
            self.assertFalse(self.node.is_ready())
            self.released.set()
            await self.node.rules.wait_loaded()
        self.assertEqual(self.node.catalog_.version, 2)
        self.assertTrue(self.node.are_keys_valid())


class TestEvacuations(unittest.IsolatedAsyncioTestCase):
    """Operators evacuate data centres while an entry follows the settings."""

    async def asyncSetUp(self):
        self.store = MemoryStore(page_size=1)
        self.node = CellNode(
            NodeSettings("n1", "127.0.0.1:1", key_term_ms=60_000),
            ControlSettings(),
            self.store,
            MemoryWorkers(),
            None,
            lambda key, value: EvacuationRequest(key, bool(value)),
            lambda key, value: None,
            FakeLinks(),
            SystemClock(),
            CellMetrics(),
        )

    async def put(self, *pairs):
        records = [KeyedRecord(key, value) for key, value in pairs]
        await self.store.append("rules", records)

    async def follow(self):
        following = asyncio.ensure_future(self.node.rules.run())
        self.addCleanup(following.cancel)
        await self.reach(len(self.store.records("rules")))

    async def reach(self, offset):
        async with asyncio.timeout(30):
            while self.node.rules.offset_ != offset:
                await asyncio.sleep(0.005)

    def evacuated(self):
        return self.node.evacuations.data_centres

    async def test_records_are_applied_with_their_offsets(self):
        await self.put(("a", b"{}"), ("b", b"{}"))
        await self.follow()
        self.assertEqual(self.evacuated(), {"a", "b"})
        await self.put(("a", b""), ("c", b"{}"), ("d", b"{}"), ("d", b""))
        await self.reach(6)
        versions = {
            item.data_centre: item.version for item in self.node.evacuations.active()
        }
        self.assertEqual(versions, {"b": 1, "c": 3})

    # Guards against an evacuation that never ends: the platform deletes the record and
    # drops the history in which an entry would have read the deletion.
    async def test_a_record_missing_from_a_reload_ends_the_evacuation(self):
        await self.put(("a", b"{}"), ("b", b"{}"))
        await self.follow()
        applied = []

        class FakeLeader:
            def set_evacuated(self, data_centres):
                applied.append(data_centres)

        self.node.leader_ = FakeLeader()
        self.store.records("rules").extend([KeyedRecord("a", b"")])
        self.store.compact("rules")
        async with asyncio.timeout(30):
            while self.evacuated() != {"b"}:
                await asyncio.sleep(0.005)
        self.assertEqual(applied, [frozenset({"b"})])

    async def test_an_entry_that_has_not_read_all_settings_does_not_lead(self):
        self.node.work.offset_ = 0
        self.node.catalog_ = Catalog(1, [], [], {}, [], RequestLimits())
        self.assertFalse(self.node._can_lead())
        await self.follow()
        self.assertTrue(self.node._can_lead())
