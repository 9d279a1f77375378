"""Commands to workers, worker reports and the holder's view of workers."""

from ._client import WorkerClient
from ._messages import (
    Command,
    CommandAnswer,
    CommandBatch,
    CommandResult,
    ReportReply,
    StartTask,
    StopTask,
    TaskEndReport,
    TaskStatus,
    ThrottleTask,
    WorkerClock,
    WorkerOutcome,
    WorkerReport,
)
from ._view import WorkerHealth, WorkerView

__all__ = [
    "Command",
    "CommandAnswer",
    "CommandBatch",
    "CommandResult",
    "ReportReply",
    "StartTask",
    "StopTask",
    "TaskEndReport",
    "TaskStatus",
    "ThrottleTask",
    "WorkerClient",
    "WorkerClock",
    "WorkerHealth",
    "WorkerOutcome",
    "WorkerReport",
    "WorkerView",
]
