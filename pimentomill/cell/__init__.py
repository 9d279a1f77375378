"""Shared state of the cell: members, groups, teams, keys and limits.

The state is stored as records in one stream of the platform's log, which every
entry replays. It depends on the stream alone, so that all entries agree on it.
"""

from ._allotments import grant_requests, total_allotted, unallotted_limit
from ._fold import CellFold
from ._records import (
    AllotmentRequested,
    AllotmentReturned,
    CellRecord,
    EvacuationSet,
    GroupClaim,
    GroupsClaimed,
    GroupsReleased,
    KeyIssued,
    KeyRevoked,
    MemberEvicted,
    MemberJoined,
    MemberLeft,
    MemberRenewed,
    QueueSet,
    TeamRemoved,
    TeamSet,
    WorkerDrainSet,
)
from ._state import (
    CellState,
    DrainStatus,
    EvacuationStatus,
    Key,
    Member,
    OpenQueue,
    Ownership,
    Team,
)

__all__ = [
    "AllotmentRequested",
    "AllotmentReturned",
    "CellFold",
    "CellRecord",
    "CellState",
    "DrainStatus",
    "EvacuationSet",
    "EvacuationStatus",
    "GroupClaim",
    "GroupsClaimed",
    "GroupsReleased",
    "Key",
    "KeyIssued",
    "KeyRevoked",
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
    "WorkerDrainSet",
    "grant_requests",
    "total_allotted",
    "unallotted_limit",
]
