"""Objects that the components of the leader share."""

from collections.abc import Callable
from typing import NamedTuple

from ..fleet import Worker, WorkerPort
from ..replica import Authority
from ..utils import Clock
from ._leader_state import LeaderState
from ._settings import ControlSettings

__all__ = ["ControlContext"]


class ControlContext(NamedTuple):
    """State, worker calls and callbacks of one leader.

    Parameters
    ----------
    state : LeaderState
        State of the cell.
    port : WorkerPort
        Calls to workers.
    clock : Clock
        Source of time.
    cfg : ControlSettings
        Settings of the leader.
    authority : Authority
        Proofs that the leader has not been replaced.
    on_change : callable
        Called when capacity or tasks have become available.
    on_fenced : callable
        Called with the reason when a worker has seen a higher fencing token.
    refuse_start : callable, optional
        Returns why no run may be started on a worker at this moment, None if one may.
        Called right before an order is sent: evacuations and pauses of the process may
        have occurred since it was planned.
    """

    state: LeaderState
    port: WorkerPort
    clock: Clock
    cfg: ControlSettings
    authority: Authority
    on_change: Callable[[], None]
    on_fenced: Callable[[str], None]
    refuse_start: Callable[[Worker], str | None] = lambda worker: None
