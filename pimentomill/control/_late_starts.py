"""Start orders without an answer, which a worker may still carry out."""

from collections import deque
from typing import NamedTuple

from ..jobs import TaskKey, WorkerId
from ..utils import Clock, Instant

__all__ = ["LateStarts"]

LATE_START_MS = 15_000
"""Milliseconds after which a start order is not carried out any more. Workers carry
orders out up to 12 s late."""


class _LateStart(NamedTuple):
    """A start order without an answer.

    Parameters
    ----------
    worker : WorkerId
        Worker that the order was sent to.
    task : TaskKey
        Task.
    run : int
        Number of the run.
    until : Instant
        Time until which it may be carried out.
    """

    worker: WorkerId
    task: TaskKey
    run: int
    until: Instant


class LateStarts:
    """Remembers start orders without an answer, also after their runs were released.

    Workers are told apart by name: one that was removed may be listed again.

    A stop bars a late start only in the incarnation of the worker that has answered the
    stop. The next one, under the same name, has to be told again.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._starts: deque[_LateStart] = deque()

    def add(self, worker: WorkerId, task: TaskKey, run: int) -> None:
        """Add a start order that got no answer."""
        self._drop_expired()
        until = Instant(self.clock.now() + LATE_START_MS)
        self._starts.append(_LateStart(worker, task, run, until))

    def of(self, worker: WorkerId) -> list[tuple[TaskKey, int]]:
        """Return the runs that a worker may still start by an order of the past."""
        self._drop_expired()
        return [(item.task, item.run) for item in self._starts if item.worker == worker]

    def _drop_expired(self) -> None:
        now = self.clock.now()
        while self._starts and self._starts[0].until <= now:
            self._starts.popleft()
