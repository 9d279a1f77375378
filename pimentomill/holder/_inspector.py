"""Read access to the jobs and workers of a group."""

import msgspec

from ..exceptions import NotFoundError
from ..placement import Scheduler, WaitCode, WaitReason
from ..utils import ZERO, Clock, Epoch, GroupName, JobId, MemberId, TeamName
from ..work import Job, WorkState
from ._answers import (
    GroupSummary,
    JobAnswer,
    WorkerAnswer,
    describe_job,
    describe_worker,
)
from ._attempt import AttemptStage
from ._attempt_table import AttemptTable

__all__ = ["GroupInspector"]

MAX_SUMMARY_WORKERS = 8


class GroupInspector:
    """Describe the jobs and workers of a group.

    Parameters
    ----------
    group : GroupName
        The group.
    epoch : Epoch
        Epoch of its holder.
    member : MemberId
        The holder.
    clock : Clock
        Source of time.
    scheduler : Scheduler
        Gives the reasons why jobs wait.
    attempts : AttemptTable
        Tracked attempts and the views of the workers.
    """

    def __init__(
        self,
        group: GroupName,
        epoch: Epoch,
        member: MemberId,
        clock: Clock,
        scheduler: Scheduler,
        attempts: AttemptTable,
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.member = member
        self.clock = clock
        self.scheduler = scheduler
        self.attempts = attempts

    def job(self, state: WorkState, job_id: JobId) -> JobAnswer:
        """Return a job as shown to callers.

        Raises
        ------
        NotFoundError
            If the group does not know the job.
        """
        job = state.jobs.get(job_id)
        if job is None:
            raise NotFoundError(f"there is no job {job_id}")
        attempts = self.attempts.of_job(job)
        running = {a.ref.index for a in attempts if a.stage is AttemptStage.RUNNING}
        unconfirmed = frozenset(
            a.ref.index for a in attempts if a.stage is AttemptStage.COMMANDED
        )
        reason = self._wait_reason(job)
        return describe_job(job, self.group, reason, running, unconfirmed)

    def _wait_reason(self, job: Job) -> WaitReason | None:
        if job.id not in self.scheduler.queue_:
            return None
        default = WaitReason(WaitCode.NOT_TRIED)
        return self.scheduler.reasons_.get(job.id, default)

    def jobs(self, state: WorkState) -> list[JobAnswer]:
        """Return all jobs that the group has."""
        return [
            self.job(state, job.id) for job in state.jobs.values() if not job.moved_to
        ]

    def workers(self) -> list[WorkerAnswer]:
        """Return the workers of the group."""
        now = self.clock.now()
        views = self.attempts.views.values()
        return [describe_worker(view, self.group, now) for view in views]

    def summary(self, state: WorkState) -> GroupSummary:
        """Return what other entries need to know about the group."""
        now = self.clock.now()
        views = list(self.attempts.views.values())
        free = [view.free for view in views if view.accepts_tasks(now)]
        free.sort(key=lambda amount: amount.cpu_milli, reverse=True)
        reported = [view for view in views if view.has_reported]
        capacity = ZERO
        for view in reported:
            capacity = capacity + view.capacity_
        used = self.attempts.used_.items()
        return GroupSummary(
            group=self.group,
            holder=self.member,
            epoch=self.epoch,
            largest=list({view.capacity_ for view in reported}),
            free=free[:MAX_SUMMARY_WORKERS],
            waiting=self._waiting_by_team(),
            running={team: amount for team, amount in used if not amount.is_zero()},
            capacity=capacity,
            is_complete=bool(views) and len(reported) == len(views),
            withdrawn=state.count_withdrawn() or msgspec.UNSET,
        )

    def _waiting_by_team(self) -> dict[TeamName, int]:
        queue = self.scheduler.queue_
        waiting: dict[TeamName, int] = {}
        for urgent in (True, False):
            for team in queue.teams(urgent):
                jobs = queue.jobs(urgent, team)
                count = sum(self.scheduler.count_waiting(job) for job in jobs)
                waiting[team] = waiting.get(team, 0) + count
        return waiting
