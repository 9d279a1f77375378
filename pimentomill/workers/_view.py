"""View that a holder has of one worker."""

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
    """Health of a worker as seen by the holder."""

    UNKNOWN = "unknown"
    LIVE = "live"
    SUSPECTED = "suspected"


class WorkerView:
    """State of a worker and of the resources reserved on it.

    Parameters
    ----------
    id : InstanceId
        Name of the worker.
    address : str
        ``host:port`` of the worker's command endpoint.
    rack : str
        ``data_centre/rack``.

    Attributes
    ----------
    capacity_, reserved_ : Resources
        Total resources of the worker and resources reserved for tasks placed on it.
    health_ : WorkerHealth
        Health, derived from how recently the worker responded.
    is_leaving_, is_drained_ : bool
        Whether the platform or an operator is draining the worker.
    is_evacuated_ : bool
        Whether operators have evacuated the worker's data centre.
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
        self.is_evacuated_ = False
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
    def is_closed(self) -> bool:
        """Whether operators allow no new tasks on the worker."""
        return self.is_drained_ or self.is_evacuated_

    @property
    def has_reported(self) -> bool:
        """Whether the worker has reported its capacity to this holder."""
        return self.health_ is not WorkerHealth.UNKNOWN

    @property
    def free(self) -> Resources:
        """Resources that are not reserved; a component may be negative."""
        return self.capacity_ - self.reserved_

    def accepts_tasks(self, now: Instant) -> bool:
        """Return whether new tasks may be placed on the worker."""
        return (
            self.health_ is WorkerHealth.LIVE
            and not self.is_leaving_
            and not self.is_closed
            and now >= self.backoff_until_
        )

    def reserve(self, ref: TaskRef, amount: Resources) -> None:
        """Reserve resources for an attempt, replacing an earlier reservation."""
        previous = self._reservations.get(ref, ZERO)
        self._reservations[ref] = amount
        self.reserved_ = self.reserved_ - previous + amount

    def release(self, ref: TaskRef) -> None:
        """Release the resources reserved for an attempt."""
        amount = self._reservations.pop(ref, None)
        if amount is not None:
            self.reserved_ = self.reserved_ - amount

    def has_reservation(self, ref: TaskRef) -> bool:
        """Return whether resources are reserved for an attempt."""
        return ref in self._reservations

    def reserved_refs(self) -> list[TaskRef]:
        """Return the attempts for which resources are reserved."""
        return list(self._reservations)

    def is_newer(self, report: WorkerReport) -> bool:
        """Return whether a report was certainly made after the latest one applied.

        Two reports of the same millisecond can't be ordered; the one that arrives
        second is ignored.
        """
        return (report.boot, report.clock) > (self.incarnation_, self._clock)

    def update_clock(self, incarnation: int, clock: WorkerClock, now: Instant) -> None:
        """Record a reading of the worker's clock received with a reply.

        Parameters
        ----------
        incarnation : int
            Incarnation of the worker.
        clock : WorkerClock
            Reading of the worker's clock. Reports made before it are out of date.
        now : Instant
            Time of receipt.
        """
        if incarnation == self.incarnation_ and clock > self._clock:
            self._clock = clock
            self.last_contact_at_ = now

    def apply_report(self, report: WorkerReport, now: Instant) -> None:
        """Apply a report to the view.

        Parameters
        ----------
        report : WorkerReport
            Report to apply.
        now : Instant
            Time of receipt.
        """
        self.capacity_ = report.capacity
        self.incarnation_ = report.boot
        self.health_ = WorkerHealth.LIVE
        self.last_contact_at_ = now
        self._clock = report.clock
        for status in report.running:
            self._reserve_usage(status)

    def extend_lease(self, expires_at: Instant) -> None:
        """Record that tasks on the worker may run until a time.

        Parameters
        ----------
        expires_at : Instant
            Expiry of the lease of a start or a renewal that is about to be sent, by
            the clock of this process.
        """
        self.lease_expires_at_ = max(self.lease_expires_at_, expires_at)

    def _reserve_usage(self, status: TaskStatus) -> None:
        """Reserve the larger of a task's declared and used resources."""
        ref = TaskRef(status.job, status.index, status.attempt)
        self.reserve(ref, status.resources.maximum(status.used))

    def estimate_clock(self, now: Instant) -> WorkerClock:
        """Return a reading that the worker's clock has certainly reached.

        Parameters
        ----------
        now : Instant
            Current time of this process.

        Returns
        -------
        WorkerClock
            Latest reading plus the time since it was received. It lags behind by the
            transit time of the message that carried the reading.
        """
        return WorkerClock(self._clock + now - self.last_contact_at_)

    def record_failure(self, job: JobId, now: Instant) -> None:
        """Record that a job failed on the worker.

        Parameters
        ----------
        job : JobId
            Job that failed. It counts once, so that a job that fails on every worker
            does not disable them.
        now : Instant
            Current time. After several failed jobs in a row the worker gets no new
            tasks for a backoff, which doubles with each further job.
        """
        self.failed_jobs_.add(job)
        doublings = len(self.failed_jobs_) - BACKOFF_FAILED_JOBS
        if doublings >= 0:
            backoff_ms = min(INITIAL_BACKOFF_MS * 2**doublings, MAX_BACKOFF_MS)
            self.backoff_until_ = Instant(now + backoff_ms)

    def record_success(self) -> None:
        """Clear the recorded failures and the backoff."""
        self.failed_jobs_.clear()
        self.backoff_until_ = NEVER
