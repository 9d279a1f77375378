"""State that the cell's stream adds up to."""

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
    "Key",
    "Member",
    "OpenQueue",
    "Ownership",
    "Team",
]


class Member(msgspec.Struct):
    """An entry that takes part.

    Parameters
    ----------
    id : MemberId
        Incarnation.
    name : str
        Name of the instance.
    data_centre : str
        Where it runs.
    peer_address, control_address, caller_address : str
        ``host:port`` of its ports.
    renewal : Offset
        Offset of its latest renewal.
    """

    id: MemberId
    name: str
    data_centre: str
    peer_address: str
    control_address: str
    caller_address: str
    renewal: Offset


class Ownership(msgspec.Struct):
    """Who holds a group.

    Parameters
    ----------
    holder : MemberId or None
        None while the group is free.
    epoch : Epoch
        Offset of the record that set the holder, -1 at first.
    """

    holder: MemberId | None = None
    epoch: Epoch = Epoch(-1)


class Team(msgspec.Struct):
    """A team and its rights.

    Parameters
    ----------
    name : TeamName
        The team.
    share : int
        Weight when the cell is full.
    limit : Resources
        Most that may run at once.
    version : Offset
        Offset of the latest change.
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
        Public name of the key.
    team : TeamName
        Whose work it may hand in.
    digest : str
        SHA-256 of the secret, hexadecimal.
    label : str
        What operators call it.
    """

    id: KeyId
    team: TeamName
    digest: str
    label: str


class OpenQueue(msgspec.Struct):
    """A queue that takes work under any valid key."""

    name: str
    team: TeamName
    version: Offset


class DrainStatus(msgspec.Struct):
    """What operators said about a worker."""

    drained: bool
    version: Offset


class CellState(msgspec.Struct):
    """All facts of the cell.

    Parameters
    ----------
    members, groups, teams, keys, queues, workers : dict
        Objects by name.
    allotments : dict
        Part of a team's limit that each group may use, by team and group.
    wants : dict
        What groups wait for, by team and group, longest waiting first.
    last_seq : dict
        Number of the latest record of each writer.
    next_offset : Offset
        First offset not yet folded.
    """

    members: dict[MemberId, Member] = {}
    groups: dict[GroupName, Ownership] = {}
    teams: dict[TeamName, Team] = {}
    keys: dict[KeyId, Key] = {}
    queues: dict[str, OpenQueue] = {}
    workers: dict[InstanceId, DrainStatus] = {}
    allotments: dict[TeamName, dict[GroupName, Resources]] = {}
    allotment_requests: dict[TeamName, dict[GroupName, Resources]] = msgspec.field(
        default_factory=dict, name="wants"
    )
    last_seq: dict[MemberId, int] = {}
    next_offset: Offset = Offset(0)

    def ownership(self, group: GroupName) -> Ownership:
        """Return who holds a group; an unknown group is free."""
        return self.groups.get(group) or Ownership()

    def groups_of(self, member: MemberId) -> list[GroupName]:
        """Return the groups that a member holds, by name."""
        return sorted(g for g, own in self.groups.items() if own.holder == member)
