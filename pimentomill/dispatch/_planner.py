"""Placement of waiting tasks on workers."""

import heapq
import math
from collections import defaultdict
from collections.abc import Hashable, Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from ..fleet import Worker
from ..jobs import StepKey, TaskKey, WorkerId
from ..utils import ZERO, Instant, Resources, dominant_fraction
from ._isolation import Isolation, is_quiet
from ._order import Feasibility, assess_feasibility
from ._quota import QuotaBook
from ._state import StepRun

__all__ = ["Placement", "Plan", "Planner"]

LARGE_TASK_DIVISOR = 2
"""A task that needs more than this part of a worker, a half, is hard to place once the
worker is shared."""
LARGE_TASK_SHARE = 1 / LARGE_TASK_DIVISOR
MAX_COUNTED_FAILURES = 3
"""Consecutive failures beyond which further ones do not lower the rank."""
SLOW_FACTOR = 1.15
"""Slowness above which urgent tasks avoid a worker; kinds of workers differ by 1.3."""
FREE_CAPACITY_WEIGHT = 0.3
"""Weight of free capacity against alignment: large tasks need whole workers."""
MAX_TICKET_WAIT_MS = 2000
"""Time for which capacity is held for a step whose policy queries fail. Work that could
run there must not wait for 3 s."""
NO_CLAIMS: Mapping = MappingProxyType({})
MAX_RESERVED_WORKERS = 2
"""Workers reserved per step; more would idle more capacity than the step needs."""
CROWDED_DIVISOR = 2
"""A pool is crowded if this part of one of its resources, a half, is in use."""


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
    """

    def __init__(self) -> None:
        self.placements: list[Placement] = []
        self.missing_tickets: list[tuple[StepRun, list[WorkerId]]] = []
        self.reserved_for: dict[WorkerId, StepKey] = {}


class _Candidate:
    """Capacity of a worker that the pass has not allocated yet."""

    __slots__ = (
        "_vacated",
        "acc",
        "allocated",
        "cpu",
        "failures",
        "id",
        "is_held_by_backfills",
        "is_slow",
        "is_suspect",
        "is_trusted",
        "kept_for",
        "mem",
        "others_free",
        "reserved_for",
        "step_counts",
        "worker",
    )

    def __init__(self, worker: Worker, is_trusted: bool) -> None:
        free = worker.free
        self.worker = worker
        self.is_trusted = is_trusted
        self.is_suspect = worker.is_suspect
        self.is_slow = worker.slowness > SLOW_FACTOR
        self.failures = min(worker.consecutive_failed_jobs, MAX_COUNTED_FAILURES)
        self.id = worker.info.worker
        self.cpu = free.cpu_milli
        self.mem = free.memory_mb
        self.acc = free.accelerators
        self.step_counts: dict = {}
        self.reserved_for: StepKey | None = None
        self.others_free = ZERO
        self.is_held_by_backfills = False
        self.allocated = 0
        self._vacated: Resources | None = None
        self.kept_for: Hashable | None = None

    def vacated_capacity(self) -> Resources:
        """Return the capacity that is free once all runs that end by themselves have.

        Runs that last leave only when their job is cancelled.
        """
        if self._vacated is None:
            vacated = self.worker.info.capacity
            for attempt in self.worker.attempts.values():
                if attempt.is_long_running:
                    vacated = vacated - attempt.reserved
            self._vacated = vacated
        return self._vacated

    def fits(self, step: StepRun, ignores_reservation: bool) -> bool:
        need = step.spec.reserved
        if (
            need.cpu_milli > self.cpu
            or need.memory_mb > self.mem
            or need.accelerators > self.acc
        ):
            return False
        if self.is_suspect and self.allocated and self.is_trusted:
            return False
        if ignores_reservation and self.admits_backfill(step):
            return True
        return self.reserved_for in (None, step.key) or need.fits_in(self.others_free)

    def admits_backfill(self, step: StepRun) -> bool:
        """Return whether one more step may use the worker despite its reservation.

        Once the reservation waits for nothing but earlier backfills, further ones would
        postpone it without end.
        """
        return step.spec.long_running or not self.is_held_by_backfills

    def reserve(self, step: StepRun) -> None:
        """Limit other steps to the capacity that a task of this step leaves unused."""
        own_count = sum(task.step_key == step.key for task in self.worker.attempts)
        others_used = self.worker.used - step.spec.reserved * own_count
        capacity = self.worker.info.capacity
        self.others_free = capacity - step.spec.reserved - others_used
        self.reserved_for = step.key
        awaited = [
            attempt
            for task, attempt in self.worker.attempts.items()
            if task.step_key != step.key and not attempt.is_long_running
        ]
        self.is_held_by_backfills = bool(awaited) and all(
            attempt.is_backfill for attempt in awaited
        )

    def allocate(self, step: StepRun) -> None:
        need = step.spec.reserved
        self.allocated += 1
        if self.reserved_for not in (None, step.key):
            self.others_free = self.others_free - need
        self.cpu -= need.cpu_milli
        self.mem -= need.memory_mb
        self.acc -= need.accelerators

    def withhold(self, claimed: Resources) -> None:
        # What is free is negative where the capacity has shrunk below what runs.
        self.cpu = min(self.cpu, max(0, self.cpu - claimed.cpu_milli))
        self.mem = min(self.mem, max(0, self.mem - claimed.memory_mb))
        self.acc = min(self.acc, max(0, self.acc - claimed.accelerators))

    def release(self, step: StepRun) -> None:
        need = step.spec.reserved
        self.allocated -= 1
        if self.reserved_for not in (None, step.key):
            self.others_free = self.others_free + need
        self.cpu += need.cpu_milli
        self.mem += need.memory_mb
        self.acc += need.accelerators


class _Pool:
    """Candidates of one service.

    A full cell has many waiting steps that fit on no worker. Capacity only shrinks in
    the course of a pass, so a need that fits nowhere is remembered, and steps that need
    at least as much are passed over.
    """

    def __init__(self) -> None:
        self.candidates: list[_Candidate] = []
        self._fits_nowhere: list[Resources] = []
        self._capacities: set[Resources] = set()
        self._small_needs: dict[Resources, bool] = {}
        self._capacity = ZERO
        self._used = ZERO

    def add(self, candidate: _Candidate) -> None:
        capacity = candidate.worker.info.capacity
        self.candidates.append(candidate)
        self._capacities.add(capacity)
        self._capacity = self._capacity + capacity
        self._used = self._used + candidate.worker.used

    def is_crowded(self) -> bool:
        """Return whether much of any resource was in use before the pass."""
        used, capacity = self._used * CROWDED_DIVISOR, self._capacity
        return (
            0 < capacity.cpu_milli <= used.cpu_milli
            or 0 < capacity.memory_mb <= used.memory_mb
            or 0 < capacity.accelerators <= used.accelerators
        )

    def withhold(self, capacity: Mapping[WorkerId, Resources]) -> None:
        """Keep capacity from all further steps, as far as it is free."""
        for candidate in self.candidates:
            claimed = capacity.get(candidate.id)
            if claimed is not None:
                candidate.withhold(claimed)

    def is_out_of_reach(self, step: StepRun) -> bool:
        """Return whether a step can neither be placed nor have a worker reserved."""
        need = step.spec.reserved
        return self._is_small(need) and self._is_too_full(need)

    def _is_small(self, need: Resources) -> bool:
        """Return whether no worker is ever reserved for a need.

        It is large only for a worker that it fits on, if it takes most of it.
        """
        is_small = self._small_needs.get(need)
        if is_small is None:
            multiple = need * LARGE_TASK_DIVISOR
            is_small = self._small_needs[need] = all(
                multiple.fits_in(capacity) or not need.fits_in(capacity)
                for capacity in self._capacities
            )
        return is_small

    def _is_too_full(self, need: Resources) -> bool:
        if any(smaller.fits_in(need) for smaller in self._fits_nowhere):
            return True
        cpu, memory, acc = need.cpu_milli, need.memory_mb, need.accelerators
        for candidate in self.candidates:
            if (
                cpu <= candidate.cpu
                and memory <= candidate.mem
                and acc <= candidate.acc
            ):
                return False
        self._fits_nowhere.append(need)
        return True


class Planner:
    """Assigns waiting tasks to workers with free capacity.

    Parameters
    ----------
    quotas : QuotaBook
        Resource limits of teams.
    """

    def __init__(self, quotas: QuotaBook) -> None:
        self.quotas = quotas
        self.isolation = Isolation()

    def plan(
        self,
        now: Instant,
        steps: Iterable[StepRun],
        workers: Iterable[Worker],
        claims: Mapping[StepKey, Mapping[WorkerId, Resources]] = NO_CLAIMS,
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

        Returns
        -------
        Plan
            Placements that respect the capacity of workers and the limits of teams.
        """
        return _Pass(self.quotas, self.isolation, now, workers, claims).run(steps)


