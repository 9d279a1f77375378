"""State of the leadership, by replay of the leader records in the store."""

import asyncio
import enum
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..telemetry import ComponentLogger
from ..utils import Clock, Epoch, Instant, stable_hash

__all__ = [
    "LEADER_KEY",
    "MAX_EPOCH",
    "ElectionTiming",
    "LeaderRecord",
    "LeaderWatch",
    "LinkView",
    "Rival",
]

LEADER_KEY = "leader"
STORE_OUTAGE_MS = 700
"""Milliseconds between two times at which the state was known to be current, above
which the store counts as having been unavailable in between."""
STARTUP_DELAY_MS = 150
"""Claim delay at the first start of an entry with zero cores, in milliseconds. It
falls linearly with the cores; all instances start within 0.3 s."""
NO_DELAY_CORES = 2.0
"""Number of cores from which an entry has no claim delay at the first start."""
CORES_ADVANTAGE_RATIO = 1.3
"""Ratio of cores above which one entry takes precedence over another."""
HEAD_START_MS = 120
"""Milliseconds for which other entries wait for such an entry, which detects the loss
of a leader within 60 ms."""
SILENCE_HEAD_START_MS = 260
"""The same after a silence, which is detected by reads 200 ms apart."""
MAX_QUICK_RANK = 5
"""Rank up to which candidates claim shortly after one another, as the first ones may be
lost together with the leader."""
LIKELY_SUCCESSORS = 3
"""Number of entries that count as likely to succeed the leader. Several, as one or two
of them may be lost together with it."""
LATE_STAGGER_MS = 250
"""Milliseconds between two candidates of higher ranks. All claims go through one
partition of the store, one at a time. Where the store is slow, those of a hundred
entries would keep the first one from being read for seconds."""
MAX_REPLACED = 16
"""Incarnations of earlier leaders that are kept."""

MAX_EPOCH = 1 << 36
"""Highest epoch that is believed; epochs count the changes of the leader. The numbers
of runs, 100,000 for each epoch, stay whole numbers that every JSON reader can take."""

_log = ComponentLogger("election")


class LinkView(enum.Enum):
    """State of a leader as observed on the direct link to it."""

    UNKNOWN = "unknown"
    HEALTHY = "well"
    NOT_WRITING = "not writing"
    SILENT = "silent"


class LeaderRecord(msgspec.Struct, frozen=True):
    """Heartbeat or resignation of a leader.

    Parameters
    ----------
    epoch : Epoch
        Fencing token of the leader, higher than that of all leaders before.
    node : str
        Name of the leading entry.
    incarnation : str
        Incarnation of its process.
    resigned : bool
        Whether a successor may take over at once.
    """

    epoch: Epoch
    node: str
    incarnation: str
    resigned: bool = False


class Rival(NamedTuple):
    """Another entry that could lead.

    Parameters
    ----------
    incarnation : str
        Incarnation of its process.
    cores : float
        CPU capacity of its instance, in cores.
    """

    incarnation: str
    cores: float


class ElectionTiming:
    """Timeouts of the leader election.

    Parameters
    ----------
    silence_ms : int
        Milliseconds without a heartbeat of the leader after which it is replaced.
    silence_cut_off_ms : int
        The same for a leader that is silent on the direct link as well, or reports
        there that it can't write.
    silence_heard_ms : int
        The same for a leader that reports there that it is healthy, as its
        heartbeats are only slow.
    stagger_ms : int
        Milliseconds between the claims of two candidates, so that one is ahead of
        the others.
    """

    def __init__(
        self,
        silence_ms: int,
        silence_cut_off_ms: int,
        silence_heard_ms: int,
        stagger_ms: int,
    ) -> None:
        self.silence_ms = silence_ms
        self.silence_heard_ms = silence_heard_ms
        self.silence_cut_off_ms = silence_cut_off_ms
        self.stagger_ms = stagger_ms


