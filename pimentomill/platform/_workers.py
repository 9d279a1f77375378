"""Calls to workers in the platform's form."""

import msgspec

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
from ..httpclient import HttpCaller, HttpReply
from ..jobs import TaskKey
from ..telemetry import PartLog
from ..utils import Epoch, Resources
from ._tasks import format_task, parse_task

__all__ = ["PlatformWorkers", "decode_worker"]

JSON_HEADERS = {"Content-Type": "application/json"}
INCARNATION_HEADER = "Expect-Instance"
WRONG_INCARNATION = 421
MAX_ENDS = 500
"""Ends that one answer holds at most."""
STATE_READY = "ready"
STATE_DRAINING = "draining"
START_REASONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.STALE_RUN,
    "late": StartOutcome.TOO_LATE,
    "room": StartOutcome.NO_CAPACITY,
    "ticket": StartOutcome.NO_TICKET,
}

_log = PartLog("workers")
_encode = msgspec.json.Encoder().encode


class WireCapacity(msgspec.Struct):
    """Capacity: thousandths of a core, MB, accelerators."""

    cpu_milli: int = msgspec.field(name="Cpu", default=0)
    memory_mb: int = msgspec.field(name="MemMb", default=0)
    accelerators: int = msgspec.field(name="Gpu", default=0)

    def resources(self) -> Resources:
        """Return the product's form."""
        return Resources(self.cpu_milli, self.memory_mb, self.accelerators)


class WireWorker(msgspec.Struct):
    """What a worker registers under its name.

    `labels` holds the kind of the worker first and its rack second.
    """

    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    state: str = msgspec.field(name="State")
    capacity: WireCapacity = msgspec.field(name="Capacity")
    zone: str = msgspec.field(name="Zone", default="")
    labels: list[str] = msgspec.field(name="Labels", default_factory=list)
    born_ms: int = msgspec.field(name="born", default=0)
    # The least time that is left to a draining worker, not that of a task.
    stays_ms: int = msgspec.field(name="RemainingMs", default=0)


class WireStart(msgspec.Struct, omit_defaults=True):
    """Order to start a run."""

    task: str = msgspec.field(name="Task")
    run: int = msgspec.field(name="RunId")
    payload: str = msgspec.field(name="Spec")
    # A time on the worker's steady clock, not a time of day.
    lease_until_ms: int = msgspec.field(name="ExpiresMs")
    token: int = msgspec.field(name="FencingToken")
    saved: str = msgspec.field(name="Checkpoint", default="")
    ticket: str = msgspec.field(name="Ticket", default="")


class WireStop(msgspec.Struct):
    """Order to stop a run."""

    task: str = msgspec.field(name="Task")
    run: int = msgspec.field(name="RunId")
    token: int = msgspec.field(name="FencingToken")


class WirePace(msgspec.Struct):
    """Order to let a run work at a share of its speed."""

    task: str = msgspec.field(name="Task")
    run: int = msgspec.field(name="RunId")
    percent: int = msgspec.field(name="Percent")
    token: int = msgspec.field(name="FencingToken")


class WireHold(msgspec.Struct, omit_defaults=True):
    """Order to renew the lease and report."""

    token: int = msgspec.field(name="FencingToken")
    acknowledged: int = msgspec.field(name="AckedThrough")
    lease_until_ms: int | None = msgspec.field(name="ExpiresMs", default=None)
    wait_ms: int = msgspec.field(name="WaitMs", default=0)


class WireVerdict(msgspec.Struct):
    """Answer to an order; `clock_ms` is the worker's steady clock."""

    clock_ms: int | None = msgspec.field(name="ClockMs", default=None)
    reason: str = msgspec.field(name="Reason", default="")


class WireReport(msgspec.Struct):
    """Answer to a hold.

    A row of `running` holds task, run, checkpoint, percent and load; one of
    `ended` holds its number, task, run, kind and checkpoint.
    """

    clock_ms: int = msgspec.field(name="ClockMs")
    running: list[list] = msgspec.field(name="Running", default_factory=list)
    ended: list[list] = msgspec.field(name="Finished", default_factory=list)
    born_ms: int = msgspec.field(name="born", default=0)


_report_decoder = msgspec.json.Decoder(WireReport)
_verdict_decoder = msgspec.json.Decoder(WireVerdict)
_worker_decoder = msgspec.json.Decoder(WireWorker)


def decode_worker(key: str, value: bytes) -> WorkerInfo | None:
    """Return a worker from its registration.

    Returns
    -------
    WorkerInfo or None
        None if the entry names no worker that can be used.
    """
    try:
        wire = _worker_decoder.decode(value)
    except msgspec.DecodeError as exc:
        _log.warning("Entry ignored", worker=key, why=str(exc))
        return None
    if wire.state not in (STATE_READY, STATE_DRAINING) or not key or not wire.address:
        _log.warning("Entry ignored", worker=key, why=f"state {wire.state!r}")
        return None
    return WorkerInfo(
        key,
        wire.service,
        wire.address,
        wire.zone,
        wire.state == STATE_DRAINING,
        wire.capacity.resources(),
        wire.labels[1] if len(wire.labels) > 1 else "",
        frozenset(wire.labels),
        wire.born_ms,
        wire.stays_ms,
    )


