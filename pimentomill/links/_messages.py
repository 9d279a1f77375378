"""Messages between entries."""

import enum

import msgspec

from ..jobs import JobState, KeyedRecord, StepKey, WorkerId
from ..utils import Epoch, JobId

__all__ = [
    "ADDRESS_PARAMETER",
    "FAILING_HEARTBEAT",
    "HEARTBEAT",
    "AppendedRecords",
    "CallerAnswer",
    "CallerRequest",
    "LeaseAnswer",
    "LeaseQuery",
    "Path",
    "PolicyAnswer",
    "REPORT_END",
    "RelayedAppend",
    "RemotePolicyQuery",
    "StateAnswer",
    "StateQuery",
    "WATCHER_PARAMETER",
    "WatchOutcome",
]


WATCHER_PARAMETER = "watcher"
"""Query parameter of a watch: incarnation of the entry that requests it. Earlier builds
send none and are not enrolled."""
ADDRESS_PARAMETER = "address"
"""Query parameter of a watch: address of that entry for other entries."""
REPORT_END = b"\n"
"""Precedes and ends a load report between two heartbeats of a watch."""
HEARTBEAT = b"."
FAILING_HEARTBEAT = b"!"
"""Heartbeat of an entry whose appends fail."""


class Path(enum.StrEnum):
    """Paths of the HTTP endpoints that an entry offers to other entries."""

    QUERY_POLICY = "/ask"
    APPEND = "/append"
    APPENDED = "/appended"
    STATE = "/state"
    CALLER = "/caller"
    WATCH = "/watch/"
    LEASE = "/lease"


class WatchOutcome(enum.Enum):
    """Outcome of a watch of another entry's incarnation."""

    ENDED = "gone"
    TIMED_OUT = "silent"
    INCONCLUSIVE = "open"


class RemotePolicyQuery(msgspec.Struct, frozen=True):
    """Query which of the workers may run a step."""

    step: StepKey
    workers: list[WorkerId]


class PolicyAnswer(msgspec.Struct, frozen=True):
    """Tickets by worker, and their validity in milliseconds."""

    tickets: dict[WorkerId, str]
    valid_ms: int


class RelayedAppend(msgspec.Struct, frozen=True):
    """Records of a keyed stream that are appended on behalf of another entry."""

    records: list[KeyedRecord]


class AppendedRecords(msgspec.Struct, frozen=True):
    """Records that the store has acknowledged.

    Parameters
    ----------
    first_offset : int
        Offset of the first record.
    records : list of KeyedRecord
        Records at consecutive offsets.
    """

    first_offset: int = msgspec.field(name="first")
    records: list[KeyedRecord]


class LeaseQuery(msgspec.Struct, frozen=True):
    """Request of a leader for a lease of an incarnation of an entry.

    Parameters
    ----------
    epoch : Epoch
        Fencing token of the leader.
    leader : str
        Incarnation of the leader.
    grantor : str
        Incarnation of the entry that is asked, empty for any at the address.
    """

    epoch: Epoch
    leader: str
    grantor: str


class LeaseAnswer(msgspec.Struct, frozen=True):
    """Answer to a request for a lease; the reason is empty if it is granted."""

    refusal: str = ""


class StateQuery(msgspec.Struct, frozen=True):
    """Query the leader for the state of a job."""

    job: JobId


class StateAnswer(msgspec.Struct, frozen=True):
    """State of a job; None if it is not known."""

    state: JobState | None


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request as received.

    Parameters
    ----------
    method, host, path : str
        Taken from the request line and the header.
    key : str
        API key of the caller.
    body : bytes
        Complete body.
    version : int, default=-1
        Version of the operators' settings that the forwarding entry has applied; the
        answering entry must not apply an earlier one.
    """

    method: str
    host: str
    path: str
    key: str
    body: bytes
    version: int = -1


class CallerAnswer(msgspec.Struct, frozen=True):
    """Answer to a caller.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes, default=b""
        Body, in the caller's encoding if the status is 200.
    reason : str, default=""
        Reason of a rejection.
    version : int, default=-1
        Version of the operators' settings that the answer is based on.
    retry_after_s : int, optional
        Seconds after which a rejected request may succeed, if that is known. Earlier
        builds ignore it.
    """

    status: int
    body: bytes = b""
    reason: str = msgspec.field(name="why", default="")
    version: int = -1
    retry_after_s: int | msgspec.UnsetType = msgspec.UNSET
