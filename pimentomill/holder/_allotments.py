"""A group's part of the teams' upper limits."""

import msgspec

from ..cell import (
    AllotmentRequested,
    AllotmentReturned,
    CellState,
    total_allotted,
)
from ..journal import AppendState, Applied, PendingAppend
from ..utils import ZERO, Epoch, GroupName, MemberId, Resources, TeamName
from ._ports import HolderPorts

__all__ = ["AllotmentKeeper"]


class _Return(msgspec.Struct):
    """A part that is being given back and no longer used."""

    amount: Resources
    item: PendingAppend


class AllotmentKeeper:
    """Draw and give back parts of the teams' limits for one group.

    Parameters
    ----------
    group : GroupName
        The group.
    epoch : Epoch
        Epoch of its holder.
    member : MemberId
        The holder.
    ports : HolderPorts
        Ways out.
    """

    def __init__(
        self, group: GroupName, epoch: Epoch, member: MemberId, ports: HolderPorts
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.member = member
        self.ports = ports
        self._draws: dict[TeamName, PendingAppend] = {}
        self._returns: dict[TeamName, _Return] = {}

    def usable(self, team: TeamName) -> Resources:
        """Return what the team may have running in this group."""
        allotment = self._allotment(team)
        returning = self._returns.get(team)
        return allotment - returning.amount if returning else allotment

    def excess(self, team: TeamName) -> Resources:
        """Return by how much all allotments exceed a limit that was lowered."""
        cell = self.ports.cell()
        if team not in cell.teams:
            return total_allotted(cell, team)
        over = total_allotted(cell, team) - cell.teams[team].limit
        return over.at_least(ZERO)

    @property
    def is_pending(self) -> bool:
        """Whether a record of this keeper is on its way."""
        return bool(self._draws or self._returns)

    def _allotment(self, team: TeamName) -> Resources:
        return self.ports.cell().allotments.get(team, {}).get(self.group, ZERO)

    def note_applied(self, applied: Applied) -> None:
        """Settle what waits for a record of this entry.

        Parameters
        ----------
        applied : Applied
            A record that was folded. One of a higher number proves that an
            earlier one, if not seen by now, will never count.
        """
        if applied.writer != self.member:
            return
        for pending in (self._draws, self._returns):
            for team in list(pending):
                item = pending[team]
                item = item.item if isinstance(item, _Return) else item
                if 0 < item.seq <= applied.seq:
                    del pending[team]

    def adjust(
        self, wanted: dict[TeamName, Resources], used: dict[TeamName, Resources]
    ) -> None:
        """Ask for what is lacking and give back what others wait for.

        Parameters
        ----------
        wanted : dict
            What each team lacks here.
        used : dict
            What each team has in use here.
        """
        self._drop_unkept()
        cell = self.ports.cell()
        teams = set(wanted) | set(cell.allotment_requests) | set(cell.allotments)
        for team in sorted(teams):
            if team not in cell.teams:
                continue
            self._draw(cell, team, wanted.get(team, ZERO))
            self._give_back(cell, team, used.get(team, ZERO))

    def _drop_unkept(self) -> None:
        for team in list(self._draws):
            if self._draws[team].state is AppendState.NOT_KEPT:
                del self._draws[team]
        for team in list(self._returns):
            if self._returns[team].item.state is AppendState.NOT_KEPT:
                del self._returns[team]

    def _draw(self, cell: CellState, team: TeamName, lacking: Resources) -> None:
        room = (cell.teams[team].limit - self._allotment(team)).at_least(ZERO)
        wanted = lacking.at_most(room)
        present = cell.allotment_requests.get(team, {}).get(self.group, ZERO)
        if wanted == present or team in self._draws:
            return
        record = AllotmentRequested(team, self.group, self.epoch, wanted)
        self._draws[team] = self.ports.append_cell(record)

    def _give_back(self, cell: CellState, team: TeamName, used: Resources) -> None:
        if team in self._returns:
            return
        idle = (self._allotment(team) - used).at_least(ZERO)
        amount = idle.at_most(self._owed(cell, team))
        if amount.is_zero():
            return
        record = AllotmentReturned(team, self.group, self.epoch, amount)
        self._returns[team] = _Return(amount, self.ports.append_cell(record))

    def _owed(self, cell: CellState, team: TeamName) -> Resources:
        """Return what the limit or groups that wait longer could use."""
        owed = self.excess(team)
        for group, amount in cell.allotment_requests.get(team, {}).items():
            if group == self.group:
                break
            owed = owed + amount
        return owed
