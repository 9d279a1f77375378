"""Replicas of the store's streams, group appends and the state of the leadership."""

from ._appender import (
    MAX_BATCH_BYTES,
    AppendedHook,
    GroupAppender,
    Relay,
    split_batches,
)
from ._follower import Follower, FollowerTiming
from ._hedge import Hedge
from ._leadership import (
    LEADER_KEY,
    ElectionTiming,
    LeaderRecord,
    LeaderWatch,
    LinkView,
    Rival,
)
from ._ports import AppendPosition, NewestPage, RecordStore, Slice, Writer

__all__ = [
    "LEADER_KEY",
    "MAX_BATCH_BYTES",
    "AppendPosition",
    "AppendedHook",
    "ElectionTiming",
    "Follower",
    "FollowerTiming",
    "GroupAppender",
    "Hedge",
    "LeaderRecord",
    "LeaderWatch",
    "LinkView",
    "NewestPage",
    "RecordStore",
    "Relay",
    "Rival",
    "Slice",
    "Writer",
    "split_batches",
]
