"""Inherited tasks that may still run on a worker that has not reported."""

from collections.abc import Callable, Iterable

from ..dispatch import JobRun, StepRun
from ..fleet import Worker
from ..jobs import StepKey, TaskKey, WorkerId
from ..utils import ZERO, Clock, Instant, JobId, Resources

__all__ = ["Inheritance"]

FIRST_RUN = 1
"""Number of a task's first run."""


class Inheritance:
    """Tracks which tasks a previous leader may have started without a trace.

    Starts are not recorded ahead, so a leader learns of the runs that it inherits only
    from the reports of workers. A task that no worker has reported may run on a worker
    that is silent, and has to wait until that worker reports or its lease has expired.

    A previous leader that still acts may learn of an end as well, by a call that was
    under way, and start what has become ready on a worker that is silent here.

    Parameters
    ----------
    clock : Clock
        Source of time.
    is_covered : callable, optional
        Returns whether no later leader acted up to a time.

    Attributes
    ----------
    is_surveying_ : bool
        Whether workers that have not answered yet are all waited for.
    silent_ : dict of WorkerId to Worker
        Workers that are waited for once the survey has ended.
    """

    def __init__(
        self, clock: Clock, is_covered: Callable[[Instant], bool] = lambda at: True
    ) -> None:
        self.clock = clock
        self.is_covered = is_covered
        self.is_surveying_ = True
        self.silent_: dict[WorkerId, Worker] = {}
        self._jobs: set[JobId] = set()
        self._unseen: dict[StepKey, set[int]] = {}
        self._steps: dict[StepKey, StepRun] = {}

    def add_job(self, job: JobId) -> None:
        """Add a job of which a previous leader may have started tasks."""
        self._jobs.add(job)

    def add_steps(self, steps: Iterable[StepRun]) -> None:
        """Add the steps of a new occurrence; those of other jobs are ignored."""
        for step in steps:
            if step.key.job in self._jobs and step.waiting:
                self._unseen[step.key] = set(step.waiting)
                self._steps[step.key] = step

    def tracks(self, job: JobId) -> bool:
        """Return whether runs of an inherited job may be unknown to this leader."""
        return job in self._jobs

    def add_ended_job(self, job: JobRun) -> None:
        """Add a job that was cancelled or failed, and of which runs may be left.

        Its tasks do not start again, so no other one has to wait for them. What they
        may use on silent workers counts for the limit of their team.
        """
        self.add_job(job.accepted.job)
        self.add_steps(job.steps.values())

    def end_survey(self, silent: Iterable[Worker]) -> None:
        """Wait only for the given workers from now on."""
        self.is_surveying_ = False
        self.silent_ = {worker.info.worker: worker for worker in silent}
        self._forget_if_complete()

    def observe_run(self, job: JobRun, step: StepRun, index: int, run: int) -> None:
        """Record that a worker reports a run of a task that this leader inherits.

        No other run of that task exists. If it is the first one, the task has not been
        done before, so no step that depends on it has been started either.
        """
        self._unseen.get(step.key, set()).discard(index)
        if run != FIRST_RUN:
            return
        key = step.key
        unstarted = {key.step}
        for number, spec in enumerate(job.spec.steps):
            if not unstarted.isdisjoint(spec.depends_on):
                unstarted.add(number)
                self._unseen.pop(StepKey(key.job, key.occurrence, number), None)

    def observe_run_of_ended_job(self, task: TaskKey) -> None:
        """Record that a worker reports a run of a job that ended early, or its end.

        The run counts by itself until it has ended, and none follows it. Runs of other
        jobs are ignored.
        """
        step = self._steps.get(task.step_key)
        if step is not None and step.job.state.is_final:
            step.dequeue(task.index)

    def observe_end(self, job: JobRun) -> None:
        """Record an end of which a previous leader that still acts may know as well.

        It may have started any task that waits now.
        """
        self.add_steps(job.steps.values())

    def is_withheld(self, step: StepRun) -> bool:
        """Return whether waiting tasks of a step may run on a silent worker."""
        unseen = self._unseen.get(step.key)
        if not unseen or unseen.isdisjoint(step.waiting):
            return False
        if self.is_surveying_:
            return True
        return _any_could_run(self._awaited(), step)

    def withheld_by_team(self) -> dict[str, Resources]:
        """Return what the tasks that may run on silent workers use at most, by team.

        Those of jobs that have been cancelled or have failed are included, as no stop
        reaches a silent worker.
        """
        silent = self._awaited()
        withheld: dict[str, Resources] = {}
        for key, unseen in self._unseen.items():
            step = self._steps[key]
            if not self.is_surveying_ and not _any_could_run(silent, step):
                continue
            team = step.job.accepted.team
            count = len(unseen.intersection(step.waiting))
            if count:
                withheld[team] = withheld.get(team, ZERO) + step.spec.need * count
        if self.is_surveying_:
            return withheld
        capacity = ZERO
        for worker in silent:
            capacity = capacity + worker.largest_capacity
        return {team: need.minimum(capacity) for team, need in withheld.items()}

    def waits_ms(self) -> dict[str, int]:
        """Return the longest wait for a silent worker in milliseconds, by pool."""
        now = self.clock.now()
        waits: dict[str, int] = {}
        for worker in self._awaited():
            service = worker.info.service
            waits[service] = max(waits.get(service, 0), worker.lease_until - now)
        return waits

    def _awaited(self) -> list[Worker]:
        now = self.clock.now()
        for name, worker in list(self.silent_.items()):
            has_expired = worker.has_lease_expired(now, self.is_covered)
            if worker.has_answered or has_expired:
                del self.silent_[name]
        self._forget_if_complete()
        return list(self.silent_.values())

    def _forget_if_complete(self) -> None:
        if not self.is_surveying_ and not self.silent_:
            self._jobs.clear()
            self._unseen.clear()
            self._steps.clear()


def _any_could_run(workers: Iterable[Worker], step: StepRun) -> bool:
    return any(_could_run(worker, step) for worker in workers)


def _could_run(worker: Worker, step: StepRun) -> bool:
    """Return whether a previous leader could have started the step on the worker.

    The placement policy is left out, as this leader does not know its answers yet.
    The worker may have shrunk since, and the queue may have moved to another service.
    """
    info = worker.info
    return (
        info.service in step.job.services
        and step.matches_label(info)
        and step.spec.reserved.fits_in(worker.largest_capacity)
    )
