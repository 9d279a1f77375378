"""Stored record of the usage of all teams."""

import math

import msgspec

__all__ = ["USAGE_KEY", "TeamUsage", "UsageRecord", "decode_usage"]

USAGE_KEY = "usage"
"""Key of the record in the stream `work`."""


class TeamUsage(msgspec.Struct, frozen=True, array_like=True):
    """Usage of one team when the record was written.

    Parameters
    ----------
    team : str
        Name of the team, empty for work without a team.
    past_s : float
        Decayed sum of the team's dominant share of the cell, in seconds.
    current_share : float
        Dominant share of the cell that its runs had reserved.
    weight : float
        Weight by which the leader compared the team with others.
    """

    team: str
    past_s: float
    current_share: float = 0.0
    weight: float = 1.0


class UsageRecord(msgspec.Struct, frozen=True):
    """Usage of all teams.

    Parameters
    ----------
    at_ms : int
        Time of day of the write in milliseconds since 1970, for display only.
    half_life_s : float
        Half-life of the sums in seconds.
    teams : tuple of TeamUsage
        Teams, the largest sum first.
    """

    at_ms: int
    half_life_s: float
    teams: tuple[TeamUsage, ...] = ()


def decode_usage(value: bytes) -> UsageRecord:
    """Decode a stored record.

    Raises
    ------
    ValueError
        If it can't be decoded or contains an impossible number.
    """
    try:
        record = msgspec.msgpack.decode(value, type=UsageRecord)
    except RecursionError as exc:
        raise ValueError(f"nested too deeply: {exc}") from exc
    numbers = [record.half_life_s, *(item.past_s for item in record.teams)]
    if not all(math.isfinite(number) and number >= 0 for number in numbers):
        raise ValueError("a sum or the half-life is not a finite number of at least 0")
    if not all(math.isfinite(u.weight) and u.weight > 0 for u in record.teams):
        raise ValueError("a weight is not a finite number above 0")
    return record
