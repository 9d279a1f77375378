"""Stand-in for a worker of the platform."""

import threading
from functools import singledispatchmethod

import msgspec
import urllib3

from ..http import HttpRequest, HttpResponse, HttpServer, Router
from ..journal import Instance, InstanceKind, InstanceState
from ..settings import WorkerSettings
from ..utils import ZERO, Clock, Epoch, InstanceId, Instant, Resources
from ..work import TaskRef
from ..workers import (
    Command,
    CommandAnswer,
    CommandBatch,
    CommandResult,
    ReportReply,
    StartTask,
    StopTask,
    TaskEndReport,
    TaskStatus,
    ThrottleTask,
    WorkerClock,
    WorkerOutcome,
    WorkerReport,
)
from ._registrar import Registrar

__all__ = ["WorkerModel", "WorkerStandIn"]

STEP_INTERVAL_S = 0.02
USAGE_LAG_MS = 1_000
PUSH_TIMEOUT_S = 2.0
HTTP_OK = 200
DEFAULT_DURATION_S = 1.0


class _RunningTask(msgspec.Struct):
    """A task that is running on the stand-in."""

    resources: Resources
    started_at: Instant
    ends_at: Instant | None
    outcome: WorkerOutcome
    lease_until: WorkerClock
    use_percent: int = 100
    throttled_milli: int | None = None


class WorkerModel:
    """Model of a worker that is driven by an injected clock.

    Parameters
    ----------
    id : InstanceId
        Name of the worker.
    capacity : Resources
        Total resources of the worker.
    clock : Clock
        Clock of the worker.
    checks_epochs : bool, default=True
        Whether commands of an epoch below the highest seen are rejected.
    checks_capacity : bool, default=True
        Whether tasks that exceed the free capacity are rejected.

    Notes
    -----
    The command ``["sleep", seconds, use_percent]`` runs for the given time and
    uses that percentage of the declared resources, ``["fail", seconds]`` fails
    after the given time, and ``["serve"]`` runs until it is stopped.
    """

    def __init__(
        self,
        id: InstanceId,
        capacity: Resources,
        clock: Clock,
        checks_epochs: bool = True,
        checks_capacity: bool = True,
    ) -> None:
        self.id = id
        self.capacity = capacity
        self.clock = clock
        self.checks_epochs = checks_epochs
        self.checks_capacity = checks_capacity
        self.incarnation_ = clock.wall_ms()
        self.epoch_ = Epoch(-1)
        self.report_to_ = ""
        self.running_: dict[TaskRef, _RunningTask] = {}
        self.ended_: dict[TaskRef, WorkerOutcome] = {}
        self.started_: list[TaskRef] = []
        self.start_times_: dict[TaskRef, int] = {}

    def execute(self, batch: CommandBatch) -> CommandAnswer:
        """Execute a batch of commands.

        Parameters
        ----------
        batch : CommandBatch
            Commands of a holder.

        Returns
        -------
        CommandAnswer
            Results of the commands, or a report if the batch is empty.
        """
        self.end_due_tasks()
        rejection = self._find_rejection(batch)
        results = []
        if not rejection:
            self.epoch_ = max(self.epoch_, batch.epoch)
            self.report_to_ = batch.report_to
            results = [
                CommandResult(self._execute_command(command))
                for command in batch.commands
            ]
        report = None if batch.commands else self.report()
        clock = WorkerClock(self.clock.now())
        return CommandAnswer(rejection, results, self.incarnation_, clock, report)

    def _find_rejection(self, batch: CommandBatch) -> str:
        if self.checks_epochs and batch.epoch < self.epoch_:
            return f"epoch {batch.epoch} is stale, the highest seen is {self.epoch_}"
        if batch.commands and batch.boot != self.incarnation_:
            return f"expected incarnation {batch.boot}, this is {self.incarnation_}"
        if batch.commands and self.clock.now() > batch.valid_until:
            return "the commands arrived after their deadline"
        return ""

    @singledispatchmethod
    def _execute_command(self, command: Command) -> str:
        raise TypeError(f"command must be a Command, got {command!r}")

    @_execute_command.register
    def _(self, command: StartTask) -> str:
        ref = TaskRef(command.job, command.index, command.attempt)
        if ref in self.running_ or ref in self.ended_:
            return ""
        used = self.used()
        fits = (used + command.resources).fits_in(self.capacity)
        if self.checks_capacity and not fits:
            return f"{used.describe()} in use of {self.capacity.describe()}"
        self.running_[ref] = self._new_task(command)
        self.started_.append(ref)
        self.start_times_[ref] = self.clock.wall_ms()
        return ""

    def used(self) -> Resources:
        """Return the sum of the resources that running tasks declared."""
        used = ZERO
        for running in self.running_.values():
            used = used + running.resources
        return used

    def _new_task(self, command: StartTask) -> _RunningTask:
        args = command.command or ["sleep"]
        now = self.clock.now()
        duration_s = float(args[1]) if len(args) > 1 else DEFAULT_DURATION_S
        ends_at = None if args[0] == "serve" else Instant(now + int(duration_s * 1000))
        fails = args[0] == "fail"
        return _RunningTask(
            resources=command.resources,
            started_at=now,
            ends_at=ends_at,
            outcome=WorkerOutcome.FAILED if fails else WorkerOutcome.SUCCEEDED,
            lease_until=command.lease_until,
            use_percent=int(args[2]) if len(args) > 2 else 100,
        )

    @_execute_command.register
    def _(self, command: StopTask) -> str:
        ref = TaskRef(command.job, command.index, command.attempt)
        if self.running_.pop(ref, None) is not None:
            self.ended_[ref] = WorkerOutcome.STOPPED
        return ""

    @_execute_command.register
    def _(self, command: ThrottleTask) -> str:
        ref = TaskRef(command.job, command.index, command.attempt)
        if ref not in self.running_:
            return f"{ref} is not running on this worker"
        self.running_[ref].throttled_milli = command.cpu_milli
        return ""

    def end_due_tasks(self) -> bool:
        """End tasks that are done or whose lease expired; return whether any ended."""
        now = self.clock.now()
        for ref, task in list(self.running_.items()):
            if task.ends_at is not None and now >= task.ends_at:
                self.ended_[ref] = task.outcome
            elif now >= task.lease_until:
                self.ended_[ref] = WorkerOutcome.LEASE_EXPIRED
        ended = [ref for ref in self.running_ if ref in self.ended_]
        for ref in ended:
            del self.running_[ref]
        return bool(ended)

    def report(self) -> WorkerReport:
        """Return a report, in which usage lags by one second."""
        now = self.clock.now()
        running = [
            TaskStatus(*ref, task.resources, self._usage(task, now))
            for ref, task in self.running_.items()
        ]
        ended = [TaskEndReport(*ref, outcome) for ref, outcome in self.ended_.items()]
        return WorkerReport(
            worker=self.id,
            boot=self.incarnation_,
            clock=WorkerClock(now),
            epoch=self.epoch_,
            capacity=self.capacity,
            running=running,
            ended=ended,
        )

    @staticmethod
    def _usage(task: _RunningTask, now: Instant) -> Resources:
        if now < task.started_at + USAGE_LAG_MS:
            return ZERO
        declared = task.resources
        return Resources(
            declared.cpu_milli * task.use_percent // 100,
            declared.memory_mb * task.use_percent // 100,
            declared.accelerators,
        )

    def apply_reply(self, reply: ReportReply, reported: WorkerReport) -> None:
        """Apply a holder's reply to a report.

        Parameters
        ----------
        reply : ReportReply
            Lease renewal and acknowledged ends.
        reported : WorkerReport
            Report that the reply answers.
        """
        if reply.epoch < self.epoch_:
            return
        for end in reply.forget:
            self.ended_.pop(TaskRef(end.job, end.index, end.attempt), None)
        if reply.lease_until is None:
            return
        for status in reported.running:
            task = self.running_.get(TaskRef(status.job, status.index, status.attempt))
            if task is not None:
                task.lease_until = max(task.lease_until, reply.lease_until)


