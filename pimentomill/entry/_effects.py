"""What the core of an entry needs of the process around it."""

from typing import Any, Protocol

from ..journal import PendingAppend
from ..utils import GroupName, StreamName
from ..workers import CommandBatch, WorkerView

__all__ = ["CELL_STREAM", "CoreEffects", "group_stream", "group_of_stream"]

CELL_STREAM = StreamName("cell")


def group_stream(group: GroupName) -> StreamName:
    """Return the name of a group's stream."""
    return StreamName(f"group.{group}")


def group_of_stream(stream: StreamName) -> GroupName:
    """Return the group whose stream it is."""
    return GroupName(stream.partition(".")[2])


class CoreEffects(Protocol):
    """Ways out of the core; none of them blocks."""

    def submit(
        self, stream: StreamName, record: Any, linger_ms: int, patience_ms: int
    ) -> PendingAppend:
        """Queue a record for the log."""

    def command(self, group: GroupName, view: WorkerView, batch: CommandBatch) -> None:
        """Send commands to a worker."""

    def start_reading(self, stream: StreamName) -> None:
        """Begin to read a stream, from its latest snapshot on."""

    def stop_reading(self, stream: StreamName) -> None:
        """Read a stream no longer."""
