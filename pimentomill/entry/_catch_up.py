"""Reading of the cell's stream up to its end."""

import threading

from ..exceptions import LogUnavailableError
from ..journal import LogService, ReadRequest
from ..utils import Clock, Instant
from ._actor import CoreHandle
from ._effects import CELL_STREAM

__all__ = ["CatchUp"]

NEVER = Instant(-1)
READ_LIMIT = 2_000
"""Records of one read, as many as a follower of the stream takes."""


class CatchUp:
    """Fold all that the cell's stream holds at the time of a question.

    Parameters
    ----------
    core : CoreHandle
        The core of this entry.
    log : LogService
        The platform's log.
    clock : Clock
        Source of time.

    Notes
    -----
    An entry learns of a change that another has confirmed only when it reads the
    record. What must not rest on older facts, such as the refusal of a key, is
    decided after a catch-up. Questions that come while one is under way share the
    next, so that their number does not decide how often the log is read.
    """

    def __init__(self, core: CoreHandle, log: LogService, clock: Clock) -> None:
        self.core = core
        self.log = log
        self.clock = clock
        self._lock = threading.Lock()
        self._begun_at = NEVER

    def run(self) -> None:
        """Return once the core has folded what the log holds now.

        Raises
        ------
        LogUnavailableError
            If the log can't be read.
        """
        asked_at = self.clock.now()
        with self._lock:
            if self._begun_at > asked_at:
                return
            begun_at = self.clock.now()
            self._read_on()
            self._begun_at = begun_at

    def _read_on(self) -> None:
        while True:
            position = self.core.ask(lambda core: core.cell().next_offset)
            req = ReadRequest({CELL_STREAM: position}, 0, READ_LIMIT)
            part = self.log.read(req).streams.get(CELL_STREAM)
            if part is None:
                return
            if part.start != position:
                raise LogUnavailableError(
                    f"{CELL_STREAM} was forgotten up to {part.first}"
                )
            # Told, not asked: a failed step of the core has to end the entry.
            self.core.tell(lambda core, part=part: core.on_cell_slice(part))
