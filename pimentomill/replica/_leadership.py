"""Who leads the cell, by replay of the store's records."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..telemetry import PartLog
from ..utils import Clock, Epoch, Instant, stable_hash

__all__ = [
    "LEADER_KEY",
    "ElectionTiming",
    "LeaderRecord",
    "LeaderWatch",
    "LinkView",
    "Rival",
]

LEADER_KEY = "leader"
STORE_OUTAGE_MS = 700
"""Milliseconds between two proofs of the state from which on the store was away."""
STARTUP_DELAY_MS = 150
"""Milliseconds that an entry without processor would wait at the first start; all
instances start within 0.3 s."""
NO_DELAY_CORES = 2.0
"""Cores from which an entry does not wait then."""
CORES_ADVANTAGE_RATIO = 1.3
"""Factor by which an entry has clearly more processor than another."""
HEAD_START_MS = 120
"""Milliseconds by which such an entry goes first; it notices a loss within 60 ms."""
SILENCE_HEAD_START_MS = 260
"""The same after a silence, which shows in reads 200 ms apart."""
MAX_RANK = 5
"""Candidates that are waited for at most: those ahead may be lost as well."""

_log = PartLog("election")


class LinkView(enum.Enum):
    """What the direct link to a leader tells of it."""

    UNKNOWN = "unknown"
    HEALTHY = "well"
    NOT_WRITING = "not writing"
    SILENT = "silent"


class LeaderRecord(msgspec.Struct, frozen=True):
    """A leader shows that it lives, or that it resigns.

    Parameters
    ----------
    epoch : Epoch
        Fencing token of the leader, higher than all before.
    node : str
        Name of the leading process.
    incarnation : str
        Life of that process.
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
        Its life.
    cores : float
        Processor that it has, in cores.
    """

    incarnation: str
    cores: float


class ElectionTiming:
    """When a candidate takes over.

    Parameters
    ----------
    silence_ms : int
        Milliseconds without a sign of the leader after which it is replaced.
    silence_cut_off_ms : int
        The same for a leader that is silent on the direct link as well, or says
        there that it can't write.
    silence_heard_ms : int
        The same for a leader that says there that it is well: its signs are slow.
    stagger_ms : int
        Milliseconds between two candidates, so that one is ahead of the others.
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
    """Follows the signs of the leader and says when to replace it.

    Parameters
    ----------
    incarnation : str
        Life of this process.
    clock : Clock
        Source of time.
    timing : ElectionTiming
        When to take over.
    cores : float, default=1.0
        Processor of this entry, in cores.

    Attributes
    ----------
    record_ : LeaderRecord or None
        Newest sign of a leader.
    seen_at_ : Instant
        When it was read.
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
        self.seen_at_ = clock.now()
        self._ended = ("", clock.now())
        self._link = ("", LinkView.UNKNOWN)
        self._current_as_of = clock.now()

    @property
    def epoch(self) -> Epoch:
        """Highest fencing token that was seen."""
        return self.record_.epoch if self.record_ else Epoch(0)

    def apply(self, value: bytes) -> None:
        """Take in a record of the leader's key."""
        try:
            record = msgspec.msgpack.decode(value, type=LeaderRecord)
        except msgspec.DecodeError as exc:
            _log.warning("Record ignored", reason=str(exc))
            return
        if record.epoch < self.epoch:
            return
        known = self.record_
        if known is not None and record.epoch == known.epoch:
            if record.incarnation != known.incarnation:
                return
        elif record.epoch > self.epoch:
            _log.info(
                "Leader changed",
                epoch=record.epoch,
                leader=record.node,
                before=known.node if known else "",
            )
        self.record_ = record
        self.seen_at_ = self.clock.now()

    def is_leader(self) -> bool:
        """Return whether this process is the leader by the records."""
        record = self.record_
        return (
            record is not None
            and record.incarnation == self.incarnation
            and not record.resigned
        )

    def note_ended(self, incarnation: str) -> None:
        """Take in that a life of an entry has ended."""
        if incarnation != self._ended[0]:
            self._ended = (incarnation, self.clock.now())

    def note_link(self, incarnation: str, view: LinkView) -> None:
        """Take in what the direct link tells of a life of an entry.

        Silence there proves nothing by itself: the link alone may be cut.
        """
        self._link = (incarnation, view)

    def should_claim(
        self, current_as_of: Instant, rivals: Iterable[Rival] = ()
    ) -> bool:
        """Return whether this process should try to take over now.

        Parameters
        ----------
        current_as_of : Instant
            Time up to which the records are known to be complete.
        rivals : iterable of Rival
            The other entries that could take over.
        """
        self._restart_silence_after_outage(current_as_of)
        if self.is_leader():
            return False
        record = self.record_
        others = [
            rival
            for rival in rivals
            if record is None or rival.incarnation != record.incarnation
        ]
        if record is not None and record.incarnation == self._ended[0]:
            wait_ms = self._head_start_ms(others, HEAD_START_MS)
            return self.clock.now() - self._ended[1] >= wait_ms
        wait_ms = self._head_start_ms(others, SILENCE_HEAD_START_MS)
        wait_ms += self._rank(others) * self.timing.stagger_ms
        if record is not None and not record.resigned:
            wait_ms += self._silence_ms(record)
        return current_as_of - self.seen_at_ >= wait_ms

    def _restart_silence_after_outage(self, current_as_of: Instant) -> None:
        """Let the silence begin anew after a time without the store.

        The leader could not sign either, so its silence says nothing.
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
        """Return how long entries with more processor may go first.

        The leader makes every call to the workers. At the very start nobody knows
        the others, so an entry waits by its own size.
        """
        if self.record_ is None:
            return round(STARTUP_DELAY_MS * max(0.0, 1 - self.cores / NO_DELAY_CORES))
        min_cores = self.cores * CORES_ADVANTAGE_RATIO
        return head_start_ms if any(other.cores > min_cores for other in rivals) else 0

    def _rank(self, rivals: list[Rival]) -> int:
        """Return how many entries are ahead of this one as candidates.

        Entries with clearly less processor wait longer anyhow.
        """

        # The order differs from epoch to epoch, so that a candidate that always
        # fails is not always the first.
        def priority(incarnation: str) -> int:
            return stable_hash(f"{incarnation}/{self.epoch}")

        own_priority = priority(self.incarnation)
        min_cores = self.cores / CORES_ADVANTAGE_RATIO
        return min(
            MAX_RANK,
            sum(
                priority(other.incarnation) < own_priority
                for other in rivals
                if other.cores >= min_cores
            ),
        )
