"""Client of the workers and decoding of their registrations."""

import msgspec

from ..exceptions import ConflictError, FencedError, TransportError
from ..fleet import (
    EndKind,
    HoldOrder,
    Registration,
    RunEnd,
    RunStatus,
    StartAnswer,
    StartOrder,
    StartOutcome,
    WorkerInfo,
    WorkerReport,
)
from ..httpclient import HttpClient, HttpReply
from ..jobs import TaskKey
from ..telemetry import ComponentLogger
from ..utils import Epoch, Resources
from ._addresses import is_usable_address
from ._numbers import Amount, Milliseconds, WholeNumber
from ._tasks import format_task, parse_task

__all__ = ["PlatformWorkers", "decode_worker"]

JSON_HEADERS = {"Content-Type": "application/json"}
INCARNATION_HEADER = "Expect-Instance"
WRONG_INCARNATION_STATUS = 421
MAX_ENDS_PER_REPORT = 500
"""Maximum ended runs in one report."""
MAX_LOGGED_CHARS = 80
"""Most characters of a wrong field in a message; bounds the log."""
STATE_READY = "ready"
STATE_DRAINING = "draining"
START_REJECTIONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.STALE_RUN,
    "late": StartOutcome.TOO_LATE,
    "room": StartOutcome.NO_CAPACITY,
    "ticket": StartOutcome.NO_TICKET,
}

_log = ComponentLogger("workers")
_encode = msgspec.json.Encoder().encode


class WireCapacity(msgspec.Struct):
    """Resources: thousandths of a core, MB and accelerators."""

    cpu_milli: Amount = msgspec.field(name="Cpu", default=0)
    memory_mb: Amount = msgspec.field(name="MemMb", default=0)
    accelerators: Amount = msgspec.field(name="Gpu", default=0)

    def to_resources(self) -> Resources:
        """Convert to the internal form."""
        return Resources(self.cpu_milli, self.memory_mb, self.accelerators)


class WireWorker(msgspec.Struct):
    """Registration of a worker under its name.

    `labels` starts with the kind of the worker and its rack.
    """

    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    state: str = msgspec.field(name="State")
    capacity: WireCapacity = msgspec.field(name="Capacity")
    zone: str = msgspec.field(name="Zone", default="")
    labels: list[str] = msgspec.field(name="Labels", default_factory=list)
    incarnation_ms: Amount = msgspec.field(name="born", default=0)
    # Minimum time left to a draining worker, not to a task.
    min_remaining_ms: WholeNumber = msgspec.field(name="RemainingMs", default=0)
    # Time for which the worker still runs slowly after its start.
    cold_left_ms: Milliseconds | msgspec.UnsetType = msgspec.field(
        name="ColdLeftMs", default=msgspec.UNSET
    )


class WireStart(msgspec.Struct, omit_defaults=True):
    """Order to start a run."""

    task: str = msgspec.field(name="Task")
    run: int = msgspec.field(name="RunId")
    payload: str = msgspec.field(name="Spec")
    # Time on the worker's monotonic clock, not wall-clock time.
    lease_until_ms: int = msgspec.field(name="ExpiresMs")
    token: int = msgspec.field(name="FencingToken")
    checkpoint: str = msgspec.field(name="Checkpoint", default="")
    ticket: str = msgspec.field(name="Ticket", default="")


class WireStop(msgspec.Struct):
    """Order to stop a run."""

    task: str = msgspec.field(name="Task")
    run: int = msgspec.field(name="RunId")
    token: int = msgspec.field(name="FencingToken")


class WirePace(msgspec.Struct):
    """Order to limit a run to a percentage of its speed."""

    task: str = msgspec.field(name="Task")
    run: int = msgspec.field(name="RunId")
    percent: int = msgspec.field(name="Percent")
    token: int = msgspec.field(name="FencingToken")


class WireHold(msgspec.Struct, omit_defaults=True):
    """Order to renew the lease and to report."""

    token: int = msgspec.field(name="FencingToken")
    acknowledged: int = msgspec.field(name="AckedThrough")
    lease_until_ms: int | None = msgspec.field(name="ExpiresMs", default=None)
    wait_ms: int = msgspec.field(name="WaitMs", default=0)


class WireOrderReply(msgspec.Struct):
    """Reply to an order; `clock_ms` is the worker's monotonic clock."""

    clock_ms: int | None = msgspec.field(name="ClockMs", default=None)
    reason: str = msgspec.field(name="Reason", default="")


class WireRunRow(msgspec.Struct, array_like=True):
    """Row of a run in progress."""

    task: str
    run: int
    checkpoint: str
    percent: int | float
    load: int | float = 0

    def to_status(self) -> RunStatus:
        """Convert to the internal form."""
        return RunStatus(
            parse_task(self.task),
            self.run,
            self.checkpoint,
            int(self.percent),
            int(self.load),
        )


class WireEndRow(msgspec.Struct, array_like=True):
    """Row of a run that has ended."""

    number: int
    task: str
    run: int
    kind: str
    checkpoint: str

    def to_end(self) -> RunEnd:
        """Convert to the internal form."""
        kind = EndKind(self.kind)
        return RunEnd(
            self.number, parse_task(self.task), self.run, kind, self.checkpoint
        )


class WireReport(msgspec.Struct):
    """Reply to a hold."""

    clock_ms: int = msgspec.field(name="ClockMs")
    running: list[WireRunRow] = msgspec.field(name="Running", default_factory=list)
    ended: list[WireEndRow] = msgspec.field(name="Finished", default_factory=list)
    incarnation_ms: int = msgspec.field(name="born", default=0)


