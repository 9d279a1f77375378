"""Queues, teams, keys and limits as configured by operators."""

import msgspec

from ..utils import ZERO, Resources

__all__ = ["Catalog", "PlacementPolicy", "Queue", "RequestLimits", "Team"]


class PlacementPolicy(msgspec.Struct, frozen=True):
    """Outside policy service that restricts which workers may run a queue's steps.

    Parameters
    ----------
    decide_ms : float
        Fixed part of the duration of a policy query, in milliseconds.
    per_worker_ms : float
        Milliseconds added for each worker named in the query.
    valid_ms : int
        Validity of a ticket in milliseconds.
    """

    decide_ms: float
    per_worker_ms: float
    valid_ms: int

    def query_duration_ms(self, worker_count: int) -> float:
        """Return how long a query about `worker_count` workers takes."""
        return self.decide_ms + self.per_worker_ms * worker_count


class Queue(msgspec.Struct, frozen=True):
    """Queue to which callers submit jobs.

    Parameters
    ----------
    name : str
        Name, which is the same in all versions of the catalog.
    host, path_prefix : str
        Host and path prefix of the requests that belong to the queue.
    service : str
        Pool of workers that runs the queue's tasks.
    priority : int
        Priority; 0 is the highest.
    max_attempts : int
        Failed runs of a task after which the job fails.
    stretch : float
        Objective of a job as a multiple of its critical path.
    target_ms : int
        Milliseconds added to the objective.
    timeout_ms : int
        Milliseconds after which a request is no longer worth a response.
    public : bool
        Whether requests need no key.
    placement_policy : PlacementPolicy or None, default=None
        Policy that restricts the workers; None allows any worker. Encoded as
        ``advice``.
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
    placement_policy: PlacementPolicy | None = msgspec.field(
        default=None, name="advice"
    )


class Team(msgspec.Struct, frozen=True):
    """Team with its weight and resource limit.

    Parameters
    ----------
    name : str
        Name of the team.
    weight : float, default=1.0
        Relative share of a fully loaded cell.
    limit : Resources, default=ZERO
        Most resources that the team's running tasks may use; 0 in a component
        means no limit.
    """

    name: str
    weight: float = 1.0
    limit: Resources = ZERO


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on a caller's requests.

    Parameters
    ----------
    header_bytes, body_bytes : int, default=16384, 262144
        Maximum size of the header and of the body, in bytes.
    header_timeout_ms, idle_timeout_ms : int, default=3000, 15000
        Milliseconds to wait for a complete header, and for the next request.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class Catalog:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Version number set by the operators.
    queues : iterable of Queue
        Queues of the cell.
    teams : iterable of Team
        Teams that submit jobs.
    keys : dict of str to str
        Name of the team by API key.
    services : iterable of str
        Names of the worker pools.
    limits : RequestLimits
        Limits on requests.

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
        """Return the queue with the longest matching prefix, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
