"""What operators have set: queues, teams, keys, limits."""

import msgspec

from ..utils import ZERO, Resources

__all__ = ["AdvicePolicy", "Catalog", "Queue", "RequestLimits", "Team"]


class AdvicePolicy(msgspec.Struct, frozen=True):
    """A queue's steps run only where an outside policy allows it.

    Parameters
    ----------
    decide_ms : float
        Milliseconds that one question takes.
    per_worker_ms : float
        Milliseconds more for each worker named in it.
    valid_ms : int
        Milliseconds for which a ticket can be used.
    """

    decide_ms: float
    per_worker_ms: float
    valid_ms: int

    def duration_ms(self, workers: int) -> float:
        """Return how long a question about so many workers takes."""
        return self.decide_ms + self.per_worker_ms * workers


class Queue(msgspec.Struct, frozen=True):
    """A place where callers hand in jobs.

    Parameters
    ----------
    name : str
        Name that stays the same over versions.
    host, path_prefix : str
        Which requests belong to it.
    service : str
        Pool of workers that runs its tasks.
    priority : int
        0 comes first.
    max_attempts : int
        Runs of a task that may fail before the job is given up.
    stretch : float
        Objective as a multiple of the longest chain of work.
    target_ms : int
        Milliseconds added to the objective.
    timeout_ms : int
        Milliseconds after which a request is no longer worth an answer.
    public : bool
        Whether no key is needed.
    advice : AdvicePolicy, default=None
        Outside policy; None if any worker may be used.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_ms: int
    timeout_ms: int
    public: bool
    advice: AdvicePolicy | None = None


class Team(msgspec.Struct, frozen=True):
    """A team with its rights.

    Parameters
    ----------
    name : str
        Name.
    weight : float
        Share when the cell is full.
    limit : Resources
        Most that it may have running; 0 in a component means no limit.
    """

    name: str
    weight: float = 1.0
    limit: Resources = ZERO


class RequestLimits(msgspec.Struct, frozen=True):
    """Bounds on a caller's request.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest header and body.
    header_timeout_ms, idle_timeout_ms : int
        Milliseconds to wait for a whole header, and for the next request.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class Catalog:
    """One version of what operators have set.

    Parameters
    ----------
    version : int
        Version given by the operators.
    queues : iterable of Queue
        Queues.
    teams : iterable of Team
        Teams.
    keys : dict of str to str
        Team names by key.
    services : iterable of str
        Names of the pools of workers.
    limits : RequestLimits
        Bounds on requests.

    Examples
    --------
    >>> queue = Queue("q", "h", "/a/", "s", 0, 1, 1.0, 100, 1000, False)
    >>> catalog = Catalog(3, [queue], [Team("t")], {"k": "t"}, ["s"], RequestLimits())
    >>> catalog.route("h", "/a/7").name
    'q'
    >>> catalog.route("h", "/b/7") is None
    True
    """

    def __init__(self, version, queues, teams, keys, services, limits) -> None:
        self.version = version
        self.queues = {queue.name: queue for queue in queues}
        self.teams = {team.name: team for team in teams}
        self.keys = dict(keys)
        self.services = frozenset(services)
        self.limits = limits
        self._by_host: dict[str, list[Queue]] = {}
        for queue in self.queues.values():
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues_of_host in self._by_host.values():
            queues_of_host.sort(key=lambda queue: -len(queue.path_prefix))

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching prefix, None if none."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
