"""HTTP servers for clients outside our control, with bounds on what they hold."""

from ._account import ConnectionState, IngressAccount
from ._body import decode_content, read_request_body, skip_request_body
from ._closures import CloseReason, ClosureLog
from ._limits import Descriptors, IngressLimits, Machine, MemoryMb, RequestBounds
from ._server import IngressServer

__all__ = [
    "CloseReason",
    "ClosureLog",
    "ConnectionState",
    "Descriptors",
    "IngressAccount",
    "IngressLimits",
    "IngressServer",
    "Machine",
    "MemoryMb",
    "RequestBounds",
    "decode_content",
    "read_request_body",
    "skip_request_body",
]
