"""Queues, teams, keys, limits and evacuations as configured by operators."""

from ._catalog import Catalog, PlacementPolicy, Queue, RequestLimits, Team
from ._evacuations import (
    Evacuation,
    EvacuationChange,
    EvacuationRequest,
    Evacuations,
)

__all__ = [
    "Catalog",
    "Evacuation",
    "EvacuationChange",
    "EvacuationRequest",
    "Evacuations",
    "PlacementPolicy",
    "Queue",
    "RequestLimits",
    "Team",
]
