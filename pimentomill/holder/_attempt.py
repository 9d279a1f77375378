"""Attempts that a holder has under way."""

from enum import Enum

import msgspec

from ..journal import PendingAppend
from ..utils import InstanceId, Resources, TeamName
from ..work import TaskRef
from ..workers import WorkerClock

__all__ = ["TaskAttempt", "AttemptStage"]


class AttemptStage(Enum):
    """How far an attempt has come."""

    APPENDING = "appending"
    COMMANDED = "commanded"
    RUNNING = "running"
    ADOPTED = "adopted"


class TaskAttempt(msgspec.Struct):
    """One attempt, from the decision to its recorded end.

    Parameters
    ----------
    ref : TaskRef
        The attempt.
    team : TeamName
        Whom it counts for.
    resources : Resources
        Declared need.
    worker : InstanceId
        Where it goes.
    stage : AttemptStage
        How far it has come.
    intent : PendingAppend or None
        The record that assigns it, while it is not folded.
    valid_until : WorkerClock
        Until when the start command can take effect, by the worker's clock.
    is_end_queued : bool
        Whether a record of its end is on its way.
    is_stop_wanted : bool
        Whether the worker shall stop it.
    """

    ref: TaskRef
    team: TeamName
    resources: Resources
    worker: InstanceId
    stage: AttemptStage
    intent: PendingAppend | None = None
    valid_until: WorkerClock = WorkerClock(0)
    is_end_queued: bool = False
    is_stop_wanted: bool = False
