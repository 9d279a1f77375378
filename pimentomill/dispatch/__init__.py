"""Which waiting work starts where: order, limits of teams, placement."""

from ._order import (
    LATE_FACTOR,
    Prospect,
    chain_ms,
    in_order,
    is_in_time,
    objective_ms,
    prospect,
)
from ._planner import Placement, Plan, Planner
from ._preemption import choose_victims
from ._quota import QuotaBook, ShareMeter
from ._state import JobRun, StepRun, Ticket

__all__ = [
    "LATE_FACTOR",
    "JobRun",
    "Placement",
    "Plan",
    "Planner",
    "QuotaBook",
    "ShareMeter",
    "StepRun",
    "Ticket",
    "Prospect",
    "chain_ms",
    "prospect",
    "choose_victims",
    "in_order",
    "is_in_time",
    "objective_ms",
]