class WorkerStandIn:
    """Serve a worker over HTTP.

    Parameters
    ----------
    cfg : WorkerSettings
        Settings of the worker.
    clock : Clock
        Source of time.
    """

    def __init__(self, cfg: WorkerSettings, clock: Clock) -> None:
        self.cfg = cfg
        self.clock = clock
        capacity = Resources(cfg.processors * 1000, cfg.memory_mb, cfg.accelerators)
        self.model_ = WorkerModel(InstanceId(cfg.name), capacity, clock)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._pool = urllib3.PoolManager(retries=False)
        router = Router()
        router.add("POST", "/v1/commands", self._commands)
        router.add("GET", "/v1/report", self._report)
        router.add("GET", "/v1/started", self._started)
        listen = cfg.listen
        self._server = HttpServer(listen.host, listen.port, router, threads=2)
        self._registrar = Registrar(
            cfg.platform_url,
            Instance(
                id=InstanceId(cfg.name),
                kind=InstanceKind.WORKER,
                state=InstanceState.LIVE,
                address=listen.authority,
                rack=cfg.rack,
            ),
        )
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start serving, registering and reporting."""
        self._server.start()
        self._registrar.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop reporting, registering and serving."""
        self._stopped.set()
        self._registrar.stop()
        self._server.stop()

    def _commands(self, req: HttpRequest) -> HttpResponse:
        batch = req.decode(CommandBatch)
        with self._lock:
            return HttpResponse.json(self.model_.execute(batch))

    def _report(self, req: HttpRequest) -> HttpResponse:
        with self._lock:
            return HttpResponse.json(self.model_.report())

    def _started(self, req: HttpRequest) -> HttpResponse:
        with self._lock:
            starts = [(*ref, at) for ref, at in self.model_.start_times_.items()]
            return HttpResponse.json(starts)

    def _run(self) -> None:
        report_at = self.clock.now()
        while not self._stopped.wait(STEP_INTERVAL_S):
            with self._lock:
                ended = self.model_.end_due_tasks()
            now = self.clock.now()
            if ended or now >= report_at:
                self._push_report()
                report_at = Instant(now + self.cfg.report_ms)

    def _push_report(self) -> None:
        with self._lock:
            report = self.model_.report()
            target = self.model_.report_to_
        if not target:
            return
        try:
            response = self._pool.request(
                "POST",
                f"http://{target}/v1/reports",
                body=msgspec.json.encode(report),
                timeout=PUSH_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return
        if response.status == HTTP_OK:
            reply = msgspec.json.decode(response.data, type=ReportReply)
            with self._lock:
                self.model_.apply_reply(reply, report)
