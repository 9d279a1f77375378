"""The leader's state of a worker and of the attempts on it."""

from collections import deque
from collections.abc import Callable
from enum import Enum

from ..jobs import TaskKey
from ..utils import ZERO, Instant, JobId, Resources
from ._messages import WorkerInfo

__all__ = [
    "EARLY_RUN_MS",
    "MAX_ANSWER_AGE_MS",
    "RECENT_FAILURE_MS",
    "Attempt",
    "AttemptPhase",
    "Worker",
    "lease_expiry_bound",
]

CLOCK_DRIFT = 0.02
"""Fraction by which a worker's clock may run slow under the platform's contract."""
PROBATION_FAILURES = 2
"""Consecutive failures of different jobs after which a worker runs one task at a time
until one succeeds. One run in twenty fails through its own fault, so two such failures
are rarely a coincidence."""
MIN_PROGRESS_SPAN_MS = 250
"""Minimum observation time for estimating a run's speed, in milliseconds. Progress is
reported in whole percent, and a run takes about 30 ms to start."""
SLOWNESS_WEIGHT = 0.2
"""Weight of the latest task in the moving average of a worker's slowness. Durations of
tasks within a step differ by 15 %."""
MAX_REPORTS = 8
"""Progress reports of a run that are kept, to measure its current speed."""
MAX_SLOWNESS_RATIO = 4.0
"""Upper bound on a single duration ratio, so that one stuck task does not dominate."""
RECENT_FAILURE_MS = 1500
"""Time in milliseconds for which a failure on a worker keeps the last attempt of a task
away from it. The task may have no other worker, and runnable work must not wait for
3 s."""
EARLY_RUN_MS = 500
"""Time in milliseconds from its order in which a run counts as a possible cause of the
crash of its worker."""
LEASE_EXPIRY_MARGIN_MS = 150
"""Margin in milliseconds before a lease counts as expired: one slow round trip."""
MAX_ANSWER_AGE_MS = 500
"""Age in milliseconds up to which the answer to a hold shows which incarnation gets the
next one. The pauses between two holds are shorter unless this process was suspended."""
CLOCK_REVERSAL_MS = 500
"""Milliseconds by which a worker's clock must lie behind its expected reading to count
as that of a new incarnation. Answers to orders may overtake those to holds."""


MAX_CLOCK_AGE_MS = 1800
"""Age in milliseconds of a reading of a worker's clock above which no expiry is derived
from it: the drift of both clocks would exceed the margin of the lease. A hold that
waits for an end is answered sooner."""


def lease_expiry_bound(now: Instant, term_ms: int) -> Instant:
    """Return when a lease that starts now has expired on any worker's clock.

    Parameters
    ----------
    now : Instant
        Start of the lease.
    term_ms : int
        Length of the lease in milliseconds on the worker's clock.
    """
    return Instant(now + round(term_ms * (1 + CLOCK_DRIFT)) + LEASE_EXPIRY_MARGIN_MS)


