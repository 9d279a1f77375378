"""Numbers of the occurrences of a job that are done."""

from collections.abc import Iterable

__all__ = ["OccurrenceSet"]


class OccurrenceSet:
    """Set of numbers from 0 on, most of which form one range that begins at 0.

    Parameters
    ----------
    ranges : iterable of tuple of int
        First and last numbers of ranges.

    Examples
    --------
    >>> done = OccurrenceSet([(0, 4), (7, 8)])
    >>> done.add(5)
    >>> done.ranges(), 6 in done
    (((0, 5), (7, 8)), False)
    """

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._begin = 0
        self._others: set[int] = set()
        for first, last in sorted(ranges):
            if first <= self._begin:
                self._begin = max(self._begin, last + 1)
            else:
                self._others.update(range(first, last + 1))

    def __contains__(self, number: int) -> bool:
        return number < self._begin or number in self._others

    def __bool__(self) -> bool:
        return bool(self._begin or self._others)

    def add(self, number: int) -> None:
        """Add a number."""
        if number < self._begin:
            return
        self._others.add(number)
        while self._begin in self._others:
            self._others.remove(self._begin)
            self._begin += 1

    def ranges(self) -> tuple[tuple[int, int], ...]:
        """Return the first and last numbers of the ranges, in order."""
        ranges = [(0, self._begin - 1)] if self._begin else []
        for number in sorted(self._others):
            if ranges and ranges[-1][1] == number - 1:
                ranges[-1] = (ranges[-1][0], number)
            else:
                ranges.append((number, number))
        return tuple(ranges)
