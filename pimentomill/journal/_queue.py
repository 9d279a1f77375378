"""Group commit: which records go into the next append, and what became of them.

The queue is free of threads and clocks. One batch of a stream is under way at a
time, so that the records of a writer reach a stream in the order of their
numbers. A batch whose answer was lost is sent again unchanged; readers drop the
repeat by writer and number.
"""

from collections import deque
from enum import Enum
from typing import Any

import msgspec

from ..utils import Instant, MemberId, Offset, StreamName
from ._codec import encode_envelope

__all__ = ["AppendBatch", "AppendQueue", "AppendState", "PendingAppend"]

MAX_BATCH_RECORDS = 500


class AppendState(Enum):
    """What is known about a record handed to the queue."""

    WAITING = "waiting"
    KEPT = "kept"
    NOT_KEPT = "not kept"
    UNKNOWN = "unknown"


class PendingAppend(msgspec.Struct):
    """A record on its way to the log.

    Parameters
    ----------
    stream : StreamName
        Where it goes.
    body : object
        The record.
    send_by : Instant
        When a batch that holds it leaves at the latest.
    give_up_at : Instant
        When nobody waits for it any more.
    seq : int, default=0
        Number given by the queue when the record enters a batch.
    state : AppendState
        What is known about it.
    offset : Offset
        Where it stands, once kept.
    """

    stream: StreamName
    body: Any
    send_by: Instant
    give_up_at: Instant
    seq: int = 0
    state: AppendState = AppendState.WAITING
    offset: Offset = Offset(-1)


class AppendBatch(msgspec.Struct):
    """Records of one append."""

    stream: StreamName
    items: list[PendingAppend]
    payloads: list[bytes]
    may_be_kept: bool = False


class AppendQueue:
    """Collect records into batches, stream by stream.

    Parameters
    ----------
    writer : MemberId
        Incarnation that writes.
    """

    def __init__(self, writer: MemberId) -> None:
        self.writer = writer
        self._waiting: dict[StreamName, deque[PendingAppend]] = {}
        self._under_way: dict[StreamName, AppendBatch] = {}
        self._last_seq: dict[StreamName, int] = {}

    def put(self, item: PendingAppend) -> None:
        """Add a record.

        Parameters
        ----------
        item : PendingAppend
            The record and its deadlines.
        """
        self._waiting.setdefault(item.stream, deque()).append(item)

    def next_send_by(self) -> Instant | None:
        """Return when the next batch is due, None if nothing waits."""
        heads = [self._due(stream) for stream in self._streams()]
        return min(heads, default=None)

    def take(self, now: Instant) -> AppendBatch | None:
        """Return a batch that is due, None if there is none.

        Parameters
        ----------
        now : Instant
            Present time.

        Returns
        -------
        AppendBatch or None
            A batch under way is returned again until it is settled.
        """
        for stream in sorted(self._streams(), key=self._due):
            if self._due(stream) > now:
                return None
            if stream not in self._under_way:
                self._under_way[stream] = self._form(stream)
            return self._under_way[stream]
        return None

    def confirm(self, batch: AppendBatch, offset: Offset) -> list[PendingAppend]:
        """Note that a batch was kept.

        Parameters
        ----------
        batch : AppendBatch
            The batch.
        offset : Offset
            Offset of its first record.

        Returns
        -------
        list of PendingAppend
            The settled records.
        """
        for index, item in enumerate(batch.items):
            item.state = AppendState.KEPT
            item.offset = Offset(offset + index)
        del self._under_way[batch.stream]
        return batch.items

    def fail(
        self, batch: AppendBatch, now: Instant, retry_at: Instant, may_be_kept: bool
    ) -> list[PendingAppend]:
        """Note that a batch was not confirmed.

        Parameters
        ----------
        batch : AppendBatch
            The batch.
        now : Instant
            Present time.
        retry_at : Instant
            When to send it again.
        may_be_kept : bool
            Whether the append may have taken effect.

        Returns
        -------
        list of PendingAppend
            Records given up, empty while the batch will be sent again.
        """
        batch.may_be_kept = batch.may_be_kept or may_be_kept
        live = [item for item in batch.items if item.give_up_at > now]
        if live:
            for item in batch.items:
                item.send_by = retry_at
            return []
        state = AppendState.UNKNOWN if batch.may_be_kept else AppendState.NOT_KEPT
        for item in batch.items:
            item.state = state
        del self._under_way[batch.stream]
        return batch.items

    def drop_stale(self, now: Instant) -> list[PendingAppend]:
        """Drop records that were never sent and that nobody waits for.

        Parameters
        ----------
        now : Instant
            Present time.

        Returns
        -------
        list of PendingAppend
            The dropped records, certainly not kept.
        """
        dropped: list[PendingAppend] = []
        for stream, items in self._waiting.items():
            stale = [item for item in items if item.give_up_at <= now]
            if not stale:
                continue
            self._waiting[stream] = deque(i for i in items if i.give_up_at > now)
            dropped.extend(stale)
        for item in dropped:
            item.state = AppendState.NOT_KEPT
        return dropped

    def _streams(self) -> list[StreamName]:
        waiting = [stream for stream, items in self._waiting.items() if items]
        return list(dict.fromkeys([*self._under_way, *waiting]))

    def _due(self, stream: StreamName) -> Instant:
        batch = self._under_way.get(stream)
        items = batch.items if batch else self._waiting[stream]
        return min(item.send_by for item in items)

    def _form(self, stream: StreamName) -> AppendBatch:
        waiting = self._waiting[stream]
        count = min(len(waiting), MAX_BATCH_RECORDS)
        items = [waiting.popleft() for _ in range(count)]
        for item in items:
            item.seq = self._last_seq.get(stream, 0) + 1
            self._last_seq[stream] = item.seq
        payloads = [encode_envelope(self.writer, item.seq, item.body) for item in items]
        return AppendBatch(stream, items, payloads)
