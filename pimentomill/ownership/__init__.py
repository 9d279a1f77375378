"""Which entry holds which group, and until when it may act."""

from ._guard import LeaseGuard
from ._policy import choose_claims, choose_evictions, choose_releases
from ._witness import Witness

__all__ = [
    "LeaseGuard",
    "Witness",
    "choose_claims",
    "choose_evictions",
    "choose_releases",
]
