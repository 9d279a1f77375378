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

TIMEOUT_MS = 20_000
SLOWEST_LINK_BYTES_PER_MS = 625
"""Slowest link in the users' deployments, 5 Mbit/s."""
RECORDS = [KeyedRecord("k", b"value"), KeyedRecord("gone", b"")]


class StoreCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        min_timeout = mock.patch.object(_store, "MIN_APPEND_TIMEOUT_MS", TIMEOUT_MS)
        min_timeout.start()
        self.addCleanup(min_timeout.stop)
        max_timeout = mock.patch.object(_store, "MAX_APPEND_TIMEOUT_MS", TIMEOUT_MS)
        max_timeout.start()
        self.addCleanup(max_timeout.stop)
        self.wire = FakeWire()
        await self.wire.start()
        self.http = HttpClient(4)
        self.store = PlatformStore(self.wire.address, self.http, CellMetrics())

    async def asyncTearDown(self):
        await self.http.close()
        await self.wire.stop()

    def set_answer(self, path, status, body):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.wire.answers[path] = (status, content)

    async def append(self):
        return await self.store.append("work", RECORDS, Writer("leader", 3, 8))


class TestAppend(StoreCase):
    async def test_request_and_reply(self):
        self.set_answer("/log-append", 200, {"Offset": 840, "End": 842})
        appended = await self.append()
        self.assertEqual((appended.first, appended.end), (840, 842))
        method, path, body, _ = self.wire.requests[0]
        self.assertEqual(method, "POST")
        self.assertIn("Topic=keyed.work&part=0&Producer=leader&epoch=3", path)
        self.assertIn("Sequence=8", path)
        self.assertEqual(body, encode_keyed(RECORDS))

    async def test_rejection_statuses_mean_nothing_was_stored(self):
        for status in (429, 503, 507):
            self.set_answer("/log-append", status, b"")
            with self.assertRaises(LogUnavailableError):
                await self.append()

    async def test_conflict_reasons(self):
        self.set_answer("/log-append", 409, {"Reason": "fenced"})
        with self.assertRaises(FencedError):
            await self.append()
        self.set_answer("/log-append", 409, {"Reason": "seq", "Sequence": 9})
        with self.assertRaises(OutOfSequenceError) as caught:
            await self.append()
        self.assertEqual(caught.exception.expected, 9)

    async def test_timeout_is_an_unknown_outcome(self):
        self.wire.unanswered.add("/log-append")
        _store.MAX_APPEND_TIMEOUT_MS = 50
        with self.assertRaises(AppendUnknownError):
            await self.append()

    async def test_refused_connection_means_nothing_was_stored(self):
        await self.wire.stop()
        with self.assertRaises(LogUnavailableError):
            await self.append()
        await self.wire.start()


