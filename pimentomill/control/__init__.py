"""The leader: authority, recovery, orders to workers, records."""

from ._expiry import expired_keys
from ._explanation import Explanation, ReplayedCell, explain_job
from ._leader import FLEET_KEY, WORKERS_STREAM, Leader
from ._leader_state import LeaderState, PendingAck, StopOrder
from ._policy_queries import (
    PolicyPort,
    PolicyQuery,
    PolicyQueryDispatcher,
    PolicyTickets,
)
from ._progress_writer import LEADER_WRITER, WORK_STREAM
from ._scheduling import (
    Features,
    SchedulingSettings,
    Switch,
    load_scheduling_settings,
)
from ._settings import ControlSettings
from ._speeds_record import SPEEDS_KEY

__all__ = [
    "FLEET_KEY",
    "LEADER_WRITER",
    "SPEEDS_KEY",
    "WORKERS_STREAM",
    "WORK_STREAM",
    "ControlSettings",
    "Explanation",
    "Features",
    "Leader",
    "LeaderState",
    "PendingAck",
    "PolicyPort",
    "PolicyQuery",
    "PolicyQueryDispatcher",
    "PolicyTickets",
    "ReplayedCell",
    "SchedulingSettings",
    "StopOrder",
    "Switch",
    "expired_keys",
    "explain_job",
    "load_scheduling_settings",
]
