"""Free capacity that a pool keeps for urgent work."""

import math
from collections.abc import Hashable, Iterable, Mapping
from typing import NamedTuple

from ..utils import Instant, Resources

__all__ = ["Headroom", "HeadroomTarget", "SlotBudget", "UrgentDemand"]

RATE_WINDOW_MS = 3000
"""Time constant in milliseconds of the arrival rate. Shorter ones follow the gaps
between single jobs; longer ones keep capacity idle after the arrivals have ended."""
MAX_SHARE_DIVISOR = 10
"""At most this part of a pool, a tenth, is kept free."""
MS_PER_S = 1000


class UrgentDemand(NamedTuple):
    """Urgent step that waits for capacity.

    Parameters
    ----------
    key : hashable
        Identifies the step.
    pool : str
        Service whose workers run the step.
    need : Resources
        What one task reserves.
    tasks : int
        Number of waiting tasks.
    query_ms : float
        Milliseconds that a query to the placement policy takes, 0 without a policy.
    """

    key: Hashable
    pool: str
    need: Resources
    tasks: int
    query_ms: float = 0.0


class HeadroomTarget(NamedTuple):
    """Number of urgent tasks of a size for which a pool keeps capacity free.

    Parameters
    ----------
    need : Resources
        Mean size of an urgent task.
    tasks : int
        Tasks that arrive while a preemption takes place.
    rate : float
        Urgent tasks that arrive per second.
    """

    need: Resources
    tasks: int
    rate: float


class _Arrivals:
    """Exponentially decayed sums of the urgent tasks that arrived in a pool."""

    def __init__(self, now: Instant) -> None:
        self.updated_at = now
        self.tasks = 0.0
        self.query_ms = 0.0
        self.amounts = (0.0, 0.0, 0.0)

    def decay(self, now: Instant) -> None:
        factor = math.exp(-max(0, now - self.updated_at) / RATE_WINDOW_MS)
        self.updated_at = now
        self.tasks *= factor
        self.query_ms *= factor
        self.amounts = tuple(amount * factor for amount in self.amounts)

    def add(self, demand: UrgentDemand) -> None:
        need = (
            demand.need.cpu_milli,
            demand.need.memory_mb,
            demand.need.accelerators,
        )
        self.tasks += demand.tasks
        self.query_ms += demand.tasks * demand.query_ms
        self.amounts = tuple(
            amount + demand.tasks * want
            for amount, want in zip(self.amounts, need, strict=True)
        )


class Headroom:
    """Learns from arrivals how much capacity each pool keeps for urgent work.

    Urgent work that finds no free capacity waits until another run has been stopped,
    and the stopped run pays for a restore. What arrives meanwhile is kept free instead:
    the arrival rate times the duration of a stop and a policy query.

    Parameters
    ----------
    stop_ms : int
        Milliseconds that a stop takes at most.

    Examples
    --------
    >>> headroom = Headroom(stop_ms=200)
    >>> headroom.observe([], 0)
    >>> for now in range(100, 9000, 100):
    ...     headroom.observe([UrgentDemand(now, "p", Resources(1000), 10)], now)
    >>> headroom.targets()["p"].tasks
    19
    """

    def __init__(self, stop_ms: int) -> None:
        self.stop_ms = stop_ms
        self._pools: dict[str, _Arrivals] = {}
        self._waiting: set[Hashable] | None = None

    def observe(self, waiting: Iterable[UrgentDemand], now: Instant) -> None:
        """Count the urgent steps that were not waiting at the previous call.

        What waits at the first call is a backlog, and its arrival times are unknown.

        Parameters
        ----------
        waiting : iterable of UrgentDemand
            All urgent steps that wait for capacity.
        now : Instant
            Current time.
        """
        known, self._waiting = self._waiting, set()
        for arrivals in self._pools.values():
            arrivals.decay(now)
        for demand in waiting:
            self._waiting.add(demand.key)
            if known is None or demand.key in known:
                continue
            arrivals = self._pools.get(demand.pool)
            if arrivals is None:
                arrivals = self._pools[demand.pool] = _Arrivals(now)
            arrivals.add(demand)

    def targets(self) -> Mapping[str, HeadroomTarget]:
        """Return what the pools with urgent arrivals should keep free."""
        targets = {}
        for pool, arrivals in self._pools.items():
            if arrivals.tasks <= 0.0:
                continue
            rate = arrivals.tasks * MS_PER_S / RATE_WINDOW_MS
            lead_ms = self.stop_ms + arrivals.query_ms / arrivals.tasks
            tasks = int(rate * lead_ms / MS_PER_S)
            if tasks:
                mean = (round(amount / arrivals.tasks) for amount in arrivals.amounts)
                targets[pool] = HeadroomTarget(Resources(*mean), tasks, rate)
        return targets


class SlotBudget:
    """Free capacity of a pool in one pass, counted in urgent tasks that fit.

    Free capacity that is too small for an urgent task on its worker does not count, so
    less urgent work may use it in any case.

    Parameters
    ----------
    target : HeadroomTarget
        What the pool should keep free.
    capacities : iterable of Resources
        Capacity of each worker.
    free : iterable of Resources
        Free capacity of each worker that starts runs.

    Attributes
    ----------
    kept : int
        Urgent tasks for which capacity is kept, at most a tenth of what fits in all.
    free_tasks : int
        Urgent tasks that fit into the free capacity.
    """

    def __init__(
        self,
        target: HeadroomTarget,
        capacities: Iterable[Resources],
        free: Iterable[Resources],
    ) -> None:
        self.need = target.need
        total = sum(self.slots(*_amounts(capacity)) for capacity in capacities)
        self.kept = min(target.tasks, total // MAX_SHARE_DIVISOR)
        self.recount(free)

    def recount(self, free: Iterable[Resources]) -> None:
        """Count what fits into the free capacity of each worker."""
        self.free_tasks = sum(self.slots(*_amounts(item)) for item in free)

    def slots(self, cpu: int, memory: int, accelerators: int) -> int:
        """Return how many urgent tasks fit into free capacity of one worker."""
        need = self.need
        count = None
        if need.cpu_milli:
            count = cpu // need.cpu_milli
        if need.memory_mb:
            fits = memory // need.memory_mb
            count = fits if count is None or fits < count else count
        if need.accelerators:
            fits = accelerators // need.accelerators
            count = fits if count is None or fits < count else count
        return max(0, count or 0)

    def cost(self, cpu: int, memory: int, acc: int, taken: Resources) -> int:
        """Return how many urgent tasks fewer fit once a worker runs another task."""
        return self.slots(cpu, memory, acc) - self.slots(
            cpu - taken.cpu_milli, memory - taken.memory_mb, acc - taken.accelerators
        )

    def admits(self, cpu: int, memory: int, acc: int, taken: Resources) -> bool:
        """Return whether less urgent work may take capacity of a worker.

        Parameters
        ----------
        cpu, memory, acc : int
            Free capacity of the worker.
        taken : Resources
            What the task reserves there.
        """
        cost = self.cost(cpu, memory, acc, taken)
        return not cost or self.free_tasks - cost >= self.kept


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return resources.cpu_milli, resources.memory_mb, resources.accelerators
