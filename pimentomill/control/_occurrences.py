"""Opens the due occurrences of scheduled jobs."""

from bisect import bisect_right
from collections.abc import Callable

from ..dispatch import JobRun
from ..utils import Clock, Instant, JobId

__all__ = ["OccurrenceOpener"]

DUE_MARGIN_MS = 20
"""Delay of an occurrence after its due time, which allows for clock differences."""
MAX_OPENED_STEPS = 256
"""Steps opened in one call, after which other work of the leader has its turn: as many
as one occurrence may have."""
MAX_WAITING_OCCURRENCES = 32
"""Occurrences of a job that wait for a start before no further one is opened. Each
waiting step is looked at in each pass of the planner."""
MAX_WAITING_TASKS = 10_000
"""Waiting tasks of a job before no further occurrence is opened: those of the largest
step."""
FULL_RETRY_MS = 50
"""Milliseconds before a job with that many waiting occurrences is tried again."""
STALL_MS = 1000
"""Milliseconds without a start or a new occurrence after which a job may have more
occurrences waiting, if there is room for them. Runnable work must not wait for 3 s."""


class OccurrenceOpener:
    """Opens due occurrences, a bounded number in each call and of each job.

    Occurrences that are not opened remain due. A job whose open occurrences can't
    start, although there is room for others, may have more of them open, so that each
    one has its turn.

    Parameters
    ----------
    clock : Clock
        Source of time.
    open_next : callable
        Opens the next occurrence of a job.
    has_room : callable
        Returns whether a worker has room for a first step of a job.
    """

    def __init__(
        self,
        clock: Clock,
        open_next: Callable[[JobRun], None],
        has_room: Callable[[JobRun], bool],
    ) -> None:
        self.clock = clock
        self.open_next = open_next
        self.has_room = has_room
        self._jobs: dict[JobId, JobRun] = {}

    def add(self, job: JobRun) -> None:
        """Add a scheduled job."""
        self._jobs[job.accepted.job] = job

    def discard(self, job: JobId) -> None:
        """Remove a job that has ended; others are ignored."""
        self._jobs.pop(job, None)

    def is_due(self, job: JobRun, occurrence: int) -> bool:
        """Return whether an occurrence of a job is due."""
        return job.spec.due_ms(occurrence) + DUE_MARGIN_MS <= self.clock.wall_ms()

    def due_since(self, job: JobRun, occurrence: int) -> Instant:
        """Return since when an occurrence is due and could have been opened here."""
        due_ms = job.spec.due_ms(occurrence) + DUE_MARGIN_MS
        now = self.clock.now()
        return min(now, max(now - (self.clock.wall_ms() - due_ms), job.led_since))

    def latest_due(self, job: JobRun) -> list[int]:
        """Return the latest due occurrences that are neither open nor done.

        Of a job that is not scheduled, the only occurrence is due. A bounded number of
        occurrences is considered.
        """
        due_count = job.spec.occurrence_count
        if job.spec.is_scheduled:
            latest_ms = self.clock.wall_ms() - DUE_MARGIN_MS
            due_count = bisect_right(range(due_count), latest_ms, key=job.spec.due_ms)
        first = max(0, due_count - MAX_WAITING_OCCURRENCES)
        return [n for n in range(first, due_count) if not job.is_settled(n)]

    def open_due(self) -> Instant | None:
        """Open due occurrences.

        Returns
        -------
        Instant or None
            Time of the next call that may open one, None if there is none.
        """
        now = self.clock.now()
        left = MAX_OPENED_STEPS
        next_at: Instant | None = None
        for job_id, job in list(self._jobs.items()):
            if left <= 0:
                return now
            opened, retry_at = self._open_due_of(job, now, left)
            left -= opened
            if opened and job_id in self._jobs:
                # The next call begins with the jobs that this one did not come to.
                self._jobs[job_id] = self._jobs.pop(job_id)
            if retry_at is not None:
                next_at = retry_at if next_at is None else min(next_at, retry_at)
        return next_at

    def _open_due_of(
        self, job: JobRun, now: Instant, max_steps: int
    ) -> tuple[int, Instant | None]:
        """Return the number of opened steps and the time of the next call for a job."""
        opened = 0
        while job.next_occurrence < job.spec.occurrence_count:
            if not self.is_due(job, job.next_occurrence):
                due_ms = job.spec.due_ms(job.next_occurrence) + DUE_MARGIN_MS
                return opened, Instant(now + due_ms - self.clock.wall_ms())
            if opened >= max_steps:
                return opened, now
            if not opened:
                occurrences, tasks = job.count_waiting()
            if self._is_full(job, occurrences, tasks):
                self._relieve(job, now)
                return opened, Instant(now + FULL_RETRY_MS)
            self.open_next(job)
            job.moved_at = now
            opened += len(job.spec.steps)
            occurrences += 1
            tasks += sum(spec.count for spec in job.spec.steps if not spec.depends_on)
        self.discard(job.accepted.job)
        return opened, None

    @staticmethod
    def _is_full(job: JobRun, occurrences: int, tasks: int) -> bool:
        """Return whether a job has enough waiting work; one occurrence always may."""
        if not occurrences:
            return False
        share = job.waiting_share
        return (
            occurrences >= share * MAX_WAITING_OCCURRENCES
            or tasks >= share * MAX_WAITING_TASKS
        )

    def _relieve(self, job: JobRun, now: Instant) -> None:
        """Allow a job more waiting occurrences if those that it has are stuck."""
        if now - job.moved_at < STALL_MS:
            return
        job.moved_at = now
        if self.has_room(job):
            job.waiting_share += 1
