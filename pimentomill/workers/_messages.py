"""Messages between the holder of a group and the platform's workers."""

from enum import Enum
from typing import NewType

import msgspec

from ..utils import Epoch, InstanceId, JobId, Resources

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
    "WorkerClock",
    "WorkerOutcome",
    "WorkerReport",
]

WorkerClock = NewType("WorkerClock", int)
"""Reading of a worker's own monotonic clock, in milliseconds."""


class WorkerOutcome(Enum):
    """How an attempt ended on a worker."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease lapsed"


class Command(msgspec.Struct, frozen=True, tag_field="do", omit_defaults=True):
    """Base class of commands, each of which addresses one attempt of one task."""

    job: JobId
    index: int
    attempt: int


class StartTask(Command, frozen=True, tag="start"):
    """Start an attempt.

    Parameters
    ----------
    resources : Resources
        Declared resource request.
    command : list of str
        Command and arguments to run.
    lease_until : WorkerClock
        Expiry of the lease. The worker stops the task then unless the lease has been
        renewed.
    """

    resources: Resources
    command: list[str]
    lease_until: WorkerClock


class StopTask(Command, frozen=True, tag="stop"):
    """Stop an attempt; its progress is preserved if `checkpoint` is set."""

    checkpoint: bool = False


class ThrottleTask(Command, frozen=True, tag="throttle"):
    """Limit the CPU usage of an attempt, in thousandths of a core."""

    cpu_milli: int


class CommandBatch(msgspec.Struct):
    """Commands from a holder to a worker.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the holder. A worker rejects an epoch below the highest it has seen.
    boot : int
        Incarnation of the worker that the commands are for. The worker rejects
        commands for another incarnation.
    report_to : str
        ``host:port`` to which the worker sends its reports from now on.
    valid_until : WorkerClock
        Reading of the worker's clock after which the worker rejects the batch.
    commands : list
        Commands to execute, empty to request only a report.
    """

    epoch: Epoch
    boot: int
    report_to: str
    valid_until: WorkerClock
    commands: list[StartTask | StopTask | ThrottleTask]


class TaskStatus(msgspec.Struct, array_like=True):
    """Status of a task that is running on a worker.

    Parameters
    ----------
    job, index, attempt : JobId, int, int
        Job, task index and attempt number.
    resources : Resources
        Declared resource request.
    used : Resources
        Resource usage, as of some time before the report.
    """

    job: JobId
    index: int
    attempt: int
    resources: Resources
    used: Resources


class TaskEndReport(msgspec.Struct, array_like=True):
    """An attempt that ended on a worker and that its holder has not recorded yet."""

    job: JobId
    index: int
    attempt: int
    outcome: WorkerOutcome


class WorkerReport(msgspec.Struct):
    """State of a worker, as reported by the worker.

    Parameters
    ----------
    worker : InstanceId
        Worker that reports.
    boot : int
        Incarnation of the worker. It increases whenever the worker has lost its tasks,
        as its start time does.
    clock : WorkerClock
        Reading of the worker's clock when the report was made.
    epoch : Epoch
        Highest epoch that the worker has seen.
    capacity : Resources
        Total resources of the worker.
    running : list of TaskStatus
        Running tasks.
    ended : list of TaskEndReport
        Ended attempts that the holder has not recorded yet.
    """

    worker: InstanceId
    boot: int
    clock: WorkerClock
    epoch: Epoch
    capacity: Resources
    running: list[TaskStatus]
    ended: list[TaskEndReport]


class ReportReply(msgspec.Struct):
    """Reply of a holder to a report.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the holder.
    lease_until : WorkerClock or None
        New lease expiry of all tasks in the report, None to leave it unchanged.
    forget : list of TaskEndReport
        Ended attempts that the worker no longer has to report.
    """

    epoch: Epoch
    lease_until: WorkerClock | None = None
    forget: list[TaskEndReport] = []


class CommandResult(msgspec.Struct, omit_defaults=True):
    """Result of one command; `refusal` is empty if the command was executed."""

    refusal: str = ""


class CommandAnswer(msgspec.Struct, omit_defaults=True):
    """Reply of a worker to a command batch.

    Parameters
    ----------
    refusal : str
        Reason for which the whole batch was rejected, empty if it was accepted.
    results : list of CommandResult
        One result per command, empty if the batch was rejected.
    boot : int
        Incarnation of the worker.
    clock : WorkerClock
        Reading of the worker's clock after the commands.
    report : WorkerReport or None, default=None
        State of the worker if the batch was empty.
    """

    refusal: str
    results: list[CommandResult]
    boot: int
    clock: WorkerClock
    report: WorkerReport | None = None
