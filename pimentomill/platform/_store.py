"""Store client for the platform's append-only log."""

import base64
import struct
import time
from urllib.parse import urlencode

import msgspec

from ..exceptions import (
    AppendUnknownError,
    FencedError,
    LogUnavailableError,
    OutOfSequenceError,
    RecordsForgottenError,
    TransportError,
)
from ..httpclient import HttpClient, HttpReply
from ..jobs import KeyedRecord
from ..replica import AppendPosition, NewestPage, Slice, Writer
from ..telemetry import CellMetrics

__all__ = ["TOPICS", "PlatformStore", "decode_slice", "encode_keyed", "read_newest"]

TOPICS = {"work": "keyed.work", "rules": "keyed.op", "workers": "keyed.servers"}
"""Topic of each stream; all streams use the first partition."""
MIN_APPEND_TIMEOUT_MS = 800
"""Minimum timeout of an append. An append usually takes 10 to 13 ms, and 50 times as
long where the store is slow. A second attempt starts long before the timeout, so a lost
response costs little."""
MAX_APPEND_TIMEOUT_MS = 1400
"""Maximum timeout of an append; one retry still fits into a caller's 3 s."""
APPEND_TIMEOUT_FACTOR = 6
"""Multiple of the smoothed latency after which a response counts as lost."""
LATENCY_SMOOTHING = 0.2
"""Weight of the latest append in the smoothed latency."""
READ_IDLE_TIMEOUT_MS = 1500
"""Time without a byte, on top of the long-polling time, after which a response counts
as lost. A whole page of 1 MB takes longer than this over a link of 5 Mbit/s."""
READ_TIMEOUT_MS = 20_000
"""Timeout of a whole read. The store retains about as much history, so the records
that follow an older response are already deleted."""
MAX_SLICE_KB = 256
"""Maximum size of a read. It takes 0.4 s over a link of 5 Mbit/s, so that an entry
that is catching up does not count as disconnected meanwhile."""
LENGTH_PREFIX = struct.Struct(">I")
SLICE_HEADER = struct.Struct(">QQ")


class AppendBody(msgspec.Struct):
    """Response body of an append.

    Parameters
    ----------
    first_offset : int
        Offset of the first record.
    end_offset : int
        Offset after the last record of the partition.
    reason : str
        Reason of a rejection.
    expected_sequence : int
        Sequence number that the store expects.
    """

    first_offset: int = msgspec.field(name="Offset", default=-1)
    end_offset: int = msgspec.field(name="End", default=-1)
    reason: str = msgspec.field(name="Reason", default="")
    expected_sequence: int = msgspec.field(name="Sequence", default=-1)


class NewestItem(msgspec.Struct):
    """Newest record of a key; the value is encoded in base64."""

    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")


class NewestBody(msgspec.Struct):
    """Response body: a page with the newest record of each key."""

    items: list[NewestItem]
    end_offset: int = msgspec.field(name="End")
    has_more: bool = msgspec.field(name="HasMore", default=False)


def encode_keyed(records: list[KeyedRecord]) -> bytes:
    r"""Encode records in the platform's framing.

    Examples
    --------
    >>> encode_keyed([KeyedRecord("ab", b"xyz")])
    b'\x00\x00\x00\x06\x02abxyz'
    """
    parts = []
    for record in records:
        key = record.key.encode()
        parts.append(LENGTH_PREFIX.pack(1 + len(key) + len(record.value)))
        parts.append(bytes((len(key),)))
        parts.append(key)
        parts.append(record.value)
    return b"".join(parts)


def decode_slice(body: bytes, offset: int) -> Slice:
    """Decode the response body of a read.

    Raises
    ------
    LogUnavailableError
        If the bytes do not follow the platform's framing.
    """
    if len(body) < SLICE_HEADER.size:
        raise LogUnavailableError(
            f"read returned {len(body)} bytes, less than a header"
        )
    end, _ = SLICE_HEADER.unpack_from(body)
    records = []
    position = SLICE_HEADER.size
    while position < len(body):
        content = _read_frame(body, position)
        position += LENGTH_PREFIX.size + len(content)
        records.append(_decode_record(content))
    return Slice(records, offset + len(records), end)


def _read_frame(body: bytes, position: int) -> bytes:
    start = position + LENGTH_PREFIX.size
    if start > len(body):
        raise LogUnavailableError("read ends inside a length prefix")
    (length,) = LENGTH_PREFIX.unpack_from(body, position)
    if start + length > len(body):
        raise LogUnavailableError("read ends inside a record")
    return body[start : start + length]


def _decode_record(content: bytes) -> KeyedRecord:
    # A record without a valid key still occupies an offset, so it is returned with
    # an empty key, which no consumer uses.
    if not content or len(content) < 1 + content[0]:
        return KeyedRecord("", b"")
    size = content[0]
    key = content[1 : 1 + size].decode(errors="replace")
    return KeyedRecord(key, content[1 + size :])


