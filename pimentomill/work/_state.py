"""State of a group, as replayed from its stream."""

import re
from collections import Counter
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
    "is_job_id",
    "make_job_id",
    "parse_home_group",
]

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{24}@[^@]+")


class TaskState(Enum):
    """State of a task according to the log."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    ENDED = "ended"


class TaskOutcome(Enum):
    """Outcome of an attempt of a task."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CANCELLED = "cancelled"
    NOT_STARTED = "not started"
    LOST = "lost"


class RequestOutcome(Enum):
    """Outcome of a request to a backend server."""

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
        Index of the task in the job, starting at 0.
    attempt : int
        Number of the attempt, starting at 1.
    """

    job: JobId
    index: int
    attempt: int


class Task(msgspec.Struct):
    """A task of a job.

    Parameters
    ----------
    state : TaskState
        State of the task.
    attempt : int
        Number of the current or latest attempt, 0 before the first.
    failures : int
        Number of attempts that failed or were lost.
    worker : InstanceId
        Worker of the current or latest attempt.
    boot : int
        Incarnation of that worker when the task was assigned.
    epoch : Epoch
        Epoch of the holder that assigned the task.
    reason : str
        Why the worker was chosen.
    outcome : TaskOutcome or None
        Outcome of the latest attempt, None until it has ended.
    assigned_at, ended_at : int
        Wall-clock times in milliseconds, 0 before the event.
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
        Identifier; includes the name of the home group.
    team : TeamName
        Team whose usage the job counts towards.
    spec : JobSpec
        Specification of the job.
    urgent : bool
        Whether the job takes precedence over jobs that are not urgent.
    submitted_at : int
        Wall-clock time of the submission, in milliseconds.
    tasks : list of Task
        Tasks, by index.
    cancelled : bool
        Whether the job was cancelled.
    ended_at : int
        Wall-clock time in milliseconds when the last task ended, 0 before.
    moved_to : GroupName
        Group that the job has moved to, empty if it is in this group.
    move_confirmed : bool
        Whether that group is known to have accepted the job.
    move_count : int
        Number of moves between groups.
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
        """Whether the job is in this group and has not ended."""
        return not self.ended_at and not self.moved_to


class StoredRequest(msgspec.Struct):
    """A non-idempotent request to a service.

    Parameters
    ----------
    id : RequestId
        Identifier; includes the name of the home group.
    team : TeamName
        Team of the caller.
    service : ServiceName
        Service that the request is for.
    epoch : Epoch
        Epoch of the holder that claimed the request.
    outcome : RequestOutcome
        Outcome so far.
    status : int
        Status code of the backend server's answer, 0 without an answer.
    updated_at : int
        Wall-clock time of the latest change, in milliseconds.
    claim_count : int
        Number of claims; above 1 only if earlier claims are known not to have
        run.
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
    """All accepted jobs and requests of a group.

    Parameters
    ----------
    epoch : Epoch
        Latest epoch that a holder has started.
    jobs, requests : dict
        Jobs and requests by id.
    ended_jobs, claimed_requests : list of tuple
        Wall-clock time in milliseconds and id of ended or moved jobs and of
        claimed requests, oldest first.
    last_seq : dict
        Sequence number of the latest record of each writer.
    next_offset : Offset
        Offset of the next record to apply.
    withdrawn : dict
        Wall-clock time in milliseconds at which each team cancelled a job that had
        not been accepted, by job and team; unset before the first.
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
    withdrawn: dict[JobId, dict[TeamName, int]] | msgspec.UnsetType = msgspec.UNSET

    def withdraw(self, job: JobId, team: TeamName, at: int) -> None:
        """Record that a team has cancelled a job before its acceptance."""
        if self.withdrawn is msgspec.UNSET:
            self.withdrawn = {}
        self.withdrawn.setdefault(job, {}).setdefault(team, at)

    def forget_withdrawn(self, cutoff: int) -> None:
        """Forget the withdrawals before a wall-clock time, from the oldest on."""
        withdrawn = self.withdrawn or {}
        while withdrawn:
            job, times = next(iter(withdrawn.items()))
            if max(times.values()) >= cutoff:
                return
            del withdrawn[job]

    def withdrawing_teams(self, job: JobId) -> dict[TeamName, int]:
        """Return the teams that have withdrawn a job, each with the time."""
        return (self.withdrawn or {}).get(job, {})

    def count_withdrawn(self) -> dict[TeamName, int]:
        """Return the number of withdrawn jobs by team."""
        return Counter(
            team for teams in (self.withdrawn or {}).values() for team in teams
        )


def choose_home_group(groups: list[GroupName], team: TeamName, key: str) -> GroupName:
    """Return the group that stores a submission, by rendezvous hashing.

    Parameters
    ----------
    groups : list of GroupName
        All groups of the cell.
    team : TeamName
        Team that submits.
    key : str
        Idempotency key of the submission.

    Returns
    -------
    GroupName
        Home group; the same at every entry, so that a repeated submission
        reaches the group of the first.
    """
    return max(groups, key=lambda group: stable_hash(group, team, key))


def make_job_id(group: GroupName, team: TeamName, key: str) -> JobId:
    """Return the id of a submission, the same for each repeat of it."""
    return JobId(f"{digest_id(team, key)}@{group}")


def is_job_id(identifier: str) -> bool:
    """Return whether `make_job_id` can have made an identifier."""
    return JOB_ID_PATTERN.fullmatch(identifier) is not None


def parse_home_group(identifier: str) -> GroupName:
    """Return the home group from the id of a job or request."""
    return GroupName(identifier.rpartition("@")[2])
