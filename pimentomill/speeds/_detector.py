"""Tells workers that have become slow from tasks that take long on any worker."""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from ..fleet import Attempt, AttemptPhase
from ..jobs import TaskKey, WorkerId
from ..utils import Instant
from ._model import SpeedModel, StepLike

__all__ = ["Slowdown", "SlowdownDetector", "StoppedRun"]

WINDOW_MS = 500
"""Time over which the current speed of a run is measured, if it has run for as long."""
REPORT_GAP_MS = 100
"""Time between two remembered reports of a run; a busy worker reports every 25 ms."""
MIN_SPAN_MS = 250
"""Shortest time over which the speed of a run is measured, against delays of reports
and progress in whole percent."""
SLOW_SDS = 3.0
"""Standard deviations above its expected duration from which a run counts as slow."""
NORMAL_SDS = 1.5
"""Standard deviations below which a run shows that its worker is not slow."""
CONFIRMED_PROBABILITY = 0.95
"""Probability that a worker is slow if most of several runs on it are. Chance puts two
of the few long tasks on one worker now and then."""
MAX_CAUSES = 40
"""Decided cases of single slow runs that are remembered; older ones count less."""
SLOW_MS = 3000
"""Time for which a worker counts as slow after it was last seen to be."""
MAX_TRANSIENT_MS = 10_000
"""Time after which a slowdown counts as lasting, so that it is learned as a speed."""
MAX_STOPPED_RUNS = 1024
"""Stopped runs whose next run is awaited."""
MAX_RECENT_ENDS = 4
"""Ended runs of a worker that are remembered as evidence."""

StepOf = Callable[[TaskKey], StepLike | None]


class Slowdown(NamedTuple):
    """Judgement on a run that progresses far more slowly than expected.

    Parameters
    ----------
    probability : float
        Probability that the worker is the cause, and not the task.
    ratio : float
        Observed duration of a percent relative to the expected one.
    ms_per_percent : float
        Observed milliseconds for a percent.
    slow_runs, normal_runs : int
        Runs on the worker that are slow, including this one, and normal.
    """

    probability: float
    ratio: float
    ms_per_percent: float
    slow_runs: int
    normal_runs: int


class StoppedRun(NamedTuple):
    """A run that was stopped as slow.

    Parameters
    ----------
    run : int
        Number of the run.
    worker : WorkerId
        Worker that it was on.
    ms_per_percent : float
        Milliseconds that it took for a percent.
    is_single : bool
        Whether no other run on the worker had shown its speed.
    """

    run: int
    worker: WorkerId
    ms_per_percent: float
    is_single: bool


class _End(NamedTuple):
    """Deviation of an ended run from its expected duration, in standard deviations."""

    at: Instant
    deviation: float


class _SlowPeriod(NamedTuple):
    """Time in which a worker is slow, and by how much."""

    since: Instant
    until: Instant
    ratio: float


