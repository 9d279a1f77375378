"""Writing of snapshots, again until one is kept."""

from collections.abc import Callable
from typing import Any

from ..journal import AppendState, PendingAppend
from ..utils import Instant, Offset, StreamName
from ._parts import SnapshotPart, snapshot_stream, split_snapshot
from ._schedule import SnapshotSchedule

__all__ = ["SnapshotWriter"]

Submit = Callable[[StreamName, SnapshotPart], PendingAppend]


class SnapshotWriter:
    """Write the snapshots of one stream when they are due.

    Parameters
    ----------
    stream : StreamName
        Stream whose state is written.
    schedule : SnapshotSchedule
        When snapshots are due.
    submit : callable
        Queues a part for the log.
    """

    def __init__(
        self, stream: StreamName, schedule: SnapshotSchedule, submit: Submit
    ) -> None:
        self.stream = stream
        self.schedule = schedule
        self.submit = submit
        self._offset = Offset(0)
        self._pending: list[PendingAppend] = []

    def write_if_due(self, state: Any, writer: str, rank: int, now: Instant) -> None:
        """Write a snapshot if one is due and none is under way.

        Parameters
        ----------
        state : object
            State with `next_offset`.
        writer : str
            Name of the writing process.
        rank : int
            How many processes come before this one; it steps in for them when
            that many more records have passed.
        now : Instant
            Present time.
        """
        if self._pending and not self._finish_pending(now):
            return
        if not self.schedule.is_due(state.next_offset, rank, now):
            return
        self._offset = state.next_offset
        id = f"{writer}-{self.stream}-{self._offset}-{now}"
        target = snapshot_stream(self.stream)
        parts = split_snapshot(state, self._offset, id)
        self._pending = [self.submit(target, part) for part in parts]

    def _finish_pending(self, now: Instant) -> bool:
        """Return whether the snapshot under way has been kept or given up."""
        states = {item.state for item in self._pending}
        if AppendState.WAITING in states:
            return False
        if states == {AppendState.DURABLE}:
            self.schedule.record_snapshot(self._offset, now)
        self._pending = []
        return True
