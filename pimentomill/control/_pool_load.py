"""Load of the pools under a leader, for shares and for the admission of submissions."""

from collections.abc import Collection, Iterator

from ..dispatch import Feasibility, StepRun, assess_feasibility, objective_ms
from ..fleet import Worker
from ..overload import (
    LoadReport,
    PoolCapacity,
    PoolDemand,
    WaitingWork,
    build_load_report,
    find_full_pools,
    rank_work,
)
from ..utils import Instant

__all__ = ["measure_load", "pools_without_room"]


def pools_without_room(
    ready: Collection[StepRun], workers: Collection[Worker]
) -> frozenset[str]:
    """Return the services whose waiting tasks exceed the free capacity."""
    demands = (
        PoolDemand(step.job.queue.service, step.spec.reserved, len(step.waiting))
        for step in ready
    )
    return find_full_pools(demands, _capacities(workers))


def measure_load(
    epoch: int,
    full_pools: frozenset[str],
    ready: Collection[StepRun],
    workers: Collection[Worker],
    now: Instant,
) -> LoadReport:
    """Return the report on the waiting work of the full pools.

    Work that is too late does not count: it comes after a new job.
    """
    waiting = (
        WaitingWork(
            step.job.queue.service,
            step.job.accepted.team,
            rank_work(step.job.queue.priority, step.job.over_share),
            step.job.seen_at + objective_ms(step.job) - now,
            step.spec.reserved,
            len(step.waiting),
            step.spec.estimate_ms,
        )
        for step in ready
        if step.job.queue.service in full_pools and _is_of_use(step, now)
    )
    return build_load_report(epoch, full_pools, waiting, _capacities(workers))


def _is_of_use(step: StepRun, now: Instant) -> bool:
    if step.spec.long_running:
        return False
    return assess_feasibility(step, now) is not Feasibility.TOO_LATE


def _capacities(workers: Collection[Worker]) -> Iterator[PoolCapacity]:
    for worker in workers:
        if worker.accepts_runs():
            info = worker.info
            yield PoolCapacity(info.service, info.capacity, worker.free)
