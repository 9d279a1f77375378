"""Placement of one job on the workers of a group, by kind of work."""

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
        Number of the task in its job.
    worker : InstanceId
        Where it goes.
    why : str
        Why there.
    """

    index: int
    worker: InstanceId
    why: str


class _Ledger:
    """Free resources of the candidates while a plan is made."""

    def __init__(self, views: list[WorkerView]) -> None:
        self.views = {view.id: view for view in views}
        self.free = {view.id: view.free for view in views}

    def fitting(self, need: Resources) -> list[InstanceId]:
        return [worker for worker, free in self.free.items() if need.fits_in(free)]

    def take(self, worker: InstanceId, need: Resources) -> None:
        self.free[worker] = self.free[worker] - need

    def leftover(self, worker: InstanceId, need: Resources) -> float:
        """Return the largest fraction of the worker that would stay free."""
        left = self.free[worker] - need
        return dominant_fraction(left, self.views[worker].capacity_)


@singledispatch
def plan_job(
    spec: JobSpec, job: Job, indices: list[int], views: list[WorkerView]
) -> list[Placement]:
    """Place waiting tasks of a job.

    Parameters
    ----------
    spec : ServiceSpec, BatchSpec or GangSpec
        Chooses the policy.
    job : Job
        The job.
    indices : list of int
        Tasks to place, as many as the team may start.
    views : list of WorkerView
        Workers that take work, in a fixed order.

    Returns
    -------
    list of Placement
        As many as fit; for a gang all or none.
    """
    raise TypeError(f"spec must be a job spec, got {spec!r}")


@plan_job.register
def _(
    spec: BatchSpec, job: Job, indices: list[int], views: list[WorkerView]
) -> list[Placement]:
    ledger = _Ledger(views)
    placements = []
    for index in indices:
        worker = _tightest(ledger, spec.resources)
        if worker is None:
            break
        ledger.take(worker, spec.resources)
        placements.append(Placement(index, worker, "batch: tightest fit"))
    return placements


@plan_job.register
def _(
    spec: GangSpec, job: Job, indices: list[int], views: list[WorkerView]
) -> list[Placement]:
    ledger = _Ledger(views)
    placements = []
    for index in indices:
        worker = _tightest(ledger, spec.resources)
        if worker is None:
            return []
        ledger.take(worker, spec.resources)
        why = f"gang: {len(indices)} tasks fit together, tightest fit"
        placements.append(Placement(index, worker, why))
    return placements


@plan_job.register
def _(
    spec: ServiceSpec, job: Job, indices: list[int], views: list[WorkerView]
) -> list[Placement]:
    ledger = _Ledger(views)
    counts, on_worker = _replica_counts(spec, job, ledger)
    placements = []
    for index in indices:
        fitting = ledger.fitting(spec.resources)
        if not fitting:
            break
        worker = min(
            fitting,
            key=lambda w: (
                counts[_domain(spec, ledger.views[w])],
                on_worker[w],
                -ledger.leftover(w, spec.resources),
            ),
        )
        domain = _domain(spec, ledger.views[worker])
        why = (
            f"service: {spec.spread.value} {domain} has the fewest replicas "
            f"({counts[domain]}), most room"
        )
        counts[domain] += 1
        on_worker[worker] += 1
        ledger.take(worker, spec.resources)
        placements.append(Placement(index, worker, why))
    return placements


def _tightest(ledger: _Ledger, need: Resources) -> InstanceId | None:
    fitting = ledger.fitting(need)
    if not fitting:
        return None
    return min(fitting, key=lambda worker: ledger.leftover(worker, need))


def _domain(spec: ServiceSpec, view: WorkerView) -> str:
    return view.rack if spec.spread is Spread.RACK else view.data_centre


def _replica_counts(
    spec: ServiceSpec, job: Job, ledger: _Ledger
) -> tuple[dict[str, int], dict[InstanceId, int]]:
    """Return the replicas that run now, by rack or data centre and by worker."""
    on_worker = dict.fromkeys(ledger.views, 0)
    counts = {_domain(spec, view): 0 for view in ledger.views.values()}
    for task in job.tasks:
        view = ledger.views.get(task.worker)
        if task.state is TaskState.ASSIGNED and view is not None:
            counts[_domain(spec, view)] += 1
            on_worker[view.id] += 1
    return counts, on_worker
