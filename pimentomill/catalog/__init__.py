"""Queues, teams, keys and limits as operators have set them."""

from ._catalog import AdvicePolicy, Catalog, Queue, RequestLimits, Team

__all__ = ["AdvicePolicy", "Catalog", "Queue", "RequestLimits", "Team"]
