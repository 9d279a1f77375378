"""State of one attempt of a task, as its holder tracks it."""

from enum import Enum

import msgspec

from ..journal import PendingAppend
from ..utils import InstanceId, Resources, TeamName
from ..work import TaskRef
from ..workers import WorkerClock

__all__ = ["AttemptStage", "TaskAttempt"]


class AttemptStage(Enum):
    """Progress of an attempt.

    The assignment of an appending attempt is not yet applied. The start command
    of a commanded one may have been sent. An adopted one was assigned before this
    holder became active.
    """

    APPENDING = "appending"
    COMMANDED = "commanded"
    RUNNING = "running"
    ADOPTED = "adopted"


class TaskAttempt(msgspec.Struct):
    """One attempt of a task, from its placement to its recorded end.

    Parameters
    ----------
    ref : TaskRef
        The attempt.
    team : TeamName
        Team whose limit it counts against.
    resources : Resources
        Declared resources.
    worker : InstanceId
        Worker that it is assigned to.
    stage : AttemptStage
        Progress of the attempt.
    pending_append : PendingAppend or None
        Append of its assignment or end record, None once that is applied.
    valid_until : WorkerClock
        Time until which the start command can take effect, by the worker's clock.
    is_end_queued : bool
        Whether the record of its end has been queued.
    is_stop_requested : bool
        Whether the worker should stop it.
    """

    ref: TaskRef
    team: TeamName
    resources: Resources
    worker: InstanceId
    stage: AttemptStage
    pending_append: PendingAppend | None = msgspec.field(default=None, name="intent")
    valid_until: WorkerClock = WorkerClock(0)
    is_end_queued: bool = False
    is_stop_requested: bool = msgspec.field(default=False, name="is_stop_wanted")
