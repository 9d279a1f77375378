"""Load of the full pools, as reported by the leader to all entries."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..utils import Resources, dominant_fraction
from ._pools import PoolCapacity

__all__ = ["LoadReport", "PoolLoad", "WaitingWork", "build_load_report", "rank_work"]

DUE_BOUNDS_MS = (0, 500, 1000, 2000, 4000, 8000, 16_000, 64_000)
"""Bounds of the times until waiting work is due, by which the report sums it up. They
double, as a prediction need not be better than within a factor of two."""
REPORTED_TEAMS = 2
"""Waiting teams in the report: two are enough to tell whether another one waits."""


EXCESS_RANK = 1_000_000
"""Added to the priority of work beyond a share, which comes after all other work."""


def rank_work(priority: int, is_excess: bool) -> int:
    """Return the rank of work by its priority; `is_excess` if it is beyond a share."""
    return priority + EXCESS_RANK if is_excess else priority


class PoolLoad(msgspec.Struct, frozen=True):
    """Waiting work of a full pool.

    Parameters
    ----------
    waits_ms : dict of int to list of int
        By rank, the milliseconds for which the whole pool is busy with the waiting
        work of that or a lower rank that is due within each of the times of
        `DUE_BOUNDS_MS`.
    teams : list of str
        Teams with waiting work, `REPORTED_TEAMS` at most.
    """

    waits_ms: dict[int, list[int]]
    teams: list[str]

    def wait_ms(self, rank: int, due_ms: float) -> int:
        """Return how long the pool is busy with work that comes before a new job.

        Parameters
        ----------
        rank : int
            Rank of the new job, see `rank_work`.
        due_ms : float
            Milliseconds until it is due.
        """
        known = [item for item in self.waits_ms if item <= rank]
        column = sum(bound <= due_ms for bound in DUE_BOUNDS_MS) - 1
        if not known or column < 0:
            return 0
        return self.waits_ms[max(known)][column]


class LoadReport(msgspec.Struct, frozen=True):
    """Load of the cell as measured by a leader.

    Parameters
    ----------
    epoch : int
        Epoch of the leader.
    age_ms : int
        Time from the measurement to the sending of the report, in milliseconds.
    full_pools : dict of str to PoolLoad
        Load of the pools with more waiting tasks than free capacity, by service.
    """

    epoch: int
    age_ms: int
    full_pools: dict[str, PoolLoad]


class WaitingWork(NamedTuple):
    """Waiting tasks of a step that are still of use.

    Parameters
    ----------
    pool : str
        Service whose workers run the tasks.
    team : str
        Team that has submitted the job.
    rank : int
        Rank of the job, see `rank_work`.
    due_ms : float
        Milliseconds until the job is due, negative if it is late.
    need : Resources
        What one task reserves.
    tasks : int
        Number of waiting tasks.
    task_ms : int
        Declared duration of a task in milliseconds.
    """

    pool: str
    team: str
    rank: int
    due_ms: float
    need: Resources
    tasks: int
    task_ms: int


def build_load_report(
    epoch: int,
    full_pools: Iterable[str],
    waiting: Iterable[WaitingWork],
    workers: Iterable[PoolCapacity],
) -> LoadReport:
    """Sum up the waiting work of the full pools.

    Running work and work that is not ready yet do not count, so a predicted wait is
    rather too short: a job is refused only if it is sure to come too late.
    """
    totals: dict[str, Resources] = {}
    for worker in workers:
        pool = worker.pool
        known = totals.get(pool)
        totals[pool] = worker.total if known is None else known + worker.total
    busy_ms: dict[str, dict[int, list[float]]] = {pool: {} for pool in full_pools}
    teams: dict[str, list[str]] = {pool: [] for pool in busy_ms}
    for work in waiting:
        if work.pool not in busy_ms or work.pool not in totals:
            continue
        if work.team not in teams[work.pool] and len(teams[work.pool]) < REPORTED_TEAMS:
            teams[work.pool].append(work.team)
        fraction = dominant_fraction(work.need, totals[work.pool])
        columns = busy_ms[work.pool].setdefault(work.rank, [0.0] * len(DUE_BOUNDS_MS))
        for number, bound in enumerate(DUE_BOUNDS_MS):
            if work.due_ms <= bound:
                columns[number] += fraction * work.tasks * work.task_ms
    pools = {
        pool: PoolLoad(_accumulate(busy_ms[pool]), teams[pool]) for pool in busy_ms
    }
    return LoadReport(epoch, 0, pools)


def _accumulate(busy_ms: dict[int, list[float]]) -> dict[int, list[int]]:
    """Add the work of all lower ranks to that of each rank."""
    sums = [0.0] * len(DUE_BOUNDS_MS)
    waits_ms = {}
    for rank in sorted(busy_ms):
        sums = [a + b for a, b in zip(sums, busy_ms[rank], strict=True)]
        waits_ms[rank] = [round(item) for item in sums]
    return waits_ms
