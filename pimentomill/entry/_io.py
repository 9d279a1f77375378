"""Threads that carry the core's effects out."""

import queue
import random
import threading
from collections.abc import Callable

from ..exceptions import LogUnavailableError, TransportError
from ..ownership import LeaseGuard
from ..platform import PlatformClient, ReadRequest, StreamSlice
from ..utils import GroupName, InstanceId, Offset, StreamName
from ..workers import CommandAnswer, CommandBatch, WorkerClient

__all__ = ["CommandPool", "StreamReader"]

READ_WAIT_MS = 1_000
RETRY_FIRST_S = 0.05
RETRY_LAST_S = 1.0
COMMAND_THREADS = 8
READ_LIMIT = 2_000


class StreamReader:
    """Follow one stream of the log.

    Parameters
    ----------
    client : PlatformClient
        The platform.
    stream : StreamName
        What to follow.
    offset : Offset
        Where to begin.
    on_read : callable
        Called with a `StreamSlice`, or None after a read without news.
    """

    def __init__(
        self,
        client: PlatformClient,
        stream: StreamName,
        offset: Offset,
        on_read: Callable[[StreamSlice | None], None],
    ) -> None:
        self.client = client
        self.stream = stream
        self.offset = offset
        self.on_read = on_read
        self._stopped = threading.Event()
        self._rng = random.Random(stream)
        self._thread = threading.Thread(
            target=self._run, daemon=True, name=f"read-{stream}"
        )

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Follow no longer; a read under way is dropped."""
        self._stopped.set()

    def _run(self) -> None:
        position = self.offset
        failures = 0
        wait_ms = 0
        while not self._stopped.is_set():
            req = ReadRequest({self.stream: position}, wait_ms, READ_LIMIT)
            try:
                result = self.client.read(req)
            except LogUnavailableError:
                failures += 1
                ceiling = min(RETRY_FIRST_S * 2**failures, RETRY_LAST_S)
                self._stopped.wait(self._rng.uniform(ceiling / 2, ceiling))
                continue
            failures = 0
            wait_ms = READ_WAIT_MS
            part = result.streams.get(self.stream)
            if self._stopped.is_set():
                return
            if part is not None:
                position = Offset(part.start + len(part.records))
            self.on_read(part)


class CommandPool:
    """Send commands to workers on a few threads.

    Parameters
    ----------
    client : WorkerClient
        Sends one batch.
    guard : LeaseGuard
        Checked at the last moment before a batch leaves.
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
        """Queue a batch."""
        self._queue.put((group, worker, address, batch))

    def _run(self) -> None:
        while True:
            group, worker, address, batch = self._queue.get()
            self.on_answer(group, worker, batch, self._send(address, batch))

    def _send(
        self, address: str, batch: CommandBatch
    ) -> CommandAnswer | TransportError:
        if not self.guard.is_valid():
            return TransportError("the lease is over", sent=False)
        try:
            return self.client.send(address, batch)
        except TransportError as exc:
            return exc
