"""On-demand reads of a stream up to its current end."""

import threading
from collections.abc import Callable

from ..exceptions import LogUnavailableError
from ..journal import LogService, ReadRequest, StreamSlice
from ..utils import Clock, GroupName, Instant, Offset, StreamName
from ._actor import CoreHandle
from ._core import EntryCore
from ._effects import CELL_STREAM, group_stream

__all__ = ["CatchUp", "cell_catch_up", "group_catch_up"]

NEVER = Instant(-1)
READ_LIMIT = 2_000
"""Maximum number of records per read, as for a `StreamReader`."""
MAX_WAITING_CALLS = 4
"""Maximum number of waiting calls, a third of the default caller threads."""


class CatchUp:
    """Bring the core up to date with the current end of a stream.

    Parameters
    ----------
    core : CoreHandle
        The core of this entry.
    log : LogService
        The platform's log service.
    clock : Clock
        Source of time.
    stream : StreamName
        Stream to read.
    position : callable
        Takes the core; returns the first offset that it has not applied.
    apply_slice : callable
        Takes the core and a slice of the stream to apply.

    Notes
    -----
    An entry sees a change that another entry has confirmed only after it reads the
    record. Decisions that must not rest on stale state, such as rejecting a key, are
    made after a catch-up. Calls that arrive during a read share the next one, so
    that the number of reads does not grow with the number of calls. The number of
    waiting calls is limited: unauthenticated callers must not be able to block all
    threads while the log is slow.
    """

    def __init__(
        self,
        core: CoreHandle,
        log: LogService,
        clock: Clock,
        stream: StreamName,
        position: Callable[[EntryCore], Offset],
        apply_slice: Callable[[EntryCore, StreamSlice], None],
    ) -> None:
        self.core = core
        self.log = log
        self.clock = clock
        self.stream = stream
        self.position = position
        self.apply_slice = apply_slice
        self._lock = threading.Lock()
        self._last_started_at = NEVER
        self._waiting_slots = threading.BoundedSemaphore(MAX_WAITING_CALLS)

    def run(self) -> None:
        """Return once the core has applied all records that are in the stream now.

        Raises
        ------
        LogUnavailableError
            If the log can't be read, or too many calls are waiting.
        NotHolderError
            If it is the stream of a group that this entry does not hold.
        """
        if not self._waiting_slots.acquire(blocking=False):
            raise LogUnavailableError(
                "too many calls are waiting for a read of the log"
            )
        try:
            self._read_if_needed()
        finally:
            self._waiting_slots.release()

    def _read_if_needed(self) -> None:
        called_at = self.clock.now()
        with self._lock:
            if self._last_started_at > called_at:
                return
            started_at = self.clock.now()
            self._read_to_end()
            self._last_started_at = started_at

    def _read_to_end(self) -> None:
        while True:
            position = self.core.ask(self.position)
            req = ReadRequest({self.stream: position}, 0, READ_LIMIT)
            part = self.log.read(req).streams.get(self.stream)
            if part is None:
                return
            if part.start != position:
                raise LogUnavailableError(
                    f"records of {self.stream} before {part.first} are deleted"
                )
            # Uses tell instead of ask: a failure in the core must end the entry.
            self.core.tell(lambda core, part=part: self.apply_slice(core, part))


def cell_catch_up(core: CoreHandle, log: LogService, clock: Clock) -> CatchUp:
    """Return a `CatchUp` for the cell's stream."""
    return CatchUp(
        core,
        log,
        clock,
        CELL_STREAM,
        lambda core: core.cell().next_offset,
        lambda core, part: core.on_cell_slice(part),
    )


def group_catch_up(
    core: CoreHandle, log: LogService, clock: Clock, group: GroupName
) -> CatchUp:
    """Return a `CatchUp` for the stream of a group that this entry holds."""
    return CatchUp(
        core,
        log,
        clock,
        group_stream(group),
        lambda core: core.holder_of(group).next_offset,
        lambda core, part: core.on_group_slice(group, part),
    )
