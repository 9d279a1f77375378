"""Writes what the leader knows into the store."""

import asyncio
from collections.abc import Awaitable

import msgspec

from ..exceptions import (
    AppendUnknownError,
    FencedError,
    LogUnavailableError,
    OutOfSequenceError,
)
from ..jobs import KeyedRecord, encode_record, progress_key
from ..replica import (
    LEADER_KEY,
    Appended,
    AppendedHook,
    Hedge,
    LeaderRecord,
    RecordStore,
    Writer,
    split_batches,
)
from ..telemetry import PartLog
from ..utils import Clock
from ._book import CellBook
from ._settings import ControlSettings

__all__ = ["LEADER_WRITER", "WORK_STREAM", "Scribe"]

WORK_STREAM = "work"
LEADER_WRITER = "leader"
GATHER_MS = 5
"""Milliseconds in which changes gather into one append; an append takes about 10."""

_log = PartLog("control")


class Scribe:
    """Appends progress in batches, each under the leader's fencing token.

    Parameters
    ----------
    store : RecordStore
        Store.
    book : CellBook
        Where changes come from.
    record : LeaderRecord
        Sign of this leader.
    sequence : int
        Number of its first append.
    clock : Clock
        Source of time.
    cfg : ControlSettings
        Settings.
    appended : callable, default=None
        Called with the offset of the first record and the records of each append
        that the store has acknowledged.

    Attributes
    ----------
    written_at_ : Instant
        When the last append was answered.
    durable : asyncio.Event
        Set each time ends have become durable.
    is_failing_ : bool
        Whether the last append was not acknowledged.
    """

    def __init__(
        self,
        store: RecordStore,
        book: CellBook,
        record: LeaderRecord,
        sequence: int,
        clock: Clock,
        cfg: ControlSettings,
        appended: AppendedHook | None = None,
    ) -> None:
        self.store = store
        self.appended = appended
        self.book = book
        self.record = record
        self.sequence = sequence
        self.clock = clock
        self.cfg = cfg
        self.written_at_ = clock.now()
        self.is_failing_ = False
        self.durable = asyncio.Event()
        self.extra: list[KeyedRecord] = []
        self._wake = asyncio.Event()
        self._turn = asyncio.Lock()
        self._hedge = Hedge(clock)

    def wake(self) -> None:
        """Write soon what has changed."""
        if self.book.dirty or self.book.marks or self.extra:
            self._wake.set()

    async def run(self) -> None:
        """Write until cancelled.

        Raises
        ------
        FencedError
            If another leader has taken over.
        """
        while True:
            try:
                async with asyncio.timeout(self.cfg.beat_ms / 1000):
                    await self._wake.wait()
                    await asyncio.sleep(GATHER_MS / 1000)
            except TimeoutError:
                pass
            self._wake.clear()
            await self.flush()

    async def flush(self, resign: bool = False) -> None:
        """Write all changes now.

        Parameters
        ----------
        resign : bool
            Whether a successor may take over at once.
        """
        # Two appends under one sequence number would look like a repeat, and the
        # second batch would be dropped without an error.
        async with self._turn:
            await self._flush(resign)

    async def _flush(self, resign: bool) -> None:
        progress, marks = self.book.take_dirty()
        extra, self.extra = self.extra, []
        records = [
            KeyedRecord(progress_key(item.job), encode_record(item))
            for item in progress
        ]
        records += extra
        beat_due = self.clock.now() - self.written_at_ >= self.cfg.beat_ms
        if records or beat_due or resign:
            *earlier, last = split_batches(records)
            for batch in earlier:
                await self._append(batch)
            if resign:
                # A successor takes over as soon as it reads this.
                self.record = msgspec.structs.replace(self.record, resigned=True)
            await self._append(last)
        for mark in marks:
            mark.worker.mark_end_durable(mark.born_ms, mark.number)
        if marks:
            self.durable.set()

    async def _append(self, records: list[KeyedRecord]) -> None:
        """Append one batch and a sign of life, repeating it until its fate is known."""
        sign = KeyedRecord(LEADER_KEY, msgspec.msgpack.encode(self.record))
        records = [*records, sign]
        writer = Writer(LEADER_WRITER, self.record.epoch, self.sequence)

        def append() -> Awaitable[Appended]:
            # The store knows a repeat by its sequence number.
            return self.store.append(WORK_STREAM, records, writer)

        while True:
            try:
                done = await self._hedge.run(append, append)
                self._note_appended(done.first, records)
                break
            except OutOfSequenceError as exc:
                if exc.expected != self.sequence + 1:
                    raise FencedError(f"another leader writes: {exc}") from exc
                break
            except (LogUnavailableError, AppendUnknownError) as exc:
                self.is_failing_ = True
                _log.warning("Append repeated", sequence=self.sequence, why=str(exc))
                await asyncio.sleep(self.cfg.retry_ms / 1000)
        self.is_failing_ = False
        self.sequence += 1
        self.written_at_ = self.clock.now()

    def _note_appended(self, first: int, records: list[KeyedRecord]) -> None:
        if self.appended is not None:
            self.appended(first, records)
