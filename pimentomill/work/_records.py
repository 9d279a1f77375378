"""Records of a group's stream.

Records of a holder carry its epoch and are refused once a later holder has
opened the stream. Hand-ins and cancellations may come from any entry.
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
    "EpochStarted",
    "JobAccepted",
    "JobCancelled",
    "JobMoveConfirmed",
    "JobMoved",
    "RequestClaimed",
    "RequestEnded",
    "TaskAssigned",
    "TaskEnded",
    "WorkRecord",
]


class WorkRecord(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """Base of the records; `at` is the writer's time of day in milliseconds."""

    at: int


class EpochStarted(WorkRecord, frozen=True, tag="ho"):
    """A new holder ends the rights of earlier ones in this stream."""

    epoch: Epoch
    member: MemberId


class JobAccepted(WorkRecord, frozen=True, tag="ja"):
    """A job is taken in; a repeat of its id is refused.

    Parameters
    ----------
    job, team, spec, urgent
        The hand-in.
    handed_in_at : int
        Time of day of the hand-in, in milliseconds.
    moves : int, default=0
        How often it has moved between groups.
    tries : list of tuple of int, default=[]
        Attempts and failures of each task in earlier groups, so that attempts
        are numbered on.
    """

    job: JobId
    team: TeamName
    spec: JobSpec
    urgent: bool
    submitted_at: int
    move_count: int = 0
    prior_attempts: list[tuple[int, int]] = []


class JobCancelled(WorkRecord, frozen=True, tag="jc"):
    """A job shall not run any further."""

    job: JobId


class JobMoved(WorkRecord, frozen=True, tag="jm"):
    """A job of which nothing runs or has ended goes to another group."""

    epoch: Epoch
    job: JobId
    target_group: GroupName


class JobMoveConfirmed(WorkRecord, frozen=True, tag="jd"):
    """The other group has accepted a moved job."""

    epoch: Epoch
    job: JobId


class TaskAssigned(WorkRecord, frozen=True, tag="ta"):
    """A task may be started on a worker, and nowhere else.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the holder.
    job, index, attempt : JobId, int, int
        The attempt; its number must follow the latest one.
    worker : InstanceId
        Where it goes.
    boot : int
        Incarnation of the worker that the holder saw.
    why : str
        Why there.
    """

    epoch: Epoch
    job: JobId
    index: int
    attempt: int
    worker: InstanceId
    boot: int
    reason: str


class TaskEnded(WorkRecord, frozen=True, tag="te"):
    """An attempt is over for certain."""

    epoch: Epoch
    job: JobId
    index: int
    attempt: int
    outcome: TaskOutcome


class RequestClaimed(WorkRecord, frozen=True, tag="rc"):
    """A non-idempotent request is about to be sent.

    A repeat is refused unless the earlier one was surely not run.
    """

    epoch: Epoch
    request: RequestId
    team: TeamName
    service: ServiceName


class RequestEnded(WorkRecord, frozen=True, tag="re"):
    """What became of a non-idempotent request."""

    epoch: Epoch
    request: RequestId
    outcome: RequestOutcome
    status: int
