"""What all of the leader's dealings with workers share."""

from collections.abc import Callable
from typing import NamedTuple

from ..fleet import WorkerPort
from ..utils import Clock
from ._book import CellBook
from ._settings import ControlSettings

__all__ = ["Drive"]


class Drive(NamedTuple):
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

    book: CellBook
    port: WorkerPort
    clock: Clock
    cfg: ControlSettings
    changed: Callable[[], None]
    fenced: Callable[[str], None]
