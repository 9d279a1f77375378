"""Expiry of the records of finished jobs, and of those that were never accepted."""

from ..jobs import JobTable, accepted_key, cancelled_key, progress_key

__all__ = ["expired_keys"]

MAX_JOBS = 200
"""Jobs expired at a time, so that one append stays small."""


def expired_keys(table: JobTable, oldest_ms: int) -> list[str]:
    """Return the record keys of jobs that ended before a point in time.

    That includes jobs that were cancelled and have not been accepted.

    At most `MAX_JOBS` jobs are covered by one call.

    Parameters
    ----------
    table : JobTable
        All jobs.
    oldest_ms : int
        Time in milliseconds since 1970.

    Returns
    -------
    list of str
        Keys to delete.
    """
    keys: list[str] = []
    dropped = 0
    for job_id, entry in table.entries_.items():
        if dropped >= MAX_JOBS:
            break
        if entry.accepted_ is not None and not entry.state.is_final:
            continue
        if entry.changed_ms >= oldest_ms:
            continue
        keys += [accepted_key(job_id), progress_key(job_id), cancelled_key(job_id)]
        # Last, as the job must not count as accepted without them.
        keys += [item.key for item in entry.withdrawn_]
        dropped += 1
    return keys
