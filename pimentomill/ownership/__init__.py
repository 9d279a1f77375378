"""Which entry holds which group, and until when it may act."""

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
