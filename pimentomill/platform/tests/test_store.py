import base64
import json
import struct
import unittest
from unittest import mock
from urllib.parse import parse_qs, urlsplit

from pimentomill.exceptions import (
    AppendUnknownError,
    FencedError,
    LogUnavailableError,
    OutOfSequenceError,
    RecordsForgottenError,
)
from pimentomill.httpclient import HttpClient
from pimentomill.jobs import KeyedRecord
from pimentomill.node._node import MAX_STREAM_AGE_MS
from pimentomill.platform import _store
from pimentomill.platform._store import PlatformStore, decode_slice, encode_keyed
from pimentomill.replica import MAX_BATCH_BYTES, Writer
from pimentomill.telemetry import CellMetrics

from .fake_wire import FakeWire

PATIENCE_MS = 20_000
SMALLEST_LINK_BYTES_A_MS = 625
"""Of the users' deployments: 5 Mbit/s."""
RECORDS = [KeyedRecord("k", b"value"), KeyedRecord("gone", b"")]


class StoreCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        patience = mock.patch.object(_store, "MIN_APPEND_MS", PATIENCE_MS)
        patience.start()
        self.addCleanup(patience.stop)
        longest = mock.patch.object(_store, "MAX_APPEND_MS", PATIENCE_MS)
        longest.start()
        self.addCleanup(longest.stop)
        self.wire = FakeWire()
        await self.wire.start()
        self.http = HttpClient(4)
        self.store = PlatformStore(self.wire.address, self.http, CellMetrics())

    async def asyncTearDown(self):
        await self.http.close()
        await self.wire.stop()

    def answer(self, path, status, body):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.wire.answers[path] = (status, content)

    async def append(self):
        return await self.store.append("work", RECORDS, Writer("leader", 3, 8))


class TestAppend(StoreCase):
    async def test_what_is_sent_and_read(self):
        self.answer("/log-append", 200, {"Offset": 840, "End": 842})
        appended = await self.append()
        self.assertEqual((appended.first, appended.end), (840, 842))
        method, path, body, _ = self.wire.seen[0]
        self.assertEqual(method, "POST")
        self.assertIn("Topic=keyed.work&part=0&Producer=leader&epoch=3", path)
        self.assertIn("Sequence=8", path)
        self.assertEqual(body, encode_keyed(RECORDS))

    async def test_refusals_keep_nothing(self):
        for status in (429, 503, 507):
            self.answer("/log-append", status, b"")
            with self.assertRaises(LogUnavailableError):
                await self.append()

    async def test_each_reason_of_a_conflict(self):
        self.answer("/log-append", 409, {"Reason": "fenced"})
        with self.assertRaises(FencedError):
            await self.append()
        self.answer("/log-append", 409, {"Reason": "seq", "Sequence": 9})
        with self.assertRaises(OutOfSequenceError) as caught:
            await self.append()
        self.assertEqual(caught.exception.expected, 9)

    async def test_no_answer_is_an_unknown_outcome(self):
        self.wire.mute.add("/log-append")
        _store.MAX_APPEND_MS = 50
        with self.assertRaises(AppendUnknownError):
            await self.append()

    async def test_nothing_is_kept_where_nothing_listens(self):
        await self.wire.stop()
        with self.assertRaises(LogUnavailableError):
            await self.append()
        await self.wire.start()


