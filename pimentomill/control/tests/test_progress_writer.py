import asyncio
import unittest
from unittest import mock

import msgspec

from pimentomill.control import LeaderState
from pimentomill.control._leader_state import PendingAck
from pimentomill.control._progress_writer import ProgressWriter
from pimentomill.control._settings import ControlSettings
from pimentomill.exceptions import FencedError
from pimentomill.jobs import KeyedRecord
from pimentomill.replica import (
    LEADER_KEY,
    MAX_BATCH_BYTES,
    Authority,
    LeaderRecord,
    Writer,
)
from pimentomill.standins import MemoryStore
from pimentomill.utils import ManualClock


class TestProgressWriter(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.clock = ManualClock()
        self.state = LeaderState(1, self.clock)
        self.progress_writer = ProgressWriter(
            self.store,
            self.state,
            LeaderRecord(1, "n", "i"),
            5,
            self.clock,
            ControlSettings(retry_ms=1),
            Authority(self.clock.now(), self.clock.now()),
        )

    def keys(self):
        return [record.key for record in self.store.records("work")]

    async def test_concurrent_flushes_keep_both_batches(self):
        self.store.append_delay_s = 0.01
        self.progress_writer.extra_records = [KeyedRecord("x", b"1")]
        first = asyncio.ensure_future(self.progress_writer.flush())
        await asyncio.sleep(0)
        self.progress_writer.extra_records = [KeyedRecord("y", b"2")]
        await asyncio.gather(first, self.progress_writer.flush(resign=True))
        self.assertIn("x", self.keys())
        self.assertIn("y", self.keys())

    async def test_a_lost_answer_appends_once(self):
        self.store.lose_answers = 2
        self.progress_writer.extra_records = [KeyedRecord("x", b"1")]
        await self.progress_writer.flush()
        self.assertEqual(self.keys().count("x"), 1)

    # Guards against two leaders: a successor claims between two calls of one append, of
    # which the first was carried out.
    async def test_an_append_proves_the_authority_as_of_its_first_call(self):
        authority = self.progress_writer.authority
        self.clock.advance(100)
        sent_at = self.clock.now()
        append = self.store.append

        async def append_slowly(stream, records, writer=None):
            self.clock.advance(300)
            return await append(stream, records, writer)

        self.store.append = append_slowly
        self.store.lose_answers = 2
        await self.progress_writer.flush(resign=True)
        self.assertEqual(authority.proven_at_, sent_at)
        self.assertEqual(authority.appended_at_, sent_at)

    async def test_a_requested_proof_is_appended_before_the_next_heartbeat(self):
        self.clock.advance(1)
        await self.progress_writer.flush()
        self.assertEqual(self.keys(), [])
        self.progress_writer.request_proof()
        await self.progress_writer.flush()
        self.assertEqual(self.keys(), [LEADER_KEY])
        self.assertTrue(self.progress_writer.authority.covers(self.clock.now()))

    async def test_a_leader_that_was_replaced_writes_nothing(self):
        await self.store.append("work", [], Writer("leader", 2, 9))
        self.progress_writer.extra_records = [KeyedRecord("x", b"1")]
        with self.assertRaises(FencedError):
            await self.progress_writer.flush()
        self.assertNotIn("x", self.keys())

    # After an outage, a backlog in a single append exceeds the time limit of an append,
    # and the leader would never write again.
    async def test_a_backlog_after_an_outage_is_written_in_batches(self):
        sizes = []
        append = self.store.append

        async def record_size(stream, records, writer=None):
            sizes.append(sum(len(record.value) for record in records))
            return await append(stream, records, writer)

        self.store.append = record_size
        self.progress_writer.extra_records = [
            KeyedRecord(f"p:{number}", bytes(8000)) for number in range(200)
        ]
        await self.progress_writer.flush(resign=True)
        self.assertLessEqual(max(sizes), MAX_BATCH_BYTES + 8000)
        self.assertEqual(len(set(self.keys())), 201)

    async def test_the_resignation_is_the_last_record(self):
        self.progress_writer.extra_records = [
            KeyedRecord(f"p:{number}", bytes(8000)) for number in range(200)
        ]
        await self.progress_writer.flush(resign=True)
        resignations = [
            offset
            for offset, record in enumerate(self.store.records("work"))
            if record.key == LEADER_KEY
            and msgspec.msgpack.decode(record.value, type=LeaderRecord).resigned
        ]
        self.assertEqual(resignations, [len(self.store.records("work")) - 1])

    # A worker forgets acknowledged ends, so the last batch must be durable first.
    async def test_ends_are_acknowledged_after_the_last_batch(self):
        worker = mock.Mock()
        self.state.pending_acks = [PendingAck(worker, 1, 7)]
        self.progress_writer.extra_records = [
            KeyedRecord(f"p:{number}", bytes(8000)) for number in range(200)
        ]
        append = self.store.append

        async def check(stream, records, writer=None):
            worker.mark_end_durable.assert_not_called()
            return await append(stream, records, writer)

        self.store.append = check
        await self.progress_writer.flush()
        worker.mark_end_durable.assert_called_once_with(1, 7)
