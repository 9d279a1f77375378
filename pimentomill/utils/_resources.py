"""Vectors of CPU, memory and accelerator amounts."""

import msgspec

__all__ = ["ZERO", "Resources", "dominant_fraction"]


class Resources(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Amounts of all resources.

    Parameters
    ----------
    cpu_milli : int, default=0
        CPU in thousandths of a core.
    memory_mb : int, default=0
        Memory in MB.
    accelerators : int, default=0
        Number of accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> "Resources":
        return Resources(
            self.cpu_milli * count, self.memory_mb * count, self.accelerators * count
        )

    def fits_in(self, other: "Resources") -> bool:
        """Return whether every component is at most that of `other`."""
        return (
            self.cpu_milli <= other.cpu_milli
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def minimum(self, other: "Resources") -> "Resources":
        """Return the element-wise minimum."""
        return Resources(
            min(self.cpu_milli, other.cpu_milli),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def maximum(self, other: "Resources") -> "Resources":
        """Return the element-wise maximum."""
        return Resources(
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def is_zero(self) -> bool:
        """Return whether every component is zero."""
        return not (self.cpu_milli or self.memory_mb or self.accelerators)

    def describe(self) -> str:
        """Return a short description, such as ``2.0 cpu 512 MB 1 acc``."""
        return (
            f"{self.cpu_milli / 1000:.1f} cpu {self.memory_mb} MB "
            f"{self.accelerators} acc"
        )


ZERO = Resources()


def dominant_fraction(used: Resources, total: Resources) -> float:
    """Return the largest used fraction over all components.

    Parameters
    ----------
    used : Resources
        Amount in use.
    total : Resources
        Total amount.

    Returns
    -------
    float
        At least 0; components that are zero in `total` are ignored.

    Examples
    --------
    >>> dominant_fraction(Resources(1000, 100, 0), Resources(4000, 200, 0))
    0.5
    """
    fraction = 0.0
    if total.cpu_milli:
        fraction = used.cpu_milli / total.cpu_milli
    if total.memory_mb:
        fraction = max(fraction, used.memory_mb / total.memory_mb)
    if total.accelerators:
        fraction = max(fraction, used.accelerators / total.accelerators)
    return fraction
