"""Writing of snapshots, retried until one is durable."""

from collections.abc import Callable
from typing import Any

from ..journal import AppendState, PendingAppend
from ..utils import Instant, Offset, StreamName
from ._parts import SnapshotPart, snapshot_stream, split_snapshot
from ._schedule import SnapshotSchedule

__all__ = ["SnapshotWriter"]

Submit = Callable[[StreamName, SnapshotPart], PendingAppend]


class SnapshotWriter:
    """Writes the snapshots of one stream when they are due.

    Parameters
    ----------
    stream : StreamName
        Stream whose folded state is written.
    schedule : SnapshotSchedule
        Schedule of the snapshots.
    submit : callable
        Queues a part for an append to the log.
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
        """Write a snapshot if one is due and none is pending.

        Parameters
        ----------
        state : object
            State to write, with attribute `next_offset`.
        writer : str
            Identifier of the writing process.
        rank : int
            Number of processes of lower rank, which write first; this process
            takes over after as many further intervals without a snapshot.
        now : Instant
            Current time.
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
        """Return whether all appends of the pending snapshot have an outcome.

        The snapshot is recorded in the schedule if all of its parts are durable.
        """
        states = {item.state for item in self._pending}
        if AppendState.WAITING in states:
            return False
        if states == {AppendState.DURABLE}:
            self.schedule.record_snapshot(self._offset, now)
        self._pending = []
        return True
