"""Preemption of runs in favour of more urgent work."""

from collections import Counter
from collections.abc import Callable, Container, Iterable
from typing import NamedTuple

from ..fleet import Attempt, AttemptPhase, Worker
from ..jobs import StepKey, TaskKey, WorkerId
from ..utils import ZERO, Instant, Resources
from ._order import is_in_time
from ._quota import QuotaBook
from ._state import StepRun

__all__ = ["GangClaim", "Preemption", "PreemptionCost", "choose_victims"]

MAX_VICTIMS = 24
"""Runs stopped per pass, so that a burst is served over a few passes."""
LOWEST_PRIORITY = 1 << 30
"""Priority of work over its team's share: less urgent than that of any queue."""
MIN_WORK_MS = 300
"""Work in milliseconds that a run gets at least before it is stopped, however short its
restore is: a stop and a start are two calls of the leader."""


class PreemptionCost(NamedTuple):
    """Time that the preemption of a run costs.

    Parameters
    ----------
    restore_ms : int
        Milliseconds for which a run that resumes from a checkpoint does no work.
    stop_ms : int
        Milliseconds that a stop takes at most.
    awaits_ends : bool, default=False
        Whether no run is stopped for a task that fits once runs that end within the
        time of a stop have ended. It would start no sooner, and the stopped run would
        pay for a restore.
    """

    restore_ms: int
    stop_ms: int
    awaits_ends: bool = False

    def is_ending(self, attempt: Attempt, now: Instant) -> bool:
        """Return whether a run ends by itself before another could be stopped.

        A run that should have ended by its progress is stuck or slow, and not awaited.
        """
        if not self.awaits_ends or attempt.phase is not AttemptPhase.RUNNING:
            return False
        remaining_ms = attempt.remaining_ms(now)
        return remaining_ms is not None and 0 < remaining_ms <= self.stop_ms

    def min_run_ms(self, is_resumed: bool) -> int:
        """Return the age in milliseconds from which a run may be preempted.

        It has worked by then for at least as long as the restore takes that its stop
        makes necessary, so that restores take half of the capacity at most.
        """
        work_ms = max(MIN_WORK_MS, self.restore_ms)
        return work_ms + (self.restore_ms if is_resumed else 0)


class GangClaim(NamedTuple):
    """Capacity that a gang needs together, part of which is still being freed.

    A gang starts as a whole. What its victims release one by one has to stay free for
    it, or the victims would be placed there again before the last one has stopped.

    Parameters
    ----------
    step : StepKey
        Step of the gang.
    capacity : dict of WorkerId to Resources
        Capacity of each worker that members are meant for.
    """

    step: StepKey
    capacity: dict[WorkerId, Resources]


class Preemption(NamedTuple):
    """Runs to stop, and the capacity to keep free for gangs meanwhile."""

    victims: list[Attempt]
    claims: list[GangClaim]


class _PreemptionTarget:
    """Capacity of a worker once its stopping runs have ended.

    Attributes
    ----------
    preemptible : list of tuple of int and Attempt
        Runs that lose no progress when stopped, the largest first, with the priority
        of their queue, or `LOWEST_PRIORITY` for work over its team's share.
    least_urgent : int
        Largest priority number among them, -1 if there are none.
    """

    def __init__(
        self, worker: Worker, step_of, cost: PreemptionCost, now: Instant
    ) -> None:
        self.worker = worker
        self.victims: list[Attempt] = []
        self.preemptible: list[tuple[int, Attempt]] = []
        stopping = ZERO
        for attempt in worker.attempts.values():
            if attempt.phase is AttemptPhase.STOPPING or cost.is_ending(attempt, now):
                stopping = stopping + attempt.reserved
                continue
            priority = _preemptible_priority(attempt, step_of, cost, now)
            if priority is not None:
                self.preemptible.append((priority, attempt))
        self.preemptible.sort(key=lambda item: -item[1].reserved.cpu_milli)
        self.least_urgent = max(
            (priority for priority, _ in self.preemptible), default=-1
        )
        self.free = worker.free + stopping

    @property
    def name(self) -> WorkerId:
        """Name of the worker."""
        return self.worker.info.worker

    def place(self, step: StepRun, victims: list[Attempt]) -> None:
        """Place a task of a step after the victims have been stopped."""
        for victim in victims:
            self.free = self.free + victim.reserved
        self.victims += victims
        self.free = self.free - step.spec.reserved

    def undo(self, step: StepRun, victims: list[Attempt]) -> None:
        """Undo the latest `place`, which had the same arguments."""
        for victim in victims:
            self.free = self.free - victim.reserved
        del self.victims[len(self.victims) - len(victims) :]
        self.free = self.free + step.spec.reserved


