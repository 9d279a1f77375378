"""Loading of the latest snapshot from the log."""

from collections.abc import Callable
from typing import Any

import msgspec

from ..journal import StreamSlice, decode_envelope
from ..utils import Offset, StreamName
from ._parts import SnapshotCollector, SnapshotPart, snapshot_stream

__all__ = ["load_latest"]

ReadSlice = Callable[[StreamName, Offset], StreamSlice | None]
_decoder = msgspec.msgpack.Decoder(SnapshotPart)


def load_latest(
    read_slice: ReadSlice, stream: StreamName, state_type: type
) -> Any | None:
    """Load the state of the latest complete snapshot of a stream.

    Parameters
    ----------
    read_slice : callable
        Reads a stream from an offset; returns None if there are no records.
    stream : StreamName
        Stream whose snapshot is loaded.
    state_type : type
        Class of the state.

    Returns
    -------
    object or None
        The state, or None if the log has no complete snapshot.
    """
    collector = SnapshotCollector(state_type)
    snapshots = snapshot_stream(stream)
    position = Offset(0)
    while True:
        page = read_slice(snapshots, position)
        if page is None or not page.records:
            return collector.latest_
        for payload in page.records:
            collector.add(_decoder.decode(decode_envelope(payload).body))
        position = Offset(page.start + len(page.records))
