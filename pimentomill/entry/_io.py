"""Threads that carry out the core's side effects."""

import queue
import random
import threading
from collections.abc import Callable
from typing import Any

from ..exceptions import LogUnavailableError, TransportError
from ..journal import PlatformClient, ReadRequest, StreamSlice
from ..ownership import LeaseGuard
from ..snapshots import load_latest
from ..utils import GroupName, InstanceId, Offset, StreamName
from ..workers import CommandAnswer, CommandBatch, WorkerClient

__all__ = ["CommandPool", "StreamReader"]

READ_WAIT_MS = 1_000
BACKOFF_BASE_S = 0.05
MAX_BACKOFF_S = 1.0
COMMAND_THREADS = 8
READ_LIMIT = 2_000


class StreamReader:
    """Follow one stream of the log in a thread.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    stream : StreamName
        Stream to follow.
    state_type : type
        Class of the state that the stream's records produce.
    on_snapshot : callable
        Called with the state of the latest snapshot, before the first read and
        again after records were deleted before they were read.
    on_read : callable
        Called with a `StreamSlice`, or None after a read without new records.
    """

    def __init__(
        self,
        client: PlatformClient,
        stream: StreamName,
        state_type: type,
        on_snapshot: Callable[[Any], None],
        on_read: Callable[[StreamSlice | None], None],
    ) -> None:
        self.client = client
        self.stream = stream
        self.state_type = state_type
        self.on_snapshot = on_snapshot
        self.on_read = on_read
        self._position: Offset | None = None
        self._wait_ms = 0
        self._stopped = threading.Event()
        self._rng = random.Random(stream)
        self._thread = threading.Thread(
            target=self._run, daemon=True, name=f"read-{stream}"
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following; the result of a pending read is discarded."""
        self._stopped.set()

    def _run(self) -> None:
        failures = 0
        while not self._stopped.is_set():
            try:
                self._follow()
                failures = 0
            except LogUnavailableError:
                failures += 1
                ceiling = min(BACKOFF_BASE_S * 2**failures, MAX_BACKOFF_S)
                self._stopped.wait(self._rng.uniform(ceiling / 2, ceiling))

    def _follow(self) -> None:
        """Read the stream until it is stopped or the log fails."""
        if self._position is None:
            self._position = self._load_snapshot()
        while not self._stopped.is_set():
            part = self._read(self.stream, self._position, self._wait_ms)
            if self._stopped.is_set():
                return
            if part is not None and part.start != self._position:
                self._position = self._skip_to_snapshot(part)
                continue
            self._wait_ms = READ_WAIT_MS
            if part is not None:
                self._position = Offset(part.start + len(part.records))
            self.on_read(part)

    def _read(
        self, stream: StreamName, position: Offset, wait_ms: int = 0
    ) -> StreamSlice | None:
        req = ReadRequest({stream: position}, wait_ms, READ_LIMIT)
        return self.client.read(req).streams.get(stream)

    def _load_snapshot(self) -> Offset:
        state = load_latest(self._read, self.stream, self.state_type)
        if state is None:
            return Offset(0)
        self.on_snapshot(state)
        return state.next_offset

    def _skip_to_snapshot(self, part: StreamSlice) -> Offset:
        """Load a snapshot after records were deleted before they were read."""
        position = self._load_snapshot()
        if position < part.first:
            raise LogUnavailableError(
                f"records of {self.stream} before {part.first} are deleted, and the "
                f"latest snapshot covers only those before {position}"
            )
        return position


class CommandPool:
    """Send commands to workers from a pool of threads.

    Parameters
    ----------
    client : WorkerClient
        Sends a batch to a worker.
    guard : LeaseGuard
        Checked immediately before a batch is sent.
    on_answer : callable
        Called with group, worker, batch and answer.
    """

    def __init__(
        self,
        client: WorkerClient,
        guard: LeaseGuard,
        on_answer: Callable[
            [GroupName, InstanceId, CommandBatch, CommandAnswer | TransportError], None
        ],
    ) -> None:
        self.client = client
        self.guard = guard
        self.on_answer = on_answer
        self._queue: queue.SimpleQueue = queue.SimpleQueue()

    def start(self) -> None:
        """Start the threads."""
        for index in range(COMMAND_THREADS):
            name = f"command-{index}"
            threading.Thread(target=self._run, daemon=True, name=name).start()

    def put(
        self, group: GroupName, worker: InstanceId, address: str, batch: CommandBatch
    ) -> None:
        """Queue a batch for a worker."""
        self._queue.put((group, worker, address, batch))

    def _run(self) -> None:
        while True:
            group, worker, address, batch = self._queue.get()
            self.on_answer(group, worker, batch, self._send(address, batch))

    def _send(
        self, address: str, batch: CommandBatch
    ) -> CommandAnswer | TransportError:
        if not self.guard.is_valid():
            return TransportError("the lease has expired", sent=False)
        try:
            return self.client.send(address, batch)
        except TransportError as exc:
            return exc
