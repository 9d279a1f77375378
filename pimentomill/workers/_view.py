"""A holder's view of one worker."""

from enum import Enum

from ..utils import ZERO, InstanceId, Instant, JobId, Resources
from ..work import TaskRef
from ._messages import TaskStatus, WorkerClock, WorkerReport

__all__ = ["WorkerHealth", "WorkerView"]

NEVER = Instant(-1)
BACKOFF_FAILED_JOBS = 3
INITIAL_BACKOFF_MS = 10_000
MAX_BACKOFF_MS = 600_000


class WorkerHealth(Enum):
    """Whether a worker may get new work."""

    UNKNOWN = "unknown"
    LIVE = "live"
    SUSPECTED = "suspected"


class WorkerView:
    """What a holder knows about a worker and has promised on it.

    Parameters
    ----------
    id : InstanceId
        The worker.
    address : str
        ``host:port`` of its command port.
    rack : str
        ``data_centre/rack``.

    Attributes
    ----------
    capacity_, reserved_ : Resources
        What it has, and what tasks placed on it may take.
    health_ : WorkerHealth
        Whether it has been heard of lately.
    is_leaving_, is_drained_ : bool
        Whether the platform or an operator wants it empty.
    """

    def __init__(self, id: InstanceId, address: str, rack: str) -> None:
        self.id = id
        self.address = address
        self.rack = rack
        self.capacity_ = ZERO
        self.reserved_ = ZERO
        self.health_ = WorkerHealth.UNKNOWN
        self.is_leaving_ = False
        self.is_drained_ = False
        self.incarnation_ = -1
        self.last_contact_at_ = NEVER
        self.last_poll_at_ = NEVER
        self.lease_expires_at_ = NEVER
        self.backoff_until_ = NEVER
        self.failed_jobs_: set[JobId] = set()
        self._clock = WorkerClock(0)
        self._reservations: dict[TaskRef, Resources] = {}

    @property
    def data_centre(self) -> str:
        """Data centre of the worker."""
        return self.rack.partition("/")[0]

    @property
    def has_reported(self) -> bool:
        """Whether its capacity is known, from a report to this holder."""
        return self.health_ is not WorkerHealth.UNKNOWN

    @property
    def free(self) -> Resources:
        """What may still be promised; a component may be negative."""
        return self.capacity_ - self.reserved_

    def accepts_tasks(self, now: Instant) -> bool:
        """Return whether new tasks may be placed here."""
        return (
            self.health_ is WorkerHealth.LIVE
            and not self.is_leaving_
            and not self.is_drained_
            and now >= self.backoff_until_
        )

    def reserve(self, ref: TaskRef, amount: Resources) -> None:
        """Promise resources to an attempt; a later amount replaces an earlier."""
        previous = self._reservations.get(ref, ZERO)
        self._reservations[ref] = amount
        self.reserved_ = self.reserved_ - previous + amount

    def release(self, ref: TaskRef) -> None:
        """Take back what was promised to an attempt."""
        amount = self._reservations.pop(ref, None)
        if amount is not None:
            self.reserved_ = self.reserved_ - amount

    def has_reservation(self, ref: TaskRef) -> bool:
        """Return whether resources are promised to an attempt."""
        return ref in self._reservations

    def reserved_refs(self) -> list[TaskRef]:
        """Return the attempts that resources are promised to."""
        return list(self._reservations)

    def is_newer(self, report: WorkerReport) -> bool:
        """Return whether a report was surely made after the latest one.

        Two reports of the same millisecond can't be put in order; the second to
        arrive is left out.
        """
        return (report.boot, report.clock) > (self.incarnation_, self._clock)

    def update_clock(self, incarnation: int, clock: WorkerClock, now: Instant) -> None:
        """Take in a reading of the worker's clock that came with an answer.

        Parameters
        ----------
        incarnation : int
            Incarnation of the worker.
        clock : WorkerClock
            The reading. Reports made before it are out of date.
        now : Instant
            When it was received.
        """
        if incarnation == self.incarnation_ and clock > self._clock:
            self._clock = clock
            self.last_contact_at_ = now

    def apply_report(self, report: WorkerReport, now: Instant) -> None:
        """Take in a report.

        Parameters
        ----------
        report : WorkerReport
            The report.
        now : Instant
            When it was received.
        """
        self.capacity_ = report.capacity
        self.incarnation_ = report.boot
        self.health_ = WorkerHealth.LIVE
        self.last_contact_at_ = now
        self._clock = report.clock
        for status in report.running:
            self._reserve_usage(status)

    def _reserve_usage(self, status: TaskStatus) -> None:
        """Count the larger of what a task declared and what it uses."""
        ref = TaskRef(status.job, status.index, status.attempt)
        self.reserve(ref, status.resources.at_least(status.used))

    def estimate_clock(self, now: Instant) -> WorkerClock:
        """Return a reading that the worker's clock has surely reached.

        Parameters
        ----------
        now : Instant
            Present time of this process.

        Returns
        -------
        WorkerClock
            The report's reading plus the time since it was received; it lags
            by the time that the report was under way.
        """
        return WorkerClock(self._clock + now - self.last_contact_at_)

    def record_failure(self, job: JobId, now: Instant) -> None:
        """Count a job that failed here.

        Parameters
        ----------
        job : JobId
            The job. One that fails everywhere counts once, so that it does not
            take its workers down with it.
        now : Instant
            Present time; a worker that fails several jobs in a row is parked,
            each time longer.
        """
        self.failed_jobs_.add(job)
        doublings = len(self.failed_jobs_) - BACKOFF_FAILED_JOBS
        if doublings >= 0:
            backoff_ms = min(INITIAL_BACKOFF_MS * 2**doublings, MAX_BACKOFF_MS)
            self.backoff_until_ = Instant(now + backoff_ms)

    def record_success(self) -> None:
        """Forget earlier failures."""
        self.failed_jobs_.clear()
        self.backoff_until_ = NEVER
