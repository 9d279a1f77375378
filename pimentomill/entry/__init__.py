"""The entry daemon: what callers, operators, workers and other entries talk to."""

from ._core import EntryCore, EntryHealth
from ._daemon import EntryDaemon
from ._effects import CELL_STREAM, CoreEffects, group_stream, stream_group

__all__ = [
    "CELL_STREAM",
    "CoreEffects",
    "EntryCore",
    "EntryDaemon",
    "EntryHealth",
    "group_stream",
    "stream_group",
]
