"""Decisions under overload: shares of teams, admission, capacity for urgent work."""

from ._admission import (
    MAX_REPORT_AGE_MS,
    AdmissionPolicy,
    AdmissionRequest,
    Refusal,
)
from ._headroom import Headroom, HeadroomTarget, SlotBudget, UrgentDemand
from ._load import LoadReport, PoolLoad, WaitingWork, build_load_report, rank_work
from ._pools import PoolCapacity, PoolDemand, find_full_pools
from ._shares import ShareLedger

__all__ = [
    "MAX_REPORT_AGE_MS",
    "AdmissionPolicy",
    "AdmissionRequest",
    "Headroom",
    "HeadroomTarget",
    "LoadReport",
    "PoolCapacity",
    "PoolDemand",
    "PoolLoad",
    "Refusal",
    "ShareLedger",
    "SlotBudget",
    "UrgentDemand",
    "WaitingWork",
    "build_load_report",
    "find_full_pools",
    "rank_work",
]
