"""When a snapshot is due."""

from ..utils import Instant, Offset

__all__ = ["SnapshotSchedule"]


class SnapshotSchedule:
    """Tell when enough records or time have passed since the last snapshot.

    Parameters
    ----------
    every_records : int
        Records after which a snapshot is due.
    every_ms : int
        Time after which one is due if there are new records at all.

    Attributes
    ----------
    offset_ : Offset
        First offset that the last snapshot does not cover.
    """

    def __init__(self, every_records: int, every_ms: int) -> None:
        self.every_records = every_records
        self.every_ms = every_ms
        self.offset_ = Offset(0)
        self._last_snapshot_at: Instant | None = None

    def record_snapshot(self, offset: Offset, now: Instant) -> None:
        """Note that a snapshot was taken or loaded."""
        self.offset_ = max(self.offset_, offset)
        self._last_snapshot_at = now

    def is_due(self, next_offset: Offset, rank: int, now: Instant) -> bool:
        """Return whether a snapshot should be taken.

        Parameters
        ----------
        next_offset : Offset
            First offset that is not folded yet.
        rank : int
            How many processes come before this one.
        now : Instant
            Present time.
        """
        if self._last_snapshot_at is None:
            self._last_snapshot_at = now
        new_records = next_offset - self.offset_
        factor = rank + 1
        is_interval_over = now >= self._last_snapshot_at + self.every_ms * factor
        return new_records >= self.every_records * factor or (
            new_records > 0 and is_interval_over
        )
