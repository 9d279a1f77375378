"""In-memory stand-in for the record store."""

import asyncio

from ..exceptions import (
    AppendUnknownError,
    FencedError,
    LogUnavailableError,
    OutOfSequenceError,
    RecordsForgottenError,
)
from ..jobs import KeyedRecord
from ..replica import AppendPosition, NewestPage, Slice, Writer
from ..utils import wait_for_event

__all__ = ["MemoryStore"]


class MemoryStore:
    """Streams of keyed records with fenced writers.

    Parameters
    ----------
    page_size : int, default=500
        Maximum number of keys on a page of newest records.

    Attributes
    ----------
    is_down : bool
        Whether every call is rejected.
    lose_answers : int
        Number of further appends that are stored but whose answer is lost.
    append_delay_s : float
        Delay of each append in seconds.
    calls : int
        Number of calls received, including rejected ones.
    """

    def __init__(self, page_size: int = 500) -> None:
        self.page_size = page_size
        self.is_down = False
        self.lose_answers = 0
        self.append_delay_s = 0.0
        self.calls = 0
        self._streams: dict[str, list[KeyedRecord]] = {}
        self._first_offsets: dict[str, int] = {}
        self._writers: dict[tuple[str, str], tuple[int, int, AppendPosition]] = {}
        self._appended = asyncio.Event()

    def records(self, stream: str) -> list[KeyedRecord]:
        """Return all records of a stream, including those removed by compaction."""
        return self._streams.setdefault(stream, [])

    def compact(self, stream: str) -> None:
        """Drop the history of a stream; the newest record of each key remains."""
        self._first_offsets[stream] = len(self.records(stream))

    async def append(
        self, stream: str, records: list[KeyedRecord], writer: Writer | None = None
    ) -> AppendPosition:
        """Append records atomically; see `RecordStore`."""
        self.calls += 1
        if self.append_delay_s:
            await asyncio.sleep(self.append_delay_s)
        if self.is_down:
            raise LogUnavailableError("the store is down")
        answer = self._find_repeat(stream, writer)
        if answer is None:
            answer = self._store_records(stream, records, writer)
        if self.lose_answers:
            self.lose_answers -= 1
            raise AppendUnknownError("the answer was lost")
        return answer

    def _find_repeat(self, stream: str, writer: Writer | None) -> AppendPosition | None:
        """Check the writer; return the earlier answer if the append is a repeat."""
        if writer is None:
            return None
        last_append = self._writers.get((stream, writer.name))
        if last_append is None or writer.epoch > last_append[0]:
            return None
        epoch, sequence, answer = last_append
        if writer.epoch < epoch:
            raise FencedError(f"epoch {epoch} writes")
        if writer.sequence == sequence:
            return answer
        if writer.sequence != sequence + 1:
            raise OutOfSequenceError("sequence number out of order", sequence + 1)
        return None

    def _store_records(self, stream, records, writer: Writer | None) -> AppendPosition:
        stored = self.records(stream)
        answer = AppendPosition(len(stored), len(stored) + len(records))
        stored.extend(records)
        if writer is not None:
            state = (writer.epoch, writer.sequence, answer)
            self._writers[(stream, writer.name)] = state
        self._appended.set()
        self._appended = asyncio.Event()
        return answer

    async def read(self, stream: str, offset: int, wait_ms: int) -> Slice:
        """Return records from an offset onwards; see `RecordStore`."""
        self.calls += 1
        if self.is_down:
            raise LogUnavailableError("the store is down")
        stored = self.records(stream)
        if offset >= len(stored) and wait_ms:
            await wait_for_event(self._appended, wait_ms)
        if offset < self._first_offsets.get(stream, 0):
            raise RecordsForgottenError(f"records at {offset} were dropped")
        records = stored[offset:]
        return Slice(records, offset + len(records), len(stored))

    async def newest(self, stream: str, after: str | None) -> NewestPage:
        """Return a page with the newest record of each key; see `RecordStore`."""
        self.calls += 1
        if self.is_down:
            raise LogUnavailableError("the store is down")
        newest = {record.key: record for record in self.records(stream)}
        keys = sorted(key for key, record in newest.items() if record.value)
        if after is not None:
            keys = [key for key in keys if key > after]
        page = keys[: self.page_size]
        next_after = page[-1] if len(keys) > len(page) else None
        return NewestPage(
            [newest[key] for key in page], next_after, len(self.records(stream))
        )