class AttemptPhase(Enum):
    """Lifecycle phase of an attempt."""

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
        Worker that runs the attempt.
    reserved : Resources
        Resources reserved from the worker's capacity.
    now : Instant
        Time at which the placement was decided.
    team : str, default=""
        Team whose limit the run counts for, empty if it is unknown.
    need : Resources, default=ZERO
        Resources that count for that limit.

    Attributes
    ----------
    phase : AttemptPhase
        Lifecycle phase.
    last_answer_at : Instant
        Time of the last reply to a request about the attempt. Only reports requested
        after it show whether the attempt exists on the worker.
    is_resumed : bool
        Whether the run started from a checkpoint.
    percent, last_progress_at, checkpoint, load
        Latest progress in percent, time at which it last changed, latest checkpoint
        and load.
    confirmed_at : Instant
        Time of the answer to the start order, or of the order before that.
    reports : deque of tuple of Instant and int
        Times and percentages of the latest progress reports.
    pace : int
        Speed limit set for the run, in percent of full speed.
    is_pace_known : bool
        Whether `pace` is in force; a previous leader may have set another one.
    is_start_unconfirmed : bool
        Whether the request to start the run got no reply, or none before its stop was
        ordered.
    is_start_open : bool
        Whether the worker may still start the run although it reports none: a stop was
        ordered, and neither the start nor the stop has been answered.
    is_backfill : bool
        Whether the run uses capacity that was reserved for another step at its start.
    is_known_long : bool
        Whether the task was found to take long on any worker.
    is_long_running : bool
        Whether the run lasts until its job is cancelled.
    is_size_unknown : bool
        Whether the run uses an unknown amount of resources, because its job has no
        records any more. Set before the attempt is added to its worker.
    is_settled : bool
        Whether the run was seen at work after its early phase.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_at",
        "first_percent",
        "first_progress_at",
        "is_backfill",
        "is_known_long",
        "is_long_running",
        "is_pace_known",
        "is_resumed",
        "is_size_unknown",
        "is_settled",
        "is_start_open",
        "is_start_unconfirmed",
        "last_answer_at",
        "last_progress_at",
        "load",
        "need",
        "pace",
        "percent",
        "phase",
        "reports",
        "reserved",
        "run",
        "started_at",
        "task",
        "team",
        "worker",
    )

    def __init__(
        self,
        task: TaskKey,
        run: int,
        worker: "Worker",
        reserved: Resources,
        now: Instant,
        team: str = "",
        need: Resources = ZERO,
    ) -> None:
        self.task = task
        self.run = run
        self.worker = worker
        self.reserved = reserved
        self.team = team
        self.need = need
        self.phase = AttemptPhase.STARTING
        self.started_at = now
        self.last_answer_at: Instant = now
        self.confirmed_at: Instant = now
        self.last_progress_at = now
        self.percent = -1
        self.first_percent = -1
        self.first_progress_at = now
        self.reports: deque[tuple[Instant, int]] = deque(maxlen=MAX_REPORTS)
        self.checkpoint = ""
        self.is_resumed = False
        self.load = 0
        self.pace = 100
        self.is_pace_known = True
        self.is_start_unconfirmed = False
        self.is_start_open = False
        self.is_backfill = False
        self.is_known_long = False
        self.is_long_running = False
        self.is_size_unknown = False
        self.is_settled = False

    def is_early(self, now: Instant) -> bool:
        """Return whether the run may be the cause of a crash of its worker at a time.

        An order without a reply may be carried out much later than it was sent.
        """
        if self.is_start_unconfirmed:
            return True
        return not self.is_settled and now - self.started_at < EARLY_RUN_MS

    def update_progress(self, percent: int, now: Instant) -> bool:
        """Record the reported progress and return whether it changed."""
        if percent == self.percent:
            return False
        if self.first_percent < 0:
            self.first_percent = percent
            self.first_progress_at = now
        self.percent = percent
        self.last_progress_at = now
        return True

    def remaining_ms(self, now: Instant) -> float | None:
        """Return the estimated remaining run time, None if it is unknown.

        The speed is measured from the first progress report. Before a second report
        it is measured from the start, for runs without a checkpoint.
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
    """A worker with its attempts, its lease and its ended runs.

    Parameters
    ----------
    info : WorkerInfo
        Registration of the worker.
    now : Instant
        Time at which the worker was first seen.

    Attributes
    ----------
    attempts : dict of TaskKey to Attempt
        Attempts that may occupy capacity, by task.
    used : Resources
        Capacity reserved by the attempts.
    largest_capacity : Resources
        Largest amount of each resource that the worker has registered. A previous
        leader may have started runs by it that still last.
    is_listed : bool
        Whether the platform lists the worker.
    is_evacuated : bool
        Whether operators have evacuated the worker's data centre.
    is_reachable : bool
        Whether the worker replied to the last hold request.
    answered_at : Instant or None
        Time of the first reply to a hold request of this leader, None before.
    reported_at : Instant or None
        Time of the latest reply, None before the first.
    requested_at : Instant or None
        Time at which the request with the latest reply was sent, None before. The reply
        may tell of no later time.
    is_confirmed : bool
        Whether this leader is known to have led when the present incarnation had
        answered. Otherwise a later leader may not know what is started there.
    lease_until : Instant
        Upper bound on the expiry of the lease, on this process's clock.
    silent_since : Instant or None
        Earliest time at which the worker may have ended since its last report, None
        while it answers.
    earliest_leave_at : Instant or None
        Earliest time at which a draining worker leaves.
    cold_until : Instant
        Time until which the worker runs slowly after its start, in the past otherwise.
    closed_until : Instant
        Time until which an isolated run keeps other starts from the worker.
    slowness : float
        Ratio of task durations on this worker to those elsewhere; 1 if equal.
    acknowledged : int
        Number of the last end up to which all ends of this incarnation are durable.
    doubts : int
        Number of events so far after which another incarnation may have begun: calls
        without an answer, answers that showed a clock that went back, and registrations
        of another incarnation.
    """

    def __init__(self, info: WorkerInfo, now: Instant) -> None:
        self.info = info
        self.largest_capacity = info.capacity
        self.attempts: dict[TaskKey, Attempt] = {}
        self.used = ZERO
        self._unsized_count = 0
        self.is_listed = True
        self.is_evacuated = False
        self.is_reachable = False
        self.answered_at: Instant | None = None
        self.reported_at: Instant | None = None
        self.requested_at: Instant | None = None
        self.is_confirmed = True
        self._confirmed_from = now
        self.silent_since: Instant | None = None
        self.closed_until = now
        self.cold_until = now
        self._last_added_at: Instant | None = None
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
        self._confirmed_acknowledgement = 0
        self.doubts = 0
        self._doubts_at_answer: int | None = None

    def register(self, info: WorkerInfo) -> None:
        """Apply a new registration of the worker."""
        if info.incarnation_ms != self.info.incarnation_ms:
            self.record_doubt()
        self.info = info
        self.largest_capacity = self.largest_capacity.maximum(info.capacity)

    def update_cold(self, left_ms: int, now: Instant) -> None:
        """Record for how long the worker still runs slowly, as registered now."""
        is_known_end = not left_ms and self.cold_until <= now
        if not is_known_end:
            self.cold_until = Instant(now + left_ms)

    def is_cold(self, at: Instant) -> bool:
        """Return whether a run that starts at a time is slowed by a recent start."""
        return at < self.cold_until

    @property
    def free(self) -> Resources:
        """Capacity not reserved by any attempt; none while the size of one is unknown.

        A component is negative if the capacity has shrunk below what is reserved.
        """
        free = self.info.capacity - self.used
        return free.minimum(ZERO) if self._unsized_count else free

    @property
    def has_answered(self) -> bool:
        """Whether the worker has ever replied to a hold request of this leader."""
        return self.answered_at is not None

    def record_answer(self, sent_at: Instant, now: Instant) -> None:
        """Record a reply to a hold request.

        Parameters
        ----------
        sent_at : Instant
            Time at which the request was sent.
        now : Instant
            Current time.
        """
        self.reported_at = now
        self.requested_at = sent_at
        if self.answered_at is None:
            self.answered_at = now
            self.require_confirmation(now)

    def require_confirmation(self, now: Instant) -> None:
        """Record that a new incarnation has answered."""
        self.is_confirmed = False
        self._confirmed_from = now

    def confirm(self, is_covered: Callable[[Instant], bool]) -> None:
        """Confirm the present incarnation if no later leader acted before its answer.

        Parameters
        ----------
        is_covered : callable
            Returns whether no later leader acted up to a time.
        """
        if not self.is_confirmed:
            self.is_confirmed = is_covered(self._confirmed_from)

    def accepts_runs(self) -> bool:
        """Return whether the worker is eligible for new runs at all."""
        is_known = self.is_record_current and self.is_confirmed
        return self.may_get_runs and self.is_reachable and is_known

    @property
    def may_get_runs(self) -> bool:
        """Whether the platform and operators allow new runs, once it answers."""
        is_closed = self.info.is_draining or self.is_evacuated
        return self.is_listed and not is_closed

    @property
    def is_record_current(self) -> bool:
        """Whether the registration is that of the incarnation that answers.

        Another incarnation may have another capacity and other labels.
        """
        registered_ms = self.info.incarnation_ms
        is_known = registered_ms and self.incarnation_ms
        return not is_known or registered_ms == self.incarnation_ms

    def can_start(self, now: Instant) -> bool:
        """Return whether a new run should be placed on the worker now.

        A run that lasts neither succeeds nor fails, so it ends no probation.
        """
        on_probation = self.is_suspect and not all(
            attempt.is_long_running for attempt in self.attempts.values()
        )
        return self.accepts_runs() and now >= self.avoid_until and not on_probation

    def is_quiet(self, now: Instant) -> bool:
        """Return whether no run on the worker may still be in its early phase."""
        if not self.attempts or self._last_added_at is None:
            return True
        return now - self._last_added_at >= EARLY_RUN_MS

    def close(self, now: Instant) -> None:
        """Keep other starts from the worker while an isolated run is early."""
        self.closed_until = Instant(now + EARLY_RUN_MS)

    def update_slowness(self, ratio: float) -> None:
        """Update the slowness with a task's duration relative to other workers."""
        bounded = min(MAX_SLOWNESS_RATIO, ratio)
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)

    @property
    def consecutive_failed_jobs(self) -> int:
        """Number of different jobs that failed here since the last successful run.

        A job that can never succeed fails wherever it runs, so it counts once.
        """
        return len(self.failed_jobs)

    def record_success(self) -> None:
        """Record that a run succeeded on the worker."""
        self.failed_jobs.clear()
        self.is_stalled = False

    def record_failure(self, job: JobId, now: Instant) -> None:
        """Record that a run of a job failed on the worker."""
        self.failed_jobs.add(job)
        self.failed_at = now

    def has_failed_recently(self, now: Instant) -> bool:
        """Return whether the last run on the worker failed recently."""
        is_recent = (
            self.failed_at is not None and now - self.failed_at < RECENT_FAILURE_MS
        )
        return self.consecutive_failed_jobs > 0 and is_recent

    def is_calm(self, now: Instant) -> bool:
        """Return whether the worker is in no backoff and has not failed recently."""
        return now >= self.avoid_until and not self.has_failed_recently(now)

    @property
    def is_suspect(self) -> bool:
        """Whether the worker's last runs failed or stalled."""
        return self.is_stalled or self.consecutive_failed_jobs >= PROBATION_FAILURES

    def add_attempt(self, attempt: Attempt) -> None:
        """Reserve capacity for an attempt, which counts as early for a while."""
        self.attempts[attempt.task] = attempt
        self._last_added_at = attempt.started_at
        self.used = self.used + attempt.reserved
        self._unsized_count += attempt.is_size_unknown

    def remove_attempt(self, attempt: Attempt) -> bool:
        """Release the capacity of an attempt and return whether it was reserved."""
        if self.attempts.get(attempt.task) is not attempt:
            return False
        del self.attempts[attempt.task]
        self.used = self.used - attempt.reserved
        self._unsized_count -= attempt.is_size_unknown
        return True

    # Incarnations

    def record_doubt(self) -> None:
        """Record that another incarnation may have begun."""
        self.doubts += 1

    @property
    def may_have_restarted(self) -> bool:
        """Whether another incarnation may have begun since the latest answer."""
        return self.doubts > (self._doubts_at_answer or 0)

    def record_hold_answer(self, acknowledged: int, doubts: int) -> None:
        """Record the answer to a hold, before the report is applied.

        Parameters
        ----------
        acknowledged : int
            Number that the hold carried.
        doubts : int
            Number of doubts when the hold was sent.
        """
        self._doubts_at_answer = doubts
        self._confirmed_acknowledgement = max(
            acknowledged, self._confirmed_acknowledgement
        )

    def is_incarnation_known(self, now: Instant) -> bool:
        """Return whether the incarnation that answered the last hold gets the next."""
        return (
            self.reported_at is not None
            and self._doubts_at_answer == self.doubts
            and now - self.reported_at <= MAX_ANSWER_AGE_MS
        )

    def acknowledgement(self, now: Instant) -> int:
        """Return the number that the next hold may carry, 0 for none.

        The numbers of ends begin anew with each incarnation, and a hold does not name
        the one that it is for. One that carries a number of the previous incarnation
        drops ends of the new one that nobody has read. So a number is sent only while
        the incarnation is known, and only until a hold that carried it is answered.
        """
        is_sent = self._is_acknowledgement_new and self.is_incarnation_known(now)
        return self.acknowledged if is_sent else 0

    def owes_acknowledgement(self, now: Instant) -> bool:
        """Return whether a number is held back until another hold is answered."""
        return self._is_acknowledgement_new and not self.is_incarnation_known(now)

    @property
    def _is_acknowledgement_new(self) -> bool:
        return self.acknowledged > self._confirmed_acknowledgement

    def has_clock_gone_back(self, clock_ms: int, now: Instant) -> bool:
        """Return whether a reading belongs to an incarnation that began later."""
        expected_ms = self._clock_ms + (now - self._clock_at)
        return self._has_clock and clock_ms + CLOCK_REVERSAL_MS < expected_ms

    def update_clock(self, clock_ms: int, now: Instant) -> None:
        """Record a reading of the worker's clock."""
        self._clock_ms = clock_ms
        self._clock_at = now
        self._has_clock = True

    def extend_lease(self, now: Instant, term_ms: int) -> int | None:
        """Return the expiry, on the worker's clock, of a lease that starts now.

        Also extends the bound on this process's clock, since a request without a
        reply may have been carried out.

        Parameters
        ----------
        now : Instant
            Time at which the request is sent.
        term_ms : int
            Length of the lease in milliseconds.

        Returns
        -------
        int or None
            Expiry in milliseconds on the worker's clock; None if the clock is not
            known, or not any more after a pause.
        """
        if not self._has_clock or now - self._clock_at > MAX_CLOCK_AGE_MS:
            return None
        self.lease_until = max(self.lease_until, lease_expiry_bound(now, term_ms))
        return self._clock_ms + (now - self._clock_at) + term_ms

    def has_lease_expired(
        self, now: Instant, is_covered: Callable[[Instant], bool]
    ) -> bool:
        """Return whether the lease of this worker has certainly expired.

        A successor may reach a worker that this leader can't, and renew its lease.

        Parameters
        ----------
        now : Instant
            Current time.
        is_covered : callable
            Returns whether no later leader acted up to a time.
        """
        return now >= self.lease_until and is_covered(self.lease_until)

    def record_restart(self, now: Instant, max_lease_ms: int) -> None:
        """Extend the bound on the lease of a worker that is found to have restarted.

        Its clock began anew. An expiry derived from the clock of the incarnation before
        lies far ahead on it, and is shortened only to the longest lease.

        Parameters
        ----------
        now : Instant
            Time at which the restart was found.
        max_lease_ms : int
            Longest lease in milliseconds.
        """
        bound = lease_expiry_bound(now, max_lease_ms)
        self.lease_until = max(self.lease_until, bound)

    def begin_incarnation(self, incarnation_ms: int) -> None:
        """Reset the state that belongs to the previous incarnation."""
        self.incarnation_ms = incarnation_ms
        self._has_clock = False
        self.last_recorded_end = 0
        self.acknowledged = 0
        self._confirmed_acknowledgement = 0
        self._durable_ends.clear()
        self._pending_ends.clear()
        self.record_success()

    def record_end(self, number: int) -> bool:
        """Record the end of a run and return whether it is new."""
        if number <= self.last_recorded_end:
            return False
        self.last_recorded_end = number
        self._pending_ends.append(number)
        return True

    def mark_end_durable(self, incarnation_ms: int, number: int) -> None:
        """Mark the end of a run as durable and advance the acknowledged number."""
        if incarnation_ms != self.incarnation_ms:
            return
        self._durable_ends.add(number)
        while self._pending_ends and self._pending_ends[0] in self._durable_ends:
            self.acknowledged = self._pending_ends.popleft()
            self._durable_ends.discard(self.acknowledged)

    @property
    def has_pending_ends(self) -> bool:
        """Whether any recorded end is not yet durable."""
        return bool(self._pending_ends)