class LeaderWatch:
    """Tracks the heartbeats of the leader and decides when to replace it.

    Parameters
    ----------
    incarnation : str
        Incarnation of this process.
    clock : Clock
        Source of time.
    timing : ElectionTiming
        Timeouts of the election.
    cores : float, default=1.0
        CPU capacity of this entry's instance, in cores.

    Attributes
    ----------
    record_ : LeaderRecord or None
        Newest record of a leader.
    seen_at_ : Instant
        Time at which it was read, or at which the store was available again after an
        outage, if that is later.
    heartbeat_at_ : Instant
        Time at which it was read.
    is_newest_readable_ : bool
        Whether the newest value of the leader's key is a leader record.
    changed : asyncio.Event
        Set when the leader, its end or its state on the direct link has changed.
    """

    def __init__(
        self,
        incarnation: str,
        clock: Clock,
        timing: ElectionTiming,
        cores: float = 1.0,
    ) -> None:
        self.incarnation = incarnation
        self.cores = cores
        self.clock = clock
        self.timing = timing
        self.record_: LeaderRecord | None = None
        self.is_newest_readable_ = True
        self.seen_at_ = clock.now()
        self.heartbeat_at_ = clock.now()
        self._ended = ("", clock.now())
        self._link = ("", LinkView.UNKNOWN)
        self._current_as_of = clock.now()
        self._replaced: deque[str] = deque(maxlen=MAX_REPLACED)
        self.changed = asyncio.Event()

    @property
    def epoch(self) -> Epoch:
        """Highest fencing token seen so far, 0 if none was seen."""
        return self.record_.epoch if self.record_ else Epoch(0)

    def apply(self, value: bytes) -> None:
        """Apply a record of the leader's key."""
        self.is_newest_readable_ = False
        try:
            record = msgspec.msgpack.decode(value, type=LeaderRecord)
        except (msgspec.DecodeError, RecursionError) as exc:
            _log.warning(
                "Ignoring undecodable leader record", key=LEADER_KEY, why=str(exc)
            )
            return
        if record.epoch > MAX_EPOCH:
            _log.warning(
                "Ignoring leader record of an impossible epoch",
                key=LEADER_KEY,
                why=f"epoch {record.epoch} is above {MAX_EPOCH}",
            )
            return
        self.is_newest_readable_ = True
        if record.epoch < self.epoch:
            return
        known = self.record_
        if known is not None and record.epoch == known.epoch:
            if record.incarnation != known.incarnation:
                return
        elif record.epoch > self.epoch:
            if known is not None:
                self._replaced.append(known.incarnation)
            _log.info(
                "Leader changed",
                epoch=record.epoch,
                leader=record.node,
                before=known.node if known else "",
                silent_ms=self.clock.now() - self.seen_at_ if known else None,
            )
        if known is None or record.epoch > known.epoch or record.resigned:
            self.changed.set()
        self.record_ = record
        self.seen_at_ = self.clock.now()
        self.heartbeat_at_ = self.seen_at_

    def is_leader(self) -> bool:
        """Return whether this process leads according to the records."""
        record = self.record_
        return (
            record is not None
            and record.incarnation == self.incarnation
            and not record.resigned
        )

    def has_led(self, incarnation: str) -> bool:
        """Return whether an incarnation is the leader on record or led recently."""
        record = self.record_
        is_on_record = record is not None and record.incarnation == incarnation
        return is_on_record or incarnation in self._replaced

    def may_still_act(self) -> bool:
        """Return whether the leader on record may still act."""
        record = self.record_
        if record is None or record.resigned:
            return False
        return record.incarnation != self._ended[0]

    def observe_end(self, incarnation: str) -> None:
        """Record that an incarnation of an entry has ended."""
        if incarnation != self._ended[0]:
            self._ended = (incarnation, self.clock.now())
            self.changed.set()

    def observe_link(self, incarnation: str, view: LinkView) -> None:
        """Record the state of an entry's incarnation as observed on the direct link.

        Silence on the link alone is not a failure: only the link may be down.
        """
        if (incarnation, view) != self._link:
            self.changed.set()
        self._link = (incarnation, view)

    def is_suspected(self, current_as_of: Instant) -> bool:
        """Return whether a claim may soon be due.

        Checks can be further apart, and leave the rivals out, while this is False.

        Parameters
        ----------
        current_as_of : Instant
            Time up to which the replayed records are known to be complete.
        """
        record = self.record_
        if record is None or record.resigned or record.incarnation == self._ended[0]:
            return True
        incarnation, view = self._link
        if incarnation != record.incarnation or view is not LinkView.HEALTHY:
            return True
        return current_as_of - self.seen_at_ >= self.timing.silence_ms

    def should_claim(
        self, current_as_of: Instant, rivals: Iterable[Rival] = ()
    ) -> bool:
        """Return whether this process should try to take over now.

        Parameters
        ----------
        current_as_of : Instant
            Time up to which the replayed records are known to be complete.
        rivals : iterable of Rival
            The other entries that could take over. Not iterated while no claim could
            be due, as every entry of the cell is a rival of each other one.
        """
        self._restart_silence_after_outage(current_as_of)
        if self.is_leader() or not self.is_suspected(current_as_of):
            return False
        record = self.record_
        others = self._without_leader(rivals)
        if record is not None and record.incarnation == self._ended[0]:
            wait_ms = self._head_start_ms(others, HEAD_START_MS)
            wait_ms += _late_rank_ms(self._rank(others))
            return self.clock.now() - self._ended[1] >= wait_ms
        rank = self._rank(others)
        wait_ms = self._head_start_ms(others, SILENCE_HEAD_START_MS)
        wait_ms += min(rank, MAX_QUICK_RANK) * self.timing.stagger_ms
        wait_ms += _late_rank_ms(rank)
        if record is not None and not record.resigned:
            wait_ms += self._silence_ms(record)
        return current_as_of - self.seen_at_ >= wait_ms

    def is_likely_successor(self, rivals: Iterable[Rival]) -> bool:
        """Return whether this entry is among the first to claim if the leader is lost.

        Parameters
        ----------
        rivals : iterable of Rival
            The other entries that could take over.
        """
        others = self._without_leader(rivals)
        min_cores = self.cores * CORES_ADVANTAGE_RATIO
        if any(other.cores > min_cores for other in others):
            return False
        return self._rank(others) < LIKELY_SUCCESSORS

    def _without_leader(self, rivals: Iterable[Rival]) -> list[Rival]:
        record = self.record_
        return [
            rival
            for rival in rivals
            if record is None or rival.incarnation != record.incarnation
        ]

    def _restart_silence_after_outage(self, current_as_of: Instant) -> None:
        """Restart the silence timeout after the store was unavailable.

        The leader could not write heartbeats either, so its silence is no evidence
        of a failure.
        """
        if current_as_of - self._current_as_of > STORE_OUTAGE_MS:
            self.seen_at_ = max(self.seen_at_, current_as_of)
        self._current_as_of = current_as_of

    def _silence_ms(self, record: LeaderRecord) -> int:
        incarnation, view = self._link
        if incarnation != record.incarnation or view is LinkView.UNKNOWN:
            return self.timing.silence_ms
        if view is LinkView.HEALTHY:
            return self.timing.silence_heard_ms
        return self.timing.silence_cut_off_ms

    def _head_start_ms(self, rivals: list[Rival], head_start_ms: int) -> int:
        """Return the milliseconds to wait for entries with considerably more cores.

        They take precedence because the leader makes all calls to the workers. At
        the first start no entry knows the others, so the wait depends on this
        entry's own cores.
        """
        if self.record_ is None:
            return round(STARTUP_DELAY_MS * max(0.0, 1 - self.cores / NO_DELAY_CORES))
        min_cores = self.cores * CORES_ADVANTAGE_RATIO
        return head_start_ms if any(other.cores > min_cores for other in rivals) else 0

    def _rank(self, rivals: list[Rival]) -> int:
        """Return the number of candidates that claim before this entry.

        Entries with considerably fewer cores are left out, as they wait longer anyway.
        """

        # The order differs between epochs, so that a candidate that always fails is
        # not always the first.
        def priority(incarnation: str) -> int:
            return stable_hash(f"{incarnation}/{self.epoch}")

        own_priority = priority(self.incarnation)
        min_cores = self.cores / CORES_ADVANTAGE_RATIO
        return sum(
            priority(other.incarnation) < own_priority
            for other in rivals
            if other.cores >= min_cores
        )


def _late_rank_ms(rank: int) -> int:
    """Return the further milliseconds that a candidate of a high rank waits."""
    return max(0, rank - MAX_QUICK_RANK) * LATE_STAGGER_MS