class TestRead(StoreCase):
    def slice_body(self, end):
        return struct.pack(">QQ", end, 0) + encode_keyed(RECORDS)

    async def test_records_and_the_end(self):
        self.answer("/log-read", 200, self.slice_body(7))
        part = await self.store.read("rules", 5, 0)
        self.assertEqual(part.records, RECORDS)
        self.assertEqual((part.next_offset, part.end), (7, 7))
        self.assertIn("Topic=keyed.op", self.wire.seen[0][1])

    # Guards against an entry that counts as cut off while one long slice comes in.
    async def test_a_slice_is_small_enough_for_the_age_up_to_which_callers_are_served(
        self,
    ):
        self.answer("/log-read", 200, self.slice_body(7))
        await self.store.read("work", 5, 0)
        query = parse_qs(urlsplit(self.wire.seen[0][1]).query)
        takes_ms = int(query["MaxKb"][0]) * 1024 / SMALLEST_LINK_BYTES_A_MS
        self.assertLessEqual(takes_ms, MAX_STREAM_AGE_MS / 2)

    async def test_forgotten_records(self):
        self.answer("/log-read", 410, {"First": 9})
        with self.assertRaises(RecordsForgottenError):
            await self.store.read("rules", 5, 0)

    def test_broken_framing_is_refused(self):
        whole = self.slice_body(7)
        for cut in (3, 15, 18, len(whole) - 3):
            with self.assertRaises(LogUnavailableError):
                decode_slice(whole[:cut], 5)

    def test_a_record_without_a_readable_key_keeps_its_offset(self):
        body = struct.pack(">QQ", 2, 0) + struct.pack(">I", 2) + b"\x09a"
        body += encode_keyed(RECORDS[:1])
        part = decode_slice(body, 0)
        self.assertEqual([record.key for record in part.records], ["", "k"])

    async def test_pages_of_newest_records(self):
        item = {"Key": "a", "Value": base64.b64encode(b"x").decode(), "Offset": 3}
        self.answer("/log-newest", 200, {"items": [item], "HasMore": True, "End": 6})
        page = await self.store.newest("work", "0")
        self.assertEqual(page.records, [KeyedRecord("a", b"x")])
        self.assertEqual((page.more_after, page.end), ("a", 6))
        self.assertIn("DependsOn=0", self.wire.seen[0][1])

    async def test_an_unreadable_page(self):
        for body in (b"{", {"items": [{"Key": "a", "Value": "!"}], "End": 1}):
            self.answer("/log-newest", 200, body)
            with self.assertRaises(LogUnavailableError):
                await self.store.newest("work", None)


class TestBatchSize(unittest.TestCase):
    # Guards against an append that is given up while it is still being sent.
    def test_a_batch_takes_half_of_the_shortest_time_for_an_append(self):
        takes_ms = MAX_BATCH_BYTES / SMALLEST_LINK_BYTES_A_MS
        self.assertLessEqual(takes_ms, _store.MIN_APPEND_MS / 2)


class TestSmallLink(StoreCase):
    """An entry restarts on a link that carries a page in longer than a usual read."""

    PARTS = 10
    GAP_S = 0.2

    def pace(self, path, content):
        self.answer(path, 200, content)
        self.wire.paced[path] = (len(content) // self.PARTS + 1, self.GAP_S)

    def page(self):
        value = base64.b64encode(bytes(1000)).decode()
        items = [{"Key": f"j:{number}", "Value": value} for number in range(50)]
        return json.dumps({"items": items, "End": 50}).encode()

    # Guards against an entry that never gets its state, as each page is given up
    # while it is still coming in.
    async def test_a_page_that_keeps_coming_is_read_to_its_end(self):
        self.pace("/log-newest", self.page())
        self.assertGreater(self.PARTS * self.GAP_S * 1000, _store.READ_SILENCE_MS)
        page = await self.store.newest("work", None)
        self.assertEqual(len(page.records), 50)

    # Guards against an entry that fell behind and never catches up.
    async def test_a_slice_that_keeps_coming_is_read_to_its_end(self):
        self.pace("/log-read", struct.pack(">QQ", 2, 0) + encode_keyed(RECORDS))
        part = await self.store.read("work", 0, 0)
        self.assertEqual(part.records, RECORDS)

    async def test_an_answer_that_falls_silent_is_given_up(self):
        self.pace("/log-newest", self.page())
        self.wire.stalled.add("/log-newest")
        patience = mock.patch.object(_store, "READ_SILENCE_MS", 200)
        with patience, self.assertRaises(LogUnavailableError) as caught:
            await self.store.newest("work", None)
        self.assertIn("then none for 200 ms", str(caught.exception))

    # Guards against a read that waits 20 s on an open connection that has gone silent.
    async def test_silence_before_the_first_byte_is_given_up(self):
        self.wire.mute.add("/log-newest")
        patience = mock.patch.object(_store, "READ_SILENCE_MS", 200)
        with patience, self.assertRaises(LogUnavailableError) as caught:
            await self.store.newest("work", None)
        self.assertIn("no answer for 200 ms", str(caught.exception))
