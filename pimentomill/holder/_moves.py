"""Moving of waiting jobs to groups where they fit."""

from collections.abc import Callable

from ..journal import AppendState, PendingAppend
from ..placement import Scheduler, WaitCode
from ..utils import Clock, Epoch, GroupName, JobId, Resources
from ..work import (
    Job,
    JobAccepted,
    JobCancelled,
    JobMoveConfirmed,
    JobMoved,
    TaskState,
    count_tasks,
)
from ..workers import WorkerView
from ._answers import GroupSummary
from ._appends import LastingAppends
from ._ports import HolderPorts

__all__ = ["JobMover"]

MOVE_AFTER_MS = 1_000
MAX_MOVES = 8
MOVES_PER_TICK = 64
DONE_LINGER_MS = 1_000
MOVABLE_CODES = (WaitCode.TOO_LARGE, WaitCode.NO_ROOM, WaitCode.NO_WORKERS)


class JobMover:
    """Hand jobs of which nothing runs or has ended to other groups.

    Parameters
    ----------
    group : GroupName
        The group that has the jobs.
    epoch : Epoch
        Epoch of its holder.
    clock : Clock
        Source of time.
    ports : HolderPorts
        Ways out.
    appends : LastingAppends
        Records that must be kept.

    Notes
    -----
    The move is a record in this group's stream. From then on only the other
    group may start the job. Its acceptance there is written again until it is
    kept, also by a later holder; repeats are refused by the fold.
    """

    def __init__(
        self,
        group: GroupName,
        epoch: Epoch,
        clock: Clock,
        ports: HolderPorts,
        appends: LastingAppends,
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.clock = clock
        self.ports = ports
        self.appends = appends
        self._leaving: dict[JobId, PendingAppend] = {}
        self._arriving: dict[JobId, tuple[Job, PendingAppend]] = {}

    def run(
        self,
        scheduler: Scheduler,
        find_job: Callable[[JobId], Job],
        views: list[WorkerView],
    ) -> None:
        """Choose jobs to move, and confirm moves that were kept.

        Parameters
        ----------
        scheduler : Scheduler
            Knows why jobs wait.
        find_job : callable
            Returns a job by its id.
        views : list of WorkerView
            Workers of this group.
        """
        self._confirm()
        summaries = self.ports.summaries()
        if not summaries:
            return
        room = {group: list(summary.free) for group, summary in summaries.items()}
        count = 0
        for job_id, reason in list(scheduler.reasons_.items()):
            if reason.code not in MOVABLE_CODES or job_id in self._leaving:
                continue
            job = find_job(job_id)
            if not self._may_move(job):
                continue
            target = self._target(job, reason.code, summaries, room)
            if target is not None:
                self._move(job, target)
                count += 1
            if count >= MOVES_PER_TICK:
                return

    def _may_move(self, job: Job) -> bool:
        waited_ms = self.clock.wall_ms() - job.submitted_at
        all_wait = all(task.state is TaskState.WAITING for task in job.tasks)
        patience_ms = MOVE_AFTER_MS * (job.move_count + 1)
        return all_wait and job.move_count < MAX_MOVES and waited_ms >= patience_ms

    def _target(
        self,
        job: Job,
        code: WaitCode,
        summaries: dict[GroupName, GroupSummary],
        room: dict[GroupName, list[Resources]],
    ) -> GroupName | None:
        """Return a group with room for the whole job, or one large enough."""
        need = job.spec.resources
        for group in sorted(room):
            if group != self.group and _take(room[group], need, count_tasks(job.spec)):
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
        self._leaving[job.id] = self.ports.append_work(self.group, record, 0)

    def note_moved(self, job_id: JobId, refusal: str) -> None:
        """Note that a record of a move was folded."""
        self._leaving.pop(job_id, None)

    def resume(self, job: Job) -> None:
        """See to it that a moved job arrives.

        Parameters
        ----------
        job : Job
            A job with `moved_to` set.
        """
        if job.move_confirmed or job.id in self._arriving:
            return
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
        self._arriving[job.id] = (job, item)
        if job.cancelled:
            self.forward_cancel(job)

    def forward_cancel(self, job: Job) -> None:
        """Pass a cancellation on to the group that has the job now."""
        record = JobCancelled(self.clock.wall_ms(), job.id)
        self.appends.append(job.moved_to, record, 0)

    def _confirm(self) -> None:
        for job_id, item in list(self._leaving.items()):
            if item.state is AppendState.NOT_KEPT:
                del self._leaving[job_id]
        for job_id, (job, item) in list(self._arriving.items()):
            if item.state is AppendState.WAITING:
                continue
            del self._arriving[job_id]
            if item.state is AppendState.KEPT:
                record = JobMoveConfirmed(self.clock.wall_ms(), self.epoch, job_id)
                self.appends.append(self.group, record, DONE_LINGER_MS)
            else:
                self.resume(job)


def _take(free: list[Resources], need: Resources, count: int) -> bool:
    """Take room for `count` tasks from `free`, or nothing at all."""
    left = list(free)
    for _ in range(count):
        index = next((i for i, f in enumerate(left) if need.fits_in(f)), None)
        if index is None:
            return False
        left[index] = left[index] - need
    free[:] = left
    return True
