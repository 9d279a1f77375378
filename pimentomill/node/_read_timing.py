"""Timing of an entry's reads of the streams in the store."""

from ..replica import FollowerTiming

__all__ = ["rules_timing", "work_timing"]

FOLLOWER_PAUSE_MS = 200
"""Milliseconds between two reads of an entry that does not lead. A query about an
unfinished job triggers its own read; everything else tolerates the delay."""
MAX_FOLLOWER_PAUSE_MS = 400
"""The same in a large cell. It stays below the gap between two reads that counts as an
outage of the store."""
FOLLOWERS_AT_FULL_RATE = 48
"""Entries up to which all of them read at the full rate. Beyond it the pause grows with
their number, as a read costs an entry and the store the same however little it finds.
"""
SPARSE_INTERVAL_MS = 420
"""Milliseconds between the beginnings of two sparse reads of the jobs. It stays below
the gaps that count as an outage of the store, 700 ms in the election and 1200 ms for
callers. Where reads are slow, only `FOLLOWER_PAUSE_MS` lies between them, so that the
copy is no older than with dense reads."""
RULES_LONG_POLL_MS = 400
"""Long-poll timeout for reads of the operators' settings, in milliseconds. Each
completed read confirms that they are current, so their age stays below twice this."""
SPARSE_RULES_INTERVAL_MS = 800
"""Milliseconds between the beginnings of two sparse reads of the operators' settings. A
long poll of this length would let their age reach 1.6 s, as it confirms them as of its
beginning; reads without one keep it at 0.8 s, and settings are in force as soon."""


def work_timing(entries: int, is_sparse: bool = False) -> FollowerTiming:
    """Return the timing of reads of the jobs by an entry that does not lead.

    Parameters
    ----------
    entries : int
        Number of entries of the cell.
    is_sparse : bool, default=False
        Whether the entry reads only as often as the bounds on the age of its copy
        require.
    """
    pause_ms = FOLLOWER_PAUSE_MS * entries // FOLLOWERS_AT_FULL_RATE
    pause_ms = min(MAX_FOLLOWER_PAUSE_MS, max(FOLLOWER_PAUSE_MS, pause_ms))
    interval_ms = SPARSE_INTERVAL_MS if is_sparse else 0
    return FollowerTiming(wait_ms=0, pause_ms=pause_ms, interval_ms=interval_ms)


def rules_timing(is_sparse: bool = False) -> FollowerTiming:
    """Return the timing of reads of the operators' settings.

    Parameters
    ----------
    is_sparse : bool, default=False
        Whether the entry makes half as many reads instead of long polls.
    """
    if not is_sparse:
        return FollowerTiming(wait_ms=RULES_LONG_POLL_MS, pause_ms=0)
    return FollowerTiming(wait_ms=0, pause_ms=0, interval_ms=SPARSE_RULES_INTERVAL_MS)
