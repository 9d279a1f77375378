"""Control of a group of workers by the entry that holds its lease."""

from ._answers import (
    GroupSummary,
    JobAnswer,
    JobState,
    TaskAnswer,
    WorkerAnswer,
    describe_job,
    describe_worker,
)
from ._attempt import AttemptStage, TaskAttempt
from ._holder import GroupHolder, HolderPhase
from ._monitor import WorkerMonitor
from ._ports import HolderPorts

__all__ = [
    "AttemptStage",
    "GroupHolder",
    "GroupSummary",
    "HolderPhase",
    "HolderPorts",
    "JobAnswer",
    "JobState",
    "TaskAnswer",
    "TaskAttempt",
    "WorkerAnswer",
    "WorkerMonitor",
    "describe_job",
    "describe_worker",
]
