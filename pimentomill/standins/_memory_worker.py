"""Stand-in of workers, in memory."""

import asyncio

from ..exceptions import ConflictError, FencedError, TransportError
from ..fleet import (
    EndKind,
    HoldOrder,
    RunEnd,
    RunStatus,
    StartAnswer,
    StartOrder,
    StartOutcome,
    WorkerInfo,
    WorkerReport,
)
from ..jobs import TaskKey, WorkerId
from ..utils import wait_for_event

__all__ = ["MemoryWorkers"]


class MemoryWorker:
    """State of one worker's life."""

    def __init__(self, born_ms: int) -> None:
        self.born_ms = born_ms
        self.token = 0
        self.running: dict[TaskKey, int] = {}
        self.ended: list[RunEnd] = []
        self.numbers = 0
        self.barred: dict[TaskKey, int] = {}
        self.changed = asyncio.Event()


class MemoryWorkers:
    """Workers that run what they are told until the test ends it.

    Attributes
    ----------
    silent : set of WorkerId
        Workers that do not answer.
    lose_starts : int
        Starts to come that are carried out but not answered.
    started : list of tuple of WorkerId, TaskKey and int
        All runs that began, in order.
    """

    def __init__(self) -> None:
        self.workers: dict[WorkerId, MemoryWorker] = {}
        self.silent: set[WorkerId] = set()
        self.lose_starts = 0
        self.started: list[tuple[WorkerId, TaskKey, int]] = []
        self.clock_ms = 1000

    def add(self, worker: WorkerId, born_ms: int = 1) -> MemoryWorker:
        """Begin a life of a worker."""
        self.workers[worker] = MemoryWorker(born_ms)
        return self.workers[worker]

    def end(self, worker: WorkerId, task: TaskKey, kind: EndKind) -> None:
        """End a run."""
        state = self.workers[worker]
        run = state.running.pop(task)
        state.numbers += 1
        state.ended.append(RunEnd(state.numbers, task, run, kind, ""))
        state.changed.set()

    def _reach(self, info: WorkerInfo, token: int) -> MemoryWorker:
        if info.worker in self.silent:
            raise TransportError("no answer", sent=True)
        state = self.workers.get(info.worker)
        if state is None:
            raise ConflictError("another life answers")
        if token < state.token:
            raise FencedError("a higher token was seen")
        state.token = token
        return state

    async def start(self, info: WorkerInfo, order: StartOrder) -> StartAnswer:
        """Start a run; see `WorkerPort`."""
        try:
            state = self._reach(info, order.token)
        except FencedError:
            return StartAnswer(StartOutcome.FENCED, None)
        except TransportError:
            return StartAnswer(StartOutcome.UNKNOWN, None)
        if state.barred.get(order.task, 0) >= order.run:
            return StartAnswer(StartOutcome.STALE_RUN, self.clock_ms)
        state.running[order.task] = order.run
        state.barred[order.task] = order.run
        self.started.append((info.worker, order.task, order.run))
        if self.lose_starts:
            self.lose_starts -= 1
            return StartAnswer(StartOutcome.UNKNOWN, None)
        return StartAnswer(StartOutcome.STARTED, self.clock_ms)

    async def stop(self, info: WorkerInfo, task: TaskKey, run: int, token: int) -> None:
        """Stop a run; see `WorkerPort`."""
        state = self._reach(info, token)
        state.barred[task] = max(run, state.barred.get(task, 0))
        if state.running.get(task) == run:
            self.end(info.worker, task, EndKind.STOPPED)

    async def pace(self, info, task: TaskKey, run: int, percent: int, token: int):
        """Let a run work at a share of its speed; see `WorkerPort`."""
        self._reach(info, token)

    async def hold(self, info: WorkerInfo, order: HoldOrder) -> WorkerReport:
        """Renew the lease and report; see `WorkerPort`."""
        state = self._reach(info, order.token)
        state.ended = [end for end in state.ended if end.number > order.acknowledged]
        if order.wait_ms and not state.ended:
            state.changed.clear()
            await wait_for_event(state.changed, order.wait_ms)
        running = [
            RunStatus(task, run, "", 50, 0) for task, run in state.running.items()
        ]
        return WorkerReport(
            state.born_ms, self.clock_ms, running, list(state.ended), True
        )
