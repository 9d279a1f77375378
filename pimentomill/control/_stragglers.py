"""Stops runs on workers that have become slow, where that pays."""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..dispatch import StepRun
from ..fleet import Attempt, AttemptPhase, Worker
from ..jobs import TaskKey, WorkerId
from ..speeds import Slowdown, SlowdownDetector, SpeedModel
from ..telemetry import CellMetrics, ComponentLogger
from ..utils import Instant
from ._settings import ControlSettings

__all__ = ["StragglerPolicy"]

RESTART_DELAY_MS = 50
"""Time from the end of a run to the start of the next: a report, a pass of the planner
and an order."""
MIN_PROBABILITY = 0.5
"""Probability that the worker is slow from which its runs are stopped."""
OFFSET_PERIOD_MS = 4000
"""Time over which the fastest report of a worker is looked for. Clocks may drift by 80
ms in it."""

_log = ComponentLogger("speeds")

StepOf = Callable[[TaskKey], StepRun | None]


class Restart(NamedTuple):
    """Best restart of a slow run.

    Parameters
    ----------
    worker : Worker
        Worker on which it would finish first.
    remaining_ms : float
        Predicted time to the end where the run is.
    if_worker_ms, if_task_ms : float
        Predicted time to the end after a restart, if the worker is slow and if the task
        takes long anywhere.
    gain_ms : float
        Time that is saved on average.
    cost_ms : float
        Time until the task works again.
    """

    worker: Worker
    remaining_ms: float
    if_worker_ms: float
    if_task_ms: float
    gain_ms: float
    cost_ms: float


class _ReportClock:
    """Times of a worker's reports, by its own clock.

    A leader that was paused or busy reads reports late. By its own clock, all runs
    would seem to have made no progress meanwhile.
    """

    __slots__ = ("_before", "_current", "_since")

    def __init__(self, now: Instant) -> None:
        self._since = now
        self._before: int | None = None
        self._current: int | None = None

    def time_of(self, clock_ms: int, now: Instant) -> Instant:
        """Return when a report was made, on this process's clock."""
        if now - self._since >= OFFSET_PERIOD_MS:
            self._before, self._current = self._current, None
            self._since = now
        offset = now - clock_ms
        if self._current is None or offset < self._current:
            self._current = offset
        if self._before is not None:
            offset = min(self._before, self._current)
        else:
            offset = self._current
        return Instant(clock_ms + offset)


