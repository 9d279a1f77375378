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
    DURABLE = "kept"
    NOT_APPENDED = "not kept"
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
    deadline: Instant = msgspec.field(name="give_up_at")
    seq: int = 0
    state: AppendState = AppendState.WAITING
    offset: Offset = Offset(-1)


class AppendBatch(msgspec.Struct):
    """Records of one append."""

    stream: StreamName
    items: list[PendingAppend]
    payloads: list[bytes]
    may_be_durable: bool = msgspec.field(default=False, name="may_be_kept")


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
        self._in_flight: dict[StreamName, AppendBatch] = {}
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
        due_times = [self._due_at(stream) for stream in self._pending_streams()]
        return min(due_times, default=None)

    def get_due_batch(self, now: Instant) -> AppendBatch | None:
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
        for stream in sorted(self._pending_streams(), key=self._due_at):
            if self._due_at(stream) > now:
                return None
            if stream not in self._in_flight:
                self._in_flight[stream] = self._form_batch(stream)
            return self._in_flight[stream]
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
            item.state = AppendState.DURABLE
            item.offset = Offset(offset + index)
        del self._in_flight[batch.stream]
        return batch.items

    def fail(
        self, batch: AppendBatch, now: Instant, retry_at: Instant, may_be_durable: bool
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
        batch.may_be_durable = batch.may_be_durable or may_be_durable
        unexpired = [item for item in batch.items if item.deadline > now]
        if unexpired:
            for item in batch.items:
                item.send_by = retry_at
            return []
        state = (
            AppendState.UNKNOWN if batch.may_be_durable else AppendState.NOT_APPENDED
        )
        for item in batch.items:
            item.state = state
        del self._in_flight[batch.stream]
        return batch.items

    def drop_expired(self, now: Instant) -> list[PendingAppend]:
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
            expired = [item for item in items if item.deadline <= now]
            if not expired:
                continue
            self._waiting[stream] = deque(i for i in items if i.deadline > now)
            dropped.extend(expired)
        for item in dropped:
            item.state = AppendState.NOT_APPENDED
        return dropped

    def _pending_streams(self) -> list[StreamName]:
        waiting = [stream for stream, items in self._waiting.items() if items]
        return list(dict.fromkeys([*self._in_flight, *waiting]))

    def _due_at(self, stream: StreamName) -> Instant:
        batch = self._in_flight.get(stream)
        items = batch.items if batch else self._waiting[stream]
        return min(item.send_by for item in items)

    def _form_batch(self, stream: StreamName) -> AppendBatch:
        waiting = self._waiting[stream]
        count = min(len(waiting), MAX_BATCH_RECORDS)
        items = [waiting.popleft() for _ in range(count)]
        for item in items:
            item.seq = self._last_seq.get(stream, 0) + 1
            self._last_seq[stream] = item.seq
        payloads = [encode_envelope(self.writer, item.seq, item.body) for item in items]
        return AppendBatch(stream, items, payloads)
