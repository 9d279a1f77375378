"""Messages between entries."""

import enum

import msgspec

from ..jobs import JobState, KeyedRecord, StepKey, WorkerId
from ..utils import JobId

__all__ = [
    "FAILING_HEARTBEAT",
    "HEARTBEAT",
    "AppendedRecords",
    "CallerAnswer",
    "CallerRequest",
    "Path",
    "PolicyAnswer",
    "PolicyQuery",
    "RelayedAppend",
    "StateAnswer",
    "StateQuery",
    "WatchOutcome",
]


HEARTBEAT = b"."
FAILING_HEARTBEAT = b"!"
"""Sign of life of an entry whose appends fail."""


class Path(enum.StrEnum):
    """Where an entry takes the calls of others."""

    ASK = "/ask"
    APPEND = "/append"
    APPENDED = "/appended"
    STATE = "/state"
    CALLER = "/caller"
    WATCH = "/watch/"


class WatchOutcome(enum.Enum):
    """How a watch of another entry's life ended."""

    ENDED = "gone"
    TIMED_OUT = "silent"
    INCONCLUSIVE = "open"


class PolicyQuery(msgspec.Struct, frozen=True):
    """Which of these workers may run a step."""

    step: StepKey
    workers: list[WorkerId]


class PolicyAnswer(msgspec.Struct, frozen=True):
    """Tickets by worker, and for how many milliseconds they can be used."""

    tickets: dict[WorkerId, str]
    valid_ms: int


class RelayedAppend(msgspec.Struct, frozen=True):
    """Records of a keyed stream to append for another entry."""

    records: list[KeyedRecord]


class AppendedRecords(msgspec.Struct, frozen=True):
    """Records that the store has acknowledged.

    Parameters
    ----------
    first_offset : int
        Offset of the first of them.
    records : list of KeyedRecord
        Records at successive offsets.
    """

    first_offset: int = msgspec.field(name="first")
    records: list[KeyedRecord]


class StateQuery(msgspec.Struct, frozen=True):
    """What the leader knows of a job."""

    job: JobId


class StateAnswer(msgspec.Struct, frozen=True):
    """State of a job; None if it is not known."""

    state: JobState | None


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request as it arrived.

    Parameters
    ----------
    method, host, path : str
        From the request line and the header.
    key : str
        Key of the caller.
    body : bytes
        Whole body.
    version : int, default=-1
        Version of the operators' settings that the entry which passes the request
        on has acted by; the other one must not act by an earlier one.
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
        Body, in the callers' encoding where the status is 200.
    reason : str, default=""
        Reason of a refusal.
    version : int, default=-1
        Version of the operators' settings by which it was given.
    """

    status: int
    body: bytes = b""
    reason: str = msgspec.field(name="why", default="")
    version: int = -1
