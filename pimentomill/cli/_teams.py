"""Report on the usage of teams."""

import math

from ..jobs import KeyedRecord
from ..usage import USAGE_KEY, UsageRecord, decode_usage, usage_factors

__all__ = ["format_teams"]

MS_PER_S = 1000
NO_RECORD = (
    "no usage on record: past_use_half_life_s is 0, or the leader has led for less "
    "than 15 s"
)
HEADER = "rank team weight current past past_s factor"


def format_teams(records: list[KeyedRecord], wall_ms: int) -> list[str]:
    """Return a table of teams, the one that past use favours most first.

    Parameters
    ----------
    records : list of KeyedRecord
        Newest records of the stream `work`.
    wall_ms : int
        Time of day in milliseconds since 1970.

    Raises
    ------
    ValueError
        If the record of usage can't be decoded.
    """
    values = [record.value for record in records if record.key == USAGE_KEY]
    if not values or not values[-1]:
        return [NO_RECORD]
    record = decode_usage(values[-1])
    age_s = (wall_ms - record.at_ms) / MS_PER_S
    title = (
        f"half-life {record.half_life_s:g} s, recorded {age_s:.1f} s ago; shares are "
        f"those of the whole cell"
    )
    return [title, *_format_table(record)]


def _format_table(record: UsageRecord) -> list[str]:
    time_constant_s = record.half_life_s / math.log(2)
    past_shares = {
        usage.team: usage.past_s / max(time_constant_s, 1.0) for usage in record.teams
    }
    factors = usage_factors(past_shares, {u.team: u.weight for u in record.teams})
    ranked = sorted(
        record.teams, key=lambda usage: (usage.past_s / usage.weight, usage.team)
    )
    rows = [HEADER.split()]
    for rank, usage in enumerate(ranked, start=1):
        rows.append(
            [
                str(rank),
                usage.team or "(none)",
                f"{usage.weight:g}",
                f"{usage.current_share:.1%}",
                f"{past_shares[usage.team]:.1%}",
                f"{usage.past_s:.1f}",
                f"{factors[usage.team]:.2f}",
            ]
        )
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
