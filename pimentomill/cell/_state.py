"""State of the cell, as replayed from its stream."""

import msgspec

from ..utils import (
    Epoch,
    GroupName,
    InstanceId,
    KeyId,
    MemberId,
    Offset,
    Resources,
    TeamName,
)

__all__ = [
    "CellState",
    "DrainStatus",
    "EvacuationStatus",
    "Key",
    "Member",
    "OpenQueue",
    "Ownership",
    "Team",
]


class Member(msgspec.Struct):
    """An entry that has joined the cell.

    Parameters
    ----------
    id : MemberId
        Incarnation of the entry.
    name : str
        Name of the instance.
    data_centre : str
        Data centre in which the entry runs.
    peer_address, control_address, caller_address : str
        Addresses as ``host:port``.
    renewal : Offset
        Offset of the latest renewal.
    """

    id: MemberId
    name: str
    data_centre: str
    peer_address: str
    control_address: str
    caller_address: str
    renewal: Offset


class Ownership(msgspec.Struct):
    """Current holder of a group.

    Parameters
    ----------
    holder : MemberId or None
        Member that holds the group, None while the group is free.
    epoch : Epoch
        Offset of the record that last set or cleared the holder, -1 initially.
    """

    holder: MemberId | None = None
    epoch: Epoch = Epoch(-1)


class Team(msgspec.Struct):
    """A team with its share and limit.

    Parameters
    ----------
    name : TeamName
        Name of the team.
    share : int
        Weight for fair sharing when the cell is full.
    limit : Resources
        Maximum that may run at once.
    version : Offset
        Offset of the record that last changed the team.
    """

    name: TeamName
    share: int
    limit: Resources
    version: Offset


class Key(msgspec.Struct):
    """A key of a team.

    Parameters
    ----------
    id : KeyId
        Public identifier of the key.
    team : TeamName
        Team for which the key may submit.
    digest : str
        SHA-256 digest of the secret, in hexadecimal.
    label : str
        Description given by the operator.
    """

    id: KeyId
    team: TeamName
    digest: str
    label: str


class OpenQueue(msgspec.Struct):
    """A queue that accepts submissions with any valid key."""

    name: str
    team: TeamName
    version: Offset


class DrainStatus(msgspec.Struct):
    """Whether operators have drained a worker."""

    drained: bool
    version: Offset


class EvacuationStatus(msgspec.Struct):
    """Whether operators have evacuated a data centre."""

    evacuated: bool
    version: Offset


class CellState(msgspec.Struct):
    """Shared state of the cell.

    Parameters
    ----------
    members, groups, teams, keys, queues, workers, data_centres : dict
        Objects by name or id.
    allotments : dict
        Part of a team's limit that each group may use, by team and group.
    allotment_requests : dict
        Amounts that groups wait for, by team and group, longest waiting first.
    last_seq : dict
        Sequence number of the latest record of each writer.
    next_offset : Offset
        Offset of the next record to apply.
    """

    members: dict[MemberId, Member] = {}
    groups: dict[GroupName, Ownership] = {}
    teams: dict[TeamName, Team] = {}
    keys: dict[KeyId, Key] = {}
    queues: dict[str, OpenQueue] = {}
    workers: dict[InstanceId, DrainStatus] = {}
    data_centres: dict[str, EvacuationStatus] = {}
    allotments: dict[TeamName, dict[GroupName, Resources]] = {}
    allotment_requests: dict[TeamName, dict[GroupName, Resources]] = msgspec.field(
        default_factory=dict, name="wants"
    )
    last_seq: dict[MemberId, int] = {}
    next_offset: Offset = Offset(0)

    def ownership(self, group: GroupName) -> Ownership:
        """Return the ownership of a group; an unknown group is free."""
        return self.groups.get(group) or Ownership()

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the names of the evacuated data centres."""
        return frozenset(
            name for name, status in self.data_centres.items() if status.evacuated
        )

    def groups_of(self, member: MemberId) -> list[GroupName]:
        """Return the groups that a member holds, sorted by name."""
        return sorted(g for g, own in self.groups.items() if own.holder == member)
