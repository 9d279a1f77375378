"""Which runs give way to more urgent work."""

from collections.abc import Callable, Iterable

from ..fleet import Attempt, AttemptPhase, Worker
from ..jobs import TaskKey
from ..utils import ZERO, Instant, Resources
from ._order import is_in_time
from ._quota import QuotaBook
from ._state import StepRun

__all__ = ["MIN_RUN_MS", "choose_victims"]

MAX_VICTIMS = 24
"""Runs stopped in one pass, so that a burst is met in a few steps."""
LOWEST_PRIORITY = 1 << 30
"""Priority of work beyond its team's share: after that of any queue."""
MIN_RUN_MS = 300
"""Milliseconds for which a run is left alone: it has just been restored."""


class _PreemptionTarget:
    """Room of a worker once all that is being stopped has ended.

    Attributes
    ----------
    able : list of tuple of int and Attempt
        Runs that lose nothing by a stop, the largest first, with the priority of
        their queue; work beyond its team's share gives way to any.
    least_urgent : int
        Largest priority among them, -1 without any.
    """

    def __init__(self, worker: Worker, step_of, now: Instant) -> None:
        self.worker = worker
        self.victims: list[Attempt] = []
        self.preemptible: list[tuple[int, Attempt]] = []
        stopping = ZERO
        for attempt in worker.attempts.values():
            if attempt.phase is AttemptPhase.STOPPING:
                stopping = stopping + attempt.reserved
                continue
            priority = _preemptible_priority(attempt, step_of, now)
            if priority is not None:
                self.preemptible.append((priority, attempt))
        self.preemptible.sort(key=lambda item: -item[1].reserved.cpu_milli)
        self.least_urgent = max(
            (priority for priority, _ in self.preemptible), default=-1
        )
        self.free = worker.free + stopping


def choose_victims(
    steps: Iterable[StepRun],
    workers: Iterable[Worker],
    step_of: Callable[[TaskKey], StepRun | None],
    quotas: QuotaBook,
    now: Instant,
) -> list[Attempt]:
    """Return runs to stop so that more urgent tasks find room.

    Only runs that lose nothing by a stop give way: their step saves its progress,
    and their queue is less urgent. Work that can't be in time any more stops nobody.

    Parameters
    ----------
    steps : iterable of StepRun
        Steps that are still waiting after a pass of the planner, in order.
    workers : iterable of Worker
        All workers.
    step_of : callable
        Returns the step of a task, None if it is unknown.
    quotas : QuotaBook
        Limits of teams.
    now : Instant
        Time.

    Returns
    -------
    list of Attempt
        Runs to stop.
    """
    targets: dict[str, list[_PreemptionTarget]] = {}
    for worker in workers:
        if worker.can_start(now):
            target = _PreemptionTarget(worker, step_of, now)
            targets.setdefault(worker.info.service, []).append(target)
    chosen: list[Attempt] = []
    for step in steps:
        if step.job.over_share or not is_in_time(step, now):
            continue
        usable = [
            target
            for target in targets.get(step.job.queue.service, ())
            if step.may_use(target.worker.info)
        ]
        if usable:
            _select_victims(step, usable, quotas, chosen)
        if len(chosen) >= MAX_VICTIMS:
            break
    return chosen


def _select_victims(step: StepRun, targets, quotas, chosen: list[Attempt]) -> None:
    """Find room for all waiting tasks of a step, or give up at the first."""
    team, need = step.job.accepted.team, step.spec.need
    planned = ZERO
    for _ in step.waiting:
        if not quotas.allows(team, need, planned) or len(chosen) >= MAX_VICTIMS:
            return
        planned = planned + need
        best = _cheapest_target(step, targets)
        if best is None:
            return
        target, victims = best
        for victim in victims:
            target.free = target.free + victim.reserved
            target.victims.append(victim)
        target.free = target.free - step.spec.reserved
        chosen.extend(victims)


def _cheapest_target(step: StepRun, targets):
    """Return the space where the fewest runs have to stop, and those runs."""
    best = None
    for target in targets:
        victims = _find_victims(step, target)
        if victims is None:
            continue
        if not victims:
            return target, victims
        if best is None or len(victims) < len(best[1]):
            best = target, victims
    return best


def _find_victims(step: StepRun, target: _PreemptionTarget) -> list[Attempt] | None:
    need = step.spec.reserved
    free: Resources = target.free
    if need.fits_in(free):
        return []
    step_priority = step.job.queue.priority
    if target.least_urgent <= step_priority:
        return None
    victims: list[Attempt] = []
    for priority, attempt in target.preemptible:
        if priority <= step_priority or attempt in target.victims:
            continue
        victims.append(attempt)
        free = free + attempt.reserved
        if need.fits_in(free):
            return victims
    return None


def _preemptible_priority(attempt: Attempt, step_of, now: Instant) -> int | None:
    """Return the priority of a run that loses nothing by a stop, None for others."""
    if attempt.phase is not AttemptPhase.RUNNING or now - attempt.began_at < MIN_RUN_MS:
        return None
    step = step_of(attempt.task)
    if step is None or step.spec.gang or step.spec.long_running or step.spec.fills:
        return None
    if not step.spec.checkpointed:
        return None
    return LOWEST_PRIORITY if step.job.over_share else step.job.queue.priority
