"""State of all jobs, rebuilt by replaying the store's records."""

from collections import Counter
from collections.abc import Iterator
from functools import singledispatch

import msgspec

from ..telemetry import ComponentLogger
from ..utils import JobId
from ._model import JobState
from ._records import (
    KEY_PREFIXES,
    Accepted,
    Cancelled,
    JobRecord,
    Progress,
    Withdrawn,
    decode_job_record,
    job_of_key,
    withdrawn_key,
)

__all__ = ["JobEntry", "JobTable"]

_log = ComponentLogger("jobs")


class JobEntry:
    """Records of one job in the store.

    Attributes
    ----------
    accepted_ : Accepted or None
        Acceptance record; None until it has been read.
    progress_ : Progress or None
        Latest progress record.
    cancelled_ : Cancelled or None
        Cancellation record.
    withdrawn_ : tuple of Withdrawn
        Cancellations from before the acceptance, at most one of each team and queue.
    """

    __slots__ = ("accepted_", "cancelled_", "progress_", "withdrawn_")

    def __init__(self) -> None:
        self.accepted_: Accepted | None = None
        self.progress_: Progress | None = None
        self.cancelled_: Cancelled | None = None
        self.withdrawn_: tuple[Withdrawn, ...] = ()

    @property
    def is_withdrawn(self) -> bool:
        """Whether the job was cancelled by a caller before it was accepted."""
        accepted = self.accepted_
        if accepted is None or not self.withdrawn_:
            return False
        return any(
            accepted.is_visible(item.queue, item.team) for item in self.withdrawn_
        )

    @property
    def state(self) -> JobState:
        """State reported to callers."""
        progress = self.progress_
        if progress is not None and progress.state.is_final:
            return progress.state
        if self.cancelled_ is not None or self.is_withdrawn:
            return JobState.CANCELLED
        return progress.state if progress is not None else JobState.QUEUED

    @property
    def changed_ms(self) -> int:
        """Wall-clock time of the latest record, in milliseconds since 1970."""
        records = (self.accepted_, self.progress_, self.cancelled_, *self.withdrawn_)
        return max(record.at_ms for record in records if record is not None)

    @property
    def is_empty(self) -> bool:
        """Whether the job has no records."""
        return not (
            self.accepted_ or self.progress_ or self.cancelled_ or self.withdrawn_
        )


@singledispatch
def _apply_record(record: JobRecord, entry: JobEntry) -> None:
    """Apply a record to the entry of its job."""
    raise TypeError(f"{type(record).__name__} is not a job record")


@_apply_record.register
def _(record: Accepted, entry: JobEntry) -> None:
    # A job submitted again through another entry keeps its first acceptance record.
    entry.accepted_ = entry.accepted_ or record


@_apply_record.register
def _(record: Cancelled, entry: JobEntry) -> None:
    entry.cancelled_ = entry.cancelled_ or record


@_apply_record.register
def _(record: Withdrawn, entry: JobEntry) -> None:
    if all(record.key != item.key for item in entry.withdrawn_):
        entry.withdrawn_ += (record,)


@_apply_record.register
def _(record: Progress, entry: JobEntry) -> None:
    # A final state is never overwritten.
    if not (entry.progress_ and entry.progress_.state.is_final):
        entry.progress_ = record


def _check_record(key: str, job: JobId, record: JobRecord) -> None:
    """Check that a record belongs to its key and that its job can be run.

    Raises
    ------
    ValueError
        If it does not; another writer has left it.
    """
    if record.job != job or not key.startswith(KEY_PREFIXES[type(record)]):
        raise ValueError(f"{type(record).__name__} of job {record.job[:40]!r}")
    if isinstance(record, Withdrawn) and record.key != key:
        raise ValueError(f"Withdrawn of the key {record.key[:40]!r}")
    if isinstance(record, Accepted):
        record.check()


class JobTable:
    """All jobs in the store.

    Attributes
    ----------
    entries_ : dict of JobId to JobEntry
        Jobs by name.
    """

    def __init__(self) -> None:
        self.entries_: dict[JobId, JobEntry] = {}
        self._withdrawn_counts: Counter[tuple[str, str]] = Counter()

    def find(self, job: JobId) -> JobEntry | None:
        """Return the entry of an accepted job, None if there is none."""
        entry = self.entries_.get(job)
        return entry if entry is not None and entry.accepted_ is not None else None

    def state_of(self, job: JobId) -> JobState | None:
        """Return the state of an accepted job, None if there is none."""
        entry = self.find(job)
        return entry.state if entry is not None else None

    def is_withdrawn(self, job: JobId, queue: str, team: str) -> bool:
        """Return whether callers of a team have withdrawn a job of a queue."""
        entry = self.entries_.get(job)
        key = withdrawn_key(job, queue, team)
        return entry is not None and any(item.key == key for item in entry.withdrawn_)

    def count_withdrawn(self, queue: str, team: str) -> int:
        """Return the number of jobs that callers of a team have withdrawn."""
        return self._withdrawn_counts[queue, team]

    def iter_accepted(self) -> Iterator[JobEntry]:
        """Yield all accepted jobs."""
        return (entry for entry in self.entries_.values() if entry.accepted_)

    def apply(self, key: str, value: bytes) -> JobId | None:
        """Apply one record.

        Parameters
        ----------
        key : str
            Key of the record.
        value : bytes
            Encoded record, empty if the key was deleted.

        Returns
        -------
        JobId or None
            Job that the record belongs to, None if the record is not applied.
        """
        job = job_of_key(key)
        if job is None:
            return None
        if not value:
            self._drop(job, key)
            return job
        try:
            record = decode_job_record(value)
            _check_record(key, job, record)
        except (msgspec.DecodeError, ValueError, RecursionError) as exc:
            _log.warning("Record ignored", key=key, why=str(exc))
            return None
        entry = self.entries_.setdefault(job, JobEntry())
        known = len(entry.withdrawn_)
        _apply_record(record, entry)
        for item in entry.withdrawn_[known:]:
            self._withdrawn_counts[item.queue, item.team] += 1
        return job

    def _drop(self, job: JobId, key: str) -> None:
        entry = self.entries_.get(job)
        if entry is None:
            return
        prefix = key[0]
        if prefix == "j":
            entry.accepted_ = None
        elif prefix == "p":
            entry.progress_ = None
        elif prefix == "d":
            self._drop_withdrawn(entry, key)
        else:
            entry.cancelled_ = None
        if entry.is_empty:
            del self.entries_[job]

    def _drop_withdrawn(self, entry: JobEntry, key: str) -> None:
        for item in entry.withdrawn_:
            if item.key == key:
                self._withdrawn_counts[item.queue, item.team] -= 1
        entry.withdrawn_ = tuple(item for item in entry.withdrawn_ if item.key != key)
