import asyncio
import unittest
from unittest import mock

import msgspec

from pimentomill.control import CellBook
from pimentomill.control._book import EndMark
from pimentomill.control._scribe import Scribe
from pimentomill.control._settings import ControlSettings
from pimentomill.exceptions import FencedError
from pimentomill.jobs import KeyedRecord
from pimentomill.replica import LEADER_KEY, MAX_BATCH_BYTES, LeaderRecord, Writer
from pimentomill.standins import MemoryStore
from pimentomill.utils import ManualClock


class TestScribe(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.clock = ManualClock()
        self.book = CellBook(1, self.clock)
        self.scribe = Scribe(
            self.store,
            self.book,
            LeaderRecord(1, "n", "i"),
            5,
            self.clock,
            ControlSettings(retry_ms=1),
        )

    def keys(self):
        return [record.key for record in self.store.records("work")]

    async def test_two_flushes_at_once_keep_both_batches(self):
        self.store.append_delay_s = 0.01
        self.scribe.extra = [KeyedRecord("x", b"1")]
        first = asyncio.ensure_future(self.scribe.flush())
        await asyncio.sleep(0)
        self.scribe.extra = [KeyedRecord("y", b"2")]
        await asyncio.gather(first, self.scribe.flush(resign=True))
        self.assertIn("x", self.keys())
        self.assertIn("y", self.keys())

    async def test_a_lost_answer_appends_once(self):
        self.store.lose_answers = 2
        self.scribe.extra = [KeyedRecord("x", b"1")]
        await self.scribe.flush()
        self.assertEqual(self.keys().count("x"), 1)

    async def test_a_leader_that_was_replaced_writes_nothing(self):
        await self.store.append("work", [], Writer("leader", 2, 9))
        self.scribe.extra = [KeyedRecord("x", b"1")]
        with self.assertRaises(FencedError):
            await self.scribe.flush()
        self.assertNotIn("x", self.keys())

    # Guards against a leader that writes nothing any more after an outage: all that
    # gathered meanwhile in one append takes longer than the time that an append has.
    async def test_what_gathered_in_an_outage_is_written_in_parts(self):
        sizes = []
        append = self.store.append

        async def note_size(stream, records, writer=None):
            sizes.append(sum(len(record.value) for record in records))
            return await append(stream, records, writer)

        self.store.append = note_size
        self.scribe.extra = [
            KeyedRecord(f"p:{number}", bytes(8000)) for number in range(200)
        ]
        await self.scribe.flush(resign=True)
        self.assertLessEqual(max(sizes), MAX_BATCH_BYTES + 8000)
        self.assertEqual(len(set(self.keys())), 201)

    async def test_a_resignation_is_the_last_that_is_written(self):
        self.scribe.extra = [
            KeyedRecord(f"p:{number}", bytes(8000)) for number in range(200)
        ]
        await self.scribe.flush(resign=True)
        signs = [
            offset
            for offset, record in enumerate(self.store.records("work"))
            if record.key == LEADER_KEY
            and msgspec.msgpack.decode(record.value, type=LeaderRecord).resigned
        ]
        self.assertEqual(signs, [len(self.store.records("work")) - 1])

    # Guards against ends that a worker forgets before the last batch has been kept.
    async def test_ends_are_acknowledged_after_the_last_batch(self):
        worker = mock.Mock()
        self.book.marks = [EndMark(worker, 1, 7)]
        self.scribe.extra = [
            KeyedRecord(f"p:{number}", bytes(8000)) for number in range(200)
        ]
        append = self.store.append

        async def check(stream, records, writer=None):
            worker.mark_end_durable.assert_not_called()
            return await append(stream, records, writer)

        self.store.append = check
        await self.scribe.flush()
        worker.mark_end_durable.assert_called_once_with(1, 7)
