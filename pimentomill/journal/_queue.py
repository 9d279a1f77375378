"""Group commit: batching of records for the log, and their outcomes.

The queue uses neither threads nor clocks. One batch per stream is in flight at a
time, so that the records of a writer reach a stream in the order of their sequence
numbers. A batch whose response was lost is retried unchanged; readers drop the
duplicates by writer and sequence number.
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
    """Outcome of a queued record, as far as it is known."""

    WAITING = "waiting"
    DURABLE = "kept"
    NOT_APPENDED = "not kept"
    UNKNOWN = "unknown"


class PendingAppend(msgspec.Struct):
    """Record that is queued for the log.

    Parameters
    ----------
    stream : StreamName
        Stream that the record is appended to.
    body : object
        The record.
    send_by : Instant
        Time at which a batch with the record becomes due.
    deadline : Instant
        Time after which no caller waits for the record. Encoded as ``give_up_at``.
    seq : int, default=0
        Sequence number, assigned by the queue when the record enters a batch.
    state : AppendState, default=AppendState.WAITING
        Outcome of the record.
    offset : Offset, default=-1
        Offset of the record once it is durable.
    """

    stream: StreamName
    body: Any
    send_by: Instant
    deadline: Instant = msgspec.field(name="give_up_at")
    seq: int = 0
    state: AppendState = AppendState.WAITING
    offset: Offset = Offset(-1)


class AppendBatch(msgspec.Struct):
    """Records of one append.

    Parameters
    ----------
    stream : StreamName
        Stream that the records are appended to.
    items : list of PendingAppend
        Records of the batch.
    payloads : list of bytes
        Encoded envelopes of the records.
    may_be_durable : bool, default=False
        Whether an earlier attempt may have taken effect. Encoded as
        ``may_be_kept``.
    """

    stream: StreamName
    items: list[PendingAppend]
    payloads: list[bytes]
    may_be_durable: bool = msgspec.field(default=False, name="may_be_kept")


class AppendQueue:
    """Groups queued records into one batch per stream.

    Parameters
    ----------
    writer : MemberId
        Incarnation that writes the records.
    """

    def __init__(self, writer: MemberId) -> None:
        self.writer = writer
        self._waiting: dict[StreamName, deque[PendingAppend]] = {}
        self._in_flight: dict[StreamName, AppendBatch] = {}
        self._last_seq: dict[StreamName, int] = {}

    def put(self, item: PendingAppend) -> None:
        """Queue a record.

        Parameters
        ----------
        item : PendingAppend
            Record with its due time and deadline.
        """
        self._waiting.setdefault(item.stream, deque()).append(item)

    def next_send_by(self) -> Instant | None:
        """Return when the next batch is due, or None if the queue is empty."""
        due_times = [self._due_at(stream) for stream in self._pending_streams()]
        return min(due_times, default=None)

    def get_due_batch(self, now: Instant) -> AppendBatch | None:
        """Return a batch that is due, or None.

        Parameters
        ----------
        now : Instant
            Current time.

        Returns
        -------
        AppendBatch or None
            A batch in flight is returned again until it is confirmed or given up.
        """
        for stream in sorted(self._pending_streams(), key=self._due_at):
            if self._due_at(stream) > now:
                return None
            if stream not in self._in_flight:
                self._in_flight[stream] = self._form_batch(stream)
            return self._in_flight[stream]
        return None

    def confirm(self, batch: AppendBatch, offset: Offset) -> list[PendingAppend]:
        """Mark the records of a batch as durable.

        Parameters
        ----------
        batch : AppendBatch
            Batch that was appended.
        offset : Offset
            Offset of its first record.

        Returns
        -------
        list of PendingAppend
            Records of the batch.
        """
        for index, item in enumerate(batch.items):
            item.state = AppendState.DURABLE
            item.offset = Offset(offset + index)
        del self._in_flight[batch.stream]
        return batch.items

    def fail(
        self, batch: AppendBatch, now: Instant, retry_at: Instant, may_be_durable: bool
    ) -> list[PendingAppend]:
        """Schedule a retry of an unconfirmed batch, or give it up.

        The batch is retried as a whole while a caller waits for any of its records.

        Parameters
        ----------
        batch : AppendBatch
            Batch whose append failed.
        now : Instant
            Current time.
        retry_at : Instant
            When to retry the batch.
        may_be_durable : bool
            Whether the append may have taken effect.

        Returns
        -------
        list of PendingAppend
            Records given up; empty if the batch will be retried.
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
        """Drop records that were never sent and whose deadline has passed.

        Parameters
        ----------
        now : Instant
            Current time.

        Returns
        -------
        list of PendingAppend
            The dropped records, which are certainly not in the log.
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
