import asyncio
import unittest
from unittest import mock

import msgspec

from pimentomill.exceptions import AppendUnknownError, OutOfSequenceError
from pimentomill.jobs import KeyedRecord
from pimentomill.links import Watcher, WatchOutcome
from pimentomill.node import Members
from pimentomill.node import _election as election
from pimentomill.replica import (
    LEADER_KEY,
    ElectionTiming,
    Follower,
    FollowerTiming,
    Grantor,
    LeaderRecord,
    LeaderWatch,
    Writer,
)
from pimentomill.standins import MemoryStore
from pimentomill.utils import ManualClock, SystemClock

LIMIT_S = 30.0


class FakeLinks:
    def __init__(self):
        self.status = WatchOutcome.INCONCLUSIVE

    async def watch_incarnation(self, address, incarnation, *hooks):
        return self.status


class Entry:
    """A candidate with its own replay."""

    def __init__(self, name, store):
        clock = SystemClock()
        self.name = name
        self.led = []
        self.can_lead = True
        self.watch = LeaderWatch(
            f"life-{name}", clock, ElectionTiming(60_000, 60_000, 60_000, 1)
        )
        self.work = Follower(
            store, "work", self.apply, lambda: None, clock, FollowerTiming(0, 5, 5)
        )
        self.candidate = election.Candidate(
            LeaderRecord(0, name, f"life-{name}"),
            store,
            self.work,
            self.watch,
            Members(name, clock),
            FakeLinks(),
            clock,
            lambda: self.can_lead and self.work.offset_ is not None,
            self.lead,
        )

    def apply(self, record):
        if record.key == LEADER_KEY:
            self.watch.apply(record.value)

    async def lead(self, epoch, claim):
        self.led.append(epoch)
        await asyncio.sleep(LIMIT_S)

    def run(self):
        return [
            asyncio.ensure_future(loop)
            for loop in (self.work.run(), self.candidate.run())
        ]


