"""Utilities shared by all packages."""

from ._body import read_body
from ._clock import Clock, Instant, ManualClock, SystemClock, to_other_clock
from ._ids import (
    Epoch,
    GroupName,
    InstanceId,
    JobId,
    KeyId,
    MemberId,
    Offset,
    RequestId,
    ServiceName,
    StreamName,
    TeamName,
    digest_id,
    new_id,
    stable_hash,
)
from ._resources import ZERO, Resources, dominant_fraction
from ._supervise import supervise
from ._traffic import TrafficMeter, header_bytes
from ._validation import check_name, check_positive
from ._waiting import wait_for_event

__all__ = [
    "ZERO",
    "Clock",
    "Epoch",
    "GroupName",
    "InstanceId",
    "Instant",
    "JobId",
    "KeyId",
    "ManualClock",
    "MemberId",
    "Offset",
    "RequestId",
    "Resources",
    "ServiceName",
    "StreamName",
    "SystemClock",
    "TeamName",
    "TrafficMeter",
    "check_name",
    "check_positive",
    "digest_id",
    "dominant_fraction",
    "header_bytes",
    "new_id",
    "read_body",
    "stable_hash",
    "supervise",
    "to_other_clock",
    "wait_for_event",
]
