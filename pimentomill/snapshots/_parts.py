"""Parts of a snapshot, and how a whole one is recognised."""

import hashlib
import zlib
from typing import Any

import msgspec

from ..utils import Offset, StreamName

__all__ = ["SnapshotCollector", "SnapshotPart", "snapshot_stream", "split_snapshot"]

PART_BYTES = 48_000
DIGEST_BYTES = 16
_decoder_error = (msgspec.DecodeError, zlib.error)


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """Part of a snapshot.

    Parameters
    ----------
    id : str
        Which snapshot.
    offset : Offset
        First offset that the snapshot does not cover.
    index, count : int
        Number of the part, from 0, and number of parts.
    digest : bytes
        Digest of the whole packed snapshot.
    data : bytes
        Piece of the packed snapshot.
    """

    id: str
    offset: Offset
    index: int
    count: int
    digest: bytes
    data: bytes


def snapshot_stream(stream: StreamName) -> StreamName:
    """Return the name of the stream that keeps snapshots of a stream."""
    return StreamName(f"snapshot.{stream}")


def _digest(packed: bytes) -> bytes:
    return hashlib.blake2b(packed, digest_size=DIGEST_BYTES).digest()


def split_snapshot(
    state: Any, offset: Offset, id: str, part_bytes: int = PART_BYTES
) -> list[SnapshotPart]:
    """Pack a state and cut it into parts.

    Parameters
    ----------
    state : object
        A state struct.
    offset : Offset
        First offset that it does not cover.
    id : str
        Name of the snapshot, different for each.
    part_bytes : int, default=48000
        Largest piece.

    Returns
    -------
    list of SnapshotPart
        At least one part.
    """
    packed = zlib.compress(msgspec.msgpack.encode(state), level=1)
    pieces = [packed[i : i + part_bytes] for i in range(0, len(packed), part_bytes)]
    digest = _digest(packed)
    return [
        SnapshotPart(id, offset, index, len(pieces), digest, piece)
        for index, piece in enumerate(pieces)
    ]


class SnapshotCollector:
    """Put parts together and keep the latest whole snapshot.

    Parameters
    ----------
    kind : type
        Class of the state.

    Attributes
    ----------
    latest_ : object or None
        State of the whole snapshot that covers most.
    """

    def __init__(self, kind: type) -> None:
        self.kind = kind
        self.latest_: Any = None
        self._offset = Offset(-1)
        self._pieces: dict[str, dict[int, SnapshotPart]] = {}

    def add(self, part: SnapshotPart) -> None:
        """Take in a part; one of an older snapshot than the latest is dropped."""
        if part.offset <= self._offset:
            return
        pieces = self._pieces.setdefault(part.id, {})
        pieces[part.index] = part
        if len(pieces) == part.count:
            del self._pieces[part.id]
            self._complete(part, [pieces[i].data for i in range(part.count)])

    def _complete(self, part: SnapshotPart, pieces: list[bytes]) -> None:
        """Use a snapshot if it is what its writer packed."""
        packed = b"".join(pieces)
        if _digest(packed) != part.digest:
            return
        try:
            raw = zlib.decompress(packed)
            self.latest_ = msgspec.msgpack.decode(raw, type=self.kind)
        except _decoder_error:
            return
        self._offset = part.offset
        stale = [id for id, p in self._pieces.items() if _covers(p) <= self._offset]
        for id in stale:
            del self._pieces[id]


def _covers(pieces: dict[int, SnapshotPart]) -> Offset:
    return next(iter(pieces.values())).offset
