"""The leader: authority, recovery, orders to workers, records."""

from ._expiry import expired_keys
from ._leader import FLEET_KEY, WORKERS_STREAM, Leader
from ._leader_state import LeaderState, PendingAck, StopOrder
from ._policy_queries import (
    PolicyPort,
    PolicyQuery,
    PolicyQueryDispatcher,
    PolicyTickets,
)
from ._progress_writer import LEADER_WRITER, WORK_STREAM
from ._settings import ControlSettings

__all__ = [
    "FLEET_KEY",
    "LEADER_WRITER",
    "WORKERS_STREAM",
    "WORK_STREAM",
    "ControlSettings",
    "Leader",
    "LeaderState",
    "PendingAck",
    "PolicyPort",
    "PolicyQuery",
    "PolicyQueryDispatcher",
    "PolicyTickets",
    "StopOrder",
    "expired_keys",
]
