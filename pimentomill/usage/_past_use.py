"""Term of the order of waiting work that balances the usage of teams."""

from collections.abc import Mapping

from ..utils import ZERO, Resources

__all__ = ["MIN_FACTOR", "PastUse", "VirtualTime", "usage_factors"]

MIN_FACTOR = 0.5
"""Lower bound of the factor on a team's weight. A team keeps at least half of the
share that its weight gives, however much it has used, and no other team gets more than
twice its own share."""
PRIOR_SHARE = 0.1
"""Share of the cell by which past use is smoothed. Without it, the ratio of two sums
would stay the same while both decay, so that an idle team would never recover."""
DIGITS = 9
"""Decimal digits of a virtual time, which leave out rounding errors of its sums."""


def usage_factors(
    past_shares: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the factor on the weight of each team that competes for capacity.

    Parameters
    ----------
    past_shares : mapping of str to float
        Mean share of the cell that each team has used, by team.
    weights : mapping of str to float
        Positive weights of the same teams.

    Returns
    -------
    dict of str to float
        1 for a team that has used at most its share by weight among these teams, less
        for one that has used more, at least `MIN_FACTOR`.

    Examples
    --------
    >>> usage_factors({"a": 0.9, "b": 0.0}, {"a": 1.0, "b": 1.0})
    {'a': 0.5263157894736842, 'b': 1.0}
    """
    total_weight = sum(weights.values())
    total = sum(past_shares.values()) + PRIOR_SHARE
    factors = {}
    for team, weight in weights.items():
        entitled = total * weight / total_weight
        used = past_shares[team] + PRIOR_SHARE * weight / total_weight
        factors[team] = max(MIN_FACTOR, min(1.0, entitled / used))
    return factors


class VirtualTime:
    """Virtual time of a team in weighted fair queueing while steps are ordered.

    Parameters
    ----------
    used : tuple of float
        Fraction of each resource of the cell that the team's runs have reserved.
    units : tuple of float
        Fraction of the cell that one unit of each resource is.
    weight : float
        Weight of the team times its factor.
    """

    __slots__ = ("_accelerators", "_cpu", "_memory", "_units", "_weight")

    def __init__(
        self,
        used: tuple[float, float, float],
        units: tuple[float, float, float],
        weight: float,
    ) -> None:
        self._cpu, self._memory, self._accelerators = used
        self._units = units
        self._weight = weight

    def take(self, need: Resources, tasks: int) -> float:
        """Return the usage by weight before a step, and add what the step needs.

        The step with the lowest value is served first.
        """
        before = max(self._cpu, self._memory, self._accelerators) / self._weight
        # Equal usage must compare as equal, so that the due time decides.
        before = round(before, DIGITS)
        cpu, memory, accelerators = self._units
        self._cpu += need.cpu_milli * tasks * cpu
        self._memory += need.memory_mb * tasks * memory
        self._accelerators += need.accelerators * tasks * accelerators
        return before


class PastUse:
    """Usage of the competing teams, as it enters one ordering of waiting work.

    Parameters
    ----------
    running : mapping of str to Resources
        Resources that the runs of each team have reserved.
    weights : mapping of str to float
        Weight of each team times its factor.
    capacity : Resources
        Capacity of the cell.
    """

    def __init__(
        self,
        running: Mapping[str, Resources],
        weights: Mapping[str, float],
        capacity: Resources,
    ) -> None:
        self.running = running
        self.weights = weights
        self._units = tuple(
            1.0 / amount if amount else 0.0 for amount in _amounts(capacity)
        )

    def virtual_time_of(self, team: str) -> VirtualTime:
        """Return the virtual time of a team before its first waiting step."""
        running = _amounts(self.running.get(team, ZERO))
        used = tuple(
            amount * unit for amount, unit in zip(running, self._units, strict=True)
        )
        return VirtualTime(used, self._units, self.weights.get(team, 1.0))


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return resources.cpu_milli, resources.memory_mb, resources.accelerators
