"""Records of the cell's stream.

A record requests a change. Whether it takes effect is decided on replay, from the
records before it alone; a rejected record changes nothing.
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
    "EvacuationSet",
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
    """Base class of the records."""


class MemberJoined(CellRecord, frozen=True, tag="mj"):
    """An entry joins the cell.

    Parameters
    ----------
    member : MemberId
        Incarnation of the entry.
    sent_at : Instant
        As in `MemberRenewed`.
    name : str
        Name of the instance.
    data_centre : str
        Data centre in which the entry runs.
    peer_address, control_address, caller_address : str
        Addresses as ``host:port``.
    """

    member: MemberId
    sent_at: Instant
    name: str
    data_centre: str
    peer_address: str
    control_address: str
    caller_address: str


class MemberRenewed(CellRecord, frozen=True, tag="mr"):
    """An entry renews its membership and the leases of all groups that it holds.

    Parameters
    ----------
    member : MemberId
        Member that renews.
    sent_at : Instant
        Monotonic clock of the writer before it sent the record; its lease starts
        at this time.
    """

    member: MemberId
    sent_at: Instant


class MemberLeft(CellRecord, frozen=True, tag="ml"):
    """An entry leaves the cell of its own accord and releases all its groups."""

    member: MemberId


class MemberEvicted(CellRecord, frozen=True, tag="me"):
    """An unresponsive entry without groups is evicted.

    Parameters
    ----------
    member : MemberId
        Member to evict.
    expected_renewal : Offset
        Latest renewal of the member that the writer saw; the record is rejected
        if there is a newer one.
    """

    member: MemberId
    expected_renewal: Offset


class GroupClaim(msgspec.Struct, frozen=True, array_like=True):
    """Claim to hold one group.

    Parameters
    ----------
    group : GroupName
        The group.
    expected_epoch : Epoch
        Epoch of the group that the claimant saw.
    expected_renewal : Offset
        Latest renewal of the holder that the claimant saw, -1 if the group was
        free.
    """

    group: GroupName
    expected_epoch: Epoch
    expected_renewal: Offset


class GroupsClaimed(CellRecord, frozen=True, tag="gc"):
    """An entry claims groups; each claim is decided independently."""

    member: MemberId
    claims: list[GroupClaim]


class GroupsReleased(CellRecord, frozen=True, tag="gr"):
    """A holder releases groups after its last command has ended."""

    member: MemberId
    groups: list[GroupName]


class TeamSet(CellRecord, frozen=True, tag="ts"):
    """A team is created or changed.

    Parameters
    ----------
    team : TeamName
        The team.
    share : int
        Weight for fair sharing when the cell is full.
    limit : Resources
        Maximum that the team may have running in the whole cell.
    expected_version : Offset
        Version that the operator saw, -1 if the team must not exist yet.
    """

    team: TeamName
    share: int
    limit: _Resources
    expected_version: Offset


class TeamRemoved(CellRecord, frozen=True, tag="tr"):
    """A team is removed together with its keys and queues."""

    team: TeamName
    expected_version: Offset


class KeyIssued(CellRecord, frozen=True, tag="kg"):
    """A key is issued to a team; only the digest of the secret is stored."""

    key_id: KeyId
    team: TeamName
    digest: str
    label: str


class KeyRevoked(CellRecord, frozen=True, tag="kw"):
    """A key is revoked."""

    key_id: KeyId


class QueueSet(CellRecord, frozen=True, tag="qs"):
    """A queue that accepts any valid key is opened or closed.

    Parameters
    ----------
    queue : str
        Name of the queue.
    team : TeamName
        Team whose usage the jobs of the queue count towards.
    is_open : bool
        Whether the queue is opened; False removes it.
    expected_version : Offset
        Version that the operator saw, -1 if the queue must not exist yet.
    """

    queue: str
    team: TeamName
    is_open: bool
    expected_version: Offset


class WorkerDrainSet(CellRecord, frozen=True, tag="wm"):
    """A worker is drained, or accepts new tasks again."""

    worker: InstanceId
    drained: bool
    expected_version: Offset


class EvacuationSet(CellRecord, frozen=True, tag="de"):
    """A data centre is evacuated, or its workers accept new tasks again."""

    data_centre: str
    evacuated: bool
    expected_version: Offset


class AllotmentRequested(CellRecord, frozen=True, tag="ad"):
    """A group requests part of a team's limit.

    Parameters
    ----------
    team : TeamName
        Team whose limit is requested.
    group : GroupName
        Requesting group; a later request replaces an earlier one.
    epoch : Epoch
        Epoch of the requesting holder.
    amount : Resources
        Amount requested on top of the current allotment.
    """

    team: TeamName
    group: GroupName
    epoch: Epoch
    amount: _Resources


class AllotmentReturned(CellRecord, frozen=True, tag="ar"):
    """A group returns an unused part of its allotment of a team's limit."""

    team: TeamName
    group: GroupName
    epoch: Epoch
    amount: _Resources
