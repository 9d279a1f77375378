"""The entries that live, by the signs that they leave in the store."""

import msgspec

from ..jobs import KeyedRecord
from ..replica import Rival
from ..telemetry import PartLog
from ..utils import Clock, Instant
from ._records import MEMBER_PREFIX, MemberRecord

__all__ = ["MEMBER_TIMEOUT_MS", "Members"]

MEMBER_TIMEOUT_MS = 12000
"""Milliseconds without a sign after which an entry is not asked any more."""
RECENCY_RESOLUTION_MS = 1000
"""Milliseconds within which it tells nothing who was seen last; signs come each 5 s."""

_log = PartLog("node")


class Members:
    """Replays the signs of all entries.

    Parameters
    ----------
    own_name : str
        Name of this entry.
    clock : Clock
        Source of time.

    Attributes
    ----------
    heartbeats_ : dict of str to tuple of MemberRecord and Instant
        Newest sign of each entry and when it was read.
    """

    def __init__(self, own_name: str, clock: Clock) -> None:
        self.own_name = own_name
        self.clock = clock
        self.heartbeats_: dict[str, tuple[MemberRecord, Instant]] = {}

    def apply(self, record: KeyedRecord) -> None:
        """Take in one record."""
        name = record.key[len(MEMBER_PREFIX) :]
        if not record.value:
            self.heartbeats_.pop(name, None)
            return
        try:
            member = msgspec.msgpack.decode(record.value, type=MemberRecord)
        except msgspec.DecodeError as exc:
            _log.warning("Record ignored", key=record.key, why=str(exc))
            return
        self.heartbeats_[name] = (member, self.clock.now())

    def address_of(self, name: str) -> str | None:
        """Return the address of an entry, None if it is not known."""
        found = self.heartbeats_.get(name)
        return found[0].address if found is not None else None

    def live_others(self) -> list[MemberRecord]:
        """Return the other entries that showed themselves lately."""
        oldest = self.clock.now() - MEMBER_TIMEOUT_MS
        return [
            member
            for name, (member, seen_at) in self.heartbeats_.items()
            if name != self.own_name and seen_at >= oldest
        ]

    def rivals(self) -> list[Rival]:
        """Return the other entries that could lead."""
        return [Rival(item.incarnation, item.cores) for item in self.live_others()]

    def others_by_recency(self) -> list[MemberRecord]:
        """Return all other known entries, the one seen last first.

        An entry that can't read the store sees no signs; the others may live on. Of
        those seen together, as on one page, the ones with more processor come first.
        """
        others = [
            (seen_at // RECENCY_RESOLUTION_MS, member.cores, seen_at, name)
            for name, (member, seen_at) in self.heartbeats_.items()
            if name != self.own_name
        ]
        return [self.heartbeats_[name][0] for *_, name in sorted(others, reverse=True)]
