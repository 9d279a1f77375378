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
from ._flight import Flight, FlightStage
from ._holder import GroupHolder, HolderPhase
from ._ports import HolderPorts
from ._watch import WorkerWatch

__all__ = [
    "Flight",
    "FlightStage",
    "GroupHolder",
    "GroupSummary",
    "HolderPhase",
    "HolderPorts",
    "JobAnswer",
    "JobState",
    "TaskAnswer",
    "WorkerAnswer",
    "WorkerWatch",
    "describe_job",
    "describe_worker",
]
