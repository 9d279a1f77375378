"""Queues, teams, keys and limits as configured by operators."""

from ._catalog import Catalog, PlacementPolicy, Queue, RequestLimits, Team

__all__ = ["Catalog", "PlacementPolicy", "Queue", "RequestLimits", "Team"]