class _Pass:
    def __init__(
        self, quotas: QuotaBook, isolation: Isolation, now: Instant, workers, claims
    ) -> None:
        self.quotas = quotas
        self.isolation = isolation
        self.claims = claims
        self.now = now
        self.pools: defaultdict[str, _Pool] = defaultdict(_Pool)
        for worker in workers:
            if worker.accepts_runs():
                candidate = _Candidate(worker, worker.can_start(now))
                candidate.kept_for = isolation.holder_of(worker, now)
                self.pools[worker.info.service].add(candidate)
        self.planned: dict[str, Resources] = {}
        self.result = Plan()
        self._ignores_reservations = False

    def run(self, steps: Iterable[StepRun]) -> Plan:
        for step in steps:
            pool = self.pools.get(step.job.queue.service)
            if pool is None:
                continue
            placed_before = len(self.result.placements)
            if not pool.is_out_of_reach(step):
                self._ignores_reservations = self._may_ignore_reservations(step, pool)
                self._place_step(step, pool.candidates)
            if step.key in self.claims and len(self.result.placements) == placed_before:
                pool.withhold(self.claims[step.key])
        return self.result

    def _may_ignore_reservations(self, step: StepRun, pool: _Pool) -> bool:
        """Return whether a step may use workers reserved for others.

        A reservation lasts as long as the runs that it waits for. In a pool that is
        mostly free it protects its step from no crowd, and the other step may have no
        worker but this one. Lasting tasks have to run however full the pool is.
        """
        if not step.lacks_runs(self.now):
            return False
        return step.spec.long_running or not pool.is_crowded()

    def _place_step(self, step: StepRun, candidates: list[_Candidate]) -> None:
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
        self, step: StepRun, trusted: list[_Candidate], eligible: list[_Candidate]
    ) -> list[_Candidate]:
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

    def _max_more(self, step: StepRun, candidate: _Candidate) -> int:
        """Return how many more tasks of a step may be placed on a candidate."""
        if not self.admits(step, candidate):
            return 0
        free = Resources(candidate.cpu, candidate.mem, candidate.acc)
        return _max_tasks(step, free)

    def _place_tasks(self, step: StepRun, candidates: list[_Candidate]) -> int:
        """Place tasks in order; return 1 if one does not fit on any worker, else 0."""
        unplaced = 0
        without_ticket: list[_Candidate] = []
        suspects_without_ticket: list[_Candidate] = []
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
        step: StepRun, index: int, candidate: _Candidate, ticket: str
    ) -> Placement:
        """Return the placement of a task that has been allocated."""
        is_reserved = candidate.reserved_for not in (None, step.key)
        is_backfill = is_reserved and not ZERO.fits_in(candidate.others_free)
        return Placement(step, index, candidate.worker, ticket, is_backfill)

    def _request_tickets(
        self,
        step: StepRun,
        allocated: list[_Candidate],
        others: Iterable[_Candidate] = (),
    ) -> None:
        """Request tickets, and hold the allocated capacity unless that takes too long.

        Parameters
        ----------
        step : StepRun
            Step that holds no ticket for some of the candidates.
        allocated : list of _Candidate
            Candidate of each task that was allocated and has no ticket.
        others : iterable of _Candidate, default=()
            Further candidates to request tickets for, of which nothing was allocated.
        """
        wanted = sorted({candidate.id for candidate in (*allocated, *others)})
        self.result.missing_tickets.append((step, wanted))
        since = step.unanswered_since
        if since is not None and self.now - since >= MAX_TICKET_WAIT_MS:
            self._deallocate(step, allocated)

    def _place_suspects(
        self, step: StepRun, indices: list[int], candidates: list[_Candidate]
    ) -> list[_Candidate]:
        """Start suspected tasks isolated; return the candidates that lack a ticket."""
        without_ticket: list[_Candidate] = []
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
        self, step: StepRun, candidates: list[_Candidate]
    ) -> list[_Candidate]:
        limit = step.spec.max_per_worker
        return [c for c in candidates if not limit or self._count(step, c) < limit]

    def _reliable(
        self, step: StepRun, index: int, candidates: list[_Candidate]
    ) -> list[_Candidate]:
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
        return reliable

    def _place_gang(self, step: StepRun, candidates: list[_Candidate]) -> int:
        """Place all tasks or none; return the number of tasks that do not fit.

        A gang beyond the limit of its team does not wait for a worker.
        """
        if not step.waiting or step.active:
            return 0
        if not self._within_limit(step, step.spec.count):
            return 0
        groups = [candidates]
        if step.spec.rack_sensitive:
            racks: dict[str, list[_Candidate]] = {}
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
        self, step: StepRun, candidates: list[_Candidate]
    ) -> list[_Candidate] | None:
        chosen: list[_Candidate] = []
        for _ in range(step.spec.count):
            candidate = self._best_candidate(step, candidates, 0)
            if candidate is None:
                self._deallocate(step, chosen)
                return None
            self._allocate(step, candidate)
            chosen.append(candidate)
        return chosen

    def _isolate_gang(self, step: StepRun, chosen: list[_Candidate]) -> bool:
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

    def _start_gang(self, step: StepRun, chosen: list[_Candidate]) -> None:
        tickets = [self._ticket(step, candidate.id) for candidate in chosen]
        if None in tickets:
            self._request_tickets(step, chosen)
            return
        for index, (candidate, ticket) in enumerate(zip(chosen, tickets, strict=True)):
            placement = self._placement(step, index, candidate, ticket)
            self.result.placements.append(placement)

    def _best_candidate(self, step: StepRun, candidates: list[_Candidate], index: int):
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

    def admits(self, step: StepRun, candidate: _Candidate) -> bool:
        """Return whether one more task of a step may be placed on a candidate."""
        kept_for = candidate.kept_for
        if kept_for is not None and kept_for != step.key:
            return False
        if not candidate.fits(step, self._ignores_reservations):
            return False
        limit = step.spec.max_per_worker
        return not limit or self._count(step, candidate) < limit

    def score(
        self, step: StepRun, candidate: _Candidate, last_worker: WorkerId | None
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
        misalignment = _misalignment(spec.need, candidate)
        urgent = step.job.queue.priority == 0
        lacks_ticket = (
            step.job.queue.placement_policy is not None
            and self._ticket(step, candidate.id) is None
        )
        # Kinds of workers differ in speed; only urgent work is sensitive to it.
        slow = urgent and candidate.is_slow
        return (failures, is_retry, off_rack, slow, lacks_ticket, misalignment)

    @staticmethod
    def _count_loaded_tasks(candidate: _Candidate) -> int:
        return sum(attempt.load > 0 for attempt in candidate.worker.attempts.values())

    def _count(self, step: StepRun, candidate: _Candidate) -> int:
        count = candidate.step_counts.get(step.key)
        if count is None:
            count = sum(task.step_key == step.key for task in candidate.worker.attempts)
            candidate.step_counts[step.key] = count
        return count

    def _allocate(self, step: StepRun, candidate: _Candidate) -> None:
        candidate.allocate(step)
        candidate.step_counts[step.key] = self._count(step, candidate) + 1
        team = step.job.accepted.team
        self.planned[team] = self.planned.get(team, ZERO) + step.spec.need

    def _deallocate(self, step: StepRun, candidates: list[_Candidate]) -> None:
        """Undo one allocation of a step for each given candidate."""
        team = step.job.accepted.team
        for candidate in candidates:
            candidate.release(step)
            candidate.step_counts[step.key] -= 1
            self.planned[team] = self.planned[team] - step.spec.need

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
        self, step: StepRun, candidates: list[_Candidate], blocked: int
    ) -> None:
        """Reserve workers against later steps for tasks that need most of a worker."""
        if step.job.over_share or not _fits_vacated_workers(step, candidates):
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
        self, planner_pass: _Pass, step: StepRun, candidates: list[_Candidate]
    ) -> None:
        self.planner_pass = planner_pass
        self.step = step
        self._order = {
            candidate.id: number for number, candidate in enumerate(candidates)
        }
        self._heap: list[tuple] = []
        self._unscored = candidates

    def best(self) -> _Candidate | None:
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

    def update(self, candidate: _Candidate) -> None:
        """Score a candidate again after its free capacity has changed."""
        entry = None if self._unscored else self._heap_entry(candidate)
        if entry is not None:
            heapq.heappush(self._heap, entry)

    def _heap_entry(self, candidate: _Candidate) -> tuple | None:
        if not self.planner_pass.admits(self.step, candidate):
            return None
        score = self.planner_pass.score(self.step, candidate, None)
        return score, self._order.get(candidate.id, len(self._order)), candidate