def choose_victims(
    steps: Iterable[StepRun],
    workers: Iterable[Worker],
    step_of: Callable[[TaskKey], StepRun | None],
    quotas: QuotaBook,
    cost: PreemptionCost,
    now: Instant,
    claimed: Container[StepKey] = (),
) -> Preemption:
    """Choose runs to stop so that more urgent tasks can start.

    Only runs that lose no progress are stopped: their step writes checkpoints, and
    their queue is less urgent. Work that can no longer be in time preempts no run.
    For a gang, runs are stopped only if all its members can start then.

    Parameters
    ----------
    steps : iterable of StepRun
        Steps that are still waiting after a planner pass, in serving order.
    workers : iterable of Worker
        All workers.
    step_of : callable
        Returns the step of a task, None if it is unknown.
    quotas : QuotaBook
        Resource limits of teams.
    cost : PreemptionCost
        Time that a preemption costs.
    now : Instant
        Current time.
    claimed : container of StepKey, default=()
        Gangs whose victims are still being stopped.

    Returns
    -------
    Preemption
        Runs to stop, and the claims of the gangs that they are stopped for.
    """
    claimants = [
        step for step in steps if not step.job.over_share and is_in_time(step, now)
    ]
    services = {step.job.queue.service for step in claimants}
    targets: dict[str, list[_PreemptionTarget]] = {}
    for worker in workers:
        if worker.info.service in services and worker.can_start(now):
            target = _PreemptionTarget(worker, step_of, cost, now)
            targets.setdefault(worker.info.service, []).append(target)
    chosen: list[Attempt] = []
    claims: list[GangClaim] = []
    for step in claimants:
        if step.key in claimed:
            continue
        usable = [
            target
            for target in targets.get(step.job.queue.service, ())
            if step.may_use(target.worker.info)
        ]
        if usable and step.spec.gang:
            claims += _select_gang_victims(step, usable, quotas, chosen)
        elif usable:
            _select_victims(step, usable, quotas, chosen)
        if len(chosen) >= MAX_VICTIMS:
            break
    return Preemption(chosen, claims)


def _select_victims(step: StepRun, targets, quotas, chosen: list[Attempt]) -> None:
    """Choose victims for each waiting task of a step until one cannot be placed."""
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
        target.place(step, victims)
        chosen.extend(victims)


def _select_gang_victims(
    step: StepRun, targets, quotas, chosen: list[Attempt]
) -> list[GangClaim]:
    """Choose victims for all members of a gang, or for none.

    Returns
    -------
    list of GangClaim
        The claim of the gang; empty if no run has to be stopped, or if the gang could
        not start all the same.
    """
    if step.active or len(step.waiting) != step.spec.count:
        return []
    team, need = step.job.accepted.team, step.spec.need
    placed: list[tuple[_PreemptionTarget, list[Attempt]]] = []
    members: Counter[WorkerId] = Counter()
    limit = step.spec.max_per_worker or step.spec.count
    for number in range(step.spec.count):
        best = None
        if quotas.allows(team, need, need * number):
            open_targets = [item for item in targets if members[item.name] < limit]
            best = _cheapest_target(step, open_targets)
        if best is None:
            for target, victims in reversed(placed):
                target.undo(step, victims)
            return []
        target, victims = best
        target.place(step, victims)
        placed.append(best)
        members[target.name] += 1
    victims = [victim for _, found in placed for victim in found]
    if not victims:
        return []
    chosen.extend(victims)
    reserved = step.spec.reserved
    capacity = {name: reserved * count for name, count in members.items()}
    return [GangClaim(step.key, capacity)]


def _cheapest_target(step: StepRun, targets):
    """Return the target with the fewest runs to stop, and those runs."""
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


def _preemptible_priority(
    attempt: Attempt, step_of, cost: PreemptionCost, now: Instant
) -> int | None:
    """Return the priority of a run that may be preempted, None for other runs."""
    min_run_ms = cost.min_run_ms(attempt.is_resumed)
    if (
        attempt.phase is not AttemptPhase.RUNNING
        or now - attempt.started_at < min_run_ms
    ):
        return None
    step = step_of(attempt.task)
    if (
        step is None
        or step.spec.gang
        or step.spec.long_running
        or step.spec.uses_idle_cpu
    ):
        return None
    if not step.spec.checkpointed:
        return None
    remaining_ms = attempt.remaining_ms(now)
    if remaining_ms is not None and remaining_ms < cost.stop_ms + cost.restore_ms:
        return None
    return LOWEST_PRIORITY if step.job.over_share else step.job.queue.priority
