"""Splitting of snapshots into parts, and their validated reassembly."""

import hashlib
import zlib
from typing import Any

import msgspec

from ..utils import Offset, StreamName

__all__ = ["SnapshotCollector", "SnapshotPart", "snapshot_stream", "split_snapshot"]

MAX_PART_BYTES = 48_000
DIGEST_BYTES = 16
_DECODE_ERRORS = (msgspec.DecodeError, zlib.error)


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """Part of a snapshot.

    Parameters
    ----------
    id : str
        Identifier of the snapshot.
    offset : Offset
        First offset not covered by the snapshot.
    index, count : int
        Index of the part, from 0, and number of parts.
    digest : bytes
        Digest of the complete compressed snapshot.
    data : bytes
        Chunk of the compressed snapshot.
    """

    id: str
    offset: Offset
    index: int
    count: int
    digest: bytes
    data: bytes


def snapshot_stream(stream: StreamName) -> StreamName:
    """Return the name of the stream that stores the snapshots of a stream."""
    return StreamName(f"snapshot.{stream}")


def _digest(compressed: bytes) -> bytes:
    return hashlib.blake2b(compressed, digest_size=DIGEST_BYTES).digest()


def split_snapshot(
    state: Any, offset: Offset, id: str, max_part_bytes: int = MAX_PART_BYTES
) -> list[SnapshotPart]:
    """Compress a state and split it into parts.

    Parameters
    ----------
    state : object
        State to store.
    offset : Offset
        First offset not covered by the state.
    id : str
        Unique identifier of the snapshot.
    max_part_bytes : int, default=48000
        Maximum size of the data of a part, in bytes.

    Returns
    -------
    list of SnapshotPart
        Parts of the snapshot, at least one.
    """
    compressed = zlib.compress(msgspec.msgpack.encode(state), level=1)
    chunks = [
        compressed[i : i + max_part_bytes]
        for i in range(0, len(compressed), max_part_bytes)
    ]
    digest = _digest(compressed)
    return [
        SnapshotPart(id, offset, index, len(chunks), digest, chunk)
        for index, chunk in enumerate(chunks)
    ]


class SnapshotCollector:
    """Reassembles snapshots from parts and keeps the latest complete one.

    Parameters
    ----------
    state_type : type
        Class of the state.

    Attributes
    ----------
    latest_ : object or None
        State of the complete snapshot with the highest offset.
    """

    def __init__(self, state_type: type) -> None:
        self.state_type = state_type
        self.latest_: Any = None
        self._offset = Offset(-1)
        self._parts_by_id: dict[str, dict[int, SnapshotPart]] = {}

    def add(self, part: SnapshotPart) -> None:
        """Add a part, unless its snapshot is no newer than the latest."""
        if part.offset <= self._offset:
            return
        parts = self._parts_by_id.setdefault(part.id, {})
        parts[part.index] = part
        if len(parts) == part.count:
            del self._parts_by_id[part.id]
            self._load_if_valid(part, [parts[i].data for i in range(part.count)])

    def _load_if_valid(self, part: SnapshotPart, chunks: list[bytes]) -> None:
        """Load a snapshot if its digest matches and it can be decoded."""
        compressed = b"".join(chunks)
        if _digest(compressed) != part.digest:
            return
        try:
            raw = zlib.decompress(compressed)
            self.latest_ = msgspec.msgpack.decode(raw, type=self.state_type)
        except _DECODE_ERRORS:
            return
        self._offset = part.offset
        superseded = [
            id
            for id, parts in self._parts_by_id.items()
            if _offset_of(parts) <= self._offset
        ]
        for id in superseded:
            del self._parts_by_id[id]


def _offset_of(parts: dict[int, SnapshotPart]) -> Offset:
    return next(iter(parts.values())).offset
