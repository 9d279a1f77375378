"""Output format and statistics of benchmarks."""

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
        Value in `unit`.
    unit : str
        Unit of the value.
    bound : float or None
        Largest value that the users allow, or None.
    holds : bool or None
        Whether the bound holds, or None without a bound.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    holds: bool | None = None


def report(name: str, value: float, unit: str, bound: float | None = None) -> None:
    """Print a figure as a JSON line."""
    holds = None if bound is None else value <= bound
    figure = Figure(name, round(value, 3), unit, bound, holds)
    print(msgspec.json.encode(figure).decode(), flush=True)


def percentile(values: list[float], fraction: float) -> float:
    """Return the smallest value that a fraction of all values does not exceed."""
    ordered = sorted(values)
    return ordered[max(math.ceil(fraction * len(ordered)) - 1, 0)]
