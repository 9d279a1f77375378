"""Entry daemon, which serves callers, operators, workers and other entries."""

from ._core import EntryCore, EntryHealth
from ._daemon import EntryDaemon
from ._effects import CELL_STREAM, CoreEffects, group_of_stream, group_stream

__all__ = [
    "CELL_STREAM",
    "CoreEffects",
    "EntryCore",
    "EntryDaemon",
    "EntryHealth",
    "group_stream",
    "group_of_stream",
]