class SlowdownDetector:
    """Judges runs by the predicted speed of their worker and the other runs there.

    Parameters
    ----------
    model : SpeedModel
        Predictions.
    restore_ms : int
        Milliseconds for which a run that resumes from a checkpoint does no work.

    Attributes
    ----------
    false_positives_ : int
        Stopped runs whose next run was no faster.
    """

    def __init__(self, model: SpeedModel, restore_ms: int) -> None:
        self.model = model
        self.restore_ms = restore_ms
        self.false_positives_ = 0
        self._ends: dict[WorkerId, deque[_End]] = {}
        self._slow: dict[WorkerId, _SlowPeriod] = {}
        self._stopped: OrderedDict[TaskKey, StoppedRun] = OrderedDict()
        self._worker_causes = 1.0
        self._task_causes = 1.0

    # Observation

    def observe(self, attempt: Attempt, now: Instant) -> None:
        """Note the reported progress of a run, by which its speed is measured."""
        if attempt.percent < 0:
            return
        if not attempt.reports or now - attempt.reports[-1][0] >= REPORT_GAP_MS:
            attempt.reports.append((now, attempt.percent))

    def ms_per_percent(self, attempt: Attempt, now: Instant) -> float | None:
        """Return the current speed of a run, None if it is not known yet.

        The progress is reported in whole percent; the run gets the benefit of the rest.
        """
        if not attempt.reports:
            return None
        since, percent = attempt.reports[0]
        if not attempt.is_resumed and now - since < WINDOW_MS:
            since, percent = attempt.confirmed_at, 0
        for at, reported in attempt.reports:
            if now - at >= WINDOW_MS:
                since, percent = at, reported
        if attempt.is_resumed:
            since = max(since, attempt.confirmed_at + self.restore_ms)
        span = now - since
        gained = attempt.percent - percent + 1
        if span < MIN_SPAN_MS or attempt.percent < 0 or gained <= 0:
            return None
        return span / gained

    def whole_ms(self, attempt: Attempt, now: Instant) -> float | None:
        """Return how long the whole task takes by a run that ends now.

        Returns
        -------
        float or None
            None for a resumed run of which too little was seen, and for one whose end
            was reported before the answer to its start order was read.
        """
        if not attempt.is_resumed:
            took_ms = now - attempt.confirmed_at
            return took_ms if took_ms > 0 else None
        left = 100 - attempt.first_percent
        since = max(attempt.first_progress_at, attempt.confirmed_at + self.restore_ms)
        if attempt.first_percent < 0 or now - since < MIN_SPAN_MS or left <= 0:
            return None
        return (now - since) * 100 / left

    def deviation(self, attempt: Attempt, step: StepLike, now: Instant) -> float | None:
        """Return how far a run is behind, in standard deviations, None if unknown."""
        if not is_judged(attempt, step):
            return None
        observed = self.ms_per_percent(attempt, now)
        return self._deviation(attempt, step, observed and observed * 100)

    def _deviation(
        self, attempt: Attempt, step: StepLike, whole_ms: float | None
    ) -> float | None:
        expected_ms = self.model.expected_ms(step, attempt.worker.info)
        if not whole_ms or expected_ms is None:
            return None
        spread = self.model.spread(step, attempt.worker.info)
        return math.log(whole_ms / expected_ms) / spread

    # Judgement

    def assess(
        self, attempt: Attempt, step: StepLike, step_of: StepOf, now: Instant
    ) -> Slowdown | None:
        """Return the judgement on a run, None if it is not slow.

        Parameters
        ----------
        attempt : Attempt
            Run whose latest report has been observed.
        step : StepLike
            Its step.
        step_of : callable
            Returns the step of a task, None if it is unknown.
        now : Instant
            Time of the report.
        """
        deviation = self.deviation(attempt, step, now)
        if deviation is None or deviation < SLOW_SDS:
            return None
        others = self._other_deviations(attempt, step, step_of, now)
        slow = 1 + sum(other >= SLOW_SDS for other in others)
        normal = sum(other < NORMAL_SDS for other in others)
        observed = self.ms_per_percent(attempt, now)
        expected_ms = self.model.expected_ms(step, attempt.worker.info)
        return Slowdown(
            self._probability(attempt.task, slow, normal),
            observed * 100 / expected_ms,
            observed,
            slow,
            normal,
        )

    def _other_deviations(
        self, attempt: Attempt, step: StepLike, step_of: StepOf, now: Instant
    ) -> list[float]:
        """Return the deviations of the other runs that show the worker's speed.

        Siblings share the error of an unconfirmed declared duration. They count only
        once a task of the step has finished.
        """
        worker = attempt.worker
        found = []
        for other in worker.attempts.values():
            other_step = step_of(other.task) if other is not attempt else None
            if other_step is None:
                continue
            if other_step.key == step.key and not self.model.has_samples(step):
                continue
            deviation = self.deviation(other, other_step, now)
            if deviation is not None:
                found.append(deviation)
        for end in self._ends.get(worker.info.worker, ()):
            if now - end.at <= WINDOW_MS:
                found.append(end.deviation)
        return found

    def _probability(self, task: TaskKey, slow: int, normal: int) -> float:
        if slow > 1 and slow > normal:
            return CONFIRMED_PROBABILITY
        if normal or task in self._stopped:
            return 0.0
        return self._worker_causes / (self._worker_causes + self._task_causes)

    # Slow workers

    def record_slow(self, worker: WorkerId, ratio: float, now: Instant) -> None:
        """Record that tasks take `ratio` times as long on a worker at present."""
        known = self._slow.get(worker)
        since = known.since if known is not None and now <= known.until else now
        self._slow[worker] = _SlowPeriod(since, Instant(now + SLOW_MS), ratio)

    def is_slow(self, worker: WorkerId, now: Instant) -> bool:
        """Return whether a worker has been slow recently."""
        known = self._slow.get(worker)
        return known is not None and now <= known.until

    def slow_ratio(self, worker: WorkerId, now: Instant) -> float:
        """Return how many times as long tasks take as usual, 1 if not slow."""
        return self._slow[worker].ratio if self.is_slow(worker, now) else 1.0

    def is_typical(self, worker: WorkerId, now: Instant) -> bool:
        """Return whether the speed of a worker should be learned now."""
        if not self.is_slow(worker, now):
            return True
        return now - self._slow[worker].since > MAX_TRANSIENT_MS

    def forget(self, worker: WorkerId) -> None:
        """Drop a worker that is gone."""
        self._slow.pop(worker, None)
        self._ends.pop(worker, None)
        self.model.forget(worker)

    # Ends and stops

    def record_stop(self, attempt: Attempt, slowdown: Slowdown, now: Instant) -> None:
        """Record that a run is stopped because its worker is slow."""
        worker = attempt.worker.info.worker
        is_single = slowdown.slow_runs == 1
        self.record_slow(worker, slowdown.ratio, now)
        self._stopped[attempt.task] = StoppedRun(
            attempt.run, worker, slowdown.ms_per_percent, is_single
        )
        if len(self._stopped) > MAX_STOPPED_RUNS:
            self._stopped.popitem(last=False)

    def record_long_task(self, attempt: Attempt) -> None:
        """Record, once, a slow run on a worker whose other runs are normal."""
        if not attempt.is_known_long:
            attempt.is_known_long = True
            self._record_cause(is_worker=False)

    def record_success(
        self, attempt: Attempt, step: StepLike, now: Instant
    ) -> tuple[StoppedRun, bool] | None:
        """Learn from a run that has finished.

        Returns
        -------
        tuple of StoppedRun and bool, or None
            Earlier run of the task that was stopped as slow, and whether this one was
            no faster.
        """
        whole_ms = self.whole_ms(attempt, now)
        info = attempt.worker.info
        if whole_ms is not None and is_judged(attempt, step):
            deviation = self._deviation(attempt, step, whole_ms)
            if deviation is not None:
                ends = self._ends.get(info.worker)
                if ends is None:
                    ends = self._ends[info.worker] = deque(maxlen=MAX_RECENT_ENDS)
                ends.append(_End(now, deviation))
            is_typical = self.is_typical(info.worker, now)
            self.model.record_end(step, info, whole_ms, is_typical)
        stopped = self._stopped.pop(attempt.task, None)
        if stopped is None or whole_ms is None:
            return None
        is_false = whole_ms >= stopped.ms_per_percent * 100
        self.false_positives_ += is_false
        if stopped.is_single:
            self._record_cause(is_worker=not is_false)
        return stopped, is_false

    def _record_cause(self, is_worker: bool) -> None:
        """Count what a single slow run turned out to be caused by."""
        if is_worker:
            self._worker_causes += 1
        else:
            self._task_causes += 1
        if self._worker_causes + self._task_causes > MAX_CAUSES:
            self._worker_causes /= 2
            self._task_causes /= 2


def is_judged(attempt: Attempt, step: StepLike) -> bool:
    """Return whether the progress of a run shows the speed of its worker."""
    spec = step.spec
    if attempt.phase is AttemptPhase.STARTING or attempt.pace < 100:
        return False
    return not (spec.gang or spec.long_running or spec.uses_idle_cpu)
