"""Throttling of tasks on idle CPU time that slow down tasks with a latency target."""

import asyncio

from ..exceptions import ConflictError, FencedError, TransportError
from ..fleet import Attempt, AttemptPhase, Worker
from ..telemetry import ComponentLogger
from ._context import ControlContext

__all__ = ["Pacing", "next_pace"]

FULL_PACE_PERCENT = 100
"""Pace at which a run starts, in percent of its full speed."""
SLOW_DOWN_RATIO = 0.8
"""Ratio of tail latency to target from which runs on idle CPU time are throttled."""
SPEED_UP_RATIO = 0.5
"""Ratio of tail latency to target up to which their pace is raised."""
SPEED_UP_PERCENT = 20
"""Increase of the pace at each check, in percentage points."""

_log = ComponentLogger("pacing")


def next_pace(pace: int, worst_ratio: float) -> int:
    """Return the pace of runs that use the idle CPU time of a worker.

    Parameters
    ----------
    pace : int
        Current pace in percent.
    worst_ratio : float
        Largest ratio of tail latency to target among the tasks on the worker.

    Returns
    -------
    int
        New pace in percent; hysteresis keeps it from changing at every check.

    Examples
    --------
    >>> next_pace(100, 1.2), next_pace(100, 0.85), next_pace(40, 0.3)
    (0, 50, 60)
    >>> next_pace(40, 0.7)
    40
    """
    if worst_ratio >= 1.0:
        return 0
    if worst_ratio >= SLOW_DOWN_RATIO:
        return pace // 2
    if worst_ratio <= SPEED_UP_RATIO:
        return min(FULL_PACE_PERCENT, pace + SPEED_UP_PERCENT)
    return pace


class Pacing:
    """Adjusts the pace of the runs that use idle CPU time, worker by worker.

    Parameters
    ----------
    context : ControlContext
        Objects shared by the components of the leader.
    """

    def __init__(self, context: ControlContext) -> None:
        self.context = context

    async def run(self) -> None:
        """Check all workers periodically until cancelled."""
        while True:
            await asyncio.sleep(self.context.cfg.pace_interval_ms / 1000)
            calls = []
            for worker in list(self.context.state.workers.values()):
                calls += self._adjust(worker)
            await asyncio.gather(*calls)

    def _adjust(self, worker: Worker) -> list:
        worst_ratio = 0.0
        idle_cpu_runs: list[Attempt] = []
        for attempt in worker.attempts.values():
            step = self.context.state.step_of(attempt.task)
            if step is None or attempt.phase is not AttemptPhase.RUNNING:
                continue
            if step.spec.uses_idle_cpu:
                idle_cpu_runs.append(attempt)
            elif step.spec.tail_target_ms:
                worst_ratio = max(worst_ratio, attempt.load / step.spec.tail_target_ms)
        calls = []
        for attempt in idle_cpu_runs:
            pace = next_pace(attempt.pace, worst_ratio)
            if pace != attempt.pace:
                calls.append(self._set_pace(attempt, pace, worst_ratio))
        return calls

    async def _set_pace(self, attempt: Attempt, pace: int, worst_ratio: float) -> None:
        info = attempt.worker.info
        try:
            await self.context.port.pace(
                info, attempt.task, attempt.run, pace, self.context.state.epoch
            )
        except (TransportError, ConflictError, FencedError) as exc:
            attempt.worker.record_doubt()
            _log.warning("Setting the pace failed", task=attempt.task, why=str(exc))
            return
        attempt.pace = pace
        attempt.last_progress_at = self.context.clock.now()
        _log.info(
            "Pace set",
            task=attempt.task,
            worker=info.worker,
            percent=pace,
            worst_share=round(worst_ratio, 2),
        )
