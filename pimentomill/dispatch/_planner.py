"""Placement of waiting tasks on workers."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from ..fleet import RECENT_FAILURE_MS, Worker
from ..jobs import StepKey, TaskKey, WorkerId
from ..overload import HeadroomTarget, SlotBudget
from ..utils import ZERO, Instant, Resources, dominant_fraction
from ._candidates import (
    LARGE_TASK_SHARE,
    Candidate,
    Pool,
    fits_vacated_workers,
    max_tasks,
    misalignment_of,
)
from ._isolation import Isolation, is_quiet
from ._order import Feasibility, assess_feasibility, is_urgent, slack_ms
from ._quota import QuotaBook
from ._speed_rank import SpeedPreference, SpeedRanking, WorkerSpeeds, speed_score
from ._state import StepRun

__all__ = ["Placement", "Plan", "Planner"]

MAX_TICKET_WAIT_MS = 2000
"""Time for which capacity is held for a step whose policy queries fail. Work that could
run there must not wait for 3 s."""
NO_CLAIMS: Mapping = MappingProxyType({})
NO_HEADROOM: Mapping = MappingProxyType({})
MAX_RESERVED_WORKERS = 2
"""Workers reserved per step; more would idle more capacity than the step needs."""


class Placement(NamedTuple):
    """Assignment of a task of a step to a worker.

    The ticket is empty if the queue has no placement policy. A backfill uses capacity
    that is reserved for another step.
    """

    step: StepRun
    index: int
    worker: Worker
    ticket: str
    is_backfill: bool = False


class Plan:
    """Result of one planner pass.

    Attributes
    ----------
    placements : list of Placement
        Tasks to start; members of a gang are adjacent.
    missing_tickets : list of tuple of StepRun and list of WorkerId
        Steps that fit on workers for which they hold no valid ticket.
    reserved_for : dict of WorkerId to StepKey
        Reserved workers, and the step that each is reserved for.
    budgets : dict of str to SlotBudget
        Capacity that was kept for urgent work, by pool.
    held_back : dict of str to int
        Steps that did not start because of it, by pool.
    """

    def __init__(self) -> None:
        self.placements: list[Placement] = []
        self.missing_tickets: list[tuple[StepRun, list[WorkerId]]] = []
        self.reserved_for: dict[WorkerId, StepKey] = {}
        self.budgets: dict[str, SlotBudget] = {}
        self.held_back: dict[str, int] = {}


class Planner:
    """Assigns waiting tasks to workers with free capacity.

    Parameters
    ----------
    quotas : QuotaBook
        Resource limits of teams.
    speeds : WorkerSpeeds, default=None
        Predicted durations on workers. With None, urgent tasks avoid workers on which
        tasks have recently taken longer than their siblings.
    """

    def __init__(self, quotas: QuotaBook, speeds: WorkerSpeeds | None = None) -> None:
        self.quotas = quotas
        self.speeds = speeds
        self.isolation = Isolation()

    def plan(
        self,
        now: Instant,
        steps: Iterable[StepRun],
        workers: Iterable[Worker],
        claims: Mapping[StepKey, Mapping[WorkerId, Resources]] = NO_CLAIMS,
        headroom: Mapping[str, HeadroomTarget] = NO_HEADROOM,
    ) -> Plan:
        """Return the tasks to start now.

        Parameters
        ----------
        now : Instant
            Current time.
        steps : iterable of StepRun
            Steps with waiting tasks, the most urgent first.
        workers : iterable of Worker
            All workers.
        claims : mapping of StepKey to mapping of WorkerId to Resources, optional
            Capacity that is being freed for a gang. Until the gang starts, steps that
            come after it do not use this capacity.
        headroom : mapping of str to HeadroomTarget, optional
            Capacity that crowded pools keep for urgent work.

        Returns
        -------
        Plan
            Placements that respect the capacity of workers and the limits of teams.
        """
        ranking = SpeedRanking(self.speeds, now) if self.speeds is not None else None
        planner_pass = _Pass(self.quotas, self.isolation, now, workers, claims, ranking)
        planner_pass.keep_headroom(headroom)
        return planner_pass.run(steps)


class _Pass:
    def __init__(
        self,
        quotas: QuotaBook,
        isolation: Isolation,
        now: Instant,
        workers,
        claims,
        ranking: SpeedRanking | None = None,
    ) -> None:
        self.quotas = quotas
        self.isolation = isolation
        self.claims = claims
        self.now = now
        self.pools: defaultdict[str, Pool] = defaultdict(Pool)
        for worker in workers:
            if worker.accepts_runs():
                candidate = Candidate(worker, worker.can_start(now))
                candidate.is_cold = worker.is_cold(now)
                candidate.kept_for = isolation.holder_of(worker, now)
                if ranking is not None:
                    ranking.prepare(candidate)
                self.pools[worker.info.service].add(candidate)
        self.planned: dict[str, Resources] = {}
        self.result = Plan()
        self._ignores_reservations = False
        self._budget: SlotBudget | None = None
        self._ranking = ranking
        self._preference: SpeedPreference | None = None

    def keep_headroom(self, headroom: Mapping[str, HeadroomTarget]) -> None:
        """Keep capacity for urgent work in pools that are at least half in use.

        Work has to start within 3 s in a pool that is less than half in use.
        """
        for service, target in headroom.items():
            pool = self.pools.get(service)
            if pool is not None and pool.is_crowded():
                self.result.budgets[service] = pool.slot_budget(target)

    def run(self, steps: Iterable[StepRun]) -> Plan:
        for step in steps:
            pool = self.pools.get(step.job.queue.service)
            if pool is None:
                continue
            placed_before = len(self.result.placements)
            self._budget = self._budget_of(step)
            if not self._is_out_of_reach(step, pool):
                self._ignores_reservations = self._may_ignore_reservations(step, pool)
                if self._ranking is not None:
                    self._preference = self._ranking.preference(step)
                self._place_step(step, pool.candidates)
            if step.key in self.claims and len(self.result.placements) == placed_before:
                pool.withhold(self.claims[step.key])
                budget = self.result.budgets.get(step.job.queue.service)
                if budget is not None:
                    budget.recount(pool.free())
        return self.result

    def _budget_of(self, step: StepRun) -> SlotBudget | None:
        """Return the budget that bounds a step, None for urgent and lasting work."""
        budget = self.result.budgets.get(step.job.queue.service)
        if budget is None or step.spec.long_running or is_urgent(step, self.now):
            return None
        return budget

    def _is_out_of_reach(self, step: StepRun, pool: Pool) -> bool:
        """Return whether the pass need not look at the workers for a step."""
        if pool.is_out_of_reach(step):
            return True
        if self._budget is None or not pool.is_held_back(step, self._budget):
            return False
        held_back = self.result.held_back
        service = step.job.queue.service
        held_back[service] = held_back.get(service, 0) + 1
        return True

    def _may_ignore_reservations(self, step: StepRun, pool: Pool) -> bool:
        """Return whether a step may use workers reserved for others.

        A reservation lasts as long as the runs that it waits for. In a pool that is
        mostly free it protects its step from no crowd, and the other step may have no
        worker but this one. Lasting tasks have to run however full the pool is.
        """
        if not step.lacks_runs(self.now):
            return False
        return step.spec.long_running or not pool.is_crowded()

    def _place_step(self, step: StepRun, candidates: list[Candidate]) -> None:
        eligible = _eligible(step, candidates)
        candidates = [candidate for candidate in eligible if candidate.is_trusted]
        if step.is_starving(self.now):
            candidates = self._add_suspects(step, candidates, eligible)
        if step.spec.gang:
            blocked = self._place_gang(step, candidates)
        else:
            blocked = self._place_tasks(step, candidates)
        if blocked:
            self._reserve_workers(step, candidates, blocked)

    def _add_suspects(
        self, step: StepRun, trusted: list[Candidate], eligible: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates of a starving step.

        If no trusted worker has room, workers on probation are added once they have
        not failed for a while: one that runs only long tasks may stay on probation.
        """
        if not trusted or len(trusted) == len(eligible):
            return eligible
        wanted = step.spec.count if step.spec.gang else 1
        if sum(self._max_more(step, candidate) for candidate in trusted) >= wanted:
            return trusted
        return [
            candidate
            for candidate in eligible
            if candidate.is_trusted or candidate.worker.is_calm(self.now)
        ]

    def _max_more(self, step: StepRun, candidate: Candidate) -> int:
        """Return how many more tasks of a step may be placed on a candidate."""
        if not self.admits(step, candidate):
            return 0
        free = Resources(candidate.cpu, candidate.mem, candidate.acc)
        return max_tasks(step, free)

    def _place_tasks(self, step: StepRun, candidates: list[Candidate]) -> int:
        """Place tasks in order; return 1 if one does not fit on any worker, else 0."""
        unplaced = 0
        without_ticket: list[Candidate] = []
        suspects_without_ticket: list[Candidate] = []
        indices = sorted(step.waiting)
        if step.crashed_runs:
            suspects = [index for index in indices if step.is_suspect(index)]
            indices = [index for index in indices if not step.is_suspect(index)]
            suspects_without_ticket = self._place_suspects(step, suspects, candidates)
        ranking = _Ranking(self, step, candidates)
        for index in indices:
            if not self._within_limit(step):
                break
            if index in step.failed_runs:
                candidate = self._best_candidate(
                    step, self._reliable(step, index, candidates), index
                )
            else:
                candidate = ranking.best()
            if candidate is None:
                unplaced = 1
                if index in step.failed_runs:
                    continue
                break
            ticket = self._ticket(step, candidate.id)
            self._allocate(step, candidate)
            ranking.update(candidate)
            if ticket is None:
                without_ticket.append(candidate)
                continue
            self.result.placements.append(
                self._placement(step, index, candidate, ticket)
            )
        if without_ticket or suspects_without_ticket:
            self._request_tickets(step, without_ticket, suspects_without_ticket)
        return unplaced

    @staticmethod
    def _placement(
        step: StepRun, index: int, candidate: Candidate, ticket: str
    ) -> Placement:
        """Return the placement of a task that has been allocated."""
        is_reserved = candidate.reserved_for not in (None, step.key)
        is_backfill = is_reserved and not ZERO.fits_in(candidate.others_free)
        return Placement(step, index, candidate.worker, ticket, is_backfill)

    def _request_tickets(
        self,
        step: StepRun,
        allocated: list[Candidate],
        others: Iterable[Candidate] = (),
    ) -> None:
        """Request tickets, and hold the allocated capacity unless that takes too long.

        Parameters
        ----------
        step : StepRun
            Step that holds no ticket for some of the candidates.
        allocated : list of Candidate
            Candidate of each task that was allocated and has no ticket.
        others : iterable of Candidate, default=()
            Further candidates to request tickets for, of which nothing was allocated.
        """
        wanted = sorted({candidate.id for candidate in (*allocated, *others)})
        self.result.missing_tickets.append((step, wanted))
        since = step.unanswered_since
        if since is not None and self.now - since >= MAX_TICKET_WAIT_MS:
            self._deallocate(step, allocated)

    def _place_suspects(
        self, step: StepRun, indices: list[int], candidates: list[Candidate]
    ) -> list[Candidate]:
        """Start suspected tasks isolated; return the candidates that lack a ticket."""
        without_ticket: list[Candidate] = []
        for index in indices:
            if not self._within_limit(step):
                break
            candidate = self.isolation.choose(
                step,
                index,
                self._below_max_per_worker(step, candidates),
                self._ignores_reservations,
                self.now,
            )
            if candidate is None:
                continue
            ticket = self._ticket(step, candidate.id)
            if ticket is None:
                without_ticket.append(candidate)
                continue
            if not is_quiet(candidate, self.now):
                self.isolation.hold(candidate, TaskKey(*step.key, index), self.now)
                continue
            self._allocate(step, candidate)
            self.isolation.close(candidate)
            self.result.placements.append(
                self._placement(step, index, candidate, ticket)
            )
        return without_ticket

    def _below_max_per_worker(
        self, step: StepRun, candidates: list[Candidate]
    ) -> list[Candidate]:
        limit = step.spec.max_per_worker
        return [c for c in candidates if not limit or self._count(step, c) < limit]

    def _reliable(
        self, step: StepRun, index: int, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Exclude workers with recent failures if this is the task's last attempt."""
        failed = len(step.failed_runs.get(index, ()))
        if not failed or failed + 1 < step.job.queue.max_attempts:
            return candidates
        reliable = [
            candidate
            for candidate in candidates
            if not candidate.worker.has_failed_recently(self.now)
        ]
        if not reliable and step.is_starving(self.now):
            return candidates
        if self._can_not_wait(step) and not any(
            self.admits(step, candidate) for candidate in reliable
        ):
            return [candidate for candidate in candidates if not candidate.is_suspect]
        return reliable

    def _can_not_wait(self, step: StepRun) -> bool:
        """Return whether an urgent job would be late after avoiding failed workers.

        One failed job is weak evidence against a worker, as runs also fail through
        their own fault.
        """
        if not step.job.keeps_retries or not is_urgent(step, self.now):
            return False
        return slack_ms(step, self.now) < RECENT_FAILURE_MS

    def _place_gang(self, step: StepRun, candidates: list[Candidate]) -> int:
        """Place all tasks or none; return the number of tasks that do not fit.

        A gang beyond the limit of its team does not wait for a worker.
        """
        if not step.waiting or step.active:
            return 0
        if not self._within_limit(step, step.spec.count):
            return 0
        groups = [candidates]
        if step.spec.rack_sensitive:
            racks: dict[str, list[Candidate]] = {}
            for candidate in candidates:
                racks.setdefault(candidate.worker.info.rack, []).append(candidate)
            groups = [*racks.values(), candidates]
        for group in groups:
            chosen = self._fit_gang(step, group)
            if chosen is None:
                continue
            if step.is_suspect(0) and not self._isolate_gang(step, chosen):
                self._deallocate(step, chosen)
            else:
                self._start_gang(step, chosen)
            return 0
        return step.spec.count

    def _fit_gang(
        self, step: StepRun, candidates: list[Candidate]
    ) -> list[Candidate] | None:
        chosen: list[Candidate] = []
        for _ in range(step.spec.count):
            candidate = self._best_candidate(step, candidates, 0)
            if candidate is None:
                self._deallocate(step, chosen)
                return None
            self._allocate(step, candidate)
            chosen.append(candidate)
        return chosen

    def _isolate_gang(self, step: StepRun, chosen: list[Candidate]) -> bool:
        """Return whether a suspected gang may start, or still lacks its tickets."""
        has_tickets = all(
            self._ticket(step, candidate.id) is not None for candidate in chosen
        )
        if not has_tickets:
            return True
        if not self.isolation.isolate_gang(step, chosen, self.now):
            return False
        for candidate in chosen:
            self.isolation.close(candidate)
        return True

    def _start_gang(self, step: StepRun, chosen: list[Candidate]) -> None:
        tickets = [self._ticket(step, candidate.id) for candidate in chosen]
        if None in tickets:
            self._request_tickets(step, chosen)
            return
        for index, (candidate, ticket) in enumerate(zip(chosen, tickets, strict=True)):
            placement = self._placement(step, index, candidate, ticket)
            self.result.placements.append(placement)

    def _best_candidate(self, step: StepRun, candidates: list[Candidate], index: int):
        """Return the candidate with the best score, None if the task fits nowhere."""
        last_worker = step.last_workers.get(index) if step.failed_runs else None
        best = None
        best_score = None
        for candidate in candidates:
            if not self.admits(step, candidate):
                continue
            score = self.score(step, candidate, last_worker)
            if best_score is None or score < best_score:
                best, best_score = candidate, score
        return best

    def admits(self, step: StepRun, candidate: Candidate) -> bool:
        """Return whether one more task of a step may be placed on a candidate."""
        kept_for = candidate.kept_for
        if kept_for is not None and kept_for != step.key:
            return False
        if not candidate.fits(step, self._ignores_reservations):
            return False
        if self._budget is not None and not candidate.leaves(step, self._budget):
            return False
        limit = step.spec.max_per_worker
        return not limit or self._count(step, candidate) < limit

    def score(
        self, step: StepRun, candidate: Candidate, last_worker: WorkerId | None
    ) -> tuple:
        spec = step.spec
        info = candidate.worker.info
        off_rack = bool(spec.data_rack) and info.rack != spec.data_rack
        # A task that failed on a worker is preferably retried on another one.
        is_retry = candidate.id == last_worker
        failures = candidate.failures
        if spec.uses_idle_cpu:
            return (
                failures,
                is_retry,
                off_rack,
                self._count_loaded_tasks(candidate),
                -candidate.cpu,
            )
        misalignment = misalignment_of(spec.need, candidate)
        urgent = step.job.queue.priority == 0
        lacks_ticket = (
            step.job.queue.placement_policy is not None
            and self._ticket(step, candidate.id) is None
        )
        if self._preference is not None:
            rank = speed_score(
                self._preference, candidate, off_rack, lacks_ticket, misalignment
            )
            return (failures, is_retry, *rank)
        # Kinds of workers differ in speed; only urgent work is sensitive to it.
        slow = urgent and candidate.is_slow
        if candidate.is_cold:
            slow = slow or urgent or is_long(step)
        return (failures, is_retry, off_rack, slow, lacks_ticket, misalignment)

    @staticmethod
    def _count_loaded_tasks(candidate: Candidate) -> int:
        return sum(attempt.load > 0 for attempt in candidate.worker.attempts.values())

    def _count(self, step: StepRun, candidate: Candidate) -> int:
        count = candidate.step_counts.get(step.key)
        if count is None:
            count = sum(task.step_key == step.key for task in candidate.worker.attempts)
            candidate.step_counts[step.key] = count
        return count

    def _allocate(self, step: StepRun, candidate: Candidate) -> None:
        self._take_slots(step, candidate, candidate.allocate)
        candidate.step_counts[step.key] = self._count(step, candidate) + 1
        team = step.job.accepted.team
        self.planned[team] = self.planned.get(team, ZERO) + step.spec.need

    def _deallocate(self, step: StepRun, candidates: list[Candidate]) -> None:
        """Undo one allocation of a step for each given candidate."""
        team = step.job.accepted.team
        for candidate in candidates:
            self._take_slots(step, candidate, candidate.release)
            candidate.step_counts[step.key] -= 1
            self.planned[team] = self.planned[team] - step.spec.need

    def _take_slots(self, step: StepRun, candidate: Candidate, change) -> None:
        """Change what is free on a candidate, and what urgent work finds free."""
        budget = self.result.budgets.get(step.job.queue.service)
        if budget is None or not candidate.is_trusted:
            change(step)
            return
        before = budget.slots(candidate.cpu, candidate.mem, candidate.acc)
        change(step)
        after = budget.slots(candidate.cpu, candidate.mem, candidate.acc)
        budget.free_tasks += after - before

    def _within_limit(self, step: StepRun, count: int = 1) -> bool:
        """Return whether the team may start so many more tasks of the step."""
        team = step.job.accepted.team
        planned = self.planned.get(team, ZERO)
        return self.quotas.allows(team, step.spec.need * count, planned)

    def _ticket(self, step: StepRun, worker: WorkerId) -> str | None:
        if step.job.queue.placement_policy is None:
            return ""
        ticket = step.tickets.get(worker)
        if ticket is None or ticket.valid_until <= self.now:
            return None
        return ticket.text

    def _reserve_workers(
        self, step: StepRun, candidates: list[Candidate], blocked: int
    ) -> None:
        """Reserve workers against later steps for tasks that need most of a worker."""
        if step.job.over_share or not fits_vacated_workers(step, candidates):
            return
        if assess_feasibility(step, self.now) is Feasibility.TOO_LATE:
            return
        need = step.spec.reserved
        reservable = []
        for candidate in candidates:
            capacity = candidate.worker.info.capacity
            if candidate.reserved_for is not None:
                continue
            if (
                need.fits_in(candidate.vacated_capacity())
                and dominant_fraction(need, capacity) > LARGE_TASK_SHARE
            ):
                reservable.append(candidate)
        reservable.sort(key=lambda candidate: (-candidate.acc, -candidate.cpu))
        for candidate in reservable[: min(blocked, MAX_RESERVED_WORKERS)]:
            candidate.reserve(step)
            self.result.reserved_for[candidate.id] = step.key


class _Ranking:
    """Heap of the candidates for those tasks of a step that never failed.

    Such tasks are identical, and a placement changes only one candidate. All candidates
    are therefore scored once per step, and again only after a placement on them.
    """

    def __init__(
        self, planner_pass: _Pass, step: StepRun, candidates: list[Candidate]
    ) -> None:
        self.planner_pass = planner_pass
        self.step = step
        self._order = {
            candidate.id: number for number, candidate in enumerate(candidates)
        }
        self._heap: list[tuple] = []
        self._unscored = candidates

    def best(self) -> Candidate | None:
        """Return the best candidate, None if no further task fits."""
        if self._unscored:
            self._heap = [
                entry
                for candidate in self._unscored
                if (entry := self._heap_entry(candidate))
            ]
            heapq.heapify(self._heap)
            self._unscored = []
        while self._heap:
            score, _, candidate = self._heap[0]
            entry = self._heap_entry(candidate)
            if entry is not None and entry[0] == score:
                return candidate
            if entry is None:
                heapq.heappop(self._heap)
            else:
                heapq.heapreplace(self._heap, entry)
        return None

    def update(self, candidate: Candidate) -> None:
        """Score a candidate again after its free capacity has changed."""
        entry = None if self._unscored else self._heap_entry(candidate)
        if entry is not None:
            heapq.heappush(self._heap, entry)

    def _heap_entry(self, candidate: Candidate) -> tuple | None:
        if not self.planner_pass.admits(self.step, candidate):
            return None
        score = self.planner_pass.score(self.step, candidate, None)
        return score, self._order.get(candidate.id, len(self._order)), candidate


def is_long(step: StepRun) -> bool:
    """Return whether a slow run alone may use up the allowance of the objective.

    That is so from tasks that take as long as the time that the queue adds to the
    critical path: at half the speed, the task alone is late by all of it.
    """
    return step.spec.long_running or step.spec.estimate_ms >= step.job.queue.target_ms


def _eligible(step: StepRun, candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates that the step's label and placement policy admit."""
    if step.spec.required_label or step.job.queue.placement_policy is None:
        return [
            candidate for candidate in candidates if step.may_use(candidate.worker.info)
        ]
    return [candidate for candidate in candidates if candidate.id in step.allowed]
