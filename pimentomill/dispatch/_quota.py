"""Resource limits of teams and metering of their submissions."""

from ..catalog import Team
from ..utils import ZERO, Instant, Resources

__all__ = ["QuotaBook", "ShareMeter"]

BURST_S = 2.0
"""Seconds of its share that a team may submit at once; the quota window is 5 s."""
MS_PER_S = 1000


class QuotaBook:
    """Resources that each team has in use, checked against its limit.

    Attributes
    ----------
    teams : dict of str to Team
        Teams, by name.
    used : dict of str to Resources
        Resources in use, by team.
    withheld : dict of str to Resources
        Resources that inherited tasks of a team may use, unknown to this leader.

    Examples
    --------
    >>> book = QuotaBook()
    >>> book.teams = {"a": Team("a", 1.0, Resources(cpu_milli=1000))}
    >>> book.allows("a", Resources(800, 10, 0))
    True
    >>> book.add("a", Resources(800, 10, 0))
    >>> book.allows("a", Resources(800, 10, 0))
    False
    """

    def __init__(self) -> None:
        self.teams: dict[str, Team] = {}
        self.used: dict[str, Resources] = {}
        self.withheld: dict[str, Resources] = {}

    def allows(self, team: str, need: Resources, planned: Resources = ZERO) -> bool:
        """Return whether a team may use the additional resources.

        Parameters
        ----------
        team : str
            Name of the team, empty for work without a team.
        need : Resources
            Additional resources.
        planned : Resources
            Resources planned for the team that are not yet counted as used.
        """
        record = self.teams.get(team)
        if record is None or record.limit.is_zero():
            return True
        used = self.used.get(team, ZERO) + self.withheld.get(team, ZERO)
        total = used + planned + need
        limit = record.limit
        return (
            (not limit.cpu_milli or total.cpu_milli <= limit.cpu_milli)
            and (not limit.memory_mb or total.memory_mb <= limit.memory_mb)
            and (not limit.accelerators or total.accelerators <= limit.accelerators)
        )

    def add(self, team: str, need: Resources) -> None:
        """Add the resources of started work to a team's usage."""
        if team:
            self.used[team] = self.used.get(team, ZERO) + need

    def remove(self, team: str, need: Resources) -> None:
        """Remove the resources of ended work from a team's usage."""
        if team:
            self.used[team] = self.used.get(team, ZERO) - need


class ShareMeter:
    """Token bucket per team that finds submissions over the team's share.

    A team's weight is the number of jobs per second that it is entitled to. Its bucket
    fills at that rate and holds `BURST_S` seconds of it.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, tuple[float, Instant]] = {}

    def exceeds_share(self, team: Team | None, now: Instant) -> bool:
        """Count a job and return whether it exceeds the team's share."""
        if team is None or team.weight <= 0:
            return False
        bucket_size = max(1.0, team.weight * BURST_S)
        tokens, updated_at = self._buckets.get(team.name, (bucket_size, now))
        tokens = min(bucket_size, tokens + (now - updated_at) * team.weight / MS_PER_S)
        exceeded = tokens < 1.0
        self._buckets[team.name] = (tokens if exceeded else tokens - 1.0, now)
        return exceeded
