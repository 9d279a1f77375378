"""Messages exchanged with the platform."""

from enum import Enum
from typing import Protocol

import msgspec

from ..utils import InstanceId, MemberId, Offset, StreamName

__all__ = [
    "AppendRequest",
    "Appended",
    "Envelope",
    "Instance",
    "InstanceKind",
    "InstanceList",
    "InstanceState",
    "LogService",
    "ReadRequest",
    "ReadResult",
    "StreamSlice",
]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Record with the identity by which readers drop duplicates.

    Parameters
    ----------
    writer : MemberId
        Incarnation of the process that wrote the record.
    seq : int
        Sequence number of the record among those of the writer in the stream,
        from 1.
    body : msgspec.Raw
        The encoded record.
    """

    writer: MemberId
    seq: int
    body: msgspec.Raw


class AppendRequest(msgspec.Struct):
    """Records to append to one stream, in order."""

    records: list[bytes]


class Appended(msgspec.Struct):
    """Offset of the first of the appended records."""

    offset: Offset


class ReadRequest(msgspec.Struct):
    """Request to read records from several streams.

    Parameters
    ----------
    positions : dict
        First offset to read, by stream.
    wait_ms : int, default=0
        Longest time the service may wait for a first record, in milliseconds.
    limit : int, default=1000
        Maximum number of records per stream.
    """

    positions: dict[StreamName, Offset]
    wait_ms: int = 0
    limit: int = 1000


class StreamSlice(msgspec.Struct):
    """Consecutive records of a stream.

    Parameters
    ----------
    first : Offset
        Oldest offset that the log retains.
    head : Offset
        Offset of the next record to be appended.
    start : Offset
        Offset of the first record in `records`.
    records : list of bytes
        Records in order of offset.
    """

    first: Offset
    head: Offset
    start: Offset
    records: list[bytes]


class ReadResult(msgspec.Struct):
    """Response to a `ReadRequest`; streams without new records are omitted."""

    streams: dict[StreamName, StreamSlice]


class InstanceKind(Enum):
    """Role of an instance."""

    ENTRY = "entry"
    WORKER = "worker"
    BACKEND = "backend"


class InstanceState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """Instance in the platform's list.

    Parameters
    ----------
    id : InstanceId
        Name of the instance.
    kind : InstanceKind
        Role of the instance.
    state : InstanceState
        Whether the instance is live or leaving.
    address : str
        Address of its service, as ``host:port``.
    rack : str
        Rack, as ``data_centre/rack``.
    service : str, default=""
        Service that a backend server provides.
    slots : int, default=0
        Maximum number of concurrent requests of a backend server.
    """

    id: InstanceId
    kind: InstanceKind
    state: InstanceState
    address: str
    rack: str
    service: str = ""
    slots: int = 0


class InstanceList(msgspec.Struct):
    """List of instances from the platform."""

    instances: list[Instance]


class LogService(Protocol):
    """Interface of the platform's log and instance list."""

    def append(self, stream: StreamName, records: list[bytes]) -> Offset:
        """Append records and return the offset of the first.

        Raises
        ------
        LogUnavailableError
            If nothing was appended.
        AppendUnknownError
            If the records may or may not have been appended.
        """

    def read(self, req: ReadRequest) -> ReadResult:
        """Return records starting at the given positions.

        Raises
        ------
        LogUnavailableError
            If the log can't be read.
        """

    def instances(self) -> list[Instance]:
        """Return the instance list.

        Raises
        ------
        LogUnavailableError
            If the list can't be read.
        """
