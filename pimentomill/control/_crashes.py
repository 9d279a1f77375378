"""Crashes of workers, and the runs that may have caused them."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..dispatch import StepRun
from ..fleet import Attempt, Worker
from ..jobs import StepKey, TaskKey
from ..telemetry import ComponentLogger
from ..utils import Clock, Instant, JobId

__all__ = ["CrashTracker", "LostRun"]

OUTAGE_SPAN_MS = 100
"""Milliseconds within which workers fall silent for a common cause."""
MAX_UNEXPLAINED = 1000
"""Recent silences that are remembered; more than the workers of a cell."""

_log = ComponentLogger("crashes")


class LostRun(NamedTuple):
    """A run that was on a worker when it crashed.

    Parameters
    ----------
    task : TaskKey
        Task.
    run : int
        Number of the run.
    age_ms : int
        Milliseconds from the order to the last time at which the worker may have run.
    is_early : bool
        Whether the run had just been ordered.
    """

    task: TaskKey
    run: int
    age_ms: int
    is_early: bool

    def describe(self) -> str:
        """Return the run and its age for the log."""
        task = self.task
        name = f"{task.job}.{task.occurrence}.{task.step}.{task.index}"
        return f"{name} run {self.run} after {self.age_ms} ms"


class CrashTracker:
    """Collects the evidence of which tasks crash their workers.

    A silent worker may be cut off, and a lapsed lease shows only that its runs have
    ended. It is known to have crashed once another incarnation answers, or when it is
    gone for good. Its runs may have been released before.

    The early runs of a worker are recorded as soon as it falls silent, so that a
    successor knows of them, and are dropped again if the worker answers. A task is
    given up only when a crash is confirmed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    step_of : callable
        Returns the step of a task, None if it is unknown.
    dirty : set of JobId
        Receives the jobs whose progress has to be stored.
    """

    def __init__(
        self,
        clock: Clock,
        step_of: Callable[[TaskKey], StepRun | None],
        dirty: set[JobId],
    ) -> None:
        self.clock = clock
        self.step_of = step_of
        self.dirty = dirty
        self._released: dict[Worker, list[LostRun]] = {}
        self._unconfirmed: dict[Worker, list[LostRun]] = {}
        self._unexplained: deque[Instant] = deque(maxlen=MAX_UNEXPLAINED)

    # State of the worker

    def record_silence(self, worker: Worker, since: Instant) -> None:
        """Record that a worker no longer answers.

        Parameters
        ----------
        worker : Worker
            Worker.
        since : Instant
            Earliest time at which it may have ended.
        """
        if worker.silent_since is not None:
            return
        worker.silent_since = since
        if not worker.has_answered or worker.info.is_draining:
            return
        early = [run for run in self._lost_runs(worker) if run.is_early]
        if not early:
            self._unexplained.append(since)
            return
        new = [run for run in early if not self._is_recorded(run)]
        self._unconfirmed[worker] = new
        self._record(new, self._are_isolated(early))

    def record_answer(self, worker: Worker) -> None:
        """Record that a worker answers again, so that it has not crashed."""
        if worker.silent_since is None:
            return
        worker.silent_since = None
        self._released.pop(worker, None)
        self._drop_unconfirmed(worker)

    def record_release(self, worker: Worker) -> None:
        """Keep the runs of a worker whose lease has expired."""
        runs = self._lost_runs(worker)
        if runs:
            self._released.setdefault(worker, []).extend(runs)

    def confirm(self, worker: Worker, reason: str) -> list[StepRun]:
        """Record that a worker has ended, before its runs are released.

        Parameters
        ----------
        worker : Worker
            Worker.
        reason : str
            How its end became known.

        Returns
        -------
        list of StepRun
            Steps with a task that crashes its workers.
        """
        runs = self._released.pop(worker, []) + self._lost_runs(worker)
        self._drop_unconfirmed(worker)
        if worker.info.is_draining or not runs:
            return []
        runs.sort(key=lambda run: run.age_ms)
        early = [run for run in runs if run.is_early]
        has_other_cause = self._has_other_cause(worker)
        _log.warning(
            "Worker crashed",
            worker=worker.info.worker,
            why=reason,
            silent_ms=self.clock.now() - self._ended_at(worker),
            runs=[run.describe() for run in runs],
            early=len(early),
            others_crashed=has_other_cause,
        )
        if has_other_cause:
            return []
        is_isolated = self._are_isolated(early)
        recorded = self._record(early, is_isolated)
        return [step for run, step in recorded if self._judge(run, step, is_isolated)]

    # State of the run

    def observe_run(self, step: StepRun, index: int, run: int) -> None:
        """Drop the evidence against a run that a worker reports.

        An earlier leader may have recorded it when the worker was silent for a while.
        A gang is left out, as another member may have been on the crashed worker.
        """
        if step.crashed_runs and not step.spec.gang:
            self._drop(step, index, run)

    def record_settled(self, attempt: Attempt) -> None:
        """Drop the suspicion against a task whose run has outlasted its start."""
        attempt.is_settled = True
        step = self.step_of(attempt.task)
        if step is None or not step.is_suspect(attempt.task.index):
            return
        if step.spec.gang and not all(item.is_settled for item in step.active.values()):
            return
        step.clear_crashes(attempt.task.index)
        self.dirty.add(step.key.job)
        _log.info(
            "Task is no longer suspected",
            task=attempt.task,
            run=attempt.run,
            worker=attempt.worker.info.worker,
        )

    # Evidence

    def _record(
        self, runs: list[LostRun], is_isolated: bool
    ) -> list[tuple[LostRun, StepRun]]:
        """Record the runs of unfinished tasks and return these with their steps."""
        recorded = []
        for run in runs:
            step = self.step_of(run.task)
            if step is None or step.job.state.is_final:
                continue
            if run.task.index in step.done:
                continue
            step.record_crash(run.task.index, run.run, is_isolated, self.clock.now())
            self.dirty.add(run.task.job)
            recorded.append((run, step))
        return recorded

    def _judge(self, run: LostRun, step: StepRun, is_isolated: bool) -> bool:
        """Log the evidence against a task and return whether to give it up."""
        crashes, isolated_crashes = step.count_crashes(run.task.index)
        is_given_up = step.crashes_workers(run.task.index)
        _log.warning(
            "Task is given up" if is_given_up else "Task is suspected",
            task=run.task,
            run=run.run,
            after_ms=run.age_ms,
            isolated=is_isolated,
            crashes=crashes,
            isolated_crashes=isolated_crashes,
        )
        return is_given_up

    def _drop_unconfirmed(self, worker: Worker) -> None:
        for run in self._unconfirmed.pop(worker, ()):
            step = self.step_of(run.task)
            if step is not None:
                self._drop(step, run.task.index, run.run)

    def _drop(self, step: StepRun, index: int, run: int) -> None:
        if step.discard_crash(index, run):
            self.dirty.add(step.key.job)

    def _is_recorded(self, run: LostRun) -> bool:
        step = self.step_of(run.task)
        return step is not None and step.has_crash(run.task.index, run.run)

    def _are_isolated(self, runs: list[LostRun]) -> bool:
        """Return whether the runs belong to one task or to one gang."""
        return len({self._unit_of(run.task) for run in runs}) == 1

    def _unit_of(self, task: TaskKey) -> TaskKey | StepKey:
        step = self.step_of(task)
        return task.step_key if step is not None and step.spec.gang else task

    def _has_other_cause(self, worker: Worker) -> bool:
        """Return whether a worker without early runs fell silent at the same time.

        Both are likely to have the same cause, which is no run.
        """
        ended_at = self._ended_at(worker)
        return any(abs(at - ended_at) <= OUTAGE_SPAN_MS for at in self._unexplained)

    def _lost_runs(self, worker: Worker) -> list[LostRun]:
        ended_at = self._ended_at(worker)
        return [
            LostRun(
                attempt.task,
                attempt.run,
                ended_at - attempt.started_at,
                attempt.is_early(ended_at),
            )
            for attempt in worker.attempts.values()
        ]

    def _ended_at(self, worker: Worker) -> Instant:
        since = worker.silent_since
        return self.clock.now() if since is None else since
