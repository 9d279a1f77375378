"""What is asked of workers and what they answer."""

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
    """What became of an order to start a run."""

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
    """A worker as it registers itself.

    Parameters
    ----------
    worker : WorkerId
        Name.
    service : str
        Pool that it belongs to.
    address : str
        IP address and port.
    zone : str
        Data centre.
    is_draining : bool
        Whether it is about to leave.
    capacity : Resources
        What it has.
    rack : str
        Rack, empty if unknown.
    labels : frozenset of str
        Labels that a step may require.
    incarnation_ms : int
        Time of day at which this life began, in milliseconds since 1970.
    min_remaining_ms : int
        Milliseconds for which a draining worker stays at least.
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


class RunStatus(NamedTuple):
    """A run that a worker has at work.

    Parameters
    ----------
    task : TaskKey
        Task.
    run : int
        Number of the run.
    checkpoint : str
        Newest checkpoint, empty for none.
    percent : int
        Progress; for tasks without end, 100 once at work.
    load : int
        Tail of response times in milliseconds for a task with a target, used
        processor time in thousandths of a core for others.
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
        Position in the worker's list of ends, from 1 in each of its lives.
    task : TaskKey
        Task.
    run : int
        Number of the run.
    kind : EndKind
        How it ended.
    checkpoint : str
        Newest checkpoint, empty for none.
    """

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


class WorkerReport(NamedTuple):
    """Answer to a hold.

    Parameters
    ----------
    incarnation_ms : int
        Life of the worker that answered; 0 if it does not say.
    clock_ms : int
        Its steady clock.
    running : list of RunStatus
        Runs at work.
    ended : list of RunEnd
        Ends that have not been acknowledged, the oldest first.
    is_complete : bool
        Whether all such ends are listed.
    """

    incarnation_ms: int
    clock_ms: int
    running: list[RunStatus]
    ended: list[RunEnd]
    is_complete: bool


class StartOrder(NamedTuple):
    """Order to start a run.

    Parameters
    ----------
    task : TaskKey
        Task.
    run : int
        Number of the run.
    payload : str
        Text of the job.
    lease_until_ms : int
        End of the lease on the worker's clock.
    token : Epoch
        Fencing token.
    checkpoint : str
        Checkpoint to start from, empty for none.
    ticket : str
        Ticket of the queue's policy, empty if it has none.
    """

    task: TaskKey
    run: int
    payload: str
    lease_until_ms: int
    token: Epoch
    checkpoint: str
    ticket: str


class StartAnswer(NamedTuple):
    """Answer to a start; the clock is None if none was given."""

    outcome: StartOutcome
    clock_ms: int | None


class HoldOrder(NamedTuple):
    """Order to renew the lease and report.

    Parameters
    ----------
    token : Epoch
        Fencing token.
    acknowledged : int
        Ends up to this number may be forgotten.
    lease_until_ms : int or None
        End of the lease on the worker's clock; None leaves it as it is.
    wait_ms : int
        Milliseconds for which the answer may wait for an end.
    """

    token: Epoch
    acknowledged: int
    lease_until_ms: int | None
    wait_ms: int


class WorkerPort(Protocol):
    """Calls to workers.

    Notes
    -----
    Each call but `start` raises `TransportError` if no usable answer came,
    `FencedError` if the worker has seen a higher token, and `ConflictError` if
    another life answers at the address.
    """

    async def start(self, info: WorkerInfo, order: StartOrder) -> StartAnswer:
        """Start a run."""

    async def stop(self, info: WorkerInfo, task: TaskKey, run: int, token: Epoch):
        """Stop a run, or make it impossible if it has not begun."""

    async def hold(self, info: WorkerInfo, order: HoldOrder) -> WorkerReport:
        """Renew the lease and read what runs and what ended."""

    async def pace(self, info, task: TaskKey, run: int, percent: int, token: Epoch):
        """Let a run work at a share of its speed, in percent."""
