"""Expiry of the records of finished jobs."""

from ..jobs import JobTable, accepted_key, cancelled_key, progress_key

__all__ = ["expired_keys"]

MAX_JOBS = 200
"""Jobs expired at a time, so that one append stays small."""


def expired_keys(table: JobTable, oldest_ms: int) -> list[str]:
    """Return the record keys of jobs that finished before a point in time.

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
        if entry.accepted_ is None or not entry.state.is_final:
            continue
        last = max(
            record.at_ms
            for record in (entry.accepted_, entry.progress_, entry.cancelled_)
            if record is not None
        )
        if last >= oldest_ms:
            continue
        keys += [accepted_key(job_id), progress_key(job_id), cancelled_key(job_id)]
        dropped += 1
        if dropped >= MAX_JOBS:
            break
    return keys
