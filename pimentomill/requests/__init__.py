"""Requests to the services of backend servers."""

from ._backends import BackendPool, BackendSlot
from ._budget import RetryBudget
from ._claims import RequestClaims
from ._dispatch import Dispatcher
from ._messages import (
    AskStored,
    ClaimCall,
    DispatchCall,
    RequestResult,
    StoredAnswer,
    make_request_id,
)

__all__ = [
    "AskStored",
    "BackendPool",
    "BackendSlot",
    "ClaimCall",
    "DispatchCall",
    "Dispatcher",
    "RequestClaims",
    "RequestResult",
    "RetryBudget",
    "StoredAnswer",
    "make_request_id",
]
