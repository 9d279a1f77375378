"""Allotments: the parts of the teams' limits that a group may use."""

import msgspec

from ..cell import (
    AllotmentRequested,
    AllotmentReturned,
    CellState,
    total_allotted,
)
from ..journal import AppendState, AppliedRecord, PendingAppend
from ..utils import ZERO, Epoch, GroupName, MemberId, Resources, TeamName
from ._ports import HolderPorts

__all__ = ["AllotmentKeeper"]


class _PendingReturn(msgspec.Struct):
    """An amount that is being returned and is no longer usable."""

    amount: Resources
    item: PendingAppend


class AllotmentKeeper:
    """Request and return parts of the teams' limits for one group.

    Parameters
    ----------
    group : GroupName
        The group.
    epoch : Epoch
        Epoch of its holder.
    member : MemberId
        The holder.
    ports : HolderPorts
        Interface to the surrounding process.
    """

    def __init__(
        self, group: GroupName, epoch: Epoch, member: MemberId, ports: HolderPorts
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.member = member
        self.ports = ports
        self._pending_requests: dict[TeamName, PendingAppend] = {}
        self._pending_returns: dict[TeamName, _PendingReturn] = {}

    def usable(self, team: TeamName) -> Resources:
        """Return the resources that the team may use in this group."""
        allotment = self._allotment(team)
        returning = self._pending_returns.get(team)
        return allotment - returning.amount if returning else allotment

    def excess(self, team: TeamName) -> Resources:
        """Return by how much the allotments exceed a limit that was lowered."""
        cell = self.ports.cell()
        if team not in cell.teams:
            return total_allotted(cell, team)
        over = total_allotted(cell, team) - cell.teams[team].limit
        return over.maximum(ZERO)

    @property
    def is_pending(self) -> bool:
        """Whether an allotment record of this group is pending."""
        return bool(self._pending_requests or self._pending_returns)

    def _allotment(self, team: TeamName) -> Resources:
        return self.ports.cell().allotments.get(team, {}).get(self.group, ZERO)

    def observe_applied(self, applied: AppliedRecord) -> None:
        """Settle the pending records that an applied record decides.

        Parameters
        ----------
        applied : AppliedRecord
            A record that was applied. If this entry wrote it, its own records
            of lower numbers that have not been seen by now will never take
            effect.
        """
        if applied.writer != self.member:
            return
        for pending in (self._pending_requests, self._pending_returns):
            for team in list(pending):
                item = pending[team]
                item = item.item if isinstance(item, _PendingReturn) else item
                if 0 < item.seq <= applied.seq:
                    del pending[team]

    def adjust(
        self, shortfalls: dict[TeamName, Resources], used: dict[TeamName, Resources]
    ) -> None:
        """Request what is missing and return what other groups wait for.

        Parameters
        ----------
        shortfalls : dict
            Resources that each team is short of in this group.
        used : dict
            Resources that each team uses in this group.
        """
        self._drop_failed_appends()
        cell = self.ports.cell()
        teams = set(shortfalls) | set(cell.allotment_requests) | set(cell.allotments)
        for team in sorted(teams):
            if team not in cell.teams:
                continue
            self._request_missing(cell, team, shortfalls.get(team, ZERO))
            self._return_idle(cell, team, used.get(team, ZERO))

    def _drop_failed_appends(self) -> None:
        for team in list(self._pending_requests):
            if self._pending_requests[team].state is AppendState.NOT_APPENDED:
                del self._pending_requests[team]
        for team in list(self._pending_returns):
            if self._pending_returns[team].item.state is AppendState.NOT_APPENDED:
                del self._pending_returns[team]

    def _request_missing(
        self, cell: CellState, team: TeamName, shortfall: Resources
    ) -> None:
        headroom = (cell.teams[team].limit - self._allotment(team)).maximum(ZERO)
        wanted = shortfall.minimum(headroom)
        requested = cell.allotment_requests.get(team, {}).get(self.group, ZERO)
        if wanted == requested or team in self._pending_requests:
            return
        record = AllotmentRequested(team, self.group, self.epoch, wanted)
        self._pending_requests[team] = self.ports.append_cell(record)

    def _return_idle(self, cell: CellState, team: TeamName, used: Resources) -> None:
        if team in self._pending_returns:
            return
        idle = (self._allotment(team) - used).maximum(ZERO)
        amount = idle.minimum(self._reclaimable(cell, team))
        if amount.is_zero():
            return
        record = AllotmentReturned(team, self.group, self.epoch, amount)
        self._pending_returns[team] = _PendingReturn(
            amount, self.ports.append_cell(record)
        )

    def _reclaimable(self, cell: CellState, team: TeamName) -> Resources:
        """Return the excess over the limit plus what longer waiting groups want."""
        amount_due = self.excess(team)
        for group, amount in cell.allotment_requests.get(team, {}).items():
            if group == self.group:
                break
            amount_due = amount_due + amount
        return amount_due
