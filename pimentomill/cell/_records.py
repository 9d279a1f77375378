"""Records of the cell's stream.

A record asks for a change. Whether it takes effect is decided by the fold, from
the records before it alone; a refused record changes nothing.
"""

import msgspec

from ..utils import (
    Epoch,
    GroupName,
    InstanceId,
    Instant,
    KeyId,
    MemberId,
    Offset,
    TeamName,
)
from ..utils import Resources as _Resources

__all__ = [
    "AllotmentRequested",
    "AllotmentReturned",
    "CellRecord",
    "GroupClaim",
    "GroupsClaimed",
    "GroupsReleased",
    "KeyIssued",
    "KeyRevoked",
    "MemberEvicted",
    "MemberJoined",
    "MemberLeft",
    "MemberRenewed",
    "QueueSet",
    "TeamRemoved",
    "TeamSet",
    "WorkerDrainSet",
]


class CellRecord(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """Base of the records."""


class MemberJoined(CellRecord, frozen=True, tag="mj"):
    """An entry takes part from now on.

    Parameters
    ----------
    member : MemberId
        Its incarnation.
    mark : Instant
        As in `MemberRenewed`.
    name : str
        Name of the instance.
    data_centre : str
        Where it runs.
    peer_address, control_address, caller_address : str
        ``host:port`` of its ports.
    """

    member: MemberId
    sent_at: Instant
    name: str
    data_centre: str
    peer_address: str
    control_address: str
    caller_address: str


class MemberRenewed(CellRecord, frozen=True, tag="mr"):
    """An entry renews its membership and all groups that it holds.

    Parameters
    ----------
    member : MemberId
        Who renews.
    mark : Instant
        Reading of the writer's own monotonic clock before it sent the record;
        the writer counts its lease from there.
    """

    member: MemberId
    sent_at: Instant


class MemberLeft(CellRecord, frozen=True, tag="ml"):
    """An entry leaves by itself and frees all its groups."""

    member: MemberId


class MemberEvicted(CellRecord, frozen=True, tag="me"):
    """A silent entry without groups is struck off.

    Parameters
    ----------
    member : MemberId
        Who is struck off.
    seen_renewal : Offset
        Its latest renewal that the writer knew; a newer one voids the record.
    """

    member: MemberId
    expected_renewal: Offset


class GroupClaim(msgspec.Struct, frozen=True, array_like=True):
    """Claim of one group.

    Parameters
    ----------
    group : GroupName
        The group.
    seen_epoch : Epoch
        Epoch that the claimant knew.
    seen_renewal : Offset
        Latest renewal of the holder that the claimant knew, -1 if the group
        was free.
    """

    group: GroupName
    expected_epoch: Epoch
    expected_renewal: Offset


class GroupsClaimed(CellRecord, frozen=True, tag="gc"):
    """An entry claims groups; each claim takes effect on its own."""

    member: MemberId
    claims: list[GroupClaim]


class GroupsReleased(CellRecord, frozen=True, tag="gr"):
    """A holder frees groups, after its last command has ended."""

    member: MemberId
    groups: list[GroupName]


class TeamSet(CellRecord, frozen=True, tag="ts"):
    """A team is created or changed.

    Parameters
    ----------
    team : TeamName
        The team.
    share : int
        Weight when the cell is full.
    limit : Resources
        Most that the team may have running in the whole cell.
    expected : Offset
        Version that the operator saw, -1 if the team must not exist yet.
    """

    team: TeamName
    share: int
    limit: _Resources
    expected_version: Offset


class TeamRemoved(CellRecord, frozen=True, tag="tr"):
    """A team is removed with its keys and queues."""

    team: TeamName
    expected_version: Offset


class KeyIssued(CellRecord, frozen=True, tag="kg"):
    """A team gets a key; only its digest is kept."""

    key_id: KeyId
    team: TeamName
    digest: str
    label: str


class KeyRevoked(CellRecord, frozen=True, tag="kw"):
    """A key stops working."""

    key_id: KeyId


class QueueSet(CellRecord, frozen=True, tag="qs"):
    """A queue open to all keys is created or closed.

    Parameters
    ----------
    queue : str
        Name of the queue.
    team : TeamName
        Team that work of the queue counts for.
    is_open : bool
        False removes the queue.
    expected : Offset
        Version that the operator saw, -1 if it must not exist yet.
    """

    queue: str
    team: TeamName
    is_open: bool
    expected_version: Offset


class WorkerDrainSet(CellRecord, frozen=True, tag="wm"):
    """A worker gets no new work, or gets work again."""

    worker: InstanceId
    drained: bool
    expected_version: Offset


class AllotmentRequested(CellRecord, frozen=True, tag="ad"):
    """A group asks for part of a team's limit.

    Parameters
    ----------
    team : TeamName
        Whose limit.
    group : GroupName
        Which group asks; a later request replaces an earlier one.
    epoch : Epoch
        Epoch of the asking holder.
    amount : Resources
        What is wanted on top of the present allotment.
    """

    team: TeamName
    group: GroupName
    epoch: Epoch
    amount: _Resources


class AllotmentReturned(CellRecord, frozen=True, tag="ar"):
    """A group gives back part of a team's limit that it does not use."""

    team: TeamName
    group: GroupName
    epoch: Epoch
    amount: _Resources
