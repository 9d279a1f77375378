"""Client, messages and group commit for the platform's log and instance list."""

from ._client import PlatformClient
from ._codec import decode_envelope, encode_envelope
from ._messages import (
    Appended,
    AppendRequest,
    Envelope,
    Instance,
    InstanceKind,
    InstanceList,
    InstanceState,
    LogService,
    ReadRequest,
    ReadResult,
    StreamSlice,
)
from ._queue import AppendBatch, AppendQueue, AppendState, PendingAppend
from ._replay import AppliedRecord, FoldedState, advance_state
from ._writer import LogWriter

__all__ = [
    "AppendBatch",
    "AppendQueue",
    "AppendRequest",
    "AppendState",
    "Appended",
    "AppliedRecord",
    "Envelope",
    "FoldedState",
    "Instance",
    "InstanceKind",
    "InstanceList",
    "InstanceState",
    "LogService",
    "LogWriter",
    "PendingAppend",
    "PlatformClient",
    "ReadRequest",
    "ReadResult",
    "StreamSlice",
    "decode_envelope",
    "encode_envelope",
    "advance_state",
]
