"""Descriptions of jobs, workers and groups for callers and other entries."""

from enum import Enum

import msgspec

from ..placement import WaitReason
from ..utils import (
    Epoch,
    GroupName,
    InstanceId,
    Instant,
    JobId,
    MemberId,
    Resources,
    ServiceName,
    TeamName,
)
from ..work import Job, JobSpec, Task, TaskOutcome, TaskState
from ..workers import WorkerView

__all__ = [
    "GroupSummary",
    "JobAnswer",
    "JobState",
    "TaskAnswer",
    "WorkerAnswer",
    "describe_job",
    "describe_worker",
]


class JobState(Enum):
    """State of a whole job."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    MOVED = "moved"


class TaskAnswer(msgspec.Struct):
    """A task as shown to callers; times are wall clock times in milliseconds."""

    index: int
    state: str
    attempt: int
    worker: InstanceId
    reason: str = msgspec.field(name="why")
    outcome: TaskOutcome | None
    assigned_at: int
    ended_at: int


class JobAnswer(msgspec.Struct):
    """A job as shown to callers.

    Parameters
    ----------
    id, team, kind, urgent, spec
        As submitted.
    state : JobState
        State of the whole job.
    waits_for : str
        Rule that keeps its tasks waiting, empty if none waits.
    group : GroupName
        Group that has the job.
    submitted_at, ended_at : int
        Wall clock times in milliseconds, 0 if not yet reached.
    tasks : list of TaskAnswer
        Its tasks.
    moved_to : GroupName
        Group that the job was moved to, empty if it was not moved.
    """

    id: JobId
    team: TeamName
    kind: str
    urgent: bool
    spec: JobSpec
    state: JobState
    waits_for: str
    group: GroupName
    submitted_at: int = msgspec.field(name="handed_in_at")
    ended_at: int
    tasks: list[TaskAnswer]
    moved_to: GroupName = GroupName("")


class WorkerAnswer(msgspec.Struct):
    """A worker as shown to operators."""

    id: InstanceId
    group: GroupName
    rack: str
    health: str
    is_drained: bool
    is_leaving: bool
    is_parked: bool
    capacity: Resources
    committed: Resources
    tasks: int
    is_evacuated: bool | msgspec.UnsetType = msgspec.UNSET


class GroupSummary(msgspec.Struct):
    """State of a group as its holder reports it to the other entries.

    Parameters
    ----------
    group : GroupName
        The group.
    holder : MemberId
        Entry that holds it.
    epoch : Epoch
        Epoch of the holder.
    largest : list of Resources
        Distinct capacities of its workers that have reported.
    free : list of Resources
        Free resources of its workers that accept work, most free CPU first.
    waiting : dict
        Number of waiting tasks by team.
    running : dict
        Resources in use by team.
    capacity : Resources
        Sum over its workers that have reported.
    services : dict
        Free slots by service of its backend servers.
    is_complete : bool
        Whether the group has workers and all of them have reported, so that
        it can't run anything larger than `largest` and `capacity`.
    withdrawn : dict
        Number of jobs by team that were cancelled before their acceptance; unset if
        there are none.
    """

    group: GroupName
    holder: MemberId
    epoch: Epoch
    largest: list[Resources]
    free: list[Resources]
    waiting: dict[TeamName, int]
    running: dict[TeamName, Resources]
    capacity: Resources
    services: dict[ServiceName, int] = {}
    is_complete: bool = False
    withdrawn: dict[TeamName, int] | msgspec.UnsetType = msgspec.UNSET


def describe_job(
    job: Job,
    group: GroupName,
    reason: WaitReason | None,
    running: set[int],
    unconfirmed: frozenset[int] = frozenset(),
) -> JobAnswer:
    """Return a job as shown to callers.

    Parameters
    ----------
    job : Job
        The job.
    group : GroupName
        Group that has it.
    reason : WaitReason or None
        Reason for which its waiting tasks wait.
    running : set of int
        Indices of the tasks that a worker is known to run.
    unconfirmed : frozenset of int, default=frozenset()
        Indices of the tasks whose start no worker has accepted yet.
    """
    tasks = [_describe_task(i, task, i in running) for i, task in enumerate(job.tasks)]
    return JobAnswer(
        id=job.id,
        team=job.team,
        kind=type(job.spec).__struct_config__.tag,
        urgent=job.urgent,
        spec=job.spec,
        state=_job_state(job, unconfirmed),
        waits_for=reason.describe() if reason else "",
        group=group,
        submitted_at=job.submitted_at,
        ended_at=job.ended_at,
        tasks=tasks,
        moved_to=job.moved_to,
    )


def _describe_task(index: int, task: Task, is_running: bool) -> TaskAnswer:
    state = task.state.value
    if task.state is TaskState.ASSIGNED and is_running:
        state = "running"
    return TaskAnswer(
        index=index,
        state=state,
        attempt=task.attempt,
        worker=task.worker,
        reason=task.reason,
        outcome=task.outcome,
        assigned_at=task.assigned_at,
        ended_at=task.ended_at,
    )


def _job_state(job: Job, unconfirmed: frozenset[int]) -> JobState:
    if job.moved_to:
        return JobState.MOVED
    if job.cancelled:
        return JobState.CANCELLED
    if any(
        task.state is TaskState.ASSIGNED and index not in unconfirmed
        for index, task in enumerate(job.tasks)
    ):
        return JobState.RUNNING
    if not job.ended_at:
        return JobState.WAITING
    if all(task.outcome is TaskOutcome.SUCCEEDED for task in job.tasks):
        return JobState.SUCCEEDED
    return JobState.FAILED


def describe_worker(view: WorkerView, group: GroupName, now: Instant) -> WorkerAnswer:
    """Return a worker as shown to operators."""
    return WorkerAnswer(
        id=view.id,
        group=group,
        rack=view.rack,
        health=view.health_.value,
        is_drained=view.is_drained_,
        is_leaving=view.is_leaving_,
        is_parked=now < view.backoff_until_,
        capacity=view.capacity_,
        committed=view.reserved_,
        tasks=len(view.reserved_refs()),
        is_evacuated=view.is_evacuated_ or msgspec.UNSET,
    )
