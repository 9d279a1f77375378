"""Snapshots of folded state, written before the log drops the folded records."""

from ._loader import load_latest
from ._parts import SnapshotCollector, SnapshotPart, snapshot_stream, split_snapshot
from ._schedule import SnapshotSchedule
from ._writer import SnapshotWriter

__all__ = [
    "SnapshotCollector",
    "SnapshotPart",
    "SnapshotSchedule",
    "SnapshotWriter",
    "load_latest",
    "snapshot_stream",
    "split_snapshot",
]
