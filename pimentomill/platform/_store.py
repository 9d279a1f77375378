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
from ..httpclient import HttpClient, HttpReply
from ..jobs import KeyedRecord
from ..replica import Appended, NewestPage, Slice, Writer
from ..telemetry import CellMetrics

__all__ = ["TOPICS", "PlatformStore", "decode_slice", "encode_keyed", "read_newest"]

TOPICS = {"work": "keyed.work", "rules": "keyed.op", "workers": "keyed.servers"}
"""Topic of each of the product's streams; all use the first partition."""
MIN_APPEND_MS = 800
"""Shortest time for an append. It usually takes 10 to 13 ms, 50 times as long where the
store is slow; a second try starts long before, so a lost answer costs little."""
MAX_APPEND_MS = 1400
"""Longest time for an append, so that one repeat fits into a caller's 3 s."""
APPEND_FACTOR = 6
"""Multiple of the usual time after which an answer counts as lost."""
SMOOTHING = 0.2
"""Weight of the newest append in the usual time."""
READ_SILENCE_MS = 1500
"""Milliseconds without a byte of an answer, beyond the time that a read may wait, after
which it counts as lost. A page of 1 MB takes longer over a link of 5 Mbit/s."""
MAX_READ_MS = 20_000
"""Longest time of a read. The store keeps about as much history, so what follows an
older answer is forgotten."""
MAX_SLICE_KB = 256
"""Kilobytes of records in one read: 0.4 s over a link of 5 Mbit/s, so that an entry
that catches up is not taken as cut off meanwhile."""
LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")


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

    first: int = msgspec.field(name="Offset", default=-1)
    end: int = msgspec.field(name="End", default=-1)
    reason: str = msgspec.field(name="Reason", default="")
    expected: int = msgspec.field(name="Sequence", default=-1)


class NewestItem(msgspec.Struct):
    """Newest record of a key; the value is in base64."""

    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")


class NewestBody(msgspec.Struct):
    """A page of newest records."""

    items: list[NewestItem]
    end: int = msgspec.field(name="End")
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
        parts.append(LENGTH.pack(1 + len(key) + len(record.value)))
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
    if len(body) < HEADER.size:
        raise LogUnavailableError(f"read returned {len(body)} bytes")
    end, _ = HEADER.unpack_from(body)
    records = []
    position = HEADER.size
    while position < len(body):
        content = _next_content(body, position)
        position += LENGTH.size + len(content)
        records.append(_decode_content(content))
    return Slice(records, offset + len(records), end)


def _next_content(body: bytes, position: int) -> bytes:
    start = position + LENGTH.size
    if start > len(body):
        raise LogUnavailableError("read ends inside a length")
    (length,) = LENGTH.unpack_from(body, position)
    if start + length > len(body):
        raise LogUnavailableError("read ends inside a record")
    return body[start : start + length]


def _decode_content(content: bytes) -> KeyedRecord:
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
    http : HttpClient
        Connections.
    metrics : CellMetrics
        Where calls are counted.
    """

    def __init__(self, address: str, http: HttpClient, metrics: CellMetrics) -> None:
        self.base = f"http://{address}"
        self.http = http
        self.metrics = metrics
        self._append_ms = MIN_APPEND_MS / APPEND_FACTOR

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
        began = time.monotonic()
        limit = min(MAX_APPEND_MS, max(MIN_APPEND_MS, APPEND_FACTOR * self._append_ms))
        try:
            reply = await self.http.call("POST", url, limit, encode_keyed(records))
        except TransportError as exc:
            took = (time.monotonic() - began) * 1000
            self.metrics.record_store_call("append", "no answer", took)
            if not exc.sent:
                raise LogUnavailableError(str(exc)) from exc
            # The store may have become slow: the next append gets more time.
            self._note_append(limit)
            raise AppendUnknownError(str(exc)) from exc
        took = (time.monotonic() - began) * 1000
        self._note_append(took)
        self.metrics.record_store_call("append", str(reply.status), took)
        return self._read_append(reply)

    def _note_append(self, took_ms: float) -> None:
        self._append_ms += SMOOTHING * (took_ms - self._append_ms)

    @staticmethod
    def _read_append(reply: HttpReply) -> Appended:
        if reply.status not in (200, 409):
            raise LogUnavailableError(f"append refused with {reply.status}")
        try:
            body = msgspec.json.decode(reply.body, type=AppendBody)
        except msgspec.DecodeError as exc:
            raise AppendUnknownError(f"append answered unreadably: {exc}") from exc
        if reply.status == 200:
            return Appended(body.first, body.end)
        if body.reason == "seq":
            raise OutOfSequenceError("sequence number refused", body.expected)
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
        silence_ms = READ_SILENCE_MS + wait_ms
        reply = await self._get("read", "/log-read", query, silence_ms)
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
        reply = await self._get("newest", "/log-newest", query, READ_SILENCE_MS)
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
        more = records[-1].key if body.has_more and records else None
        return NewestPage(records, more, body.end)

    async def _get(
        self, call: str, path: str, query: dict, silence_ms: int
    ) -> HttpReply:
        url = f"{self.base}{path}?{urlencode(query)}"
        began = time.monotonic()
        outcome = "no answer"
        try:
            reply = await self.http.call(
                "GET", url, MAX_READ_MS, read_timeout_ms=silence_ms
            )
            outcome = str(reply.status)
        except TransportError as exc:
            raise LogUnavailableError(str(exc)) from exc
        finally:
            took = (time.monotonic() - began) * 1000
            self.metrics.record_store_call(call, outcome, took)
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
