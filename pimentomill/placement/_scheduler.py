"""One pass over the waiting jobs of a group."""

from collections.abc import Callable
from functools import singledispatch
from itertools import islice

import msgspec

from ..utils import ZERO, Instant, JobId, Resources, TeamName, dominant_fraction
from ..work import GangSpec, Job, JobSpec, TaskRef
from ..workers import WorkerView
from ._plan import Placement, plan_job
from ._queue import WaitQueue
from ._reasons import WaitCode, WaitReason

__all__ = ["PlacementPass", "Scheduler", "TeamRoom"]

BACKFILL_DEPTH = 32
STARVING_AFTER_MS = 60_000
BARRING_FOR_MS = 600_000


class TeamRoom(msgspec.Struct, frozen=True):
    """What a team has running in a group, and what it may have there.

    Parameters
    ----------
    share : int
        Weight when the cell is full.
    used : Resources
        What runs or is about to.
    allotment : Resources
        Part of the team's limit that the group has.
    """

    share: int
    used: Resources
    allotment: Resources


class PlacementPass(msgspec.Struct):
    """Outcome of a pass.

    Parameters
    ----------
    placements : list of tuple of Job and list of Placement
        What to start, in order.
    wanted : dict
        What each team lacks of its limit in this group.
    """

    placements: list[tuple[Job, list[Placement]]] = []
    wanted: dict[TeamName, Resources] = {}


class Scheduler:
    """Choose placements for the waiting jobs of one group.

    Parameters
    ----------
    find_job : callable
        Returns a job by its id.
    team_room : callable
        Returns the `TeamRoom` of a team.

    Attributes
    ----------
    queue_ : WaitQueue
        Jobs with waiting tasks.
    reasons_ : dict
        Why each job that was tried still waits.
    waiting_ : dict
        Numbers of the waiting tasks of each job.
    """

    def __init__(
        self,
        find_job: Callable[[JobId], Job],
        team_room: Callable[[TeamName], TeamRoom],
    ) -> None:
        self.find_job = find_job
        self.team_room = team_room
        self.queue_ = WaitQueue()
        self.reasons_: dict[JobId, WaitReason] = {}
        self.waiting_: dict[JobId, list[int]] = {}

    def add(self, job: Job, indices: list[int]) -> None:
        """Let tasks of a job wait.

        Parameters
        ----------
        job : Job
            The job.
        indices : list of int
            All of its tasks that wait and are not being placed.
        """
        self.queue_.add(job.id, job.team, job.urgent)
        self.waiting_[job.id] = indices

    def waiting_count(self, job: JobId) -> int:
        """Return how many tasks of a job wait."""
        return len(self.waiting_.get(job, ()))

    def remove(self, job: JobId) -> None:
        """Let a job wait no longer."""
        self.queue_.remove(job)
        self.reasons_.pop(job, None)
        self.waiting_.pop(job, None)

    def run(self, views: list[WorkerView], now: Instant, wall_ms: int) -> PlacementPass:
        """Place what fits, the urgent first, then the team furthest below its share.

        Parameters
        ----------
        views : list of WorkerView
            All workers of the group; the pass commits resources on them.
        now : Instant
            Present time.
        wall_ms : int
            Present time of day, to tell how long a job has waited.

        Returns
        -------
        PlacementPass
            The placements; their resources are committed on the views.
        """
        ready = [view for view in views if view.takes_work(now)]
        outcome = PlacementPass()
        budget = _PassBudget(self, views, ready, wall_ms, outcome)
        for urgent in (True, False):
            budget.place_lane(urgent)
            if budget.is_barred:
                break
        return outcome


