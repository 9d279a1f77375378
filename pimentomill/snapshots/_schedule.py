"""Schedule of snapshots."""

from ..utils import Instant, Offset

__all__ = ["SnapshotSchedule"]


class SnapshotSchedule:
    """Schedules snapshots by records and time since the last one.

    Parameters
    ----------
    every_records : int
        Number of new records after which a snapshot is due.
    every_ms : int
        Milliseconds after which a snapshot is due if there are new records.

    Attributes
    ----------
    offset_ : Offset
        First offset not covered by the last snapshot.
    """

    def __init__(self, every_records: int, every_ms: int) -> None:
        self.every_records = every_records
        self.every_ms = every_ms
        self.offset_ = Offset(0)
        self._last_snapshot_at: Instant | None = None

    def record_snapshot(self, offset: Offset, now: Instant) -> None:
        """Record that a snapshot was written or loaded."""
        self.offset_ = max(self.offset_, offset)
        self._last_snapshot_at = now

    def is_due(self, next_offset: Offset, rank: int, now: Instant) -> bool:
        """Return whether a snapshot is due.

        A process of rank n needs n + 1 times the records or the time, so that it
        takes over only if those of lower rank write none.

        Parameters
        ----------
        next_offset : Offset
            First offset not folded yet.
        rank : int
            Number of processes of lower rank, which write first.
        now : Instant
            Current time.
        """
        if self._last_snapshot_at is None:
            self._last_snapshot_at = now
        new_records = next_offset - self.offset_
        factor = rank + 1
        is_interval_over = now >= self._last_snapshot_at + self.every_ms * factor
        return new_records >= self.every_records * factor or (
            new_records > 0 and is_interval_over
        )
