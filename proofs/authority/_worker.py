"""Simulated workers with leases, fencing tokens and clocks of their own."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from pimentomill.exceptions import FencedError, TransportError
from pimentomill.fleet import (
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
from pimentomill.jobs import TaskKey
from pimentomill.utils import wait_for_event
from proofs.clocks import SkewedClock

from ._loop import LoopClock, Process
from ._network import Endpoint, LinkKind, LostError, Network, RefusedError

__all__ = ["LeaseObserver", "SimulatedWorker", "WorkerClient"]

MAX_LEASE_MS = 6000
"""Longest lease that a worker grants; a longer one is shortened."""
MIN_RUN_S = 0.2
FAILURE_RATIO = 0.02
HOLD_TIMEOUT_MS = 700
START_TIMEOUT_MS = 600


class LeaseObserver(NamedTuple):
    """Checks of the invariants, called by workers.

    Parameters
    ----------
    on_start : callable
        Called with the worker, the task and the run before a run starts.
    on_order : callable
        Called with the worker, the token and the true time in milliseconds at which the
        lease then expires, after an order that may extend the lease was accepted.
    """

    on_start: Callable[["SimulatedWorker", TaskKey, int], None]
    on_order: Callable[["SimulatedWorker", int, int], None]


class _Life:
    """State of one incarnation of a worker."""

    def __init__(self, born_ms: int, clock: SkewedClock) -> None:
        self.born_ms = born_ms
        self.clock = clock
        self.token = 0
        self.lease_end = clock.now()
        self.running: dict[TaskKey, int] = {}
        self.started: dict[TaskKey, tuple[int, float]] = {}
        self.highest: dict[TaskKey, int] = {}
        self.ended: list[RunEnd] = []
        self.end_count = 0
        self.end_recorded = asyncio.Event()
        self.is_timer_set = False


class SimulatedWorker(Endpoint):
    """A worker, which keeps its name when it restarts.

    Parameters
    ----------
    name : str
        Name.
    network : Network
        Network.
    clock : LoopClock
        Simulated time.
    rng : random.Random
        Source of the durations of runs.
    observer : LeaseObserver
        Checks of the invariants.
    max_drift_ppm : int
        Largest drift of the clock in parts per million.
    mean_run_s : float
        Mean duration of a run in seconds.

    Attributes
    ----------
    is_unhealthy : bool
        Whether starts are rejected.
    """

    def __init__(
        self,
        name: str,
        network: Network,
        clock: LoopClock,
        rng: random.Random,
        observer: LeaseObserver,
        max_drift_ppm: int,
        mean_run_s: float,
    ) -> None:
        super().__init__(name)
        self.network = network
        self.clock = clock
        self.rng = rng
        self.observer = observer
        self.mean_run_s = mean_run_s
        self.drift_ppm = rng.choice([-max_drift_ppm, 0, max_drift_ppm])
        self.life: _Life | None = None
        self.is_unhealthy = False

    def boot(self) -> None:
        """Start a new incarnation, which has seen no token."""
        now = self.clock.now()
        self.process = Process(self.name)
        rate = 1 + self.drift_ppm / 1_000_000
        offset_ms = self.rng.randint(500, 3000) - round(now * rate)
        skewed = SkewedClock(self.clock, offset_ms, self.drift_ppm)
        self.life = _Life(now + 1, skewed)

    def crash(self) -> None:
        """End the incarnation with all its runs."""
        self.process.kill()
        self.process = None
        self.life = None

    def running(self) -> dict[TaskKey, int]:
        """Return the runs in progress by task."""
        if self.life is None:
            return {}
        self._expire(self.life)
        return self.life.running

    def end_runs(self) -> None:
        """Complete all runs now."""
        for task, run in list(self.running().items()):
            self._end(self.life, task, run, EndKind.DONE)

    # Orders

    async def hold(self, order: HoldOrder) -> WorkerReport:
        """Renew the lease and report, after a wait for an end."""
        life = self._accept_token(order.token)
        if order.lease_until_ms is not None:
            self._extend(life, order.lease_until_ms, order.token)
        life.ended = [end for end in life.ended if end.number > order.acknowledged]
        if order.wait_ms and not life.ended:
            life.end_recorded.clear()
            await wait_for_event(life.end_recorded, order.wait_ms)
        self._expire(life)
        running = [
            RunStatus(task, run, "", self._percent(life, task), 0)
            for task, run in life.running.items()
        ]
        return WorkerReport(
            life.born_ms, life.clock.now(), running, list(life.ended), True
        )

    async def start(self, order: StartOrder) -> StartAnswer:
        """Start a run."""
        if self.is_unhealthy:
            return StartAnswer(StartOutcome.UNHEALTHY, None)
        try:
            life = self._accept_token(order.token)
        except FencedError:
            return StartAnswer(StartOutcome.FENCED, None)
        now = life.clock.now()
        if order.lease_until_ms <= now:
            return StartAnswer(StartOutcome.TOO_LATE, now)
        self._extend(life, order.lease_until_ms, order.token)
        if life.running.get(order.task) == order.run:
            return StartAnswer(StartOutcome.STARTED, now)
        if life.highest.get(order.task, 0) >= order.run:
            return StartAnswer(StartOutcome.STALE_RUN, now)
        self.observer.on_start(self, order.task, order.run)
        life.running[order.task] = order.run
        life.highest[order.task] = order.run
        run_s = MIN_RUN_S + self.rng.expovariate(1 / self.mean_run_s)
        life.started[order.task] = (self.clock.now(), run_s)
        kind = EndKind.FAILED if self.rng.random() < FAILURE_RATIO else EndKind.DONE
        args = (life, order.task, order.run, kind)
        self.network.after(run_s, self._end, *args)
        return StartAnswer(StartOutcome.STARTED, now)

    async def stop(self, task: TaskKey, run: int, token: int) -> None:
        """Stop a run, or prevent it from starting."""
        life = self._accept_token(token)
        life.highest[task] = max(run, life.highest.get(task, 0))
        self._end(life, task, run, EndKind.STOPPED)

    def _percent(self, life: _Life, task: TaskKey) -> int:
        """Return the progress of a run; one that has none would be stopped."""
        started_at, run_s = life.started[task]
        return min(99, int((self.clock.now() - started_at) / (10 * run_s)))

    def _accept_token(self, token: int) -> _Life:
        life = self.life
        self._expire(life)
        if token < life.token:
            raise FencedError("a higher token was seen")
        life.token = token
        return life

    # Leases

    def _extend(self, life: _Life, until: int, token: int) -> None:
        until = min(until, life.clock.now() + MAX_LEASE_MS)
        life.lease_end = max(life.lease_end, until)
        self.observer.on_order(self, token, life.clock.true_at(life.lease_end))
        self._set_timer(life)

    def _set_timer(self, life: _Life) -> None:
        if not life.is_timer_set:
            life.is_timer_set = True
            left_ms = life.clock.true_at(life.lease_end) - self.clock.now()
            self.network.after(max(0, left_ms) / 1000, self._on_timer, life)

    def _on_timer(self, life: _Life) -> None:
        life.is_timer_set = False
        self._expire(life)
        if life.running:
            self._set_timer(life)

    def _expire(self, life: _Life) -> None:
        if life.clock.now() >= life.lease_end:
            for task, run in list(life.running.items()):
                self._end(life, task, run, EndKind.LEASE_EXPIRED)

    @staticmethod
    def _end(life: _Life, task: TaskKey, run: int, kind: EndKind) -> None:
        if life.running.get(task) != run:
            return
        del life.running[task]
        life.end_count += 1
        life.ended.append(RunEnd(life.end_count, task, run, kind, ""))
        life.end_recorded.set()


class WorkerClient:
    """Client of the workers, as one entry reaches them; see `WorkerPort`.

    Parameters
    ----------
    network : Network
        Network.
    workers : dict of str to SimulatedWorker
        Workers by name.
    """

    def __init__(self, network: Network, workers: dict[str, SimulatedWorker]) -> None:
        self.network = network
        self.workers = workers

    async def start(self, info: WorkerInfo, order: StartOrder) -> StartAnswer:
        """Start a run."""
        worker = self.workers[info.worker]
        try:
            return await self._call(
                worker, lambda: worker.start(order), START_TIMEOUT_MS
            )
        except TransportError as exc:
            outcome = StartOutcome.UNKNOWN if exc.sent else StartOutcome.UNHEALTHY
            return StartAnswer(outcome, None)

    async def stop(self, info: WorkerInfo, task: TaskKey, run: int, token: int) -> None:
        """Stop a run."""
        worker = self.workers[info.worker]
        await self._call(
            worker, lambda: worker.stop(task, run, token), START_TIMEOUT_MS
        )

    async def hold(self, info: WorkerInfo, order: HoldOrder) -> WorkerReport:
        """Renew the lease and return a report."""
        worker = self.workers[info.worker]
        timeout_ms = HOLD_TIMEOUT_MS + order.wait_ms
        return await self._call(worker, lambda: worker.hold(order), timeout_ms)

    async def pace(self, info, task: TaskKey, run: int, percent: int, token: int):
        """Do nothing: runs here do no work."""

    async def _call(self, worker: SimulatedWorker, handle, timeout_ms: int):
        try:
            return await self.network.request(
                worker, LinkKind.WORKER, handle, timeout_ms
            )
        except LostError as exc:
            raise TransportError(str(exc), sent=True) from exc
        except RefusedError as exc:
            raise TransportError("refused", sent=exc.was_sent) from exc
