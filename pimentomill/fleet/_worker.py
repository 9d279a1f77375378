"""What the leader knows about one worker."""

from collections import deque
from enum import Enum

from ..jobs import TaskKey
from ..utils import ZERO, Instant, JobId, Resources
from ._messages import WorkerInfo

__all__ = ["Attempt", "AttemptPhase", "Worker", "lease_expiry_bound"]

CLOCK_DRIFT = 0.02
"""Share by which a worker's clock may be slow, by the platform's contract."""
PROBATION_FAILURES = 2
"""Different jobs that fail in a row after which a worker runs one task at a time until
one ends well. One run of twenty fails by its own fault: two are rarely chance."""
MIN_PROGRESS_SPAN_MS = 250
"""Milliseconds of progress from which a run's speed is known well enough: progress
comes in whole percent, and a run takes some 30 ms to begin."""
SLOWNESS_WEIGHT = 0.2
"""Weight of the newest task in a worker's slowness: those of a step differ by 15 %."""
MAX_SLOWNESS_RATIO = 4.0
"""Largest ratio taken in, so that one stuck task does not decide."""
RECENT_FAILURE_MS = 1500
"""Milliseconds for which a failure keeps a task's last attempt away. A task may have no
other worker, and work that could run must not wait for 3 s."""
LEASE_EXPIRY_MARGIN_MS = 150
"""Milliseconds added before a lease counts as lapsed: one slow round trip."""


def lease_expiry_bound(now: Instant, term_ms: int) -> Instant:
    """Return when a lease that begins now has lapsed on any worker's clock.

    Parameters
    ----------
    now : Instant
        Time.
    term_ms : int
        Length of the lease in milliseconds on the worker's clock.
    """
    return Instant(now + round(term_ms * (1 + CLOCK_DRIFT)) + LEASE_EXPIRY_MARGIN_MS)


