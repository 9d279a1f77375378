"""Dispatch of requests to the services of backend servers."""

from ._backends import BackendPool, BackendSlot
from ._budget import RetryBudget
from ._claims import RequestClaims
from ._dispatch import Dispatcher
from ._messages import (
    ClaimCall,
    DispatchCall,
    GetOutcomeRequest,
    OutcomeReply,
    RequestResult,
    make_request_id,
)

__all__ = [
    "BackendPool",
    "BackendSlot",
    "ClaimCall",
    "DispatchCall",
    "Dispatcher",
    "GetOutcomeRequest",
    "OutcomeReply",
    "RequestClaims",
    "RequestResult",
    "RetryBudget",
    "make_request_id",
]
