"""In-memory stand-in for workers."""

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
    """State of one incarnation of a worker."""

    def __init__(self, incarnation_ms: int) -> None:
        self.incarnation_ms = incarnation_ms
        self.token = 0
        self.running: dict[TaskKey, int] = {}
        self.ended: list[RunEnd] = []
        self.end_count = 0
        self.highest_runs: dict[TaskKey, int] = {}
        self.end_recorded = asyncio.Event()


class MemoryWorkers:
    """Workers whose runs last until the test ends them.

    Attributes
    ----------
    unresponsive : set of WorkerId
        Workers that do not answer any request.
    lose_start_answers : int
        Number of further starts that are carried out but whose answer is lost.
    started : list of tuple of WorkerId, TaskKey and int
        Worker, task and run number of all started runs, in order.
    """

    def __init__(self) -> None:
        self.workers: dict[WorkerId, MemoryWorker] = {}
        self.unresponsive: set[WorkerId] = set()
        self.lose_start_answers = 0
        self.started: list[tuple[WorkerId, TaskKey, int]] = []
        self.clock_ms = 1000

    def add(self, worker: WorkerId, incarnation_ms: int = 1) -> MemoryWorker:
        """Add a worker, or start a new incarnation of it."""
        self.workers[worker] = MemoryWorker(incarnation_ms)
        return self.workers[worker]

    def end(self, worker: WorkerId, task: TaskKey, kind: EndKind) -> None:
        """End the current run of a task with the given kind of end."""
        state = self.workers[worker]
        run = state.running.pop(task)
        state.end_count += 1
        state.ended.append(RunEnd(state.end_count, task, run, kind, ""))
        state.end_recorded.set()

    def _accept_token(self, info: WorkerInfo, token: int) -> MemoryWorker:
        if info.worker in self.unresponsive:
            raise TransportError("no answer", sent=True)
        state = self.workers.get(info.worker)
        if state is None:
            raise ConflictError("another incarnation of the worker answers")
        if token < state.token:
            raise FencedError("a higher token was seen")
        state.token = token
        return state

    async def start(self, info: WorkerInfo, order: StartOrder) -> StartAnswer:
        """Start a run; see `WorkerPort`."""
        try:
            state = self._accept_token(info, order.token)
        except FencedError:
            return StartAnswer(StartOutcome.FENCED, None)
        except TransportError:
            return StartAnswer(StartOutcome.UNKNOWN, None)
        if state.highest_runs.get(order.task, 0) >= order.run:
            return StartAnswer(StartOutcome.STALE_RUN, self.clock_ms)
        state.running[order.task] = order.run
        state.highest_runs[order.task] = order.run
        self.started.append((info.worker, order.task, order.run))
        if self.lose_start_answers:
            self.lose_start_answers -= 1
            return StartAnswer(StartOutcome.UNKNOWN, None)
        return StartAnswer(StartOutcome.STARTED, self.clock_ms)

    async def stop(self, info: WorkerInfo, task: TaskKey, run: int, token: int) -> None:
        """Stop a run; see `WorkerPort`."""
        state = self._accept_token(info, token)
        state.highest_runs[task] = max(run, state.highest_runs.get(task, 0))
        if state.running.get(task) == run:
            self.end(info.worker, task, EndKind.STOPPED)

    async def pace(self, info, task: TaskKey, run: int, percent: int, token: int):
        """Throttle a run to a percentage of its speed; see `WorkerPort`.

        Only checks the fencing token, because runs here do no work.
        """
        self._accept_token(info, token)

    async def hold(self, info: WorkerInfo, order: HoldOrder) -> WorkerReport:
        """Renew the lease and return a report; see `WorkerPort`."""
        state = self._accept_token(info, order.token)
        state.ended = [end for end in state.ended if end.number > order.acknowledged]
        if order.wait_ms and not state.ended:
            state.end_recorded.clear()
            await wait_for_event(state.end_recorded, order.wait_ms)
        running = [
            RunStatus(task, run, "", 50, 0) for task, run in state.running.items()
        ]
        return WorkerReport(
            state.incarnation_ms, self.clock_ms, running, list(state.ended), True
        )
