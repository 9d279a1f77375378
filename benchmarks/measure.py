"""A measurement as it is printed."""

import math

import msgspec

__all__ = ["Figure", "percentile", "report"]


class Figure(msgspec.Struct):
    """A measured figure.

    Parameters
    ----------
    name : str
        What was measured.
    value : float
        The figure.
    unit : str
        Its unit.
    bound : float or None
        Largest value that the users allow, None if they state none.
    holds : bool or None
        Whether the bound holds, None without a bound.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    holds: bool | None = None


def report(name: str, value: float, unit: str, bound: float | None = None) -> None:
    """Print a measure as a JSON line."""
    holds = None if bound is None else value <= bound
    figure = Figure(name, round(value, 3), unit, bound, holds)
    print(msgspec.json.encode(figure).decode(), flush=True)


def percentile(values: list[float], fraction: float) -> float:
    """Return the smallest value that a fraction of all values does not exceed."""
    ordered = sorted(values)
    return ordered[max(math.ceil(fraction * len(ordered)) - 1, 0)]
