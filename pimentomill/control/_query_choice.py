"""Choice of the workers that a policy query names; no clock, no network."""

import zlib
from collections import defaultdict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from ..dispatch import (
    Feasibility,
    Plan,
    QuotaBook,
    StepRun,
    assess_feasibility,
    max_tasks,
)
from ..fleet import Worker
from ..jobs import WorkerId
from ..utils import ZERO, Instant, Resources

__all__ = [
    "PoolView",
    "QueryChoice",
    "QueryReason",
    "choose_query",
    "choose_refresh",
    "choose_widening",
    "deferred_steps",
    "may_widen",
]

MIN_QUERY_WORKERS = 30
"""Workers in a query about a small step. Policies allow 30 to 70 % of them, so that a
task finds some; the objective of a job includes one query of this size per step."""
MAX_TICKETS = 100
"""Tickets that are requested at a time; one query names no more workers."""
MAX_WORKERS = 100
"""Workers that a step is queried about at a time unless time is short."""
REACH_MS = 2500
"""Milliseconds within which a step should be queried about every worker with room, as
work that can run has to start within 3 s."""
EXPECTED_SHARE = 0.4
"""Share of workers that a policy is expected to allow before the first answer. A second
query takes longer than a few more workers in the first one."""
MIN_SHARE = 0.2
"""Lower bound of the share derived from the answers; a few may be low by chance."""
WIDEN_AFTER_MS = 1000
"""Milliseconds without a run after which a step is also queried about workers without
free capacity, so that preemption and reservations can use them within 3 s."""
MIN_REFRESHED = 8
"""Workers whose tickets are kept valid for a waiting step with fewer tasks."""
SLOW_FACTOR = 1.15
"""Slowness above which a worker is named last for the most urgent work."""
CROWDED_DIVISOR = 2
"""A pool is crowded if this part of one of its resources, a half, is in use."""


class QueryReason(Enum):
    """Why a step is queried."""

    FIRST = "first"
    TICKETS = "tickets"
    MORE = "more"
    WIDEN = "widen"
    REFRESH = "refresh"
    UPCOMING = "upcoming"


class QueryChoice(NamedTuple):
    """Workers to query a step about."""

    reason: QueryReason
    workers: list[Worker]


class _Fit(NamedTuple):
    """Workers of a pool by whether a need fits into their free capacity now."""

    fast: list[Worker]
    slow: list[Worker]
    others: list[Worker]


class PoolView:
    """Workers of all pools with the capacity that a pass of the planner has left.

    Parameters
    ----------
    workers : iterable of Worker
        All workers.
    plan : Plan
        Result of the pass. Capacity that it holds for tasks without a ticket is not
        free.
    now : Instant
        Time of the pass.
    """

    def __init__(self, workers: Iterable[Worker], plan: Plan, now: Instant) -> None:
        self.now = now
        self.pools: defaultdict[str, dict[WorkerId, Worker]] = defaultdict(dict)
        self._held: dict[WorkerId, Resources] = {}
        self._fits: dict[tuple[str, Resources], _Fit] = {}
        self._used: dict[str, Resources] = {}
        self._capacity: dict[str, Resources] = {}
        for worker in workers:
            if not worker.may_get_runs:
                continue
            service = worker.info.service
            self.pools[service][worker.info.worker] = worker
            self._used[service] = self._used.get(service, ZERO) + worker.used
            capacity = self._capacity.get(service, ZERO)
            self._capacity[service] = capacity + worker.info.capacity
        for step, names in plan.missing_tickets:
            for name in names:
                held = self._held.get(name, ZERO)
                self._held[name] = held + step.spec.reserved

    def free(self, worker: Worker) -> Resources:
        """Return the capacity of a worker that is neither used nor held."""
        return worker.free - self._held.get(worker.info.worker, ZERO)

    def is_crowded(self, service: str) -> bool:
        """Return whether much of any resource of a pool is in use."""
        used = self._used.get(service, ZERO) * CROWDED_DIVISOR
        capacity = self._capacity.get(service, ZERO)
        return (
            0 < capacity.cpu_milli <= used.cpu_milli
            or 0 < capacity.memory_mb <= used.memory_mb
            or 0 < capacity.accelerators <= used.accelerators
        )

    def fit(self, step: StepRun) -> _Fit:
        """Return the workers of a step's pool that are large enough for its tasks."""
        service, need = step.job.queue.service, step.spec.reserved
        found = self._fits.get((service, need))
        if found is None:
            found = self._fits[service, need] = _Fit([], [], [])
            for worker in self.pools.get(service, {}).values():
                if not need.fits_in(worker.info.capacity):
                    continue
                if not worker.can_start(self.now) or not need.fits_in(
                    self.free(worker)
                ):
                    found.others.append(worker)
                elif worker.slowness > SLOW_FACTOR:
                    found.slow.append(worker)
                else:
                    found.fast.append(worker)
        return found


