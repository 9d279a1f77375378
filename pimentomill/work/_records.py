"""Records of a group's stream.

Records written by a holder carry its epoch and are rejected once a later holder
has started a new epoch. Any entry may write submissions and cancellations.
"""

import msgspec

from ..utils import (
    Epoch,
    GroupName,
    InstanceId,
    JobId,
    MemberId,
    RequestId,
    ServiceName,
    TeamName,
)
from ._specs import JobSpec
from ._state import RequestOutcome, TaskOutcome

__all__ = [
    "OPERATORS",
    "EpochStarted",
    "JobAccepted",
    "JobCancelled",
    "JobMoveConfirmed",
    "JobMoved",
    "JobWithdrawn",
    "RequestClaimed",
    "RequestEnded",
    "TaskAssigned",
    "TaskEnded",
    "WorkRecord",
]

OPERATORS = TeamName("")
"""Stands for all teams in a withdrawal by an operator."""


class WorkRecord(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """Base class of the records.

    Parameters
    ----------
    at : int
        Wall-clock time of the writer, in milliseconds.
    """

    at: int


class EpochStarted(WorkRecord, frozen=True, tag="ho"):
    """A new holder starts an epoch, which fences earlier holders of the group."""

    epoch: Epoch
    member: MemberId


class JobAccepted(WorkRecord, frozen=True, tag="ja"):
    """A job is accepted; a repeated id is rejected unless the job has moved.

    Parameters
    ----------
    job, team, spec, urgent
        The submission.
    submitted_at : int
        Wall-clock time of the submission, in milliseconds.
    move_count : int, default=0
        Number of moves between groups.
    prior_attempts : list of tuple of int, default=[]
        Attempts and failures of each task in earlier groups, so that the
        numbering of attempts continues.
    """

    job: JobId
    team: TeamName
    spec: JobSpec
    urgent: bool
    submitted_at: int
    move_count: int = 0
    prior_attempts: list[tuple[int, int]] = []


class JobCancelled(WorkRecord, frozen=True, tag="jc"):
    """A job is cancelled."""

    job: JobId


class JobWithdrawn(JobCancelled, frozen=True, tag="jc"):
    """A job is cancelled that the group may not have accepted yet.

    Shares the tag of `JobCancelled`, so that earlier builds read it as one, and is the
    type that both are read as.

    Parameters
    ----------
    team : TeamName or None, default=None
        Team of the caller, `OPERATORS` for any team. An acceptance that follows is
        cancelled if the job belongs to that team. None if the record concerns only a
        job that the group has accepted.
    """

    team: TeamName | None = None


class JobMoved(WorkRecord, frozen=True, tag="jm"):
    """A job without assigned or ended tasks moves to another group."""

    epoch: Epoch
    job: JobId
    target_group: GroupName


class JobMoveConfirmed(WorkRecord, frozen=True, tag="jd"):
    """The target group has accepted a moved job."""

    epoch: Epoch
    job: JobId


class TaskAssigned(WorkRecord, frozen=True, tag="ta"):
    """A task may start on the given worker only.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the holder.
    job, index, attempt : JobId, int, int
        The attempt; its number must be one above the latest attempt.
    worker : InstanceId
        Worker that may start the task.
    boot : int
        Incarnation of the worker that the holder last saw.
    reason : str
        Why the worker was chosen.
    """

    epoch: Epoch
    job: JobId
    index: int
    attempt: int
    worker: InstanceId
    boot: int
    reason: str


class TaskEnded(WorkRecord, frozen=True, tag="te"):
    """An attempt has definitely ended and can't run any more."""

    epoch: Epoch
    job: JobId
    index: int
    attempt: int
    outcome: TaskOutcome


class RequestClaimed(WorkRecord, frozen=True, tag="rc"):
    """A non-idempotent request is about to be sent.

    A repeated claim is rejected unless the earlier one is known not to have run.
    """

    epoch: Epoch
    request: RequestId
    team: TeamName
    service: ServiceName


class RequestEnded(WorkRecord, frozen=True, tag="re"):
    """Outcome of a non-idempotent request."""

    epoch: Epoch
    request: RequestId
    outcome: RequestOutcome
    status: int
