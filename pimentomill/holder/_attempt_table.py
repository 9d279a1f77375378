"""Index of the attempts that a holder tracks."""

from collections import defaultdict
from collections.abc import Iterator

from ..exceptions import InvariantError
from ..utils import ZERO, InstanceId, Resources, TeamName
from ..work import Job, TaskRef
from ..workers import WorkerView
from ._attempt import AttemptStage, TaskAttempt

__all__ = ["AttemptTable"]

UNANSWERED_STAGES = (AttemptStage.APPENDING, AttemptStage.COMMANDED)


class AttemptTable:
    """Index attempts by worker, and count the resources that each team uses.

    Parameters
    ----------
    views : dict
        Workers by id; the table commits and releases resources on them.
    """

    def __init__(self, views: dict[InstanceId, WorkerView]) -> None:
        self.views = views
        self.by_ref_: dict[TaskRef, TaskAttempt] = {}
        self.used_: dict[TeamName, Resources] = {}
        self._by_worker: dict[InstanceId, dict[TaskRef, None]] = defaultdict(dict)

    def __contains__(self, ref: TaskRef) -> bool:
        return ref in self.by_ref_

    def __iter__(self) -> Iterator[TaskAttempt]:
        return iter(list(self.by_ref_.values()))

    def get(self, ref: TaskRef) -> TaskAttempt | None:
        """Return an attempt, None if it is not in the table."""
        return self.by_ref_.get(ref)

    def add(
        self, ref: TaskRef, job: Job, worker: InstanceId, stage: AttemptStage
    ) -> TaskAttempt:
        """Add an attempt.

        Parameters
        ----------
        ref : TaskRef
            The attempt.
        job : Job
            Its job.
        worker : InstanceId
            Worker that it is assigned to.
        stage : AttemptStage
            Progress of the attempt.

        Returns
        -------
        TaskAttempt
            The attempt.

        Raises
        ------
        InvariantError
            If the attempt is already in the table.
        """
        if ref in self.by_ref_:
            raise InvariantError(f"attempt {ref} is already in progress")
        attempt = TaskAttempt(ref, job.team, job.spec.resources, worker, stage)
        self.by_ref_[ref] = attempt
        self._by_worker[worker][ref] = None
        self.used_[job.team] = self.used(job.team) + attempt.resources
        view = self.views.get(worker)
        if view is not None:
            view.reserve(ref, attempt.resources)
        return attempt

    def remove(self, ref: TaskRef) -> None:
        """Remove an attempt and release its resources."""
        attempt = self.by_ref_.pop(ref)
        del self._by_worker[attempt.worker][ref]
        self.used_[attempt.team] = self.used_[attempt.team] - attempt.resources
        view = self.views.get(attempt.worker)
        if view is not None:
            view.release(ref)

    def used(self, team: TeamName) -> Resources:
        """Return the resources that a team uses."""
        return self.used_.get(team, ZERO)

    def on_worker(self, worker: InstanceId) -> list[TaskAttempt]:
        """Return the attempts on a worker."""
        return [self.by_ref_[ref] for ref in self._by_worker[worker]]

    def workers(self) -> list[InstanceId]:
        """Return the workers that have attempts."""
        return [worker for worker, refs in self._by_worker.items() if refs]

    def of_job(self, job: Job) -> list[TaskAttempt]:
        """Return the attempts of a job."""
        refs = (TaskRef(job.id, i, task.attempt) for i, task in enumerate(job.tasks))
        return [self.by_ref_[ref] for ref in refs if ref in self.by_ref_]

    def reserve_existing(self, view: WorkerView) -> None:
        """Reserve the resources of existing attempts on a newly listed worker."""
        for attempt in self.on_worker(view.id):
            view.reserve(attempt.ref, attempt.resources)

    @property
    def is_idle(self) -> bool:
        """Whether no attempt waits for its append or for the worker's answer."""
        return not any(
            attempt.stage in UNANSWERED_STAGES for attempt in self.by_ref_.values()
        )
