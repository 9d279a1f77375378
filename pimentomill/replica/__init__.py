"""Replicas of the store's streams, group appends and the state of the leadership."""

from ._appender import (
    MAX_BATCH_BYTES,
    AppendedHook,
    GroupAppender,
    Relay,
    split_batches,
)
from ._authority import (
    AUTHORITY_MS,
    MAX_APPEND_SILENCE_MS,
    Authority,
    authority_end_bound,
)
from ._follower import Follower, FollowerTiming
from ._grants import (
    ANY_GRANTOR,
    ENROLMENT_MS,
    GRANT_MS,
    GRANTORS_KEY,
    Enrolments,
    Grantor,
    GrantorList,
    GrantRefusal,
    LeaseRequest,
)
from ._hedge import Hedge
from ._leadership import (
    LEADER_KEY,
    MAX_EPOCH,
    ElectionTiming,
    LeaderRecord,
    LeaderWatch,
    LinkView,
    Rival,
)
from ._ports import AppendPosition, NewestPage, RecordStore, Slice, Writer

__all__ = [
    "ANY_GRANTOR",
    "AUTHORITY_MS",
    "ENROLMENT_MS",
    "GRANTORS_KEY",
    "GRANT_MS",
    "LEADER_KEY",
    "MAX_EPOCH",
    "MAX_APPEND_SILENCE_MS",
    "MAX_BATCH_BYTES",
    "AppendPosition",
    "AppendedHook",
    "Authority",
    "ElectionTiming",
    "Enrolments",
    "Follower",
    "FollowerTiming",
    "GrantRefusal",
    "Grantor",
    "GrantorList",
    "GroupAppender",
    "Hedge",
    "LeaderRecord",
    "LeaderWatch",
    "LeaseRequest",
    "LinkView",
    "NewestPage",
    "RecordStore",
    "Relay",
    "Rival",
    "Slice",
    "Writer",
    "authority_end_bound",
    "split_batches",
]