_report_decoder = msgspec.json.Decoder(WireReport)
_order_reply_decoder = msgspec.json.Decoder(WireOrderReply)
_worker_decoder = msgspec.json.Decoder(WireWorker)


def decode_worker(key: str, value: bytes) -> Registration | None:
    """Decode the registration of a worker.

    Returns
    -------
    Registration or None
        None if the registration does not describe a usable worker.
    """
    try:
        wire = _worker_decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as exc:
        _log.warning("Worker registration ignored", worker=key, why=str(exc))
        return None
    reason = _reason_to_ignore(key, wire)
    if reason is not None:
        _log.warning("Worker registration ignored", worker=key, why=reason)
        return None
    info = WorkerInfo(
        key,
        wire.service,
        wire.address,
        wire.zone,
        wire.state == STATE_DRAINING,
        wire.capacity.to_resources(),
        wire.labels[1] if len(wire.labels) > 1 else "",
        frozenset(wire.labels),
        wire.incarnation_ms,
        wire.min_remaining_ms,
    )
    return Registration(info, max(0, round(wire.cold_left_ms or 0)))


def _reason_to_ignore(key: str, wire: WireWorker) -> str | None:
    """Return why a registration names no worker to use, None if it does."""
    if not key or not key.isprintable():
        return f"name {key!r}"
    if wire.state not in (STATE_READY, STATE_DRAINING):
        return f"state {wire.state[:MAX_LOGGED_CHARS]!r}"
    if not is_usable_address(wire.address):
        return f"address {wire.address[:MAX_LOGGED_CHARS]!r}"
    return None


class PlatformWorkers:
    """Client of the workers; see `WorkerPort`.

    Parameters
    ----------
    http : HttpClient
        HTTP client.
    start_timeout_ms, hold_timeout_ms : int
        Timeout of an order, and of a hold on top of its waiting time, in
        milliseconds.
    """

    def __init__(self, http: HttpClient, start_timeout_ms: int, hold_timeout_ms: int):
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
        return self._decode_start_reply(reply)

    def _decode_start_reply(self, reply: HttpReply) -> StartAnswer:
        if reply.status in (429, 503):
            return StartAnswer(StartOutcome.UNHEALTHY, None)
        if reply.status == WRONG_INCARNATION_STATUS:
            return StartAnswer(StartOutcome.WRONG_INSTANCE, None)
        if reply.status == 400:
            return StartAnswer(StartOutcome.INVALID, None)
        order_reply = self._decode_order_reply(reply)
        if reply.status == 200:
            return StartAnswer(StartOutcome.STARTED, order_reply.clock_ms)
        if reply.status == 409:
            outcome = START_REJECTIONS.get(order_reply.reason, StartOutcome.UNKNOWN)
            return StartAnswer(outcome, order_reply.clock_ms)
        return StartAnswer(StartOutcome.UNKNOWN, order_reply.clock_ms)

    async def stop(self, info: WorkerInfo, task: TaskKey, run: int, token: Epoch):
        """Stop a run, or prevent its start if it has not started."""
        body = WireStop(format_task(task), run, token)
        reply = await self._post(info, "/run-stop", body, self.start_timeout_ms)
        self._check_reply(reply, "stop")

    async def pace(self, info, task: TaskKey, run: int, percent: int, token: Epoch):
        """Limit a run to a percentage of its speed."""
        body = WirePace(format_task(task), run, percent, token)
        reply = await self._post(info, "/pace", body, self.start_timeout_ms)
        self._check_reply(reply, "pace")

    async def hold(self, info: WorkerInfo, order: HoldOrder) -> WorkerReport:
        """Renew the lease and read the running and ended runs."""
        body = WireHold(
            order.token, order.acknowledged, order.lease_until_ms, order.wait_ms
        )
        timeout_ms = self.hold_timeout_ms + order.wait_ms
        # Without an answer, the open connections may be silent for good.
        reply = await self._post(info, "/hold", body, timeout_ms, renews=True)
        self._check_reply(reply, "hold")
        try:
            wire = _report_decoder.decode(reply.body)
            running = [row.to_status() for row in wire.running]
            ended = [row.to_end() for row in wire.ended]
        except (
            msgspec.DecodeError,
            ValueError,
            OverflowError,
            RecursionError,
        ) as exc:
            raise TransportError(f"hold reply invalid: {exc}", True) from exc
        complete = len(ended) < MAX_ENDS_PER_REPORT
        return WorkerReport(
            wire.incarnation_ms, wire.clock_ms, running, ended, complete
        )

    async def _post(
        self, info: WorkerInfo, path: str, body, timeout_ms: int, renews: bool = False
    ) -> HttpReply:
        headers = {**JSON_HEADERS, INCARNATION_HEADER: info.worker}
        url = f"http://{info.address}{path}"
        return await self.http.call(
            "POST", url, timeout_ms, _encode(body), headers, renews=renews
        )

    def _check_reply(self, reply: HttpReply, operation: str) -> None:
        if reply.status == 200:
            return
        if reply.status == WRONG_INCARNATION_STATUS:
            raise ConflictError(
                f"{operation}: another incarnation of the worker replied"
            )
        reason = self._decode_order_reply(reply).reason
        if reply.status == 409 and reason == "fence":
            raise FencedError(f"{operation}: the worker has seen a higher token")
        raise TransportError(
            f"{operation} rejected with status {reply.status} {reason}", False
        )

    @staticmethod
    def _decode_order_reply(reply: HttpReply) -> WireOrderReply:
        try:
            return _order_reply_decoder.decode(reply.body)
        except (msgspec.DecodeError, RecursionError):
            return WireOrderReply(reason="unreadable answer")
