"""Writes the progress of jobs and the leader's heartbeat to the store."""

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
    AppendedHook,
    AppendPosition,
    Authority,
    Hedge,
    LeaderRecord,
    RecordStore,
    Writer,
    split_batches,
)
from ..telemetry import ComponentLogger
from ..utils import Clock
from ._leader_state import LeaderState
from ._settings import ControlSettings

__all__ = ["LEADER_WRITER", "WORK_STREAM", "ProgressWriter"]

WORK_STREAM = "work"
LEADER_WRITER = "leader"
BATCH_DELAY_MS = 5
"""Delay that batches changes into one append; an append takes about 10 ms."""

_log = ComponentLogger("control")


class ProgressWriter:
    """Appends progress in batches, each under the leader's fencing token.

    Parameters
    ----------
    store : RecordStore
        Store of records.
    state : LeaderState
        State whose changes are written.
    record : LeaderRecord
        Heartbeat record of this leader.
    sequence : int
        Sequence number of its first append.
    clock : Clock
        Source of time.
    cfg : ControlSettings
        Settings of the leader.
    authority : Authority
        Receives each acknowledged append as a proof.
    on_appended : callable, default=None
        Called with the offset of the first record and the records of each append
        that the store has acknowledged.

    Attributes
    ----------
    written_at_ : Instant
        Time at which the last append was answered.
    ends_durable : asyncio.Event
        Set each time ends have become durable.
    is_failing_ : bool
        Whether the latest try of an append was not acknowledged.
    extra_records : list of KeyedRecord
        Further records to write with the next batch.
    """

    def __init__(
        self,
        store: RecordStore,
        state: LeaderState,
        record: LeaderRecord,
        sequence: int,
        clock: Clock,
        cfg: ControlSettings,
        authority: Authority,
        on_appended: AppendedHook | None = None,
    ) -> None:
        self.store = store
        self.on_appended = on_appended
        self.state = state
        self.record = record
        self.sequence = sequence
        self.clock = clock
        self.cfg = cfg
        self.authority = authority
        self.written_at_ = clock.now()
        self.is_failing_ = False
        self.ends_durable = asyncio.Event()
        self.extra_records: list[KeyedRecord] = []
        self._wake = asyncio.Event()
        self._is_proof_wanted = False
        self._flush_lock = asyncio.Lock()
        self._hedge = Hedge(clock)

    def wake(self) -> None:
        """Request a flush if anything has changed."""
        if self.state.dirty or self.state.pending_acks or self.extra_records:
            self._wake.set()

    def replace_extra_record(self, record: KeyedRecord) -> None:
        """Write a record with the next batch, in place of an unsent one of its key."""
        self.extra_records = [
            *(other for other in self.extra_records if other.key != record.key),
            record,
        ]

    def request_proof(self) -> None:
        """Request an append, as a proof of the leader's authority."""
        self._is_proof_wanted = True
        self._wake.set()

    async def run(self) -> None:
        """Write changes and heartbeats until cancelled.

        Raises
        ------
        FencedError
            If another leader has taken over.
        """
        while True:
            try:
                async with asyncio.timeout(self.cfg.beat_ms / 1000):
                    await self._wake.wait()
                    await asyncio.sleep(BATCH_DELAY_MS / 1000)
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
        # The store takes two appends with one sequence number for a retry and would
        # drop the second batch without an error.
        async with self._flush_lock:
            await self._flush(resign)

    async def _flush(self, resign: bool) -> None:
        progress, acks = self.state.pop_changes()
        extra_records, self.extra_records = self.extra_records, []
        records = [
            KeyedRecord(progress_key(item.job), encode_record(item))
            for item in progress
        ]
        records += extra_records
        has_waited = self.clock.now() - self.written_at_ >= self.cfg.beat_ms
        heartbeat_due = has_waited or self._is_proof_wanted
        self._is_proof_wanted = False
        if records or heartbeat_due or resign:
            *earlier, last = split_batches(records)
            for batch in earlier:
                await self._append(batch)
            if resign:
                # A successor takes over as soon as it reads this.
                self.record = msgspec.structs.replace(self.record, resigned=True)
            await self._append(last)
        for ack in acks:
            ack.worker.mark_end_durable(ack.incarnation_ms, ack.number)
        if acks:
            self.ends_durable.set()

    async def _append(self, records: list[KeyedRecord]) -> None:
        """Append a batch and a heartbeat, retrying until the outcome is known."""
        heartbeat = KeyedRecord(LEADER_KEY, msgspec.msgpack.encode(self.record))
        records = [*records, heartbeat]
        writer = Writer(LEADER_WRITER, self.record.epoch, self.sequence)
        # An answer to a retry may be that of the first call.
        sent_at = self.clock.now()

        def append() -> Awaitable[AppendPosition]:
            # The store recognizes a retry by its sequence number.
            return self.store.append(WORK_STREAM, records, writer)

        while True:
            try:
                appended = await self._hedge.run(append, append)
                self._notify_appended(appended.first, records)
                break
            except OutOfSequenceError as exc:
                if exc.expected != self.sequence + 1:
                    raise FencedError(f"another leader writes: {exc}") from exc
                break
            except (LogUnavailableError, AppendUnknownError) as exc:
                self.is_failing_ = True
                _log.warning(
                    "Append not acknowledged; retrying",
                    sequence=self.sequence,
                    why=str(exc),
                )
                await asyncio.sleep(self.cfg.retry_ms / 1000)
        self.is_failing_ = False
        self.sequence += 1
        self.written_at_ = self.clock.now()
        self.authority.prove_by_append(sent_at, self.written_at_)

    def _notify_appended(self, first: int, records: list[KeyedRecord]) -> None:
        if self.on_appended is not None:
            self.on_appended(first, records)
