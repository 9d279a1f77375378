"""Ordering, quotas, placement and preemption of waiting work."""

from ._candidates import max_tasks
from ._order import (
    LATE_FACTOR,
    Feasibility,
    assess_feasibility,
    critical_path_ms,
    is_in_time,
    is_urgent,
    objective_ms,
    order_steps,
)
from ._planner import Placement, Plan, Planner
from ._preemption import GangClaim, Preemption, PreemptionCost, choose_victims
from ._quota import QuotaBook, ShareMeter
from ._state import JobRun, StepRun, Ticket

__all__ = [
    "LATE_FACTOR",
    "Feasibility",
    "GangClaim",
    "JobRun",
    "Placement",
    "Plan",
    "Planner",
    "Preemption",
    "PreemptionCost",
    "QuotaBook",
    "ShareMeter",
    "StepRun",
    "Ticket",
    "assess_feasibility",
    "choose_victims",
    "critical_path_ms",
    "is_in_time",
    "is_urgent",
    "max_tasks",
    "objective_ms",
    "order_steps",
]
