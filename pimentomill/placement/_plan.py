"""Placement of one job on the workers of a group, by type of job spec."""

from functools import singledispatch

import msgspec

from ..utils import InstanceId, Resources, dominant_fraction
from ..work import BatchSpec, GangSpec, Job, JobSpec, ServiceSpec, Spread, TaskState
from ..workers import WorkerView

__all__ = ["Placement", "plan_job"]


class Placement(msgspec.Struct, frozen=True):
    """Decision to run a waiting task on a worker.

    Parameters
    ----------
    index : int
        Index of the task in its job.
    worker : InstanceId
        Worker that runs the task.
    reason : str
        Reason for the choice of the worker.
    """

    index: int
    worker: InstanceId
    reason: str = msgspec.field(name="why")


class _FreeCapacity:
    """Free resources of the candidate workers while a job is planned."""

    def __init__(self, views: list[WorkerView]) -> None:
        self.views = {view.id: view for view in views}
        self.free = {view.id: view.free for view in views}

    def feasible_workers(self, need: Resources) -> list[InstanceId]:
        return [worker for worker, free in self.free.items() if need.fits_in(free)]

    def reserve(self, worker: InstanceId, need: Resources) -> None:
        self.free[worker] = self.free[worker] - need

    def remaining_fraction(self, worker: InstanceId, need: Resources) -> float:
        """Return the dominant free fraction of the worker after the reservation."""
        remaining = self.free[worker] - need
        return dominant_fraction(remaining, self.views[worker].capacity_)


@singledispatch
def plan_job(
    spec: JobSpec, job: Job, indices: list[int], views: list[WorkerView]
) -> list[Placement]:
    """Place waiting tasks of a job.

    Parameters
    ----------
    spec : ServiceSpec, BatchSpec or GangSpec
        Spec of the job; its type selects the placement algorithm.
    job : Job
        Job that the tasks belong to.
    indices : list of int
        Tasks to place, no more than the team may start.
    views : list of WorkerView
        Workers that accept tasks, in a fixed order.

    Returns
    -------
    list of Placement
        One for each task that fits; for a gang all tasks or none.
    """
    raise TypeError(f"spec must be a job spec, got {spec!r}")


@plan_job.register
def _(
    spec: BatchSpec, job: Job, indices: list[int], views: list[WorkerView]
) -> list[Placement]:
    capacity = _FreeCapacity(views)
    placements = []
    for index in indices:
        worker = _best_fit_worker(capacity, spec.resources)
        if worker is None:
            break
        capacity.reserve(worker, spec.resources)
        placements.append(Placement(index, worker, "batch: tightest fit"))
    return placements


@plan_job.register
def _(
    spec: GangSpec, job: Job, indices: list[int], views: list[WorkerView]
) -> list[Placement]:
    capacity = _FreeCapacity(views)
    placements = []
    for index in indices:
        worker = _best_fit_worker(capacity, spec.resources)
        if worker is None:
            return []
        capacity.reserve(worker, spec.resources)
        reason = f"gang: {len(indices)} tasks fit together, tightest fit"
        placements.append(Placement(index, worker, reason))
    return placements


@plan_job.register
def _(
    spec: ServiceSpec, job: Job, indices: list[int], views: list[WorkerView]
) -> list[Placement]:
    capacity = _FreeCapacity(views)
    per_domain, per_worker = _count_replicas(spec, job, capacity)
    placements = []
    for index in indices:
        feasible = capacity.feasible_workers(spec.resources)
        if not feasible:
            break
        worker = min(
            feasible,
            key=lambda w: (
                per_domain[_failure_domain(spec, capacity.views[w])],
                per_worker[w],
                -capacity.remaining_fraction(w, spec.resources),
            ),
        )
        domain = _failure_domain(spec, capacity.views[worker])
        reason = (
            f"service: {spec.spread.value} {domain} has the fewest replicas "
            f"({per_domain[domain]}), most room"
        )
        per_domain[domain] += 1
        per_worker[worker] += 1
        capacity.reserve(worker, spec.resources)
        placements.append(Placement(index, worker, reason))
    return placements


def _best_fit_worker(capacity: _FreeCapacity, need: Resources) -> InstanceId | None:
    feasible = capacity.feasible_workers(need)
    if not feasible:
        return None
    return min(feasible, key=lambda worker: capacity.remaining_fraction(worker, need))


def _failure_domain(spec: ServiceSpec, view: WorkerView) -> str:
    return view.rack if spec.spread is Spread.RACK else view.data_centre


def _count_replicas(
    spec: ServiceSpec, job: Job, capacity: _FreeCapacity
) -> tuple[dict[str, int], dict[InstanceId, int]]:
    """Count the assigned replicas by rack or data centre, and by worker."""
    per_worker = dict.fromkeys(capacity.views, 0)
    per_domain = {_failure_domain(spec, view): 0 for view in capacity.views.values()}
    for task in job.tasks:
        view = capacity.views.get(task.worker)
        if task.state is TaskState.ASSIGNED and view is not None:
            per_domain[_failure_domain(spec, view)] += 1
            per_worker[view.id] += 1
    return per_domain, per_worker