class StragglerPolicy:
    """Finds the runs that should be stopped because their worker has become slow.

    Parameters
    ----------
    cfg : ControlSettings
        Settings of the leader.
    metrics : CellMetrics, default=None
        Counts stops and their results; a new instance is created if None.

    Attributes
    ----------
    model : SpeedModel
        Learned speeds.
    detector : SlowdownDetector
        Judgement on single runs.
    """

    def __init__(
        self, cfg: ControlSettings, metrics: CellMetrics | None = None
    ) -> None:
        self.cfg = cfg
        self.metrics = metrics or CellMetrics()
        self.model = SpeedModel(cfg.far_factor)
        self.detector = SlowdownDetector(self.model, cfg.restore_ms)
        self._clocks: dict[WorkerId, _ReportClock] = {}
        self._report_at = Instant(0)

    @property
    def log_far(self) -> float:
        """Logarithm of the factor for a task off the rack with its data."""
        return self.model.log_far

    def log_slowness(self, worker: WorkerId, now: Instant) -> float:
        """Return the logarithm of the predicted factor of a worker's durations.

        It is the product of the learned factor and of a present slowdown.
        """
        slow_ratio = self.detector.slow_ratio(worker, now)
        return self.model.log_factor(worker) + math.log(max(1.0, slow_ratio))

    def begin_report(self, worker: Worker, clock_ms: int, now: Instant) -> None:
        """Note the time of the report that is applied next."""
        name = worker.info.worker
        if name not in self._clocks:
            self._clocks[name] = _ReportClock(now)
        self._report_at = self._clocks[name].time_of(clock_ms, now)

    def forget(self, worker: WorkerId) -> None:
        """Drop a worker that is gone."""
        self._clocks.pop(worker, None)
        self.detector.forget(worker)

    def find(
        self,
        worker: Worker,
        workers: Iterable[Worker],
        step_of: StepOf,
        now: Instant,
    ) -> list[Attempt]:
        """Return the runs of a worker to stop, by the report that has been applied.

        Parameters
        ----------
        worker : Worker
            Worker that has reported.
        workers : iterable of Worker
            All workers.
        step_of : callable
            Returns the step of a task, None if it is unknown.
        now : Instant
            Current time.
        """
        at = self._report_at
        running = [
            attempt
            for attempt in worker.attempts.values()
            if attempt.phase is AttemptPhase.RUNNING
        ]
        for attempt in running:
            self.detector.observe(attempt, at)
        found = []
        for attempt in running:
            step = step_of(attempt.task)
            slowdown = step and self.detector.assess(attempt, step, step_of, at)
            if slowdown and self._should_stop(attempt, step, slowdown, workers, now):
                found.append((attempt, slowdown))
        for attempt, slowdown in found:
            self.detector.record_stop(attempt, slowdown, now)
            self.metrics.record_slow_run("stopped")
        return [attempt for attempt, _ in found]

    def _should_stop(
        self,
        attempt: Attempt,
        step: StepRun,
        slowdown: Slowdown,
        workers: Iterable[Worker],
        now: Instant,
    ) -> bool:
        if slowdown.probability < MIN_PROBABILITY:
            if slowdown.normal_runs:
                self._record_long_task(attempt, slowdown, now)
            return False
        if slowdown.slow_runs > 1:
            self.detector.record_slow(attempt.worker.info.worker, slowdown.ratio, now)
        restart = self._best_restart(attempt, step, slowdown, workers, now)
        if restart is None or restart.gain_ms <= restart.cost_ms:
            return False
        _log.info(
            "Run is stopped because its worker is slow",
            task=attempt.task,
            run=attempt.run,
            worker=attempt.worker.info.worker,
            percent=attempt.percent,
            age_ms=now - attempt.started_at,
            report_age_ms=now - self._report_at,
            ratio=round(slowdown.ratio, 2),
            probability=round(slowdown.probability, 2),
            slow_runs=slowdown.slow_runs,
            normal_runs=slowdown.normal_runs,
            factor=round(self.model.factor(attempt.worker.info.worker), 2),
            remaining_ms=round(restart.remaining_ms),
            restarted_ms=round(restart.if_worker_ms),
            other=restart.worker.info.worker,
        )
        return True

    def _record_long_task(
        self, attempt: Attempt, slowdown: Slowdown, now: Instant
    ) -> None:
        """Record, once, that a run continues as its task takes long anywhere."""
        if attempt.is_known_long:
            return
        self.detector.record_long_task(attempt)
        self.metrics.record_slow_run("long_task")
        _log.info(
            "Slow run continues as the worker is not slow",
            task=attempt.task,
            run=attempt.run,
            worker=attempt.worker.info.worker,
            percent=attempt.percent,
            age_ms=now - attempt.started_at,
            report_age_ms=now - self._report_at,
            ratio=round(slowdown.ratio, 2),
            slow_runs=slowdown.slow_runs,
            normal_runs=slowdown.normal_runs,
        )

    def _best_restart(
        self,
        attempt: Attempt,
        step: StepRun,
        slowdown: Slowdown,
        workers: Iterable[Worker],
        now: Instant,
    ) -> Restart | None:
        """Return the restart that ends first, None if no other worker has room."""
        here_ms = self.model.expected_ms(step, attempt.worker.info)
        saved = self._saved_percent(attempt, step, slowdown)
        restore_ms = self.cfg.restore_ms if saved > 0 else 0
        remaining_ms = slowdown.ms_per_percent * (100 - attempt.percent)
        best = None
        for other in workers:
            if other is attempt.worker or not self._can_run(step, other, now):
                continue
            expected_ms = self.model.expected_ms(step, other.info)
            cost_ms = self._start_delay_ms(step, other, now) + restore_ms
            part = (100 - saved) / 100
            if_worker_ms = cost_ms + expected_ms * part
            observed_ms = slowdown.ms_per_percent * 100 * expected_ms / here_ms
            if_task_ms = cost_ms + observed_ms * part
            average_ms = (
                slowdown.probability * if_worker_ms
                + (1 - slowdown.probability) * if_task_ms
            )
            gain_ms = remaining_ms - average_ms
            if best is None or gain_ms > best.gain_ms:
                best = Restart(
                    other, remaining_ms, if_worker_ms, if_task_ms, gain_ms, cost_ms
                )
        return best

    def _saved_percent(
        self, attempt: Attempt, step: StepRun, slowdown: Slowdown
    ) -> float:
        """Return the progress that a restart keeps."""
        if not step.spec.checkpointed:
            return 0.0
        saved = max(0, attempt.first_percent) if attempt.is_resumed else 0
        if attempt.checkpoint:
            lost = self.cfg.checkpoint_interval_ms / slowdown.ms_per_percent
            saved = max(saved, attempt.percent - lost)
        return saved

    def _can_run(self, step: StepRun, other: Worker, now: Instant) -> bool:
        """Return whether a worker could start a task of the step now."""
        info = other.info
        if info.service != step.job.queue.service or not other.can_start(now):
            return False
        if not step.may_use(info) or not step.spec.reserved.fits_in(other.free):
            return False
        if self.detector.is_slow(info.worker, now):
            return False
        limit = step.spec.max_per_worker
        return not limit or limit > sum(
            task.step_key == step.key for task in other.attempts
        )

    def _start_delay_ms(self, step: StepRun, other: Worker, now: Instant) -> float:
        """Return the time from an order to stop to the start on another worker."""
        delay_ms = self.cfg.stop_ms + RESTART_DELAY_MS
        policy = step.job.queue.placement_policy
        if policy is None:
            return delay_ms
        ticket = step.tickets.get(other.info.worker)
        if ticket is not None and ticket.valid_until > now + delay_ms:
            return delay_ms
        return delay_ms + policy.query_duration_ms(1)

    def record_success(self, attempt: Attempt, step: StepRun) -> None:
        """Learn from a run whose end is in the report that is applied."""
        outcome = self.detector.record_success(attempt, step, self._report_at)
        if outcome is None:
            return
        stopped, is_false_positive = outcome
        self.metrics.record_slow_run(
            "false_positive" if is_false_positive else "restart_faster"
        )
        _log.info(
            "Run after a stop finished",
            task=attempt.task,
            run=attempt.run,
            worker=attempt.worker.info.worker,
            stopped_run=stopped.run,
            stopped_worker=stopped.worker,
            stopped_ms=round(stopped.ms_per_percent * 100),
            took_ms=self._report_at - attempt.confirmed_at,
            is_false_positive=is_false_positive,
        )
