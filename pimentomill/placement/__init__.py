"""Placement of waiting tasks on workers, and the reasons why tasks wait."""

from ._plan import Placement, plan_job
from ._queue import WaitQueue
from ._reasons import WaitCode, WaitReason
from ._scheduler import PlacementPass, Scheduler, TeamUsage

__all__ = [
    "Placement",
    "PlacementPass",
    "Scheduler",
    "TeamUsage",
    "WaitCode",
    "WaitQueue",
    "WaitReason",
    "plan_job",
]
