"""Messages between the system and the platform."""

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
    """A record with the identity that lets readers drop repeats.

    Parameters
    ----------
    writer : MemberId
        Incarnation of the process that wrote it.
    seq : int
        Number of the record among all that the writer sent to the stream,
        from 1.
    body : object
        The record, packed.
    """

    writer: MemberId
    seq: int
    body: msgspec.Raw


class AppendRequest(msgspec.Struct):
    """Records to append to one stream, in order."""

    records: list[bytes]


class Appended(msgspec.Struct):
    """Offset that the first of the appended records got."""

    offset: Offset


class ReadRequest(msgspec.Struct):
    """Streams to read and where to begin.

    Parameters
    ----------
    positions : dict
        First offset wanted, by stream.
    wait_ms : int, default=0
        How long the service may wait for a first record.
    limit : int, default=1000
        Most records wanted of each stream.
    """

    positions: dict[StreamName, Offset]
    wait_ms: int = 0
    limit: int = 1000


class StreamSlice(msgspec.Struct):
    """Part of a stream.

    Parameters
    ----------
    first : Offset
        Oldest offset that the log still keeps.
    head : Offset
        Offset that the next record will get.
    start : Offset
        Offset of the first record in `records`.
    records : list of bytes
        Records in order.
    """

    first: Offset
    head: Offset
    start: Offset
    records: list[bytes]


class ReadResult(msgspec.Struct):
    """Answer to a `ReadRequest`; streams without news are left out."""

    streams: dict[StreamName, StreamSlice]


class InstanceKind(Enum):
    """What an instance is for."""

    ENTRY = "entry"
    WORKER = "worker"
    BACKEND = "backend"


class InstanceState(Enum):
    """State of an instance by the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """A line of the instance list.

    Parameters
    ----------
    id : InstanceId
        Name of the instance.
    kind : InstanceKind
        What it is for.
    state : InstanceState
        Live, or about to leave.
    address : str
        ``host:port`` of its service.
    rack : str
        ``data_centre/rack``.
    service : str, default=""
        Service that a backend server answers for.
    slots : int, default=0
        Requests that a backend server runs at once.
    """

    id: InstanceId
    kind: InstanceKind
    state: InstanceState
    address: str
    rack: str
    service: str = ""
    slots: int = 0


class InstanceList(msgspec.Struct):
    """The platform's list of instances."""

    instances: list[Instance]


class LogService(Protocol):
    """What the system needs of the platform's log."""

    def append(self, stream: StreamName, records: list[bytes]) -> Offset:
        """Append records and return the offset of the first.

        Raises
        ------
        LogUnavailableError
            If nothing was kept.
        AppendUnknownError
            If the records may or may not have been kept.
        """

    def read(self, req: ReadRequest) -> ReadResult:
        """Return records from the given positions on.

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
