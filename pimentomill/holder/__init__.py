"""The duties of the entry that holds a group of workers."""

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
    "TaskAttempt",
    "AttemptStage",
    "GroupHolder",
    "GroupSummary",
    "HolderPhase",
    "HolderPorts",
    "JobAnswer",
    "JobState",
    "TaskAnswer",
    "WorkerAnswer",
    "WorkerMonitor",
    "describe_job",
    "describe_worker",
]
