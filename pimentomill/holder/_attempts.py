"""Table of the attempts that a holder has under way."""

from collections import defaultdict
from collections.abc import Iterator

from ..exceptions import InvariantError
from ..utils import ZERO, InstanceId, Resources, TeamName
from ..work import Job, TaskRef
from ..workers import WorkerView
from ._flight import Flight, FlightStage

__all__ = ["AttemptTable"]

UNDECIDED = (FlightStage.APPENDING, FlightStage.COMMANDED)


class AttemptTable:
    """Keep attempts by worker, and what each team has in use.

    Parameters
    ----------
    views : dict
        Workers by id; resources are promised and released on them.
    """

    def __init__(self, views: dict[InstanceId, WorkerView]) -> None:
        self.views = views
        self.flights_: dict[TaskRef, Flight] = {}
        self.used_: dict[TeamName, Resources] = {}
        self._by_worker: dict[InstanceId, dict[TaskRef, None]] = defaultdict(dict)

    def __contains__(self, ref: TaskRef) -> bool:
        return ref in self.flights_

    def __iter__(self) -> Iterator[Flight]:
        return iter(list(self.flights_.values()))

    def get(self, ref: TaskRef) -> Flight | None:
        """Return an attempt, None if it is not under way."""
        return self.flights_.get(ref)

    def add(
        self, ref: TaskRef, job: Job, worker: InstanceId, stage: FlightStage
    ) -> Flight:
        """Add an attempt.

        Parameters
        ----------
        ref : TaskRef
            The attempt.
        job : Job
            Its job.
        worker : InstanceId
            Where it goes.
        stage : FlightStage
            How far it has come.

        Returns
        -------
        Flight
            The attempt.

        Raises
        ------
        InvariantError
            If another attempt of the task is under way.
        """
        if ref in self.flights_:
            raise InvariantError(f"{ref} is under way already")
        flight = Flight(ref, job.team, job.spec.resources, worker, stage)
        self.flights_[ref] = flight
        self._by_worker[worker][ref] = None
        self.used_[job.team] = self.used(job.team) + flight.resources
        view = self.views.get(worker)
        if view is not None:
            view.reserve(ref, flight.resources)
        return flight

    def drop(self, ref: TaskRef) -> None:
        """Remove an attempt and release what was promised to it."""
        flight = self.flights_.pop(ref)
        del self._by_worker[flight.worker][ref]
        self.used_[flight.team] = self.used_[flight.team] - flight.resources
        view = self.views.get(flight.worker)
        if view is not None:
            view.release(ref)

    def used(self, team: TeamName) -> Resources:
        """Return what a team has in use."""
        return self.used_.get(team, ZERO)

    def on_worker(self, worker: InstanceId) -> list[Flight]:
        """Return the attempts on a worker."""
        return [self.flights_[ref] for ref in self._by_worker[worker]]

    def workers(self) -> list[InstanceId]:
        """Return the workers that have attempts."""
        return [worker for worker, refs in self._by_worker.items() if refs]

    def of_job(self, job: Job) -> list[Flight]:
        """Return the attempts of a job."""
        refs = (TaskRef(job.id, i, task.attempt) for i, task in enumerate(job.tasks))
        return [self.flights_[ref] for ref in refs if ref in self.flights_]

    def commit_on(self, view: WorkerView) -> None:
        """Promise resources of a worker that was not known before."""
        for flight in self.on_worker(view.id):
            view.reserve(flight.ref, flight.resources)

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is between decision and answer."""
        return not any(flight.stage in UNDECIDED for flight in self.flights_.values())
