import asyncio
import unittest

from pimentomill.exceptions import AppendUnknownError, LogUnavailableError
from pimentomill.jobs import KeyedRecord
from pimentomill.replica import GroupAppender
from pimentomill.standins import MemoryStore
from pimentomill.utils import Instant, ManualClock


class TestGroupAppender(unittest.IsolatedAsyncioTestCase):
    """Many submissions while appends to the store run one at a time."""

    def setUp(self):
        self.store = MemoryStore()
        self.clock = ManualClock()
        self.appender = GroupAppender(self.store, "work", self.clock)

    async def put(self, key, deadline=1000):
        await self.appender.append(KeyedRecord(key, b"1"), Instant(deadline))

    async def test_records_that_arrive_during_an_append_share_the_next_one(self):
        self.store.append_delay_s = 0.01
        await asyncio.gather(*(self.put(str(number)) for number in range(20)))
        self.assertEqual(len(self.store.records("work")), 20)
        self.assertLessEqual(self.store.calls, 2)

    async def test_acknowledged_records_are_reported_with_their_offset(self):
        reported = []
        self.appender.on_appended = lambda first, records: reported.append(
            (first, [record.key for record in records])
        )
        await self.put("a")
        await asyncio.gather(self.put("b"), self.put("c"))
        self.store.is_down = True
        with self.assertRaises(LogUnavailableError):
            await self.put("d")
        self.assertEqual(reported, [(0, ["a"]), (1, ["b", "c"])])

    async def test_a_lost_answer_is_resolved_by_a_retry(self):
        self.store.lose_answers = 1
        await self.put("a")

    async def test_no_answer_until_the_deadline_is_an_unknown_outcome(self):
        self.store.lose_answers = 1
        with self.assertRaises(AppendUnknownError):
            await self.put("a", deadline=0)

    async def test_a_rejection_means_that_nothing_is_durable(self):
        self.store.is_down = True
        with self.assertRaises(LogUnavailableError):
            await self.put("a")

    async def test_another_entry_appends_if_the_store_rejects_this_one(self):
        relayed = []

        async def relay(records):
            relayed.extend(records)

        self.appender.relay = relay
        self.store.is_down = True
        await self.put("a")
        self.assertEqual([record.key for record in relayed], ["a"])

    async def test_another_entry_appends_while_this_one_gets_no_answer(self):
        relayed = []

        async def relay(records):
            relayed.extend(records)

        self.appender.relay = relay
        self.store.append_delay_s = 3600.0
        await self.put("a")
        self.assertEqual([record.key for record in relayed], ["a"])

    async def test_one_entry_gathers_all_records_while_the_store_is_slow(self):
        relayed = []

        async def relay(records):
            relayed.extend(records)

        self.appender.gather = relay
        self.appender.hedge.smoothed_latency_ms_ = 500.0
        await self.put("a")
        self.assertEqual([record.key for record in relayed], ["a"])
        self.assertEqual(self.store.calls, 0)
        while self.appender.hedge.is_slow():
            await self.put("b")
        await self.put("c")
        self.assertEqual(self.store.calls, 1)

    async def test_the_entry_that_gathers_appends_itself(self):
        async def gather(records):
            raise LogUnavailableError("this entry leads")

        self.appender.gather = gather
        self.appender.hedge.smoothed_latency_ms_ = 500.0
        await self.put("a")
        self.assertEqual(self.store.calls, 1)

    async def test_a_partly_durable_batch_is_not_a_rejection(self):
        append = self.store.append

        async def append_once(*args):
            done = await append(*args)
            self.store.is_down = True
            return done

        self.store.append = append_once
        records = [KeyedRecord(key, b"1" * 600_000) for key in "ab"]
        with self.assertRaises(AppendUnknownError):
            await self.appender.append_all(records, Instant(1000))
        self.assertEqual(len(self.store.records("work")), 1)
        with self.assertRaises(LogUnavailableError):
            await self.appender.append_all(records, Instant(1000))

    async def test_a_lost_answer_stays_unknown_if_no_other_entry_can_append(self):
        async def relay(records):
            raise LogUnavailableError("no other entry")

        self.appender.relay = relay
        self.store.lose_answers = 1
        with self.assertRaises(AppendUnknownError):
            await self.put("a", deadline=0)

    async def test_a_rejected_retry_stays_unknown(self):
        self.store.lose_answers = 1
        self.store.append_delay_s = 0.005
        lost = asyncio.ensure_future(self.put("a"))
        while self.store.calls < 2:
            await asyncio.sleep(0)
        self.store.is_down = True
        with self.assertRaises(AppendUnknownError):
            await lost
