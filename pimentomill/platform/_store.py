"""The product's store on the platform's log."""

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
from ..httpclient import HttpCaller, HttpReply
from ..jobs import KeyedRecord
from ..replica import Appended, NewestPage, Slice, Writer
from ..telemetry import CellMetrics

__all__ = ["TOPICS", "PlatformStore", "decode_slice", "encode_keyed", "read_newest"]

TOPICS = {"work": "keyed.work", "rules": "keyed.op", "workers": "keyed.servers"}
"""Topic of each of the product's streams; all use the first partition."""
MIN_APPEND_TIMEOUT_MS = 800
"""Shortest time for an append. It usually takes 10 to 13 ms, 50 times as long where the
store is slow; a second try starts long before, so a lost answer costs little."""
MAX_APPEND_TIMEOUT_MS = 1400
"""Longest time for an append, so that one repeat fits into a caller's 3 s."""
APPEND_TIMEOUT_FACTOR = 6
"""Multiple of the usual time after which an answer counts as lost."""
LATENCY_SMOOTHING = 0.2
"""Weight of the newest append in the usual time."""
READ_IDLE_TIMEOUT_MS = 1500
"""Milliseconds without a byte of an answer, beyond the time that a read may wait, after
which it counts as lost. A page of 1 MB takes longer over a link of 5 Mbit/s."""
READ_TIMEOUT_MS = 20_000
"""Longest time of a read. The store keeps about as much history, so what follows an
older answer is forgotten."""
MAX_SLICE_KB = 256
"""Kilobytes of records in one read: 0.4 s over a link of 5 Mbit/s, so that an entry
that catches up is not taken as cut off meanwhile."""
LENGTH_PREFIX = struct.Struct(">I")
SLICE_HEADER = struct.Struct(">QQ")


class AppendBody(msgspec.Struct):
    """Answer to an append.

    Parameters
    ----------
    first : int
        Offset of the first record.
    end : int
        Offset after the last record of the partition.
    reason : str
        Why the append was refused.
    expected : int
        Sequence number that the store expects.
    """

    first_offset: int = msgspec.field(name="Offset", default=-1)
    end_offset: int = msgspec.field(name="End", default=-1)
    reason: str = msgspec.field(name="Reason", default="")
    expected_sequence: int = msgspec.field(name="Sequence", default=-1)


class NewestItem(msgspec.Struct):
    """Newest record of a key; the value is in base64."""

    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")


class NewestBody(msgspec.Struct):
    """A page of newest records."""

    items: list[NewestItem]
    end_offset: int = msgspec.field(name="End")
    has_more: bool = msgspec.field(name="HasMore", default=False)


def encode_keyed(records: list[KeyedRecord]) -> bytes:
    r"""Return records in the platform's framing.

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
    """Return the records in the answer to a read.

    Raises
    ------
    LogUnavailableError
        If the bytes do not follow the platform's framing.
    """
    if len(body) < SLICE_HEADER.size:
        raise LogUnavailableError(f"read returned {len(body)} bytes")
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
        raise LogUnavailableError("read ends inside a length")
    (length,) = LENGTH_PREFIX.unpack_from(body, position)
    if start + length > len(body):
        raise LogUnavailableError("read ends inside a record")
    return body[start : start + length]


def _decode_record(content: bytes) -> KeyedRecord:
    # A record without a readable key still has an offset, so it is kept as one
    # that no part of the system knows.
    if not content or len(content) < 1 + content[0]:
        return KeyedRecord("", b"")
    size = content[0]
    key = content[1 : 1 + size].decode(errors="replace")
    return KeyedRecord(key, content[1 + size :])


class PlatformStore:
    """Store client.

    Parameters
    ----------
    address : str
        IP address and port.
    http : HttpCaller
        Connections.
    metrics : CellMetrics
        Where calls are counted.
    """

    def __init__(self, address: str, http: HttpCaller, metrics: CellMetrics) -> None:
        self.base = f"http://{address}"
        self.http = http
        self.metrics = metrics
        self._append_latency_ms = MIN_APPEND_TIMEOUT_MS / APPEND_TIMEOUT_FACTOR

    async def append(
        self, stream: str, records: list[KeyedRecord], writer: Writer | None = None
    ) -> Appended:
        """Add records, all or none; see `RecordStore`."""
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
            self.metrics.note_store("append", "no answer", elapsed_ms)
            if not exc.sent:
                raise LogUnavailableError(str(exc)) from exc
            # The store may have become slow: the next append gets more time.
            self._update_append_latency(timeout_ms)
            raise AppendUnknownError(str(exc)) from exc
        elapsed_ms = (time.monotonic() - started_at) * 1000
        self._update_append_latency(elapsed_ms)
        self.metrics.note_store("append", str(reply.status), elapsed_ms)
        return self._decode_append_reply(reply)

    def _update_append_latency(self, latency_ms: float) -> None:
        self._append_latency_ms += LATENCY_SMOOTHING * (
            latency_ms - self._append_latency_ms
        )

    @staticmethod
    def _decode_append_reply(reply: HttpReply) -> Appended:
        if reply.status not in (200, 409):
            raise LogUnavailableError(f"append refused with {reply.status}")
        try:
            body = msgspec.json.decode(reply.body, type=AppendBody)
        except msgspec.DecodeError as exc:
            raise AppendUnknownError(f"append answered unreadably: {exc}") from exc
        if reply.status == 200:
            return Appended(body.first_offset, body.end_offset)
        if body.reason == "seq":
            raise OutOfSequenceError("sequence number refused", body.expected_sequence)
        raise FencedError(f"append refused: {body.reason}")

    async def read(self, stream: str, offset: int, wait_ms: int) -> Slice:
        """Return records from an offset on; see `RecordStore`."""
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
            raise RecordsForgottenError(f"records at {offset} are gone")
        if reply.status != 200:
            raise LogUnavailableError(f"read refused with {reply.status}")
        return decode_slice(reply.body, offset)

    async def newest(self, stream: str, after: str | None) -> NewestPage:
        """Return a page of newest records; see `RecordStore`."""
        query: dict[str, str | int] = {"Topic": TOPICS[stream], "part": 0}
        if after is not None:
            # The platform names the key after which a page begins like the
            # field of a step's dependencies.
            query["DependsOn"] = after
        reply = await self._get("newest", "/log-newest", query, READ_IDLE_TIMEOUT_MS)
        if reply.status != 200:
            raise LogUnavailableError(f"newest refused with {reply.status}")
        try:
            body = msgspec.json.decode(reply.body, type=NewestBody)
            records = [
                KeyedRecord(item.key, base64.b64decode(item.value, validate=True))
                for item in body.items
            ]
        except (msgspec.DecodeError, ValueError) as exc:
            raise LogUnavailableError(f"newest answered unreadably: {exc}") from exc
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
                "GET", url, READ_TIMEOUT_MS, silence_ms=idle_timeout_ms
            )
            outcome = str(reply.status)
        except TransportError as exc:
            raise LogUnavailableError(str(exc)) from exc
        finally:
            elapsed_ms = (time.monotonic() - started_at) * 1000
            self.metrics.note_store(operation, outcome, elapsed_ms)
        return reply


async def read_newest(address: str, stream: str) -> list[KeyedRecord]:
    """Return the newest record of every key of a stream, for on-call work.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    stream : str
        One of the product's streams.

    Raises
    ------
    LogUnavailableError
        If the store can't be reached or refuses.
    """
    http = HttpCaller(1)
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
