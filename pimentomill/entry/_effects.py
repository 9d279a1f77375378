"""Interface through which the core of an entry causes side effects."""

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
    """Return the group that a stream belongs to."""
    return GroupName(stream.partition(".")[2])


class CoreEffects(Protocol):
    """Side effects of the core; no method blocks."""

    def submit(
        self, stream: StreamName, record: Any, linger_ms: int, timeout_ms: int
    ) -> PendingAppend:
        """Queue a record for the log."""

    def command(self, group: GroupName, view: WorkerView, batch: CommandBatch) -> None:
        """Send commands to a worker."""

    def start_reading(self, stream: StreamName) -> None:
        """Start reading a stream from its latest snapshot."""

    def stop_reading(self, stream: StreamName) -> None:
        """Stop reading a stream."""
