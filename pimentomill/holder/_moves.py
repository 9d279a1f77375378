"""Moves of waiting jobs to groups that have capacity for them."""

from collections.abc import Callable

from ..journal import AppendState, PendingAppend
from ..placement import Scheduler, WaitCode
from ..utils import Clock, Epoch, GroupName, JobId, Resources
from ..work import (
    Job,
    JobAccepted,
    JobMoveConfirmed,
    JobMoved,
    JobWithdrawn,
    TaskState,
    count_tasks,
)
from ..workers import WorkerView
from ._answers import GroupSummary
from ._durable_appends import DurableAppends
from ._ports import HolderPorts

__all__ = ["JobMover"]

MOVE_AFTER_MS = 1_000
MAX_MOVES = 8
MOVES_PER_TICK = 64
CONFIRMATION_LINGER_MS = 1_000
MOVABLE_CODES = (WaitCode.TOO_LARGE, WaitCode.NO_CAPACITY, WaitCode.NO_WORKERS)


class JobMover:
    """Move jobs without any running or ended task to other groups.

    Parameters
    ----------
    group : GroupName
        The group that has the jobs.
    epoch : Epoch
        Epoch of its holder.
    clock : Clock
        Source of time.
    ports : HolderPorts
        Interface to the surrounding process.
    appends : DurableAppends
        Retries records until they are durable.

    Notes
    -----
    A move is a record in this group's stream. From that record on, only the other
    group may start the job. The record that accepts the job there is retried
    until it is durable, also by a later holder; repeated copies are rejected when
    they are applied.
    """

    def __init__(
        self,
        group: GroupName,
        epoch: Epoch,
        clock: Clock,
        ports: HolderPorts,
        appends: DurableAppends,
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.clock = clock
        self.ports = ports
        self.appends = appends
        self._pending_moves: dict[JobId, PendingAppend] = {}
        self._pending_acceptances: dict[JobId, tuple[Job, PendingAppend]] = {}

    def run(
        self,
        scheduler: Scheduler,
        find_job: Callable[[JobId], Job],
        views: list[WorkerView],
    ) -> None:
        """Choose jobs to move, and complete moves whose records are durable.

        Parameters
        ----------
        scheduler : Scheduler
            Gives the reasons why jobs wait.
        find_job : callable
            Returns a job by its id.
        views : list of WorkerView
            Workers of this group.
        """
        self._check_appends()
        summaries = self.ports.summaries()
        if not summaries:
            return
        free_by_group = {
            group: list(summary.free) for group, summary in summaries.items()
        }
        count = 0
        for job_id, reason in list(scheduler.reasons_.items()):
            if reason.code not in MOVABLE_CODES or job_id in self._pending_moves:
                continue
            job = find_job(job_id)
            if not self._can_move(job):
                continue
            target = self._choose_target(job, reason.code, summaries, free_by_group)
            if target is not None:
                self._move(job, target)
                count += 1
            if count >= MOVES_PER_TICK:
                return

    def _can_move(self, job: Job) -> bool:
        waited_ms = self.clock.wall_ms() - job.submitted_at
        all_waiting = all(task.state is TaskState.WAITING for task in job.tasks)
        min_wait_ms = MOVE_AFTER_MS * (job.move_count + 1)
        return all_waiting and job.move_count < MAX_MOVES and waited_ms >= min_wait_ms

    def _choose_target(
        self,
        job: Job,
        code: WaitCode,
        summaries: dict[GroupName, GroupSummary],
        free_by_group: dict[GroupName, list[Resources]],
    ) -> GroupName | None:
        """Return a group with free capacity for the job, or large enough workers."""
        need = job.spec.resources
        for group in sorted(free_by_group):
            if group != self.group and _allocate_tasks(
                free_by_group[group], need, count_tasks(job.spec)
            ):
                return group
        if code is not WaitCode.TOO_LARGE:
            return None
        for group, summary in sorted(summaries.items()):
            fits = any(need.fits_in(size) for size in summary.largest)
            if group != self.group and fits:
                return group
        return None

    def _move(self, job: Job, target: GroupName) -> None:
        record = JobMoved(self.clock.wall_ms(), self.epoch, job.id, target)
        self._pending_moves[job.id] = self.ports.append_work(self.group, record, 0)

    def observe_moved(self, job_id: JobId, refusal: str) -> None:
        """Handle the record of a move, which was applied or rejected."""
        self._pending_moves.pop(job_id, None)

    def resume_move(self, job: Job) -> None:
        """Append a moved job, and its cancellation, to the stream of its new group.

        Parameters
        ----------
        job : Job
            A job with `moved_to` set.
        """
        if job.id in self._pending_acceptances:
            return
        if not job.move_confirmed:
            self._append_acceptance(job)
        # An earlier holder may have ended before it passed the cancellation on.
        if job.cancelled:
            self.forward_cancel(job)

    def _append_acceptance(self, job: Job) -> None:
        record = JobAccepted(
            self.clock.wall_ms(),
            job.id,
            job.team,
            job.spec,
            job.urgent,
            job.submitted_at,
            job.move_count,
            [(task.attempt, task.failures) for task in job.tasks],
        )
        item = self.ports.append_work(job.moved_to, record, 0)
        self._pending_acceptances[job.id] = (job, item)

    def forward_cancel(self, job: Job) -> None:
        """Send a cancellation to the group that the job was moved to."""
        record = JobWithdrawn(self.clock.wall_ms(), job.id, job.team)
        self.appends.append(job.moved_to, record, 0)

    def _check_appends(self) -> None:
        for job_id, item in list(self._pending_moves.items()):
            if item.state is AppendState.NOT_APPENDED:
                del self._pending_moves[job_id]
        for job_id, (job, item) in list(self._pending_acceptances.items()):
            if item.state is AppendState.WAITING:
                continue
            del self._pending_acceptances[job_id]
            if item.state is AppendState.DURABLE:
                record = JobMoveConfirmed(self.clock.wall_ms(), self.epoch, job_id)
                self.appends.append(self.group, record, CONFIRMATION_LINGER_MS)
            else:
                self.resume_move(job)


def _allocate_tasks(free: list[Resources], need: Resources, count: int) -> bool:
    """Subtract `count` tasks from `free` if all fit; else leave it unchanged."""
    remaining = list(free)
    for _ in range(count):
        index = next((i for i, f in enumerate(remaining) if need.fits_in(f)), None)
        if index is None:
            return False
        remaining[index] = remaining[index] - need
    free[:] = remaining
    return True