def choose_query(
    step: StepRun, view: PoolView, wanted: list[WorkerId], now: Instant
) -> QueryChoice | None:
    """Return what to query a waiting step about after a pass of the planner.

    Parameters
    ----------
    step : StepRun
        Step whose queue has a placement policy.
    view : PoolView
        Workers and their free capacity after the pass.
    wanted : list of WorkerId
        Workers that the planner has chosen and that lack a ticket.
    now : Instant
        Current time.

    Returns
    -------
    QueryChoice or None
        None if the answers that the step has are enough for now. A step with waiting
        tasks is queried about every worker that has room for one; if time is short,
        about all of them at once, which may take more than one query.
    """
    if wanted:
        pool = view.pools.get(step.job.queue.service, {})
        workers = [pool[name] for name in wanted if name in pool]
        if workers:
            return QueryChoice(QueryReason.TICKETS, workers[:MAX_TICKETS])
    fit = view.fit(step)
    if not step.queried:
        workers = _with_room(step, fit) + _without_room(step, fit)
        return _choice(QueryReason.FIRST, step, view, workers)
    workers = _with_room(step, fit) if fit.fast or fit.slow else []
    if workers and _is_short_of_time(step, now):
        return QueryChoice(QueryReason.MORE, workers)
    if workers:
        return _choice(QueryReason.MORE, step, view, workers)
    is_overdue = step.spec.long_running and _lacks_runs(step, now)
    return choose_widening(step, view) if is_overdue or not step.allowed else None


def choose_widening(step: StepRun, view: PoolView) -> QueryChoice | None:
    """Return workers without room that a step has not been queried about.

    Preemption and reservations can use only workers that the policy allows.
    """
    workers = _without_room(step, view.fit(step))
    return _choice(QueryReason.WIDEN, step, view, workers)


def may_widen(step: StepRun, now: Instant) -> bool:
    """Return whether a step should be queried about workers without room."""
    return bool(step.queried) and _lacks_runs(step, now)


def _choice(
    reason: QueryReason, step: StepRun, view: PoolView, workers: list[Worker]
) -> QueryChoice | None:
    workers = _take(step, view, workers)
    return QueryChoice(reason, workers) if workers else None


def _with_room(step: StepRun, fit: _Fit) -> list[Worker]:
    """Return the workers with room that were not queried, the likeliest first.

    Each step starts at another worker. Otherwise all steps of a pass would be queried
    about the same workers, which have room for only some of them.
    """
    if step.job.queue.priority == 0:
        workers = [*_rotated(step, fit.fast), *_rotated(step, fit.slow)]
    else:
        workers = _rotated(step, fit.fast + fit.slow)
    rack = step.spec.data_rack
    if rack:
        workers.sort(key=lambda worker: worker.info.rack != rack)
    return _filtered(step, workers)


def _without_room(step: StepRun, fit: _Fit) -> list[Worker]:
    return _filtered(step, _rotated(step, fit.others))


def _rotated(step: StepRun, workers: list[Worker]) -> list[Worker]:
    if not workers:
        return []
    key = step.key
    number = zlib.crc32(f"{key.job}/{key.occurrence}/{key.step}".encode())
    start = number % len(workers)
    return workers[start:] + workers[:start]


