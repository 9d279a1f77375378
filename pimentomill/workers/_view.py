"""A holder's view of one worker."""

from enum import Enum

from ..utils import ZERO, InstanceId, Instant, JobId, Resources
from ..work import TaskRef
from ._messages import TaskStatus, WorkerClock, WorkerReport

__all__ = ["WorkerHealth", "WorkerView"]

NEVER = Instant(-1)
PARK_AFTER_JOBS = 3
PARK_FIRST_MS = 10_000
PARK_LAST_MS = 600_000


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
    capacity_, committed_ : Resources
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
        self.committed_ = ZERO
        self.health_ = WorkerHealth.UNKNOWN
        self.is_leaving_ = False
        self.is_drained_ = False
        self.boot_ = -1
        self.heard_at_ = NEVER
        self.asked_at_ = NEVER
        self.lease_ends_at_ = NEVER
        self.parked_until_ = NEVER
        self.failed_jobs_: set[JobId] = set()
        self._clock = WorkerClock(0)
        self._held: dict[TaskRef, Resources] = {}

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
        return self.capacity_ - self.committed_

    def takes_work(self, now: Instant) -> bool:
        """Return whether new tasks may be placed here."""
        return (
            self.health_ is WorkerHealth.LIVE
            and not self.is_leaving_
            and not self.is_drained_
            and now >= self.parked_until_
        )

    def commit(self, ref: TaskRef, amount: Resources) -> None:
        """Promise resources to an attempt; a later amount replaces an earlier."""
        before = self._held.get(ref, ZERO)
        self._held[ref] = amount
        self.committed_ = self.committed_ - before + amount

    def release(self, ref: TaskRef) -> None:
        """Take back what was promised to an attempt."""
        amount = self._held.pop(ref, None)
        if amount is not None:
            self.committed_ = self.committed_ - amount

    def holds(self, ref: TaskRef) -> bool:
        """Return whether resources are promised to an attempt."""
        return ref in self._held

    def held_refs(self) -> list[TaskRef]:
        """Return the attempts that resources are promised to."""
        return list(self._held)

    def is_newer(self, report: WorkerReport) -> bool:
        """Return whether a report was surely made after the latest one.

        Two reports of the same millisecond can't be put in order; the second to
        arrive is left out.
        """
        return (report.boot, report.clock) > (self.boot_, self._clock)

    def note_clock(self, boot: int, clock: WorkerClock, now: Instant) -> None:
        """Take in a reading of the worker's clock that came with an answer.

        Parameters
        ----------
        boot : int
            Incarnation of the worker.
        clock : WorkerClock
            The reading. Reports made before it are out of date.
        now : Instant
            When it was received.
        """
        if boot == self.boot_ and clock > self._clock:
            self._clock = clock
            self.heard_at_ = now

    def note_report(self, report: WorkerReport, now: Instant) -> None:
        """Take in a report.

        Parameters
        ----------
        report : WorkerReport
            The report.
        now : Instant
            When it was received.
        """
        self.capacity_ = report.capacity
        self.boot_ = report.boot
        self.health_ = WorkerHealth.LIVE
        self.heard_at_ = now
        self._clock = report.clock
        for status in report.running:
            self._note_usage(status)

    def _note_usage(self, status: TaskStatus) -> None:
        """Count the larger of what a task declared and what it uses."""
        ref = TaskRef(status.job, status.index, status.attempt)
        self.commit(ref, status.resources.maximum(status.used))

    def clock_at(self, now: Instant) -> WorkerClock:
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
        return WorkerClock(self._clock + now - self.heard_at_)

    def note_failure(self, job: JobId, now: Instant) -> None:
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
        surplus = len(self.failed_jobs_) - PARK_AFTER_JOBS
        if surplus >= 0:
            pause_ms = min(PARK_FIRST_MS * 2**surplus, PARK_LAST_MS)
            self.parked_until_ = Instant(now + pause_ms)

    def note_success(self) -> None:
        """Forget earlier failures."""
        self.failed_jobs_.clear()
        self.parked_until_ = NEVER
