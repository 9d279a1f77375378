"""The cell's shared facts: members, groups, teams, keys, limits.

They are kept in one stream of the platform's log, which every entry reads. The
state is a fold of the stream, so that all entries agree on it by replay alone.
"""

from ._escrow import allotted_total, grant_wants, unallotted
from ._fold import CellFold
from ._records import (
    AllotmentDrawn,
    AllotmentReturned,
    CellRecord,
    GroupClaim,
    GroupsClaimed,
    GroupsReleased,
    KeyGiven,
    KeyWithdrawn,
    MemberEvicted,
    MemberJoined,
    MemberLeft,
    MemberRenewed,
    QueueSet,
    TeamRemoved,
    TeamSet,
    WorkerMarked,
)
from ._state import CellState, Key, Member, OpenQueue, Ownership, Team, WorkerMark

__all__ = [
    "AllotmentDrawn",
    "AllotmentReturned",
    "CellFold",
    "CellRecord",
    "CellState",
    "GroupClaim",
    "GroupsClaimed",
    "GroupsReleased",
    "Key",
    "KeyGiven",
    "KeyWithdrawn",
    "Member",
    "MemberEvicted",
    "MemberJoined",
    "MemberLeft",
    "MemberRenewed",
    "OpenQueue",
    "Ownership",
    "QueueSet",
    "Team",
    "TeamRemoved",
    "TeamSet",
    "WorkerMark",
    "WorkerMarked",
    "allotted_total",
    "grant_wants",
    "unallotted",
]
