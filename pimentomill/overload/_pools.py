"""Which pools have more waiting tasks than free capacity."""

from collections.abc import Iterable
from typing import NamedTuple

from ..utils import ZERO, Resources, dominant_fraction

__all__ = ["PoolCapacity", "PoolDemand", "find_full_pools"]

MIN_FREE_DIVISOR = 10
"""A pool with free capacity for at least this part of all tasks that fit, a tenth, is
not full: its waiting work waits for something else, such as a placement policy."""
MIN_USED_FRACTION = 0.5
"""A pool of which less is in use is not full, even if large tasks find no room."""


class PoolDemand(NamedTuple):
    """Waiting tasks of one size in a pool.

    Parameters
    ----------
    pool : str
        Service whose workers run the tasks.
    need : Resources
        What one task reserves.
    tasks : int
        Number of waiting tasks.
    """

    pool: str
    need: Resources
    tasks: int


class PoolCapacity(NamedTuple):
    """Capacity of a worker that may start runs.

    Parameters
    ----------
    pool : str
        Service that the worker belongs to.
    total, free : Resources
        Capacity, and what is free of it.
    """

    pool: str
    total: Resources
    free: Resources


def find_full_pools(
    demands: Iterable[PoolDemand], workers: Iterable[PoolCapacity]
) -> frozenset[str]:
    """Return the pools whose waiting tasks exceed what is free.

    Tasks are counted by their mean size. Free capacity that is too small for such a
    task does not count.

    Examples
    --------
    >>> worker = PoolCapacity("p", Resources(1000), Resources(200))
    >>> find_full_pools([PoolDemand("p", Resources(500), 1)], [worker])
    frozenset({'p'})
    """
    waiting: dict[str, int] = {}
    sums: dict[str, Resources] = {}
    for demand in demands:
        pool, need = demand.pool, demand.need
        waiting[pool] = waiting.get(pool, 0) + demand.tasks
        amount = Resources(
            need.cpu_milli * demand.tasks,
            need.memory_mb * demand.tasks,
            need.accelerators * demand.tasks,
        )
        sums[pool] = sums[pool] + amount if pool in sums else amount
    needs = {pool: _divide(sums[pool], tasks) for pool, tasks in waiting.items()}
    fitting = dict.fromkeys(needs, 0)
    free = dict.fromkeys(needs, 0)
    total = dict.fromkeys(needs, ZERO)
    used = dict.fromkeys(needs, ZERO)
    for worker in workers:
        need = needs.get(worker.pool)
        if need is not None:
            total[worker.pool] += worker.total
            used[worker.pool] += worker.total - worker.free
            fitting[worker.pool] += _count(worker.total, need)
            free[worker.pool] += _count(worker.free, need)
    return frozenset(
        pool
        for pool, tasks in waiting.items()
        if tasks > free[pool]
        and free[pool] * MIN_FREE_DIVISOR < fitting[pool]
        and dominant_fraction(used[pool], total[pool]) >= MIN_USED_FRACTION
    )


def _divide(total: Resources, tasks: int) -> Resources:
    return Resources(
        round(total.cpu_milli / tasks),
        round(total.memory_mb / tasks),
        round(total.accelerators / tasks),
    )


def _count(capacity: Resources, need: Resources) -> int:
    """Return how many tasks of a size fit into a capacity."""
    pairs = (
        (capacity.cpu_milli, need.cpu_milli),
        (capacity.memory_mb, need.memory_mb),
        (capacity.accelerators, need.accelerators),
    )
    return max(0, min((have // want for have, want in pairs if want > 0), default=0))
