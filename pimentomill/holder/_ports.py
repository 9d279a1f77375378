"""Interface between a holder and the process that runs it."""

from typing import Protocol

from ..cell import CellRecord, CellState
from ..journal import PendingAppend
from ..utils import GroupName
from ..work import WorkRecord
from ..workers import CommandBatch, WorkerView
from ._answers import GroupSummary

__all__ = ["HolderPorts"]


class HolderPorts(Protocol):
    """Operations that a holder calls; none of them blocks."""

    def append_work(
        self, group: GroupName, record: WorkRecord, linger_ms: int
    ) -> PendingAppend:
        """Queue a record for a group's stream."""

    def append_cell(self, record: CellRecord) -> PendingAppend:
        """Queue a record for the cell's stream."""

    def command(self, group: GroupName, view: WorkerView, batch: CommandBatch) -> None:
        """Send commands to a worker; `on_answer` receives the answer."""

    def cell(self) -> CellState:
        """Return the state of the cell."""

    def summaries(self) -> dict[GroupName, GroupSummary]:
        """Return the latest summaries of the other groups."""