class PlatformWorkers:
    """Calls to workers; see `WorkerPort`.

    Parameters
    ----------
    http : HttpCaller
        Connections.
    start_timeout_ms, hold_timeout_ms : int
        Milliseconds for an order, and for a hold beyond the time that it waits.
    """

    def __init__(self, http: HttpCaller, start_timeout_ms: int, hold_timeout_ms: int):
        self.http = http
        self.start_timeout_ms = start_timeout_ms
        self.hold_timeout_ms = hold_timeout_ms

    async def start(self, info: WorkerInfo, order: StartOrder) -> StartAnswer:
        """Start a run."""
        body = WireStart(
            format_task(order.task),
            order.run,
            order.payload,
            order.lease_until_ms,
            order.token,
            order.checkpoint,
            order.ticket,
        )
        try:
            reply = await self._post(info, "/run-start", body, self.start_timeout_ms)
        except TransportError as exc:
            outcome = StartOutcome.UNKNOWN if exc.sent else StartOutcome.UNHEALTHY
            return StartAnswer(outcome, None)
        return self._read_start(reply)

    def _read_start(self, reply: HttpReply) -> StartAnswer:
        if reply.status in (429, 503):
            return StartAnswer(StartOutcome.UNHEALTHY, None)
        if reply.status == WRONG_INCARNATION:
            return StartAnswer(StartOutcome.WRONG_INSTANCE, None)
        if reply.status == 400:
            return StartAnswer(StartOutcome.INVALID, None)
        verdict = self._read_verdict(reply)
        if reply.status == 200:
            return StartAnswer(StartOutcome.STARTED, verdict.clock_ms)
        if reply.status == 409:
            outcome = START_REASONS.get(verdict.reason, StartOutcome.UNKNOWN)
            return StartAnswer(outcome, verdict.clock_ms)
        return StartAnswer(StartOutcome.UNKNOWN, verdict.clock_ms)

    async def stop(self, info: WorkerInfo, task: TaskKey, run: int, token: Epoch):
        """Stop a run, or make it impossible if it has not begun."""
        body = WireStop(format_task(task), run, token)
        reply = await self._post(info, "/run-stop", body, self.start_timeout_ms)
        self._check(reply, "stop")

    async def pace(self, info, task: TaskKey, run: int, percent: int, token: Epoch):
        """Let a run work at a share of its speed."""
        body = WirePace(format_task(task), run, percent, token)
        reply = await self._post(info, "/pace", body, self.start_timeout_ms)
        self._check(reply, "pace")

    async def hold(self, info: WorkerInfo, order: HoldOrder) -> WorkerReport:
        """Renew the lease and read what runs and what ended."""
        body = WireHold(
            order.token, order.acknowledged, order.lease_until_ms, order.wait_ms
        )
        limit = self.hold_timeout_ms + order.wait_ms
        reply = await self._post(info, "/hold", body, limit)
        self._check(reply, "hold")
        try:
            wire = _report_decoder.decode(reply.body)
            running = [_read_status(row) for row in wire.running]
            ended = [_read_end(row) for row in wire.ended]
        except (msgspec.DecodeError, ValueError, IndexError, TypeError) as exc:
            raise TransportError(f"hold answered unreadably: {exc}", True) from exc
        complete = len(ended) < MAX_ENDS
        return WorkerReport(wire.born_ms, wire.clock_ms, running, ended, complete)

    async def _post(self, info: WorkerInfo, path: str, body, limit: int) -> HttpReply:
        headers = {**JSON_HEADERS, INCARNATION_HEADER: info.worker}
        url = f"http://{info.address}{path}"
        return await self.http.call("POST", url, limit, _encode(body), headers)

    def _check(self, reply: HttpReply, what: str) -> None:
        if reply.status == 200:
            return
        if reply.status == WRONG_INCARNATION:
            raise ConflictError(f"{what}: another life answers")
        reason = self._read_verdict(reply).reason
        if reply.status == 409 and reason == "fence":
            raise FencedError(f"{what}: the worker has seen a higher token")
        raise TransportError(f"{what} refused with {reply.status} {reason}", False)

    @staticmethod
    def _read_verdict(reply: HttpReply) -> WireVerdict:
        try:
            return _verdict_decoder.decode(reply.body)
        except msgspec.DecodeError:
            return WireVerdict(reason="unreadable answer")


def _read_status(row: list) -> RunStatus:
    load = int(row[4]) if len(row) > 4 else 0
    return RunStatus(parse_task(row[0]), int(row[1]), row[2], int(row[3]), load)


def _read_end(row: list) -> RunEnd:
    return RunEnd(int(row[0]), parse_task(row[1]), int(row[2]), EndKind(row[3]), row[4])