class TestCandidate(unittest.IsolatedAsyncioTestCase):
    """Several entries start; in one test the leader's process ends."""

    def setUp(self):
        quick = mock.patch.object(election, "ELECTION_TICK_MS", 5)
        quick.start()
        self.addCleanup(quick.stop)
        self.store = MemoryStore()
        self.entries = [Entry(name, self.store) for name in "abc"]
        self.tasks = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    async def until(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.005)

    def leaders(self):
        return [entry for entry in self.entries if entry.led]

    async def test_one_of_several_leads(self):
        for entry in self.entries:
            self.tasks += entry.run()
        await self.until(lambda: self.leaders())
        await self.until(lambda: all(entry.watch.epoch for entry in self.entries))
        self.assertEqual([entry.led for entry in self.leaders()], [[1]])

    async def test_a_leader_whose_process_has_ended_is_replaced(self):
        for entry in self.entries:
            self.tasks += entry.run()
        await self.until(lambda: self.leaders())
        gone = self.leaders()[0]
        others = [entry for entry in self.entries if entry is not gone]
        for entry in others:
            entry.watch.observe_end(f"life-{gone.name}")
        await self.until(lambda: any(entry.led for entry in others))
        self.assertEqual([entry.led for entry in others if entry.led], [[2]])

    # Guards against a cell that nobody leads: the newest value of the leader's key is
    # another writer's, and the store rejects all claims of epochs from 1.
    async def test_a_leader_is_found_although_the_last_epoch_cannot_be_read(self):
        odd = KeyedRecord(LEADER_KEY, b"odd")
        await self.store.append("work", [odd], Writer(election.LEADER_WRITER, 100, 0))
        self.store.compact("work")
        for entry in self.entries:
            self.tasks += entry.run()
        await self.until(lambda: self.leaders())
        await self.until(lambda: all(entry.watch.epoch for entry in self.entries))
        ((epoch,),) = (entry.led for entry in self.leaders())
        self.assertGreater(epoch, 100)

    async def test_a_rejected_claim_is_not_repeated_before_the_winner_is_read(self):
        """The store is slow: it has accepted another claim that can't be read yet."""
        entry = self.entries[0]
        claims = []

        async def reject(stream, records, writer=None):
            claims.append(writer.epoch)
            raise OutOfSequenceError("another claim was first", 1)

        self.store.append = reject
        self.tasks += entry.run()
        await self.until(lambda: claims)
        await asyncio.sleep(0.2)
        self.assertEqual(claims, [1])
        winner = LeaderRecord(1, "b", "life-b")
        entry.watch.apply(msgspec.msgpack.encode(winner))
        await asyncio.sleep(0.05)
        self.assertEqual(claims, [1])

    # Guards against a takeover that waits for the next sparse read of the stream.
    async def test_a_suspected_leader_is_read_about_more_often(self):
        candidate = self.entries[0].candidate
        requests = []
        candidate.work = mock.Mock()
        candidate.work.request_read = lambda: requests.append(True)
        candidate.work.age_ms.return_value = 200
        await candidate._wait_for_change()
        self.assertEqual(requests, [])
        candidate.suspicion_age_ms = 140
        await candidate._wait_for_change()
        self.assertEqual(requests, [True])

    # Guards against two leaders: a leader that acts on leases while the store is down
    # is replaced by an entry that it has not asked for one.
    async def test_a_silent_leader_is_not_replaced_by_an_entry_it_does_not_know(self):
        clock = ManualClock(1000)
        candidate = self.entries[0].candidate
        candidate.grantor = Grantor(clock)
        candidate.work = mock.Mock()
        candidate.work.current_as_of_ = self.entries[0].watch.clock.now()
        leader = LeaderRecord(1, "b", "life-b")
        candidate.watch.apply(msgspec.msgpack.encode(leader))
        with mock.patch.object(election, "_log") as log:
            self.assertFalse(candidate._may_claim())
            self.assertFalse(candidate._may_claim())
            candidate.grantor.enrol("life-b", clock.now())
            self.assertTrue(candidate._may_claim())
        lines = [call.args[0] for call in log.info.call_args_list]
        self.assertEqual(lines, ["Claim is held back", "Claim is allowed again"])

    async def test_a_claim_that_is_held_back_is_not_sent(self):
        entry = self.entries[0]
        entry.candidate.grantor = Grantor(SystemClock())
        entry.watch.apply(msgspec.msgpack.encode(LeaderRecord(1, "b", "life-b")))
        entry.watch.should_claim = lambda current_as_of, rivals=(): True
        self.tasks += entry.run()
        await self.until(lambda: entry.candidate._is_held_back)
        self.assertEqual(self.store.records("work"), [])
        entry.candidate.grantor.enrol("life-b", entry.candidate.clock.now())
        await self.until(lambda: self.store.records("work"))

    async def test_a_leader_that_has_ended_or_resigned_is_replaced_by_any_entry(self):
        for end in ("ended", "resigned"):
            candidate = self.entries[0].candidate
            candidate.grantor = Grantor(ManualClock(1000))
            leader = LeaderRecord(1, "b", "life-b", resigned=end == "resigned")
            candidate.watch.apply(msgspec.msgpack.encode(leader))
            if end == "ended":
                candidate.watch.observe_end("life-b")
            self.assertTrue(candidate._may_claim(), end)

    # Guards against two leaders: an entry that was silent for long counts as enrolled
    # after the leader has dropped it.
    async def test_an_enrolment_counts_from_the_request_of_the_watch(self):
        candidate = self.entries[0].candidate
        candidate.clock = clock = ManualClock(1000)
        candidate.grantor = mock.Mock()
        watches = []

        async def watch_incarnation(address, incarnation, on_heartbeat, *hooks):
            clock.advance(300)
            on_heartbeat(True)
            watches.append((address, incarnation, hooks))
            return WatchOutcome.INCONCLUSIVE

        candidate.links.watch_incarnation = watch_incarnation
        await candidate._watch_incarnation(LeaderRecord(1, "b", "life-b"), "b1")
        candidate.grantor.enrol.assert_called_once_with("life-b", 1000)
        watcher = Watcher("life-a", "")
        self.assertEqual(watches, [("b1", "life-b", (None, watcher))])

    # Guards against a leader that acts for longer without an append than an entry waits
    # that is not enrolled: the first claim may have been stored.
    async def test_a_repeated_claim_counts_from_the_first_one(self):
        entry = self.entries[0]
        entry.candidate.clock = clock = ManualClock(1000)
        entry.candidate.work = mock.AsyncMock()
        entry.candidate.store = mock.AsyncMock()
        claims = []
        entry.candidate.lead = mock.AsyncMock(
            side_effect=lambda epoch, claim: claims.append(claim)
        )
        entry.candidate.store.append.side_effect = AppendUnknownError("lost")
        listed = []

        def list_grantors(epoch, others):
            listed.append(epoch)
            return KeyedRecord("grantors", b"%d" % len(listed))

        entry.candidate.list_grantors = list_grantors
        for _ in range(2):
            await entry.candidate._claim(1)
            clock.advance(500)
        await entry.candidate._lead(1)
        self.assertEqual([claim.sent_at for claim in claims], [1000])
        writers = [call.args[2] for call in entry.candidate.store.append.mock_calls]
        self.assertEqual(len(set(writers)), 1)
        self.assertEqual(listed, [1])
        appends = [call.args[1] for call in entry.candidate.store.append.mock_calls]
        self.assertEqual(appends[0], appends[1])
        self.assertEqual(writers[0].sequence, claims[0].sequence)

    async def test_an_entry_that_can_not_lead_claims_nothing(self):
        self.entries[0].can_lead = False
        self.tasks += self.entries[0].run()
        await self.until(lambda: self.entries[0].work.offset_ is not None)
        await asyncio.sleep(0.05)
        self.assertEqual(self.store.records("work"), [])
