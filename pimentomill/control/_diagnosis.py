"""Diagnosis of waiting steps for the log."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..dispatch import Plan, QuotaBook, StepRun, assess_feasibility
from ..fleet import Worker
from ..jobs import StepKey, WorkerId
from ..utils import Instant

__all__ = [
    "NOT_ALLOWED",
    "QueueLoad",
    "Reservation",
    "ReservationTracker",
    "queue_loads",
    "waiting_causes",
]

NOT_ALLOWED = "not allowed"
BEYOND_SHARE = "beyond share"
EVACUATED = "evacuated"


class QueueLoad(NamedTuple):
    """Tasks of one queue, by how their jobs stand to their objectives.

    Parameters
    ----------
    queue, pool : str
        Name of the queue, and the service whose workers run it.
    priority : int
        Priority of the queue.
    running, waiting : dict of str to int
        Count of tasks by outlook.
    unasked : int
        Waiting tasks for which no policy query has been answered.
    """

    queue: str
    pool: str
    priority: int
    running: dict[str, int]
    waiting: dict[str, int]
    unasked: int


class Reservation(NamedTuple):
    """A worker that is reserved for a step, and what keeps the step from it.

    Parameters
    ----------
    worker : WorkerId
        Reserved worker.
    step : StepKey
        Step that the worker is reserved for.
    reserved_ms : int
        Milliseconds since the reservation began.
    free : str
        Free capacity of the worker.
    runs : dict of str to int
        Progress in percent of the runs on the worker, by task.
    """

    worker: WorkerId
    step: StepKey
    reserved_ms: int
    free: str
    runs: dict[str, int]


class ReservationTracker:
    """Records since when each worker has been reserved for the same step."""

    def __init__(self) -> None:
        self._since: dict[tuple[WorkerId, StepKey], Instant] = {}

    def update(self, reserved_for: Mapping[WorkerId, StepKey], now: Instant) -> None:
        """Apply the reservations of the latest plan."""
        self._since = {
            pair: self._since.get(pair, now) for pair in reserved_for.items()
        }

    def report(
        self, workers: Mapping[WorkerId, Worker], now: Instant
    ) -> list[Reservation]:
        """Return the reservations, the oldest first.

        Parameters
        ----------
        workers : mapping of WorkerId to Worker
            Known workers; reservations of others are left out.
        now : Instant
            Current time.
        """
        found = sorted(self._since.items(), key=lambda item: item[1])
        return [
            Reservation(
                name,
                step,
                now - since,
                workers[name].free.describe(),
                _percent_by_task(workers[name]),
            )
            for (name, step), since in found
            if name in workers
        ]


def _percent_by_task(worker: Worker) -> dict[str, int]:
    return {
        f"{task.job}.{task.occurrence}.{task.step}.{task.index}": run.percent
        for task, run in worker.attempts.items()
    }


def queue_loads(steps: Iterable[StepRun], now: Instant) -> list[QueueLoad]:
    """Return the running and waiting tasks of each queue.

    Parameters
    ----------
    steps : iterable of StepRun
        Unfinished steps whose predecessors are done.
    now : Instant
        Current time.

    Returns
    -------
    list of QueueLoad
        Loads, the queue with the most waiting tasks first.
    """
    running: dict[str, Counter] = {}
    waiting: dict[str, Counter] = {}
    unasked: Counter = Counter()
    queues = {}
    for step in steps:
        queue = step.job.queue
        queues[queue.name] = queue
        outlook = _outlook(step, now)
        if step.active:
            running.setdefault(queue.name, Counter())[outlook] += len(step.active)
        if step.waiting:
            waiting.setdefault(queue.name, Counter())[outlook] += len(step.waiting)
            if queue.placement_policy is not None and not step.queried:
                unasked[queue.name] += len(step.waiting)
    loads = [
        QueueLoad(
            name,
            queue.service,
            queue.priority,
            dict(running.get(name, {})),
            dict(waiting.get(name, {})),
            unasked[name],
        )
        for name, queue in queues.items()
    ]
    return sorted(loads, key=lambda load: -sum(load.waiting.values()))


def _outlook(step: StepRun, now: Instant) -> str:
    if step.job.over_share:
        return BEYOND_SHARE
    return assess_feasibility(step, now).name.lower().replace("_", " ")


def waiting_causes(
    step: StepRun, workers: list[Worker], quotas: QuotaBook, plan: Plan, now: Instant
) -> dict[str, int | str]:
    """Count the workers of the step's pool by what keeps them from the step.

    Parameters
    ----------
    step : StepRun
        Step with waiting tasks.
    workers : list of Worker
        All workers.
    quotas : QuotaBook
        Resource limits of teams.
    plan : Plan
        Most recent plan.
    now : Instant
        Current time.

    Returns
    -------
    dict
        Count of workers by cause, and ``limit`` if the team's limit is reached.
    """
    causes: dict[str, int | str] = {}
    if not quotas.allows(step.job.accepted.team, step.spec.need):
        causes["limit"] = step.job.accepted.team
    for worker in workers:
        if worker.info.service == step.job.queue.service:
            cause = _cause(step, worker, plan, now)
            causes[cause] = int(causes.get(cause, 0)) + 1
    return causes


def _cause(step: StepRun, worker: Worker, plan: Plan, now: Instant) -> str:
    name = worker.info.worker
    policy = step.job.queue.placement_policy
    ticket = step.tickets.get(name)
    reserved_for = plan.reserved_for.get(name, step.key)
    free = worker.free
    conditions = (
        (not worker.is_listed or worker.info.is_draining, "leaving"),
        (worker.is_evacuated, EVACUATED),
        (not worker.is_reachable, "silent"),
        (not worker.is_record_current, "restarted, not registered"),
        (policy is not None and name not in step.queried, "not asked about"),
        (policy is not None and name not in step.allowed, NOT_ALLOWED),
        (now < worker.avoid_until, "avoided"),
        (not step.spec.reserved.fits_in(free), f"full ({free.describe()} free)"),
        (reserved_for != step.key, f"kept for {reserved_for.job}"),
        (policy and (ticket is None or ticket.valid_until <= now), "no ticket"),
    )
    return next((cause for applies, cause in conditions if applies), "usable")
