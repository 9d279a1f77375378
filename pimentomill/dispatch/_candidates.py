"""Free capacity of workers and of pools in a pass of the planner."""

import math
from collections.abc import Hashable, Mapping

from ..fleet import Worker
from ..jobs import StepKey, WorkerId
from ..overload import HeadroomTarget, SlotBudget
from ..utils import ZERO, Resources
from ._state import StepRun

__all__ = [
    "LARGE_TASK_SHARE",
    "Candidate",
    "Pool",
    "fits_vacated_workers",
    "max_tasks",
    "misalignment_of",
]

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
CROWDED_DIVISOR = 2
"""A pool is crowded if this part of one of its resources, a half, is in use."""


class Candidate:
    """Capacity of a worker that the pass has not allocated yet."""

    __slots__ = (
        "_vacated",
        "acc",
        "allocated",
        "band",
        "cpu",
        "failures",
        "far_band",
        "id",
        "is_cold",
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
        self.is_cold = False
        self.is_slow = worker.slowness > SLOW_FACTOR
        self.is_cold = False
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
        self.band = 0
        self.far_band = 0

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

    def leaves(self, step: StepRun, budget: SlotBudget) -> bool:
        """Return whether a task may use the worker in view of urgent arrivals."""
        if not self.is_trusted:
            return True
        return budget.admits(self.cpu, self.mem, self.acc, step.spec.reserved)

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


class Pool:
    """Candidates of one service.

    A full cell has many waiting steps that fit on no worker. Capacity only shrinks in
    the course of a pass, so a need that fits nowhere is remembered, and steps that need
    at least as much are passed over.
    """

    def __init__(self) -> None:
        self.candidates: list[Candidate] = []
        self._fits_nowhere: list[Resources] = []
        self._held_back: list[Resources] = []
        self._capacities: set[Resources] = set()
        self._small_needs: dict[Resources, bool] = {}
        self._capacity = ZERO
        self._used = ZERO

    def add(self, candidate: Candidate) -> None:
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

    def slot_budget(self, target: HeadroomTarget) -> SlotBudget:
        """Return the capacity to keep for urgent work, before any is allocated."""
        capacities = [found.worker.info.capacity for found in self.candidates]
        return SlotBudget(target, capacities, self.free())

    def free(self) -> list[Resources]:
        """Return what is free on each worker that starts runs."""
        return [
            Resources(found.cpu, found.mem, found.acc)
            for found in self.candidates
            if found.is_trusted
        ]

    def is_held_back(self, step: StepRun, budget: SlotBudget) -> bool:
        """Return whether a step fits only where capacity is kept for urgent work.

        A step that may have a worker reserved is not passed over.
        """
        need = step.spec.reserved
        if not self._is_small(need):
            return False
        if any(smaller.fits_in(need) for smaller in self._held_back):
            return True
        cpu, memory, acc = need.cpu_milli, need.memory_mb, need.accelerators
        for found in self.candidates:
            fits = cpu <= found.cpu and memory <= found.mem and acc <= found.acc
            if fits and found.leaves(step, budget):
                return False
        self._held_back.append(need)
        return True

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


def misalignment_of(need: Resources, candidate: Candidate) -> float:
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


def fits_vacated_workers(step: StepRun, candidates: list[Candidate]) -> bool:
    """Return whether the step could be placed once the workers' runs have ended.

    Workers reserved for a step that fits nowhere would stay idle forever.
    """
    remaining = step.spec.count if step.spec.gang else 1
    for candidate in candidates:
        remaining -= max_tasks(step, candidate.vacated_capacity())
        if remaining <= 0:
            return True
    return False


def max_tasks(step: StepRun, capacity: Resources) -> int:
    """Return how many tasks of a step fit into the capacity of one worker."""
    need = step.spec.reserved
    pairs = (
        (need.cpu_milli, capacity.cpu_milli),
        (need.memory_mb, capacity.memory_mb),
        (need.accelerators, capacity.accelerators),
    )
    count = min((max(0, have) // want for want, have in pairs if want), default=1)
    limit = step.spec.max_per_worker
    return min(count, limit) if limit else count
