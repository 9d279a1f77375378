"""Scheduler that places the waiting jobs of a group in passes."""

from collections.abc import Callable, Iterator
from functools import singledispatch
from itertools import islice

import msgspec

from ..utils import ZERO, Instant, JobId, Resources, TeamName, dominant_fraction
from ..work import GangSpec, Job, JobSpec, TaskRef
from ..workers import WorkerView
from ._plan import Placement, plan_job
from ._queue import WaitQueue
from ._reasons import WaitCode, WaitReason

__all__ = ["PlacementPass", "Scheduler", "TeamUsage"]

BACKFILL_DEPTH = 32
STARVATION_MS = 60_000
BACKFILL_BLOCK_MS = 600_000


class TeamUsage(msgspec.Struct, frozen=True):
    """Resources that a team uses in a group, and its limit there.

    Parameters
    ----------
    share : int
        Weight of the team when the cell is full.
    used : Resources
        Resources of tasks that run or are about to run.
    allotment : Resources
        Part of the team's limit that is allotted to the group.
    """

    share: int
    used: Resources
    allotment: Resources


class PlacementPass(msgspec.Struct):
    """Outcome of a scheduling pass.

    Parameters
    ----------
    placements : list of tuple of Job and list of Placement
        Tasks to start, in order.
    shortfalls : dict
        Resources by team that its waiting tasks need beyond its allotment in
        this group.
    """

    placements: list[tuple[Job, list[Placement]]] = []
    shortfalls: dict[TeamName, Resources] = msgspec.field(
        default_factory=dict, name="wanted"
    )


class Scheduler:
    """Choose placements for the waiting jobs of one group.

    Parameters
    ----------
    find_job : callable
        Returns a job by its id.
    team_usage : callable
        Returns the `TeamUsage` of a team.

    Attributes
    ----------
    queue_ : WaitQueue
        Jobs with waiting tasks.
    reasons_ : dict
        Reason why a job still waits, by job that a pass has tried to place.
    waiting_tasks_ : dict
        Indices of the waiting tasks, by job.
    """

    def __init__(
        self,
        find_job: Callable[[JobId], Job],
        team_usage: Callable[[TeamName], TeamUsage],
    ) -> None:
        self.find_job = find_job
        self.team_usage = team_usage
        self.queue_ = WaitQueue()
        self.reasons_: dict[JobId, WaitReason] = {}
        self.waiting_tasks_: dict[JobId, list[int]] = {}

    def add(self, job: Job, indices: list[int]) -> None:
        """Queue the waiting tasks of a job.

        Parameters
        ----------
        job : Job
            Job that the tasks belong to.
        indices : list of int
            All tasks of the job that wait and are not being placed.
        """
        self.queue_.add(job.id, job.team, job.urgent)
        self.waiting_tasks_[job.id] = indices

    def count_waiting(self, job: JobId) -> int:
        """Return the number of waiting tasks of a job."""
        return len(self.waiting_tasks_.get(job, ()))

    def remove(self, job: JobId) -> None:
        """Remove a job from the queue, with its waiting tasks and reason."""
        self.queue_.remove(job)
        self.reasons_.pop(job, None)
        self.waiting_tasks_.pop(job, None)

    def run(self, views: list[WorkerView], now: Instant, wall_ms: int) -> PlacementPass:
        """Run a pass: urgent jobs first, then the team furthest below its share.

        Parameters
        ----------
        views : list of WorkerView
            All workers of the group; the pass commits resources on them.
        now : Instant
            Current monotonic time.
        wall_ms : int
            Current time of day in milliseconds, from which the waiting time of
            a job is computed.

        Returns
        -------
        PlacementPass
            Placements whose resources are committed on the views.
        """
        schedulable = [view for view in views if view.accepts_tasks(now)]
        outcome = PlacementPass()
        state = _PassState(self, views, schedulable, wall_ms, outcome)
        for urgent in (True, False):
            state.place_jobs(urgent)
            if state.is_backfill_blocked:
                break
        return outcome


