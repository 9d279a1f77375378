"""Messages between a group's holder and the workers of the platform."""

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
    LEASE_LAPSED = "lease lapsed"


class Command(msgspec.Struct, frozen=True, tag_field="do", omit_defaults=True):
    """Base of the commands; it names one attempt of one task."""

    job: JobId
    index: int
    attempt: int


class StartTask(Command, frozen=True, tag="start"):
    """Start an attempt.

    Parameters
    ----------
    resources : Resources
        Declared need.
    command : list of str
        What to run.
    lease_until : WorkerClock
        When the worker stops the task unless the lease was renewed.
    """

    resources: Resources
    command: list[str]
    lease_until: WorkerClock


class StopTask(Command, frozen=True, tag="stop"):
    """Stop an attempt; with `checkpoint` its progress is kept."""

    checkpoint: bool = False


class ThrottleTask(Command, frozen=True, tag="throttle"):
    """Bound the processors of an attempt, in thousandths of a core."""

    cpu_milli: int


class CommandBatch(msgspec.Struct):
    """Commands of one holder to one worker.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the holder; a worker refuses one below the highest it knows.
    boot : int
        Incarnation of the worker that the commands are for; the worker refuses
        commands for another one.
    report_to : str
        ``host:port`` that the worker's reports go to from now on.
    valid_until : WorkerClock
        The worker refuses the batch after this reading of its own clock.
    commands : list
        What to do; empty to ask for a report only.
    """

    epoch: Epoch
    boot: int
    report_to: str
    valid_until: WorkerClock
    commands: list[StartTask | StopTask | ThrottleTask]


class TaskStatus(msgspec.Struct, array_like=True):
    """A task that runs on a worker.

    Parameters
    ----------
    job, index, attempt : JobId, int, int
        The attempt.
    resources : Resources
        Declared need.
    used : Resources
        Usage, as of some time ago.
    """

    job: JobId
    index: int
    attempt: int
    resources: Resources
    used: Resources


class TaskEndReport(msgspec.Struct, array_like=True):
    """An attempt that ended on a worker and that its holder has not noted yet."""

    job: JobId
    index: int
    attempt: int
    outcome: WorkerOutcome


class WorkerReport(msgspec.Struct):
    """What a worker says about itself.

    Parameters
    ----------
    worker : InstanceId
        Who reports.
    boot : int
        Incarnation; it grows when the worker has lost its tasks, as the time
        of its start does.
    clock : WorkerClock
        Its clock when the report was made.
    epoch : Epoch
        Highest epoch that it has seen.
    capacity : Resources
        What it has.
    running : list of TaskStatus
        Tasks that run.
    ended : list of TaskEndReport
        Attempts that ended and that the holder has not noted yet.
    """

    worker: InstanceId
    boot: int
    clock: WorkerClock
    epoch: Epoch
    capacity: Resources
    running: list[TaskStatus]
    ended: list[TaskEndReport]


class ReportReply(msgspec.Struct):
    """Answer of a holder to a report.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the holder.
    lease_until : WorkerClock or None
        New end of the lease of all tasks in the report.
    forget : list of TaskEndReport
        Ended attempts that the worker need not report again.
    """

    epoch: Epoch
    lease_until: WorkerClock | None = None
    forget: list[TaskEndReport] = []


class CommandResult(msgspec.Struct, omit_defaults=True):
    """What became of one command; `refusal` is empty if it was done."""

    refusal: str = ""


class CommandAnswer(msgspec.Struct, omit_defaults=True):
    """Answer of a worker to a batch.

    Parameters
    ----------
    refusal : str
        Why the whole batch was refused, empty if it was not.
    results : list of CommandResult
        One per command, empty if the batch was refused.
    boot : int
        Incarnation of the worker.
    clock : WorkerClock
        Its clock after the commands.
    report : WorkerReport or None, default=None
        The worker's state, if the batch was empty.
    """

    refusal: str
    results: list[CommandResult]
    boot: int
    clock: WorkerClock
    report: WorkerReport | None = None
