"""Reading of streams up to their end."""

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
"""Records of one read, as many as a follower of the stream takes."""
MAX_WAITING_CALLS = 4
"""Questions that may wait at once, a third of the callers' threads by default."""


class CatchUp:
    """Fold all that a stream holds at the time of a question.

    Parameters
    ----------
    core : CoreHandle
        The core of this entry.
    log : LogService
        The platform's log.
    clock : Clock
        Source of time.
    stream : StreamName
        What to read.
    position : callable
        Takes the core; returns the first offset that it has not folded.
    apply_slice : callable
        Takes the core and a slice to fold.

    Notes
    -----
    An entry learns of a change that another has confirmed only when it reads the
    record. What must not rest on older facts, such as the refusal of a key, is
    decided after a catch-up. Questions that come while one is under way share the
    next, so that their number does not decide how often the log is read. Only so
    many may wait: strangers must not hold up all threads while the log is slow.
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
        """Return once the core has folded what the log holds now.

        Raises
        ------
        LogUnavailableError
            If the log can't be read, or too many questions wait.
        NotHolderError
            If the stream is that of a group that this entry does not hold.
        """
        if not self._waiting_slots.acquire(blocking=False):
            raise LogUnavailableError("too many calls wait for a read of the log")
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
                    f"{self.stream} was forgotten up to {part.first}"
                )
            # Told, not asked: a failed step of the core has to end the entry.
            self.core.tell(lambda core, part=part: self.apply_slice(core, part))


def cell_catch_up(core: CoreHandle, log: LogService, clock: Clock) -> CatchUp:
    """Return the catch-up of the cell's stream."""
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
    """Return the catch-up of a group's stream, for its holder."""
    return CatchUp(
        core,
        log,
        clock,
        group_stream(group),
        lambda core: core.holder_of(group).next_offset,
        lambda core, part: core.on_group_slice(group, part),
    )