class PlatformStore:
    """Client of the platform's store; see `RecordStore`.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    http : HttpClient
        HTTP client.
    metrics : CellMetrics
        Metrics that count the calls.
    """

    def __init__(self, address: str, http: HttpClient, metrics: CellMetrics) -> None:
        self.base = f"http://{address}"
        self.http = http
        self.metrics = metrics
        self._append_latency_ms = MIN_APPEND_TIMEOUT_MS / APPEND_TIMEOUT_FACTOR

    async def append(
        self, stream: str, records: list[KeyedRecord], writer: Writer | None = None
    ) -> AppendPosition:
        """Append records atomically; see `RecordStore`."""
        query: dict[str, str | int] = {"Topic": TOPICS[stream], "part": 0}
        if writer is not None:
            query["Producer"] = writer.name
            query["epoch"] = writer.epoch
            query["Sequence"] = writer.sequence
        url = f"{self.base}/log-append?{urlencode(query)}"
        started_at = time.monotonic()
        timeout_ms = min(
            MAX_APPEND_TIMEOUT_MS,
            max(MIN_APPEND_TIMEOUT_MS, APPEND_TIMEOUT_FACTOR * self._append_latency_ms),
        )
        try:
            reply = await self.http.call("POST", url, timeout_ms, encode_keyed(records))
        except TransportError as exc:
            elapsed_ms = (time.monotonic() - started_at) * 1000
            self.metrics.record_store_call("append", "no answer", elapsed_ms)
            if not exc.sent:
                raise LogUnavailableError(str(exc)) from exc
            # The store may have become slow, so the next append gets a longer timeout.
            self._update_append_latency(timeout_ms)
            raise AppendUnknownError(str(exc)) from exc
        elapsed_ms = (time.monotonic() - started_at) * 1000
        self._update_append_latency(elapsed_ms)
        self.metrics.record_store_call("append", str(reply.status), elapsed_ms)
        return self._decode_append_reply(reply)

    def _update_append_latency(self, latency_ms: float) -> None:
        self._append_latency_ms += LATENCY_SMOOTHING * (
            latency_ms - self._append_latency_ms
        )

    @staticmethod
    def _decode_append_reply(reply: HttpReply) -> AppendPosition:
        if reply.status not in (200, 409):
            raise LogUnavailableError(f"append rejected with status {reply.status}")
        try:
            body = msgspec.json.decode(reply.body, type=AppendBody)
        except msgspec.DecodeError as exc:
            raise AppendUnknownError(f"append response invalid: {exc}") from exc
        if reply.status == 200:
            return AppendPosition(body.first_offset, body.end_offset)
        if body.reason == "seq":
            raise OutOfSequenceError(
                "append rejected: unexpected sequence number", body.expected_sequence
            )
        raise FencedError(f"append rejected: {body.reason}")

    async def read(self, stream: str, offset: int, wait_ms: int) -> Slice:
        """Read records from an offset on; see `RecordStore`."""
        query: dict[str, str | int] = {
            "Topic": TOPICS[stream],
            "part": 0,
            "From": offset,
            "MaxKb": MAX_SLICE_KB,
            "WaitMs": wait_ms,
        }
        idle_timeout_ms = READ_IDLE_TIMEOUT_MS + wait_ms
        reply = await self._get("read", "/log-read", query, idle_timeout_ms)
        if reply.status == 410:
            raise RecordsForgottenError(f"records at offset {offset} have been deleted")
        if reply.status != 200:
            raise LogUnavailableError(f"read rejected with status {reply.status}")
        return decode_slice(reply.body, offset)

    async def newest(self, stream: str, after: str | None) -> NewestPage:
        """Return a page of newest records; see `RecordStore`."""
        query: dict[str, str | int] = {"Topic": TOPICS[stream], "part": 0}
        if after is not None:
            # The wire name misleads: it holds the key after which the page starts,
            # but is named like the field of a step's dependencies.
            query["DependsOn"] = after
        reply = await self._get("newest", "/log-newest", query, READ_IDLE_TIMEOUT_MS)
        if reply.status != 200:
            raise LogUnavailableError(
                f"read of newest records rejected with status {reply.status}"
            )
        try:
            body = msgspec.json.decode(reply.body, type=NewestBody)
            records = [
                KeyedRecord(item.key, base64.b64decode(item.value, validate=True))
                for item in body.items
            ]
        except (msgspec.DecodeError, ValueError) as exc:
            raise LogUnavailableError(f"page of newest records invalid: {exc}") from exc
        more_after = records[-1].key if body.has_more and records else None
        return NewestPage(records, more_after, body.end_offset)

    async def _get(
        self, operation: str, path: str, query: dict, idle_timeout_ms: int
    ) -> HttpReply:
        url = f"{self.base}{path}?{urlencode(query)}"
        started_at = time.monotonic()
        outcome = "no answer"
        try:
            reply = await self.http.call(
                "GET", url, READ_TIMEOUT_MS, read_timeout_ms=idle_timeout_ms
            )
            outcome = str(reply.status)
        except TransportError as exc:
            raise LogUnavailableError(str(exc)) from exc
        finally:
            elapsed_ms = (time.monotonic() - started_at) * 1000
            self.metrics.record_store_call(operation, outcome, elapsed_ms)
        return reply


async def read_newest(address: str, stream: str) -> list[KeyedRecord]:
    """Read the newest record of every key of a stream, for operators on call.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    stream : str
        Name of the stream, a key of `TOPICS`.

    Raises
    ------
    LogUnavailableError
        If the store can't be reached or rejects the read.
    """
    http = HttpClient(1)
    try:
        store = PlatformStore(address, http, CellMetrics())
        page = await store.newest(stream, None)
        records = list(page.records)
        while page.more_after is not None:
            page = await store.newest(stream, page.more_after)
            records += page.records
        return records
    finally:
        await http.close()