class AttemptPhase(Enum):
    """How far an attempt has come."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Attempt:
    """One run of a task on a worker.

    Parameters
    ----------
    task : TaskKey
        Task.
    run : int
        Number of the run.
    worker : Worker
        Where it runs.
    reserved : Resources
        What it takes from the worker's capacity.
    now : Instant
        When it was decided.

    Attributes
    ----------
    phase : AttemptPhase
        How far it has come.
    last_answer_at : Instant
        Time of the last answered order about it; only reports asked for later
        tell whether it is there.
    is_resumed : bool
        Whether it began at a checkpoint.
    percent, last_progress_at, checkpoint, load
        Newest progress, when it last grew, checkpoint and load.
    pace : int
        Share of its speed that it was told to work at, in percent.
    is_start_unconfirmed : bool
        Whether the order to start it had no answer.
    """

    __slots__ = (
        "checkpoint",
        "first_percent",
        "first_progress_at",
        "is_resumed",
        "is_start_unconfirmed",
        "last_answer_at",
        "last_progress_at",
        "load",
        "pace",
        "percent",
        "phase",
        "reserved",
        "run",
        "started_at",
        "task",
        "worker",
    )

    def __init__(
        self, task: TaskKey, run: int, worker: "Worker", reserved: Resources, now
    ) -> None:
        self.task = task
        self.run = run
        self.worker = worker
        self.reserved = reserved
        self.phase = AttemptPhase.STARTING
        self.started_at = now
        self.last_answer_at: Instant = now
        self.last_progress_at = now
        self.percent = -1
        self.first_percent = -1
        self.first_progress_at = now
        self.checkpoint = ""
        self.is_resumed = False
        self.load = 0
        self.pace = 100
        self.is_start_unconfirmed = False

    def update_progress(self, percent: int, now: Instant) -> bool:
        """Take in progress and return whether there was any."""
        if percent == self.percent:
            return False
        if self.first_percent < 0:
            self.first_percent = percent
            self.first_progress_at = now
        self.percent = percent
        self.last_progress_at = now
        return True

    def remaining_ms(self, now: Instant) -> float | None:
        """Return how much longer the run takes, None if that can't be told.

        The speed is that since the first report or, before there are two, that
        since the start of a run without a checkpoint.
        """
        gained = self.percent - self.first_percent
        span = self.last_progress_at - self.first_progress_at
        if gained <= 0 and self.percent > 0 and not self.is_resumed:
            gained, span = self.percent, self.last_progress_at - self.started_at
        if gained <= 0 or span < MIN_PROGRESS_SPAN_MS:
            return None
        left = (100 - self.percent) * span / gained
        return max(0.0, left - (now - self.last_progress_at))


class Worker:
    """A worker with its attempts, its lease and its ends.

    Parameters
    ----------
    info : WorkerInfo
        How it registers itself.
    now : Instant
        When it was first seen.

    Attributes
    ----------
    attempts : dict of TaskKey to Attempt
        Attempts that may take capacity.
    used : Resources
        Capacity that they take.
    is_listed : bool
        Whether the platform lists it.
    is_reachable : bool
        Whether its last hold was answered.
    has_answered : bool
        Whether it ever answered a hold of this leader.
    lease_until : Instant
        Upper bound of the end of the lease, on this process' clock.
    earliest_leave_at : Instant or None
        Earliest end of a draining worker.
    slowness : float
        How much longer tasks take here than elsewhere; 1 if they don't.
    """

    def __init__(self, info: WorkerInfo, now: Instant) -> None:
        self.info = info
        self.attempts: dict[TaskKey, Attempt] = {}
        self.used = ZERO
        self.is_listed = True
        self.is_reachable = False
        self.has_answered = False
        self.incarnation_ms = 0
        self.lease_until = now
        self.earliest_leave_at: Instant | None = None
        self.slowness = 1.0
        self.failed_jobs: set[JobId] = set()
        self.is_stalled = False
        self.failed_at: Instant | None = None
        self.avoid_until = now
        self._clock_ms = 0
        self._clock_at = now
        self._has_clock = False
        self.last_recorded_end = 0
        self._durable_ends: set[int] = set()
        self._pending_ends: deque[int] = deque()
        self.acknowledged = 0

    @property
    def free(self) -> Resources:
        """Capacity that no attempt takes."""
        return self.info.capacity - self.used

    def accepts_runs(self) -> bool:
        """Return whether new runs may be placed here at all."""
        return self.is_listed and self.is_reachable and not self.info.is_draining

    def can_start(self, now: Instant) -> bool:
        """Return whether new runs should be placed here."""
        on_probation = self.is_suspect and bool(self.attempts)
        return self.accepts_runs() and now >= self.avoid_until and not on_probation

    def update_slowness(self, ratio: float) -> None:
        """Take in how much longer a task took here than its siblings elsewhere."""
        bounded = min(MAX_SLOWNESS_RATIO, ratio)
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)

    @property
    def consecutive_failed_jobs(self) -> int:
        """Number of different jobs that failed here since a run ended well.

        A job that can never be done fails wherever it runs, so it counts once.
        """
        return len(self.failed_jobs)

    def record_success(self) -> None:
        """Take in that a run ended well here."""
        self.failed_jobs.clear()
        self.is_stalled = False

    def record_failure(self, job: JobId, now: Instant) -> None:
        """Take in that a run of a job failed here."""
        self.failed_jobs.add(job)
        self.failed_at = now

    def has_failed_recently(self, now: Instant) -> bool:
        """Return whether the last run here failed a short time ago."""
        is_recent = (
            self.failed_at is not None and now - self.failed_at < RECENT_FAILURE_MS
        )
        return self.consecutive_failed_jobs > 0 and is_recent

    @property
    def is_suspect(self) -> bool:
        """Whether it failed, or let stand still, what it ran last."""
        return self.is_stalled or self.consecutive_failed_jobs >= PROBATION_FAILURES

    def add_attempt(self, attempt: Attempt) -> None:
        """Take capacity for an attempt."""
        self.attempts[attempt.task] = attempt
        self.used = self.used + attempt.reserved

    def remove_attempt(self, attempt: Attempt) -> bool:
        """Free the capacity of an attempt, once."""
        if self.attempts.get(attempt.task) is not attempt:
            return False
        del self.attempts[attempt.task]
        self.used = self.used - attempt.reserved
        return True

    def update_clock(self, clock_ms: int, now: Instant) -> None:
        """Take in a reading of the worker's clock."""
        self._clock_ms = clock_ms
        self._clock_at = now
        self._has_clock = True

    def extend_lease(self, now: Instant, term_ms: int) -> int | None:
        """Return the end of a lease from now on the worker's clock.

        The bound on this process' clock is moved along: an order without an
        answer may have been carried out.

        Parameters
        ----------
        now : Instant
            Time at which the order is sent.
        term_ms : int
            Length of the lease in milliseconds.

        Returns
        -------
        int or None
            Milliseconds on the worker's clock; None if that is not known yet.
        """
        if not self._has_clock:
            return None
        self.lease_until = max(self.lease_until, lease_expiry_bound(now, term_ms))
        return self._clock_ms + (now - self._clock_at) + term_ms

    def begin_incarnation(self, incarnation_ms: int) -> None:
        """Forget what belongs to an earlier life."""
        self.incarnation_ms = incarnation_ms
        self._has_clock = False
        self.last_recorded_end = 0
        self.acknowledged = 0
        self._durable_ends.clear()
        self._pending_ends.clear()
        self.record_success()

    def record_end(self, number: int) -> bool:
        """Return whether an end is new, and remember it."""
        if number <= self.last_recorded_end:
            return False
        self.last_recorded_end = number
        self._pending_ends.append(number)
        return True

    def mark_end_durable(self, incarnation_ms: int, number: int) -> None:
        """Note that an end is in the store, and advance the acknowledgement."""
        if incarnation_ms != self.incarnation_ms:
            return
        self._durable_ends.add(number)
        while self._pending_ends and self._pending_ends[0] in self._durable_ends:
            self.acknowledged = self._pending_ends.popleft()
            self._durable_ends.discard(self.acknowledged)

    @property
    def has_pending_ends(self) -> bool:
        """Whether ends wait to be stored."""
        return bool(self._pending_ends)
