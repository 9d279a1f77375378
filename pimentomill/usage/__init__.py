"""Historical usage of teams and its effect on the order of waiting work."""

from ._ledger import UsageLedger
from ._past_use import MIN_FACTOR, PastUse, VirtualTime, usage_factors
from ._record import USAGE_KEY, TeamUsage, UsageRecord, decode_usage

__all__ = [
    "MIN_FACTOR",
    "USAGE_KEY",
    "PastUse",
    "TeamUsage",
    "VirtualTime",
    "UsageLedger",
    "UsageRecord",
    "decode_usage",
    "usage_factors",
]