class TestRead(StoreCase):
    def slice_body(self, end):
        return struct.pack(">QQ", end, 0) + encode_keyed(RECORDS)

    async def test_records_and_end_offset(self):
        self.set_answer("/log-read", 200, self.slice_body(7))
        slice_ = await self.store.read("rules", 5, 0)
        self.assertEqual(slice_.records, RECORDS)
        self.assertEqual((slice_.next_offset, slice_.end), (7, 7))
        self.assertIn("Topic=keyed.op", self.wire.requests[0][1])

    # Guards against an entry that counts as disconnected while it receives one long
    # slice.
    async def test_slice_transfer_fits_max_stream_age(
        self,
    ):
        self.set_answer("/log-read", 200, self.slice_body(7))
        await self.store.read("work", 5, 0)
        query = parse_qs(urlsplit(self.wire.requests[0][1]).query)
        transfer_ms = int(query["MaxKb"][0]) * 1024 / SLOWEST_LINK_BYTES_PER_MS
        self.assertLessEqual(transfer_ms, MAX_STREAM_AGE_MS / 2)

    async def test_deleted_records(self):
        self.set_answer("/log-read", 410, {"First": 9})
        with self.assertRaises(RecordsForgottenError):
            await self.store.read("rules", 5, 0)

    def test_truncated_framing_is_rejected(self):
        whole = self.slice_body(7)
        for cut in (3, 15, 18, len(whole) - 3):
            with self.assertRaises(LogUnavailableError):
                decode_slice(whole[:cut], 5)

    def test_record_with_invalid_key_keeps_its_offset(self):
        body = struct.pack(">QQ", 2, 0) + struct.pack(">I", 2) + b"\x09a"
        body += encode_keyed(RECORDS[:1])
        part = decode_slice(body, 0)
        self.assertEqual([record.key for record in part.records], ["", "k"])

    async def test_pages_of_newest_records(self):
        item = {"Key": "a", "Value": base64.b64encode(b"x").decode(), "Offset": 3}
        self.set_answer(
            "/log-newest", 200, {"items": [item], "HasMore": True, "End": 6}
        )
        page = await self.store.newest("work", "0")
        self.assertEqual(page.records, [KeyedRecord("a", b"x")])
        self.assertEqual((page.more_after, page.end), ("a", 6))
        self.assertIn("DependsOn=0", self.wire.requests[0][1])

    async def test_invalid_page_is_rejected(self):
        for body in (b"{", {"items": [{"Key": "a", "Value": "!"}], "End": 1}):
            self.set_answer("/log-newest", 200, body)
            with self.assertRaises(LogUnavailableError):
                await self.store.newest("work", None)


class TestBatchSize(unittest.TestCase):
    # Guards against an append that times out while it is still being sent.
    def test_batch_transfer_fits_min_append_timeout(self):
        transfer_ms = MAX_BATCH_BYTES / SLOWEST_LINK_BYTES_PER_MS
        self.assertLessEqual(transfer_ms, _store.MIN_APPEND_TIMEOUT_MS / 2)


class TestSlowLink(StoreCase):
    """An entry restarts on a link that takes longer for a page than a usual read."""

    CHUNKS = 10
    GAP_S = 0.2

    def set_throttled_answer(self, path, content):
        self.set_answer(path, 200, content)
        self.wire.throttled[path] = (len(content) // self.CHUNKS + 1, self.GAP_S)

    def page(self):
        value = base64.b64encode(bytes(1000)).decode()
        items = [{"Key": f"j:{number}", "Value": value} for number in range(50)]
        return json.dumps({"items": items, "End": 50}).encode()

    # Guards against an entry that never receives its state because each page times
    # out while it is still being received.
    async def test_slow_page_is_read_completely(self):
        self.set_throttled_answer("/log-newest", self.page())
        self.assertGreater(self.CHUNKS * self.GAP_S * 1000, _store.READ_IDLE_TIMEOUT_MS)
        page = await self.store.newest("work", None)
        self.assertEqual(len(page.records), 50)

    # Guards against an entry that has fallen behind and never catches up.
    async def test_slow_slice_is_read_completely(self):
        self.set_throttled_answer(
            "/log-read", struct.pack(">QQ", 2, 0) + encode_keyed(RECORDS)
        )
        part = await self.store.read("work", 0, 0)
        self.assertEqual(part.records, RECORDS)

    async def test_idle_timeout_within_an_answer(self):
        self.set_throttled_answer("/log-newest", self.page())
        self.wire.stalled.add("/log-newest")
        idle_timeout = mock.patch.object(_store, "READ_IDLE_TIMEOUT_MS", 200)
        with idle_timeout, self.assertRaises(LogUnavailableError) as caught:
            await self.store.newest("work", None)
        self.assertIn("then none for 200 ms", str(caught.exception))

    # Guards against a read that waits 20 s on an open but idle connection.
    async def test_idle_timeout_before_the_first_byte(self):
        self.wire.unanswered.add("/log-newest")
        idle_timeout = mock.patch.object(_store, "READ_IDLE_TIMEOUT_MS", 200)
        with idle_timeout, self.assertRaises(LogUnavailableError) as caught:
            await self.store.newest("work", None)
        self.assertIn("no answer for 200 ms", str(caught.exception))
