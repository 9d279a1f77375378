"""Queue of waiting jobs by urgency and team."""

from collections.abc import Iterator

from ..utils import JobId, TeamName

__all__ = ["WaitQueue"]


class WaitQueue:
    """Jobs with waiting tasks, in order of submission.

    Notes
    -----
    The queue of a team is a dict, which keeps the insertion order and removes
    in constant time, so that cancelling many jobs at once is cheap.
    """

    def __init__(self) -> None:
        self._queues: dict[bool, dict[TeamName, dict[JobId, None]]] = {
            True: {},
            False: {},
        }
        self._locations: dict[JobId, tuple[bool, TeamName]] = {}

    def __len__(self) -> int:
        return len(self._locations)

    def __contains__(self, job: JobId) -> bool:
        return job in self._locations

    def add(self, job: JobId, team: TeamName, urgent: bool) -> None:
        """Add a job; a job that is already queued keeps its position."""
        if job in self._locations:
            return
        self._locations[job] = (urgent, team)
        self._queues[urgent].setdefault(team, {})[job] = None

    def remove(self, job: JobId) -> None:
        """Remove a job if it is queued."""
        location = self._locations.pop(job, None)
        if location is None:
            return
        urgent, team = location
        team_queue = self._queues[urgent][team]
        del team_queue[job]
        if not team_queue:
            del self._queues[urgent][team]

    def teams(self, urgent: bool) -> list[TeamName]:
        """Return the teams that have queued jobs of the given urgency."""
        return list(self._queues[urgent])

    def jobs(self, urgent: bool, team: TeamName) -> Iterator[JobId]:
        """Iterate over the queued jobs of a team, oldest first."""
        return iter(self._queues[urgent].get(team, {}))
