"""Record of the learned speeds of workers, for a successor of the leader."""

import msgspec

from ..jobs import KeyedRecord
from ..speeds import SpeedModel
from ..telemetry import ComponentLogger
from ..utils import Instant

__all__ = ["SPEEDS_KEY", "SpeedsRecorder"]

SPEEDS_KEY = "speeds"
RECORD_INTERVAL_MS = 5000
"""Shortest time between two records. A successor relearns what came later."""

_log = ComponentLogger("speeds")


class SpeedsRecorder:
    """Restores the learned speeds and decides when to store them.

    Parameters
    ----------
    model : SpeedModel
        Learned speeds.
    now : Instant
        Start of the leadership.
    """

    def __init__(self, model: SpeedModel, now: Instant) -> None:
        self.model = model
        self._next_at = Instant(now + RECORD_INTERVAL_MS)
        self._recorded_runs = 0

    def restore(self, value: bytes) -> None:
        """Restore what a predecessor has stored; a bad record is ignored.

        Parameters
        ----------
        value : bytes
            Newest record, empty if there is none.
        """
        if not value:
            return
        try:
            workers = self.model.restore(value)
        except msgspec.DecodeError as exc:
            _log.warning("Ignoring undecodable record", key=SPEEDS_KEY, why=str(exc))
            return
        _log.info("Learned speeds restored", workers=workers, size=len(value))

    def due_record(self, now: Instant) -> KeyedRecord | None:
        """Return the record to store, None if it is not due or nothing was learned."""
        learned = self.model.runs_ - self._recorded_runs
        if now < self._next_at or not learned:
            return None
        self._next_at = Instant(now + RECORD_INTERVAL_MS)
        self._recorded_runs = self.model.runs_
        value = self.model.encode()
        _log.info("Learned speeds recorded", runs=learned, size=len(value))
        return KeyedRecord(SPEEDS_KEY, value)
