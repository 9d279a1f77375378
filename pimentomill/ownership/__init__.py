"""Ownership of groups: which entry holds which group, and for how long."""

from ._guard import LeaseGuard
from ._lease_tracker import LeaseTracker
from ._policy import choose_claims, choose_evictions, choose_releases

__all__ = [
    "LeaseGuard",
    "LeaseTracker",
    "choose_claims",
    "choose_evictions",
    "choose_releases",
]
