"""Requests to workers and their replies."""

from enum import Enum
from typing import NamedTuple, Protocol

from ..jobs import TaskKey, WorkerId
from ..utils import Epoch, Resources

__all__ = [
    "EndKind",
    "HoldOrder",
    "RunEnd",
    "RunStatus",
    "StartAnswer",
    "StartOrder",
    "StartOutcome",
    "WorkerInfo",
    "WorkerPort",
    "WorkerReport",
]


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class StartOutcome(Enum):
    """Result of a request to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "stale run"
    TOO_LATE = "too late"
    NO_CAPACITY = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    WRONG_INSTANCE = "wrong instance"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class WorkerInfo(NamedTuple):
    """Registration of a worker.

    Parameters
    ----------
    worker : WorkerId
        Name of the worker.
    service : str
        Service pool that the worker belongs to.
    address : str
        IP address and port of the worker.
    zone : str
        Data centre.
    is_draining : bool
        Whether the worker is about to leave the pool.
    capacity : Resources
        Total resources of the worker.
    rack : str
        Rack, empty if unknown.
    labels : frozenset of str
        Labels that a step may require.
    incarnation_ms : int
        Wall-clock time at which this incarnation started, in milliseconds since 1970.
    min_remaining_ms : int
        Minimum time for which a draining worker remains, in milliseconds.
    kind : str
        Kind of machine, empty if unknown. The stored fleet ends before this field.
    cold_left_ms : int
        Time for which the worker still runs slowly after its start, in milliseconds.
    """

    worker: WorkerId
    service: str
    address: str
    zone: str
    is_draining: bool
    capacity: Resources
    rack: str
    labels: frozenset[str]
    incarnation_ms: int
    min_remaining_ms: int = 0
    kind: str = ""
    cold_left_ms: int = 0


class RunStatus(NamedTuple):
    """Status of a run in progress on a worker.

    Parameters
    ----------
    task : TaskKey
        Task.
    run : int
        Number of the run.
    checkpoint : str
        Latest checkpoint, empty for none.
    percent : int
        Progress in percent; for long-running tasks, 100 once they are running.
    load : int
        Tail latency in milliseconds for a task with a latency target, CPU usage in
        thousandths of a core for other tasks.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: int


class RunEnd(NamedTuple):
    """A run that ended.

    Parameters
    ----------
    number : int
        Sequence number among the worker's ended runs, from 1 in each incarnation.
    task : TaskKey
        Task.
    run : int
        Number of the run.
    kind : EndKind
        How it ended.
    checkpoint : str
        Latest checkpoint, empty for none.
    """

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


class WorkerReport(NamedTuple):
    """Reply to a hold request.

    Parameters
    ----------
    incarnation_ms : int
        Start time of the incarnation that replied, in milliseconds since 1970; 0 if
        not reported.
    clock_ms : int
        Reading of the worker's monotonic clock, in milliseconds.
    running : list of RunStatus
        Runs in progress.
    ended : list of RunEnd
        Ended runs that have not been acknowledged, oldest first.
    is_complete : bool
        Whether `ended` lists all unacknowledged ends.
    """

    incarnation_ms: int
    clock_ms: int
    running: list[RunStatus]
    ended: list[RunEnd]
    is_complete: bool


class StartOrder(NamedTuple):
    """Request to start a run.

    Parameters
    ----------
    task : TaskKey
        Task.
    run : int
        Number of the run.
    payload : str
        Payload of the job.
    lease_until_ms : int
        Expiry of the lease on the worker's clock, in milliseconds.
    token : Epoch
        Fencing token.
    checkpoint : str
        Checkpoint to start from, empty for none.
    ticket : str
        Ticket from the queue's placement policy, empty if the queue has none.
    """

    task: TaskKey
    run: int
    payload: str
    lease_until_ms: int
    token: Epoch
    checkpoint: str
    ticket: str


class StartAnswer(NamedTuple):
    """Reply to a start request; the clock is None if the reply has none."""

    outcome: StartOutcome
    clock_ms: int | None


class HoldOrder(NamedTuple):
    """Hold request: renew the lease and report, with long polling.

    Parameters
    ----------
    token : Epoch
        Fencing token.
    acknowledged : int
        Highest sequence number of an ended run that the worker may discard.
    lease_until_ms : int or None
        New expiry of the lease on the worker's clock, in milliseconds; None leaves the
        lease unchanged.
    wait_ms : int
        Maximum time to wait for a run to end before replying, in milliseconds.
    """

    token: Epoch
    acknowledged: int
    lease_until_ms: int | None
    wait_ms: int


class WorkerPort(Protocol):
    """Interface for requests to workers.

    Notes
    -----
    Each method except `start` raises `TransportError` if no valid reply arrives,
    `FencedError` if the worker has seen a higher fencing token, and `ConflictError`
    if another incarnation replies at the address.
    """

    async def start(self, info: WorkerInfo, order: StartOrder) -> StartAnswer:
        """Start a run."""

    async def stop(self, info: WorkerInfo, task: TaskKey, run: int, token: Epoch):
        """Stop a run, or prevent it from starting if it has not started."""

    async def hold(self, info: WorkerInfo, order: HoldOrder) -> WorkerReport:
        """Renew the lease and return the runs in progress and those that ended."""

    async def pace(self, info, task: TaskKey, run: int, percent: int, token: Epoch):
        """Limit a run to a percentage of its full speed."""
