"""Records that must become durable eventually."""

from ..journal import AppendState, PendingAppend
from ..utils import GroupName
from ..work import WorkRecord
from ._ports import HolderPorts

__all__ = ["DurableAppends"]


class DurableAppends:
    """Retry appends until the log confirms them.

    Parameters
    ----------
    ports : HolderPorts
        Interface to the surrounding process.

    Notes
    -----
    Only for records whose second copy is rejected when it is applied or has no
    effect.
    """

    def __init__(self, ports: HolderPorts) -> None:
        self.ports = ports
        self._pending: list[tuple[GroupName, PendingAppend]] = []

    def append(self, group: GroupName, record: WorkRecord, linger_ms: int) -> None:
        """Append a record, to be retried until it is durable.

        Parameters
        ----------
        group : GroupName
            Group whose stream gets the record.
        record : WorkRecord
            The record.
        linger_ms : int
            How long the record may wait for others to join its batch.
        """
        item = self.ports.append_work(group, record, linger_ms)
        self._pending.append((group, item))

    def retry(self) -> None:
        """Retry the appends that ended without a confirmation."""
        pending, self._pending = self._pending, []
        for group, item in pending:
            if item.state is AppendState.WAITING:
                self._pending.append((group, item))
            elif item.state is not AppendState.DURABLE:
                self.append(group, item.body, 0)