class _PassState:
    """State of a scheduling pass in progress."""

    def __init__(
        self,
        scheduler: Scheduler,
        views: list[WorkerView],
        schedulable: list[WorkerView],
        wall_ms: int,
        outcome: PlacementPass,
    ) -> None:
        self.scheduler = scheduler
        self.views = views
        self.schedulable = schedulable
        self.wall_ms = wall_ms
        self.outcome = outcome
        self.is_backfill_blocked = False
        self.started: dict[TeamName, Resources] = {}
        self.weighted_shares: dict[TeamName, float] = {}
        self.total = ZERO
        for view in views:
            self.total = self.total + view.capacity_
        self.capacities = {view.capacity_ for view in views}
        # Free resources only shrink during a pass, so an amount that did not fit
        # once is not tried again.
        self.unplaceable: set[Resources] = set()

    def place_jobs(self, urgent: bool) -> None:
        """Place jobs of one urgency, always from the team furthest below its share."""
        queue = self.scheduler.queue_
        candidates = {}
        for team in queue.teams(urgent):
            jobs = self._skip_too_large(queue.jobs(urgent, team))
            if first := list(islice(jobs, BACKFILL_DEPTH)):
                candidates[team] = first
        while candidates and not self.is_backfill_blocked:
            team = min(candidates, key=self._weighted_share)
            job = self.scheduler.find_job(candidates[team].pop(0))
            if not candidates[team]:
                del candidates[team]
            self._place_job(job)

    def _skip_too_large(self, jobs: Iterator[JobId]) -> Iterator[JobId]:
        """Yield the jobs but those whose tasks are larger than any worker.

        They wait for as long as it takes and must not use up the backfill depth.
        """
        for job_id in jobs:
            need = self.scheduler.find_job(job_id).spec.resources
            if self.schedulable and self._is_too_large(need):
                reason = WaitReason(WaitCode.TOO_LARGE, need.describe())
                self.scheduler.reasons_[job_id] = reason
            else:
                yield job_id

    def _is_too_large(self, need: Resources) -> bool:
        return not any(need.fits_in(size) for size in self.capacities)

    def _weighted_share(self, team: TeamName) -> tuple[float, TeamName]:
        """Return a team's dominant fraction divided by its share, and its name."""
        if team not in self.weighted_shares:
            usage = self.scheduler.team_usage(team)
            used = usage.used + self.started.get(team, ZERO)
            fraction = dominant_fraction(used, self.total)
            self.weighted_shares[team] = fraction / max(usage.share, 1)
        return self.weighted_shares[team], team

    def _place_job(self, job: Job) -> None:
        waiting = self.scheduler.waiting_tasks_[job.id]
        allowed = self._allowed_by_limit(job, waiting)
        placements = self._plan(job, allowed)
        missing = len(waiting) - len(placements)
        if placements:
            self._commit(job, placements)
        if missing:
            self._record_reason(job, missing, len(allowed) - len(placements))

    def _plan(self, job: Job, allowed: list[int]) -> list[Placement]:
        need = job.spec.resources
        if not allowed or need in self.unplaceable:
            return []
        placements = plan_job(job.spec, job, allowed, self.schedulable)
        if not placements and not isinstance(job.spec, GangSpec):
            self.unplaceable.add(need)
        return placements

    def _allowed_by_limit(self, job: Job, waiting: list[int]) -> list[int]:
        usage = self.scheduler.team_usage(job.team)
        used = usage.used + self.started.get(job.team, ZERO)
        free = usage.allotment - used
        count = min(_count_fits(job.spec.resources, free), len(waiting))
        if count < len(waiting):
            self._add_unmet_demand(job, len(waiting) - count)
        return allowed_indices(job.spec, waiting, count)

    def _add_unmet_demand(self, job: Job, missing: int) -> None:
        shortfalls = self.outcome.shortfalls
        unmet = job.spec.resources * missing
        shortfalls[job.team] = shortfalls.get(job.team, ZERO) + unmet

    def _commit(self, job: Job, placements: list[Placement]) -> None:
        by_id = {view.id: view for view in self.schedulable}
        for placement in placements:
            task = job.tasks[placement.index]
            ref = TaskRef(job.id, placement.index, task.attempt + 1)
            by_id[placement.worker].reserve(ref, job.spec.resources)
        amount = job.spec.resources * len(placements)
        self.started[job.team] = self.started.get(job.team, ZERO) + amount
        self.weighted_shares.pop(job.team, None)
        self.outcome.placements.append((job, placements))
        self._dequeue(job, placements)

    def _dequeue(self, job: Job, placements: list[Placement]) -> None:
        placed = {placement.index for placement in placements}
        remaining = [
            i for i in self.scheduler.waiting_tasks_[job.id] if i not in placed
        ]
        if remaining:
            self.scheduler.waiting_tasks_[job.id] = remaining
        else:
            self.scheduler.remove(job.id)

    def _record_reason(self, job: Job, missing: int, allowed: int) -> None:
        reason = self._wait_reason(job, missing, allowed)
        self.scheduler.reasons_[job.id] = reason
        if (
            reason.code is WaitCode.NO_CAPACITY
            and self._is_starving(job)
            and self._fits_empty_workers(job, missing)
        ):
            self.is_backfill_blocked = True

    def _fits_empty_workers(self, job: Job, missing: int) -> bool:
        """Return whether a job could start if nothing ran on the workers.

        Otherwise no job that ends would make room for it.
        """
        need = job.spec.resources
        remaining = missing if isinstance(job.spec, GangSpec) else 1
        for view in self.views:
            if not view.is_closed:
                remaining -= _count_fits(need, view.capacity_)
        return remaining <= 0

    def _is_starving(self, job: Job) -> bool:
        """Return whether younger jobs must wait until this job fits."""
        if job.urgent:
            return False
        overdue_ms = self.wall_ms - job.submitted_at - STARVATION_MS
        return 0 < overdue_ms < BACKFILL_BLOCK_MS

    def _wait_reason(self, job: Job, missing: int, allowed: int) -> WaitReason:
        need = job.spec.resources
        if not self.schedulable:
            return WaitReason(WaitCode.NO_WORKERS)
        if allowed < missing:
            usage = self.scheduler.team_usage(job.team)
            detail = (
                f"{usage.used.describe()} in use of {usage.allotment.describe()} "
                "that this group has of it"
            )
            return WaitReason(WaitCode.TEAM_LIMIT, detail)
        return WaitReason(WaitCode.NO_CAPACITY, f"{missing} tasks of {need.describe()}")


def _count_fits(need: Resources, free: Resources) -> int:
    """Return how many times `need` fits into `free`."""
    counts = []
    for required, available in zip(_components(need), _components(free), strict=True):
        if required:
            counts.append(max(available, 0) // required)
    return min(counts, default=0)


def _components(amount: Resources) -> tuple[int, int, int]:
    return amount.cpu_milli, amount.memory_mb, amount.accelerators


@singledispatch
def allowed_indices(spec: JobSpec, waiting: list[int], count: int) -> list[int]:
    """Return the waiting tasks that the team's limit allows to start."""
    return waiting[:count]


@allowed_indices.register
def _(spec: GangSpec, waiting: list[int], count: int) -> list[int]:
    return waiting if count == len(waiting) else []