def _filtered(step: StepRun, workers: list[Worker]) -> list[Worker]:
    return [
        worker
        for worker in workers
        if worker.info.worker not in step.queried and step.matches_label(worker.info)
    ]


def _is_short_of_time(step: StepRun, now: Instant) -> bool:
    """Return whether two further queries, one after the other, take too long."""
    query_ms = step.job.queue.placement_policy.query_duration_ms(MIN_QUERY_WORKERS)
    waited_ms = 0 if step.ready_at is None else now - step.ready_at
    return waited_ms + 2 * query_ms > REACH_MS


def _take(step: StepRun, view: PoolView, workers: list[Worker]) -> list[Worker]:
    """Return as many workers as the waiting tasks are expected to need."""
    share = EXPECTED_SHARE
    if step.queried:
        share = max(MIN_SHARE, len(step.allowed) / len(step.queried))
    slots = 0
    for number, worker in enumerate(workers):
        is_enough = number >= MIN_QUERY_WORKERS and slots * share >= len(step.waiting)
        if is_enough or number >= MAX_WORKERS:
            return workers[:number]
        slots += max(1, max_tasks(step, view.free(worker)))
    return workers


def _lacks_runs(step: StepRun, now: Instant) -> bool:
    """Return whether a step has had no run for `WIDEN_AFTER_MS`."""
    if step.ready_at is None or (step.active and not step.spec.long_running):
        return False
    since = max(step.released_at.values(), default=step.ready_at)
    return now - since >= WIDEN_AFTER_MS


def deferred_steps(
    steps: Iterable[StepRun], view: PoolView, quotas: QuotaBook, now: Instant
) -> set[StepRun]:
    """Return the steps that get no query while other work waits.

    They are too late, or beyond their team's share or limit, and other work waits in
    their pool. In a pool that is not crowded there is room for both.

    Parameters
    ----------
    steps : iterable of StepRun
        Steps with waiting tasks.
    view : PoolView
        Workers and their free capacity.
    quotas : QuotaBook
        Resource limits of teams.
    now : Instant
        Current time.
    """
    low: list[StepRun] = []
    contested: set[str] = set()
    for step in steps:
        job = step.job
        if (
            job.over_share
            or assess_feasibility(step, now) is Feasibility.TOO_LATE
            or not quotas.allows(job.accepted.team, step.spec.need)
        ):
            low.append(step)
        elif view.is_crowded(job.queue.service):
            contested.add(job.queue.service)
    return {step for step in low if step.job.queue.service in contested}


def choose_refresh(
    step: StepRun, view: PoolView, needed_until: Instant
) -> list[Worker]:
    """Return workers whose tickets should be refreshed for a waiting step.

    They are those allowed workers that will have room first. Others are not refreshed,
    since their tickets would expire unused.

    Parameters
    ----------
    step : StepRun
        Step that waits for capacity.
    view : PoolView
        Workers and their free capacity.
    needed_until : Instant
        Tickets that are valid until then need no refresh.
    """
    pool = view.pools.get(step.job.queue.service, {})
    usable = [
        pool[name]
        for name in step.allowed
        if name in pool and pool[name].can_start(view.now)
    ]
    need = step.spec.reserved
    soonest = sorted(usable, key=lambda worker: _room_in_ms(worker, need, view))
    likely = soonest[: max(MIN_REFRESHED, len(step.waiting))]
    return [
        worker
        for worker in likely[:MAX_TICKETS]
        if worker.info.worker not in step.tickets
        or step.tickets[worker.info.worker].valid_until < needed_until
    ]


def _room_in_ms(worker: Worker, need: Resources, view: PoolView) -> float:
    """Return the estimated milliseconds until a need fits; infinite if unknown."""
    free = view.free(worker)
    if need.fits_in(free):
        return 0.0
    ends = sorted(
        (left, attempt.reserved)
        for attempt in worker.attempts.values()
        if not attempt.is_long_running
        and (left := attempt.remaining_ms(view.now)) is not None
    )
    for left, reserved in ends:
        free = free + reserved
        if need.fits_in(free):
            return left
    return float("inf")
