"""The leader: authority, recovery, orders to workers, records."""

from ._advice import AdviceDesk, AdviceGiven, AdvicePort, Question
from ._book import CellBook, EndMark, StopOrder
from ._expiry import expired_keys
from ._leader import FLEET_KEY, WORKERS_STREAM, Leader
from ._scribe import LEADER_WRITER, WORK_STREAM
from ._settings import ControlSettings

__all__ = [
    "FLEET_KEY",
    "LEADER_WRITER",
    "WORKERS_STREAM",
    "WORK_STREAM",
    "AdviceDesk",
    "AdviceGiven",
    "AdvicePort",
    "CellBook",
    "ControlSettings",
    "EndMark",
    "Leader",
    "Question",
    "StopOrder",
    "expired_keys",
]
