"""State that a group's stream adds up to."""

from enum import Enum
from typing import NamedTuple

import msgspec

from ..utils import (
    Epoch,
    GroupName,
    InstanceId,
    JobId,
    MemberId,
    Offset,
    RequestId,
    ServiceName,
    TeamName,
    digest_id,
    stable_hash,
)
from ._specs import JobSpec

__all__ = [
    "Job",
    "RequestOutcome",
    "StoredRequest",
    "Task",
    "TaskOutcome",
    "TaskRef",
    "TaskState",
    "WorkState",
    "choose_home_group",
    "make_job_id",
    "parse_home_group",
]


class TaskState(Enum):
    """Where a task stands by the log."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    ENDED = "ended"


class TaskOutcome(Enum):
    """How an attempt of a task ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CANCELLED = "cancelled"
    NOT_STARTED = "not started"
    LOST = "lost"


class RequestOutcome(Enum):
    """What became of a request to a backend server."""

    PENDING = "pending"
    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class TaskRef(NamedTuple):
    """One attempt of one task.

    Parameters
    ----------
    job : JobId
        The job.
    index : int
        Number of the task in the job, from 0.
    attempt : int
        Number of the attempt, from 1.
    """

    job: JobId
    index: int
    attempt: int


class Task(msgspec.Struct):
    """A task of a job.

    Parameters
    ----------
    state : TaskState
        Where it stands.
    attempt : int
        Number of the present or latest attempt, 0 before the first.
    failures : int
        Attempts that failed or were lost.
    worker : InstanceId
        Worker of the present or latest attempt.
    boot : int
        Incarnation of that worker when the task was assigned.
    epoch : Epoch
        Epoch of the holder that assigned it.
    why : str
        Why it was put there.
    outcome : TaskOutcome or None
        How the latest attempt ended.
    assigned_at, ended_at : int
        Time of day in milliseconds, 0 if it has not come to that.
    """

    state: TaskState = TaskState.WAITING
    attempt: int = 0
    failures: int = 0
    worker: InstanceId = InstanceId("")
    boot: int = -1
    epoch: Epoch = Epoch(-1)
    reason: str = msgspec.field(default="", name="why")
    outcome: TaskOutcome | None = None
    assigned_at: int = 0
    ended_at: int = 0


class Job(msgspec.Struct):
    """An accepted job.

    Parameters
    ----------
    id : JobId
        Identifier, which names its home group.
    team : TeamName
        Whom it counts for.
    spec : JobSpec
        The work.
    urgent : bool
        Whether it goes ahead.
    handed_in_at : int
        Time of day in milliseconds.
    tasks : list of Task
        Its tasks, by number.
    cancelled : bool
        Whether it was cancelled.
    ended_at : int
        Time of day when the last task ended, 0 before.
    moved_to : GroupName
        Group that has the job now, empty if it is here.
    move_done : bool
        Whether that group is known to have accepted it.
    moves : int
        How often it has moved.
    """

    id: JobId
    team: TeamName
    spec: JobSpec
    urgent: bool
    submitted_at: int = msgspec.field(name="handed_in_at")
    tasks: list[Task]
    cancelled: bool = False
    ended_at: int = 0
    moved_to: GroupName = GroupName("")
    move_confirmed: bool = msgspec.field(default=False, name="move_done")
    move_count: int = msgspec.field(default=0, name="moves")

    @property
    def is_active(self) -> bool:
        """Whether the job is here and has not ended."""
        return not self.ended_at and not self.moved_to


class StoredRequest(msgspec.Struct):
    """A non-idempotent request to a service.

    Parameters
    ----------
    id : RequestId
        Identifier, which names its home group.
    team : TeamName
        Who asked.
    service : ServiceName
        What was asked.
    epoch : Epoch
        Epoch of the holder that sent it on.
    outcome : RequestOutcome
        What is known.
    status : int
        Status of the backend server's answer, 0 without one.
    at : int
        Time of day of the latest change, in milliseconds.
    claims : int
        How often it was claimed; above 1 only if earlier claims were surely
        not run.
    """

    id: RequestId
    team: TeamName
    service: ServiceName
    epoch: Epoch
    outcome: RequestOutcome = RequestOutcome.PENDING
    status: int = 0
    updated_at: int = msgspec.field(default=0, name="at")
    claim_count: int = msgspec.field(default=1, name="claims")


class WorkState(msgspec.Struct):
    """All accepted work of a group.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the latest holder that opened the stream.
    jobs, requests : dict
        Objects by id.
    ended, claimed : list of tuple
        Time of day and id of ended jobs and of claimed requests, oldest first.
    last_seq : dict
        Number of the latest record of each writer.
    next_offset : Offset
        First offset not yet folded.
    """

    epoch: Epoch = Epoch(-1)
    jobs: dict[JobId, Job] = {}
    requests: dict[RequestId, StoredRequest] = {}
    ended_jobs: list[tuple[int, JobId]] = msgspec.field(
        default_factory=list, name="ended"
    )
    claimed_requests: list[tuple[int, RequestId]] = msgspec.field(
        default_factory=list, name="claimed"
    )
    last_seq: dict[MemberId, int] = {}
    next_offset: Offset = Offset(0)


def choose_home_group(groups: list[GroupName], team: TeamName, key: str) -> GroupName:
    """Return the group that keeps a hand-in, by rendezvous hashing.

    Parameters
    ----------
    groups : list of GroupName
        All groups of the cell.
    team : TeamName
        Who hands in.
    key : str
        Idempotency key of the hand-in.

    Returns
    -------
    GroupName
        The same in every entry, so that a repeat meets its first.
    """
    return max(groups, key=lambda group: stable_hash(group, team, key))


def make_job_id(group: GroupName, team: TeamName, key: str) -> JobId:
    """Return the id of a hand-in, the same for each repeat of it."""
    return JobId(f"{digest_id(team, key)}@{group}")


def parse_home_group(identifier: str) -> GroupName:
    """Return the home group that an id of a job or request names."""
    return GroupName(identifier.rpartition("@")[2])
