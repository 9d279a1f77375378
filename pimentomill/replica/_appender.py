"""Group commit: combines the records of many callers into few appends."""

import asyncio
from collections.abc import Awaitable, Callable

from ..exceptions import AppendUnknownError, LogUnavailableError
from ..jobs import KeyedRecord
from ..telemetry import ComponentLogger
from ..utils import Clock, Instant
from ._hedge import Hedge
from ._ports import RecordStore

__all__ = [
    "MAX_BATCH_BYTES",
    "AppendedHook",
    "GroupAppender",
    "Relay",
    "split_batches",
]

Relay = Callable[[list[KeyedRecord]], Awaitable[None]]
AppendedHook = Callable[[int, list[KeyedRecord]], None]

MAX_BATCH_BYTES = 128 * 1024
"""Bytes from which a batch is full. Over a link of 5 Mbit/s they take 0.2 s, a quarter
of the shortest timeout of an append."""
RETRY_DELAY_MS = 10
"""Milliseconds before a retry, about one round trip to the store."""

_log = ComponentLogger("append")


def split_batches(records: list[KeyedRecord]) -> list[list[KeyedRecord]]:
    """Split records into batches that each fit into one append.

    Examples
    --------
    >>> large = KeyedRecord("k", bytes(MAX_BATCH_BYTES))
    >>> [len(batch) for batch in split_batches([large, large])]
    [1, 1]
    >>> split_batches([])
    [[]]
    """
    batches: list[list[KeyedRecord]] = [[]]
    size = 0
    for record in records:
        if size >= MAX_BATCH_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(record)
        size += len(record.value)
    return batches


class _PendingAppend:
    """A record whose append has no outcome yet."""

    def __init__(self, record: KeyedRecord, deadline: Instant) -> None:
        self.record = record
        self.deadline = deadline
        self.in_doubt = False
        loop = asyncio.get_running_loop()
        self.fut: asyncio.Future[None] = loop.create_future()

    def settle(self, exc: Exception | None) -> None:
        """Pass the outcome to the caller, if it still waits."""
        if self.fut.done():
            return
        if exc is None:
            self.fut.set_result(None)
        else:
            self.fut.set_exception(exc)


class GroupAppender:
    """Appends records to a keyed stream, one append at a time.

    An append without an answer is retried until the deadlines of its callers, which
    is safe because writing the same value of a key again has no effect.

    Parameters
    ----------
    store : RecordStore
        Client of the store.
    stream : str
        Name of the stream.
    clock : Clock
        Source of time.
    relay : callable, default=None
        Appends through another entry if this one gets no answer or is rejected;
        raises `LogUnavailableError` or `AppendUnknownError`.
    on_appended : callable, default=None
        Called with the offset of the first record and the records when the store
        has acknowledged an append of this entry.
    gather : callable, default=None
        Appends through the entry that combines the records of all entries while the
        store is slow; raises like `relay`, also if this entry is that one.
    """

    def __init__(
        self,
        store: RecordStore,
        stream: str,
        clock: Clock,
        relay: Relay | None = None,
        on_appended: AppendedHook | None = None,
        gather: Relay | None = None,
    ) -> None:
        self.store = store
        self.stream = stream
        self.clock = clock
        self.relay = relay
        self.on_appended = on_appended
        self.gather = gather
        self.hedge = Hedge(clock)
        self._pending: list[_PendingAppend] = []
        self._task: asyncio.Task | None = None

    async def append_all(self, records: list[KeyedRecord], deadline: Instant) -> None:
        """Append records, batched with others that are pending.

        Raises
        ------
        LogUnavailableError
            If none of the records is durable.
        AppendUnknownError
            If some may be durable now or become so later.
        """
        attempts = (self.append(record, deadline) for record in records)
        errors = await asyncio.gather(*attempts, return_exceptions=True)
        failed = [exc for exc in errors if exc is not None]
        if not failed:
            return
        rejections = [exc for exc in failed if isinstance(exc, LogUnavailableError)]
        if len(rejections) == len(records):
            raise rejections[0]
        raise AppendUnknownError(f"not all records are durable: {failed[0]}")

    async def append(self, record: KeyedRecord, deadline: Instant) -> None:
        """Append a record, batched with others that are pending.

        Raises
        ------
        LogUnavailableError
            If the record is not durable.
        AppendUnknownError
            If the record may be durable now or become so later.
        """
        item = _PendingAppend(record, deadline)
        self._pending.append(item)
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())
        await asyncio.shield(item.fut)

    async def _run(self) -> None:
        while self._pending:
            batch = self._take_batch()
            try:
                await self._append([item.record for item in batch])
            except LogUnavailableError as exc:
                self._reject(batch, exc)
            except AppendUnknownError as exc:
                self._retry(batch, exc)
                if self._pending:
                    await asyncio.sleep(RETRY_DELAY_MS / 1000)
            else:
                for item in batch:
                    item.settle(None)

    async def _append(self, records: list[KeyedRecord]) -> None:
        """Append directly, and through another entry if that fails or takes long."""
        relayed = False

        async def second() -> None:
            nonlocal relayed
            if self.relay is None:
                await self._append_directly(records)
                return
            relayed = True
            await self._append_by_relay(records, "no answer yet")

        if self.gather is not None and self.hedge.is_slow():
            # Combining the records of all entries reduces the queue at the store.
            try:
                await self.hedge.run_single(lambda: self.gather(records))
                return
            except LogUnavailableError as exc:
                _log.info("Append through the leader not available", why=str(exc))
        try:
            await self.hedge.run(lambda: self._append_directly(records), second)
        except (LogUnavailableError, AppendUnknownError) as exc:
            if self.relay is None or relayed:
                raise
            try:
                await self._append_by_relay(records, str(exc))
            except LogUnavailableError as second_exc:
                # The first attempt decides whether anything may be durable.
                raise exc from second_exc

    async def _append_directly(self, records: list[KeyedRecord]) -> None:
        done = await self.store.append(self.stream, records)
        if self.on_appended is not None:
            self.on_appended(done.first, records)

    async def _append_by_relay(self, records: list[KeyedRecord], reason: str) -> None:
        await self.relay(records)
        _log.info("Appended through another entry", records=len(records), why=reason)

    def _take_batch(self) -> list[_PendingAppend]:
        size = 0
        batch: list[_PendingAppend] = []
        while self._pending and size < MAX_BATCH_BYTES:
            item = self._pending.pop(0)
            size += len(item.record.value)
            batch.append(item)
        return batch

    def _reject(self, batch: list[_PendingAppend], exc: LogUnavailableError) -> None:
        """Fail a batch; records whose earlier attempt is in doubt stay unknown."""
        for item in batch:
            if item.in_doubt:
                item.settle(AppendUnknownError(f"retry rejected: {exc}"))
            else:
                item.settle(exc)

    def _retry(self, batch: list[_PendingAppend], exc: AppendUnknownError) -> None:
        now = self.clock.now()
        retried = [item for item in batch if item.deadline > now]
        _log.warning(
            "Append got no answer",
            records=len(batch),
            repeated=len(retried),
            why=str(exc),
        )
        for item in batch:
            item.in_doubt = True
            if item.deadline <= now:
                item.settle(exc)
        self._pending = retried + self._pending