class _PassBudget:
    """State of a pass that is under way."""

    def __init__(
        self,
        scheduler: Scheduler,
        views: list[WorkerView],
        ready: list[WorkerView],
        wall_ms: int,
        outcome: PlacementPass,
    ) -> None:
        self.scheduler = scheduler
        self.views = views
        self.ready = ready
        self.wall_ms = wall_ms
        self.outcome = outcome
        self.is_barred = False
        self.started: dict[TeamName, Resources] = {}
        self.attained: dict[TeamName, float] = {}
        self.total = ZERO
        for view in views:
            self.total = self.total + view.capacity_
        self.sizes = {view.capacity_ for view in views}
        # Free resources only shrink in a pass, so what found no room stays without.
        self.without_room: set[Resources] = set()

    def place_lane(self, urgent: bool) -> None:
        """Try teams in turn, always the one furthest below its share."""
        queue = self.scheduler.queue_
        lanes = {
            team: list(islice(queue.jobs(urgent, team), BACKFILL_DEPTH))
            for team in queue.teams(urgent)
        }
        while lanes and not self.is_barred:
            team = min(lanes, key=self._attained)
            job = self.scheduler.find_job(lanes[team].pop(0))
            if not lanes[team]:
                del lanes[team]
            self._try_job(job)

    def _attained(self, team: TeamName) -> tuple[float, TeamName]:
        """Return a team's part of the group against its share, and its name."""
        if team not in self.attained:
            room = self.scheduler.team_room(team)
            used = room.used + self.started.get(team, ZERO)
            fraction = dominant_fraction(used, self.total)
            self.attained[team] = fraction / max(room.share, 1)
        return self.attained[team], team

    def _try_job(self, job: Job) -> None:
        waiting = self.scheduler.waiting_[job.id]
        allowed = self._allowed_by_limit(job, waiting)
        placements = self._plan(job, allowed)
        missing = len(waiting) - len(placements)
        if placements:
            self._commit(job, placements)
        if missing:
            self._note_reason(job, missing, len(allowed) - len(placements))

    def _plan(self, job: Job, allowed: list[int]) -> list[Placement]:
        need = job.spec.resources
        if not allowed or need in self.without_room:
            return []
        placements = plan_job(job.spec, job, allowed, self.ready)
        if not placements and not isinstance(job.spec, GangSpec):
            self.without_room.add(need)
        return placements

    def _allowed_by_limit(self, job: Job, waiting: list[int]) -> list[int]:
        room = self.scheduler.team_room(job.team)
        used = room.used + self.started.get(job.team, ZERO)
        free = room.allotment - used
        count = min(_times(job.spec.resources, free), len(waiting))
        if count < len(waiting):
            self._want(job, len(waiting) - count)
        return allowed_indices(job.spec, waiting, count)

    def _want(self, job: Job, missing: int) -> None:
        wanted = self.outcome.wanted
        lacking = job.spec.resources * missing
        wanted[job.team] = wanted.get(job.team, ZERO) + lacking

    def _commit(self, job: Job, placements: list[Placement]) -> None:
        by_id = {view.id: view for view in self.ready}
        for placement in placements:
            task = job.tasks[placement.index]
            ref = TaskRef(job.id, placement.index, task.attempt + 1)
            by_id[placement.worker].commit(ref, job.spec.resources)
        amount = job.spec.resources * len(placements)
        self.started[job.team] = self.started.get(job.team, ZERO) + amount
        self.attained.pop(job.team, None)
        self.outcome.placements.append((job, placements))
        self._take_from_queue(job, placements)

    def _take_from_queue(self, job: Job, placements: list[Placement]) -> None:
        placed = {placement.index for placement in placements}
        left = [i for i in self.scheduler.waiting_[job.id] if i not in placed]
        if left:
            self.scheduler.waiting_[job.id] = left
        else:
            self.scheduler.remove(job.id)

    def _note_reason(self, job: Job, missing: int, allowed: int) -> None:
        reason = self._reason(job, missing, allowed)
        self.scheduler.reasons_[job.id] = reason
        if reason.code is WaitCode.NO_ROOM and self._is_starving(job):
            self.is_barred = True

    def _is_starving(self, job: Job) -> bool:
        """Return whether younger jobs must wait so that this one finds room."""
        if job.urgent:
            return False
        starving_ms = self.wall_ms - job.submitted_at - STARVING_AFTER_MS
        return 0 < starving_ms < BARRING_FOR_MS

    def _reason(self, job: Job, missing: int, allowed: int) -> WaitReason:
        need = job.spec.resources
        if not self.ready:
            return WaitReason(WaitCode.NO_WORKERS)
        if not any(need.fits_in(size) for size in self.sizes):
            return WaitReason(WaitCode.TOO_LARGE, need.describe())
        if allowed < missing:
            room = self.scheduler.team_room(job.team)
            detail = (
                f"{room.used.describe()} in use of {room.allotment.describe()} "
                "that this group has of it"
            )
            return WaitReason(WaitCode.TEAM_LIMIT, detail)
        return WaitReason(WaitCode.NO_ROOM, f"{missing} tasks of {need.describe()}")


def _times(need: Resources, free: Resources) -> int:
    """Return how often `need` fits into `free`."""
    counts = []
    for wanted, there in zip(_parts(need), _parts(free), strict=True):
        if wanted:
            counts.append(max(there, 0) // wanted)
    return min(counts, default=0)


def _parts(amount: Resources) -> tuple[int, int, int]:
    return amount.cpu_milli, amount.memory_mb, amount.accelerators


@singledispatch
def allowed_indices(spec: JobSpec, waiting: list[int], count: int) -> list[int]:
    """Return the waiting tasks that the team's limit admits."""
    return waiting[:count]


@allowed_indices.register
def _(spec: GangSpec, waiting: list[int], count: int) -> list[int]:
    return waiting if count == len(waiting) else []
