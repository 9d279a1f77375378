"""Crashes of workers, and the runs that may have caused them."""

from collections.abc import Iterable
from typing import NamedTuple

from ..fleet import Attempt, Worker
from ..jobs import TaskKey
from ..telemetry import ComponentLogger
from ..utils import Clock, Instant

__all__ = ["CrashLog", "LostRun"]

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


class CrashLog:
    """Tells crashes of workers from silence, and names the runs on them.

    A silent worker may be cut off, and a lapsed lease shows only that its runs have
    ended. It is known to have crashed once another incarnation answers, or when it is
    gone for good. Its runs may have been released before.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._released: dict[Worker, list[LostRun]] = {}

    def record_silence(self, worker: Worker, since: Instant) -> None:
        """Record that a worker no longer answers.

        Parameters
        ----------
        worker : Worker
            Worker.
        since : Instant
            Earliest time at which it may have ended.
        """
        if worker.silent_since is None:
            worker.silent_since = since

    def record_answer(self, worker: Worker) -> None:
        """Record that a worker answers again, so that it has not crashed."""
        worker.silent_since = None
        self._released.pop(worker, None)

    def record_release(self, worker: Worker, attempts: Iterable[Attempt]) -> None:
        """Keep the runs of a worker whose lease has expired."""
        runs = self._lost_runs(worker, attempts)
        if runs:
            self._released.setdefault(worker, []).extend(runs)

    def confirm_crash(self, worker: Worker, reason: str) -> list[LostRun]:
        """Return the runs that were on a worker which has ended.

        Parameters
        ----------
        worker : Worker
            Worker that was not draining.
        reason : str
            How its end became known.

        Returns
        -------
        list of LostRun
            Runs, the youngest first; empty if the worker left as planned.
        """
        runs = self._released.pop(worker, [])
        runs += self._lost_runs(worker, worker.attempts.values())
        if worker.info.is_draining or not runs:
            return []
        runs.sort(key=lambda run: run.age_ms)
        _log.warning(
            "Worker crashed",
            worker=worker.info.worker,
            why=reason,
            silent_ms=self.clock.now() - self._ended_at(worker),
            runs=[run.describe() for run in runs],
            early=sum(run.is_early for run in runs),
        )
        return runs

    def _lost_runs(self, worker: Worker, attempts: Iterable[Attempt]) -> list[LostRun]:
        ended_at = self._ended_at(worker)
        return [
            LostRun(
                attempt.task,
                attempt.run,
                ended_at - attempt.started_at,
                attempt.is_early(ended_at),
            )
            for attempt in attempts
        ]

    def _ended_at(self, worker: Worker) -> Instant:
        since = worker.silent_since
        return self.clock.now() if since is None else since
