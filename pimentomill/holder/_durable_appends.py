"""Records that have to be kept sooner or later."""

from ..journal import AppendState, PendingAppend
from ..utils import GroupName
from ..work import WorkRecord
from ._ports import HolderPorts

__all__ = ["DurableAppends"]


class DurableAppends:
    """Append records again until the log has confirmed them.

    Parameters
    ----------
    ports : HolderPorts
        Ways out.

    Notes
    -----
    Only for records of which a second copy is refused by the fold or changes
    nothing.
    """

    def __init__(self, ports: HolderPorts) -> None:
        self.ports = ports
        self._pending: list[tuple[GroupName, PendingAppend]] = []

    def append(self, group: GroupName, record: WorkRecord, linger_ms: int) -> None:
        """Append a record, now and again.

        Parameters
        ----------
        group : GroupName
            Whose stream.
        record : WorkRecord
            The record.
        linger_ms : int
            How long it may wait for others to join its batch.
        """
        item = self.ports.append_work(group, record, linger_ms)
        self._pending.append((group, item))

    def retry(self) -> None:
        """Append again what was given up without being confirmed."""
        pending, self._pending = self._pending, []
        for group, item in pending:
            if item.state is AppendState.WAITING:
                self._pending.append((group, item))
            elif item.state is not AppendState.KEPT:
                self.append(group, item.body, 0)
