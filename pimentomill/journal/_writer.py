"""Background thread that appends queued records to the log."""

import random
import threading
from collections.abc import Callable
from typing import Any

from ..exceptions import AppendUnknownError, LogUnavailableError
from ..utils import Clock, Instant, MemberId, StreamName
from ._messages import LogService
from ._queue import AppendBatch, AppendQueue, PendingAppend

__all__ = ["LogWriter"]

INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
MAX_IDLE_WAIT_S = 0.5


class LogWriter:
    """Appends records to the log in batches, on a thread of its own.

    Parameters
    ----------
    log : LogService
        Log of the platform.
    writer : MemberId
        Incarnation that writes the records.
    clock : Clock
        Source of time.
    on_settled : callable
        Called on the writer's thread with each `PendingAppend` whose outcome is
        final.
    rng : random.Random
        Source of jitter for the backoff.

    Attributes
    ----------
    append_count_ : int
        Number of confirmed appends.
    """

    def __init__(
        self,
        log: LogService,
        writer: MemberId,
        clock: Clock,
        on_settled: Callable[[PendingAppend], None],
        rng: random.Random,
    ) -> None:
        self.log = log
        self.writer = writer
        self.clock = clock
        self.on_settled = on_settled
        self.rng = rng
        self.append_count_ = 0
        self._queue = AppendQueue(writer)
        self._queue_changed = threading.Condition()
        self._stopping = False
        self._failures: dict[StreamName, int] = {}
        self._thread = threading.Thread(target=self._run, name="log-writer")

    def start(self) -> None:
        """Start the writer's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after the batch in flight; other records are dropped."""
        with self._queue_changed:
            self._stopping = True
            self._queue_changed.notify()
        self._thread.join()

    def submit(
        self, stream: StreamName, body: Any, linger_ms: int, timeout_ms: int
    ) -> PendingAppend:
        """Queue a record.

        Parameters
        ----------
        stream : StreamName
            Stream to append to.
        body : object
            Record to append.
        linger_ms : int
            Milliseconds that the record may wait for others to join its batch.
        timeout_ms : int
            Milliseconds after which no caller waits for the outcome.

        Returns
        -------
        PendingAppend
            The queued record; its `state` changes when the outcome is final.
        """
        now = self.clock.now()
        item = PendingAppend(
            stream, body, Instant(now + linger_ms), Instant(now + timeout_ms)
        )
        with self._queue_changed:
            self._queue.put(item)
            self._queue_changed.notify()
        return item

    def _run(self) -> None:
        while True:
            batch = self._wait_for_batch()
            if batch is None:
                return
            self._send(batch)

    def _wait_for_batch(self) -> AppendBatch | None:
        while True:
            with self._queue_changed:
                if self._stopping:
                    return None
                now = self.clock.now()
                expired = self._queue.drop_expired(now)
                batch = self._queue.get_due_batch(now)
                if batch is None and not expired:
                    self._queue_changed.wait(self._wait_timeout_s(now))
            self._notify_settled(expired)
            if batch is not None:
                return batch

    def _wait_timeout_s(self, now: Instant) -> float:
        due = self._queue.next_send_by()
        if due is None:
            return MAX_IDLE_WAIT_S
        return min(max(due - now, 1) / 1000, MAX_IDLE_WAIT_S)

    def _send(self, batch: AppendBatch) -> None:
        try:
            offset = self.log.append(batch.stream, batch.payloads)
        except AppendUnknownError:
            self._retry(batch, may_be_durable=True)
            return
        except LogUnavailableError:
            self._retry(batch, may_be_durable=False)
            return
        self.append_count_ += 1
        self._failures.pop(batch.stream, None)
        with self._queue_changed:
            settled = self._queue.confirm(batch, offset)
        self._notify_settled(settled)

    def _retry(self, batch: AppendBatch, may_be_durable: bool) -> None:
        failures = self._failures.get(batch.stream, 0)
        self._failures[batch.stream] = failures + 1
        max_delay_ms = min(INITIAL_BACKOFF_MS * 2**failures, MAX_BACKOFF_MS)
        now = self.clock.now()
        retry_at = Instant(now + self.rng.randint(max_delay_ms // 2, max_delay_ms))
        with self._queue_changed:
            settled = self._queue.fail(batch, now, retry_at, may_be_durable)
        self._notify_settled(settled)

    def _notify_settled(self, items: list[PendingAppend]) -> None:
        for item in items:
            self.on_settled(item)
