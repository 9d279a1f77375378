"""What all of the leader's dealings with workers share."""

from collections.abc import Callable
from typing import NamedTuple

from ..fleet import WorkerPort
from ..utils import Clock
from ._leader_state import LeaderState
from ._settings import ControlSettings

__all__ = ["ControlContext"]


class ControlContext(NamedTuple):
    """State, calls and callbacks of one leader.

    Parameters
    ----------
    book : CellBook
        State.
    port : WorkerPort
        Calls to workers.
    clock : Clock
        Source of time.
    cfg : ControlSettings
        Settings.
    changed : callable
        Called when room or tasks have become free.
    fenced : callable
        Called with the reason when a worker has seen a higher token.
    """

    state: LeaderState
    port: WorkerPort
    clock: Clock
    cfg: ControlSettings
    on_change: Callable[[], None]
    on_fenced: Callable[[str], None]
