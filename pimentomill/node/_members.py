"""Membership of the cell, by the heartbeats of the entries in the store."""

from collections.abc import Iterator

import msgspec

from ..jobs import KeyedRecord
from ..replica import Rival
from ..telemetry import ComponentLogger
from ..utils import Clock, Instant
from ._records import MEMBER_PREFIX, MemberRecord

__all__ = ["MEMBER_TIMEOUT_MS", "Members"]

MEMBER_TIMEOUT_MS = 12000
"""Milliseconds without a heartbeat after which an entry is not called any more."""
RECENCY_RESOLUTION_MS = 1000
"""Differences in recency below this many milliseconds are ignored; heartbeats are
sent every 5 s."""

_log = ComponentLogger("node")


class Members:
    """Replays the heartbeats of all entries.

    Parameters
    ----------
    own_name : str
        Name of this entry.
    clock : Clock
        Source of time.

    Attributes
    ----------
    heartbeats_ : dict of str to tuple of MemberRecord and Instant
        Newest heartbeat of each entry and the time at which it was read.
    """

    def __init__(self, own_name: str, clock: Clock) -> None:
        self.own_name = own_name
        self.clock = clock
        self.heartbeats_: dict[str, tuple[MemberRecord, Instant]] = {}

    def apply(self, record: KeyedRecord) -> None:
        """Apply one member record; an empty value removes the member."""
        name = record.key[len(MEMBER_PREFIX) :]
        if not record.value:
            self.heartbeats_.pop(name, None)
            return
        try:
            member = msgspec.msgpack.decode(record.value, type=MemberRecord)
            member.check(name)
        except (msgspec.DecodeError, ValueError, RecursionError) as exc:
            _log.warning("Ignoring member record", key=record.key, why=str(exc))
            return
        self.heartbeats_[name] = (member, self.clock.now())

    def address_of(self, name: str) -> str | None:
        """Return the address of an entry, or None if it is unknown."""
        found = self.heartbeats_.get(name)
        return found[0].address if found is not None else None

    def live_others(self) -> list[MemberRecord]:
        """Return the other entries with a recent heartbeat."""
        oldest = self.clock.now() - MEMBER_TIMEOUT_MS
        return [
            member
            for name, (member, seen_at) in self.heartbeats_.items()
            if name != self.own_name and seen_at >= oldest
        ]

    def rivals(self) -> Iterator[Rival]:
        """Yield the other live entries as candidates for the leadership."""
        for member in self.live_others():
            yield Rival(member.incarnation, member.cores)

    def others_by_recency(self) -> list[MemberRecord]:
        """Return all other known entries, most recent heartbeat first.

        Entries with old heartbeats are included: an entry that can't read the store
        sees no heartbeats although the others may be alive. Of entries seen at about
        the same time, as on one page, those with more cores come first.
        """
        others = [
            (seen_at // RECENCY_RESOLUTION_MS, member.cores, seen_at, name)
            for name, (member, seen_at) in self.heartbeats_.items()
            if name != self.own_name
        ]
        return [self.heartbeats_[name][0] for *_, name in sorted(others, reverse=True)]
