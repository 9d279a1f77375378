"""Holds back filling tasks that slow the service of others."""

import asyncio

from ..exceptions import ConflictError, FencedError, TransportError
from ..fleet import Attempt, AttemptPhase, Worker
from ..telemetry import PartLog
from ._drive import Drive

__all__ = ["Pacing", "next_pace"]

FULL_PACE = 100
"""Percent of its speed at which a run starts."""
SLOW_SHARE = 0.8
"""Share of the target above which filling work is held back."""
EASY_SHARE = 0.5
"""Share of the target below which filling work may go faster."""
STEP_UP = 20
"""Percent by which filling work goes faster after each look."""

_log = PartLog("pacing")


def next_pace(pace: int, worst: float) -> int:
    """Return the pace of filling work beside tasks with a target.

    Parameters
    ----------
    pace : int
        Present pace in percent.
    worst : float
        Largest ratio of a task's tail to its target.

    Returns
    -------
    int
        New pace in percent; hysteresis keeps it from changing at every look.

    Examples
    --------
    >>> next_pace(100, 1.2), next_pace(100, 0.85), next_pace(40, 0.3)
    (0, 50, 60)
    >>> next_pace(40, 0.7)
    40
    """
    if worst >= 1.0:
        return 0
    if worst >= SLOW_SHARE:
        return pace // 2
    if worst <= EASY_SHARE:
        return min(FULL_PACE, pace + STEP_UP)
    return pace


class Pacing:
    """Adjusts the pace of filling runs, worker by worker.

    Parameters
    ----------
    drive : Drive
        What the leader shares with it.
    """

    def __init__(self, drive: Drive) -> None:
        self.drive = drive

    async def run(self) -> None:
        """Look at all workers again and again until cancelled."""
        while True:
            await asyncio.sleep(self.drive.cfg.pace_interval_ms / 1000)
            calls = []
            for worker in list(self.drive.book.workers.values()):
                calls += self._adjust(worker)
            await asyncio.gather(*calls)

    def _adjust(self, worker: Worker) -> list:
        worst = 0.0
        fillers: list[Attempt] = []
        for attempt in worker.attempts.values():
            step = self.drive.book.step_of(attempt.task)
            if step is None or attempt.phase is not AttemptPhase.RUNNING:
                continue
            if step.spec.uses_idle_cpu:
                fillers.append(attempt)
            elif step.spec.tail_target_ms:
                worst = max(worst, attempt.load / step.spec.tail_target_ms)
        calls = []
        for attempt in fillers:
            pace = next_pace(attempt.pace, worst)
            if pace != attempt.pace:
                calls.append(self._set(attempt, pace, worst))
        return calls

    async def _set(self, attempt: Attempt, pace: int, worst: float) -> None:
        info = attempt.worker.info
        try:
            await self.drive.port.pace(
                info, attempt.task, attempt.run, pace, self.drive.book.epoch
            )
        except (TransportError, ConflictError, FencedError) as exc:
            _log.warning("Pace not set", task=attempt.task, why=str(exc))
            return
        attempt.pace = pace
        attempt.last_progress_at = self.drive.clock.now()
        _log.info(
            "Pace set",
            task=attempt.task,
            worker=info.worker,
            percent=pace,
            worst_share=round(worst, 2),
        )
