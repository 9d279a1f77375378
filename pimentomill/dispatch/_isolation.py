"""Isolation of tasks under which workers have crashed."""

from collections.abc import Hashable
from typing import NamedTuple

from ..fleet import EARLY_RUN_MS, Worker
from ..jobs import TaskKey, WorkerId
from ..utils import Instant
from ._candidates import Candidate
from ._state import StepRun

__all__ = ["Isolation", "is_quiet"]

SHARE_AFTER_MS = 800
"""Milliseconds for which a suspected task waits for an idle worker. Then it starts
beside settled runs: runnable work has to start within 3 s, a ticket takes up to 1 s,
and a worker is quiet after `EARLY_RUN_MS`."""
HOLD_MS = EARLY_RUN_MS + 200
"""Milliseconds for which a worker starts nothing else, so that it becomes quiet."""
CLOSED = "closed"
"""Holder of a worker that is open to no task."""
EXPOSED_DIVISOR = 4
"""Suspected tasks use at most this part of the workers, a quarter, at a time."""


class _Hold(NamedTuple):
    holder: Hashable
    until: Instant


class Isolation:
    """Chooses workers for suspected tasks and keeps other starts from them.

    A run is isolated if no other run on its worker is early: a crash of the worker is
    then evidence against this run alone. Settled runs are no suspects, but they would
    be lost, so that idle workers are preferred.
    """

    def __init__(self) -> None:
        self._holds: dict[WorkerId, _Hold] = {}

    def holder_of(self, worker: Worker, now: Instant) -> Hashable | None:
        """Return what a worker is kept for, None if it is open to all tasks.

        This is a suspected task or gang that waits until the worker is quiet, or an
        isolated run that has not settled yet.
        """
        if now < worker.closed_until:
            return CLOSED
        hold = self._holds.get(worker.info.worker)
        if hold is None:
            return None
        if now >= hold.until:
            del self._holds[worker.info.worker]
            return None
        return hold.holder

    def hold(self, candidate: Candidate, holder: Hashable, now: Instant) -> None:
        """Keep other starts from a worker until it is quiet."""
        self._holds[candidate.id] = _Hold(holder, Instant(now + HOLD_MS))
        candidate.kept_for = holder

    def close(self, candidate: Candidate) -> None:
        """Keep other starts of this pass from the worker of an isolated run."""
        candidate.kept_for = CLOSED
        self._holds.pop(candidate.id, None)

    def choose(
        self,
        step: StepRun,
        index: int,
        candidates: list[Candidate],
        ignores_reservations: bool,
        now: Instant,
    ) -> Candidate | None:
        """Return the candidate for a suspected task, None if it should wait.

        Parameters
        ----------
        step : StepRun
            Step of the task.
        index : int
            Index of the task.
        candidates : list of Candidate
            Workers of the pool that the step may use, also those that are full.
        ignores_reservations : bool
            Whether the step may use workers that are reserved for others.
        now : Instant
            Current time.

        Returns
        -------
        Candidate or None
            Candidate, which is possibly not quiet yet.
        """
        holder = TaskKey(*step.key, index)
        open_ = [item for item in candidates if item.kept_for in (None, holder)]
        best = min(
            (item for item in open_ if item.fits(step, ignores_reservations)),
            key=lambda item: self._rank(step, index, item, now),
            default=None,
        )
        if best is None or best.kept_for == holder:
            return best
        is_idle = not best.worker.attempts and not best.allocated
        if not is_idle and now - step.suspected_since(index) < SHARE_AFTER_MS:
            return None
        exposed = len(candidates) - len(open_)
        limit = max(1, len(candidates) // EXPOSED_DIVISOR)
        if exposed >= limit and not step.is_starving(now):
            return None
        return best

    @staticmethod
    def _rank(step: StepRun, index: int, candidate: Candidate, now: Instant) -> tuple:
        worker: Worker = candidate.worker
        return (
            candidate.kept_for is None,
            len(worker.attempts) + candidate.allocated,
            not is_quiet(candidate, now),
            candidate.failures,
            candidate.id == step.last_workers.get(index),
        )

    def isolate_gang(
        self, step: StepRun, chosen: list[Candidate], now: Instant
    ) -> bool:
        """Return whether a suspected gang can start isolated on its candidates.

        Otherwise the workers are held for it until they are quiet.

        Parameters
        ----------
        step : StepRun
            Step of the gang.
        chosen : list of Candidate
            Candidate of each member.
        now : Instant
            Current time.
        """
        members = {item.id: item for item in chosen}
        counts = {name: chosen.count(item) for name, item in members.items()}
        is_isolated = all(
            is_quiet(item, now, counts[name]) for name, item in members.items()
        )
        if not is_isolated:
            for item in members.values():
                self.hold(item, step.key, now)
        return is_isolated


def is_quiet(candidate: Candidate, now: Instant, own_count: int = 0) -> bool:
    """Return whether all runs on a candidate have settled.

    Parameters
    ----------
    candidate : Candidate
        Worker with the tasks that the pass has placed on it.
    now : Instant
        Current time.
    own_count : int
        Number of these tasks that are left out.
    """
    return candidate.allocated <= own_count and candidate.worker.is_quiet(now)