def _eligible(step: StepRun, candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the candidates that the step's label and placement policy admit."""
    if step.spec.required_label or step.job.queue.placement_policy is None:
        return [
            candidate for candidate in candidates if step.may_use(candidate.worker.info)
        ]
    return [candidate for candidate in candidates if candidate.id in step.allowed]


def _misalignment(need: Resources, candidate: _Candidate) -> float:
    """Return how poorly a task's need matches a worker's free capacity.

    The cosine of the angle between both vectors decides, so that no resource is
    exhausted while others stay idle. Among equal matches, the fuller worker wins.
    """
    capacity = candidate.worker.info.capacity
    pairs = (
        (need.cpu_milli, candidate.cpu, capacity.cpu_milli),
        (need.memory_mb, candidate.mem, capacity.memory_mb),
        (need.accelerators, candidate.acc, capacity.accelerators),
    )
    dot_product = wanted = free = total = 0.0
    for want, have, whole in pairs:
        if whole:
            need_fraction, free_fraction = want / whole, have / whole
            dot_product += need_fraction * free_fraction
            wanted += need_fraction * need_fraction
            free += free_fraction * free_fraction
            total += free_fraction
    if not wanted or not free:
        return FREE_CAPACITY_WEIGHT * total
    return FREE_CAPACITY_WEIGHT * total - dot_product / math.sqrt(wanted * free)


def _fits_vacated_workers(step: StepRun, candidates: list[_Candidate]) -> bool:
    """Return whether the step could be placed once the workers' runs have ended.

    Workers reserved for a step that fits nowhere would stay idle forever.
    """
    remaining = step.spec.count if step.spec.gang else 1
    for candidate in candidates:
        remaining -= _max_tasks(step, candidate.vacated_capacity())
        if remaining <= 0:
            return True
    return False


def _max_tasks(step: StepRun, capacity: Resources) -> int:
    need = step.spec.reserved
    pairs = (
        (need.cpu_milli, capacity.cpu_milli),
        (need.memory_mb, capacity.memory_mb),
        (need.accelerators, capacity.accelerators),
    )
    count = min((max(0, have) // want for want, have in pairs if want), default=1)
    limit = step.spec.max_per_worker
    return min(count, limit) if limit else count
