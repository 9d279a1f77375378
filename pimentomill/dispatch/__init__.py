"""Which waiting work starts where: order, limits of teams, placement."""

from ._order import LATE_FACTOR, chain_ms, objective_ms, order_key
from ._planner import Placement, Plan, Planner
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
    "chain_ms",
    "objective_ms",
    "order_key",
]
