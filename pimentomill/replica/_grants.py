"""Leases that entries grant to the leader while the store can't be reached.

An entry that has granted a lease makes no claim while it lasts. If each entry that may
claim has granted one, the leader has not been replaced.
"""

import enum
from typing import NamedTuple

from ..utils import Clock, Epoch, Instant, to_other_clock
from ._authority import AUTHORITY_MS, MAX_APPEND_SILENCE_MS

__all__ = [
    "ENROLMENT_MS",
    "GRANT_MS",
    "Enrolments",
    "GrantRefusal",
    "Grantor",
    "LeaseRequest",
]

ENROLMENT_MS = 20_000
"""Milliseconds for which the request of a watch enrols an entry at the leader."""
CURRENT_AGE_MS = 700
"""Age in milliseconds of an entry's replay below which the entry could take over."""
LATE_CLAIM_MS = 10_000
"""Milliseconds from the check of an entry's enrolment until the store carries out its
claim at the latest: the entry may pause, and the store may answer late."""
GRANT_MS = to_other_clock(AUTHORITY_MS)
"""Milliseconds for which an entry that grants a lease makes no claim. One that ends
meanwhile does not have to be asked again."""
UNENROLLED_SILENCE_MS = to_other_clock(MAX_APPEND_SILENCE_MS)
"""Milliseconds without a heartbeat after which an entry may replace a leader at which
it is not enrolled, as that leader has stepped down."""


class LeaseRequest(NamedTuple):
    """Request of a leader for a lease.

    Parameters
    ----------
    epoch : Epoch
        Fencing token of the leader.
    incarnation : str
        Incarnation of its process.
    """

    epoch: Epoch
    incarnation: str


class GrantRefusal(enum.Enum):
    """Reason why an entry grants no lease."""

    OTHER_LEADER = "another leader is on record"
    CLAIMED = "this entry has claimed a later epoch"
    STORE_REACHABLE = "this entry can read the store"


class Grantor:
    """Decides which leases an entry grants, and when it may claim.

    An entry replaces a leader that may still be alive only if that leader asks it for
    leases, or can't act any more.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._granted = Epoch(0)
        self._granted_until = clock.now()
        self._enrolled_at = ""
        self._enrolled_until = clock.now()
        self._claimed = Epoch(0)

    def enrol(self, incarnation: str, requested_at: Instant) -> None:
        """Record that an entry has answered a watch that was requested at a time."""
        if incarnation != self._enrolled_at:
            self._enrolled_at = incarnation
            self._enrolled_until = requested_at
        until = Instant(requested_at + ENROLMENT_MS)
        self._enrolled_until = max(self._enrolled_until, until)

    def record_claim(self, epoch: Epoch) -> None:
        """Record that this entry is about to claim an epoch."""
        self._claimed = max(self._claimed, epoch)

    def grant(
        self, req: LeaseRequest, known: LeaseRequest | None, replay_age_ms: int
    ) -> GrantRefusal | None:
        """Grant a lease unless this entry has claimed or could take over.

        Parameters
        ----------
        req : LeaseRequest
            Request of the leader.
        known : LeaseRequest or None
            Leader on record at this entry, None if there is none or it has resigned.
        replay_age_ms : int
            Age of this entry's replay of the records in milliseconds.

        Returns
        -------
        GrantRefusal or None
            Reason of a refusal; None if the lease is granted.
        """
        if req != known:
            return GrantRefusal.OTHER_LEADER
        if self._claimed > req.epoch:
            # The claim may still be carried out.
            return GrantRefusal.CLAIMED
        if replay_age_ms < CURRENT_AGE_MS:
            return GrantRefusal.STORE_REACHABLE
        self._granted = req.epoch
        self._granted_until = Instant(self.clock.now() + GRANT_MS)
        return None

    def may_claim(self, leader: LeaseRequest, silence_ms: int) -> bool:
        """Return whether this entry may replace a leader that may still be alive.

        Parameters
        ----------
        leader : LeaseRequest
            Leader on record.
        silence_ms : int
            Milliseconds from the read of its latest heartbeat to the latest time at
            which this entry's replay was current.
        """
        now = self.clock.now()
        if self._granted == leader.epoch and now < self._granted_until:
            return False
        if silence_ms >= UNENROLLED_SILENCE_MS:
            return True
        return leader.incarnation == self._enrolled_at and now < self._enrolled_until

    def describe(self) -> dict[str, object]:
        """Return the grant and the enrolment that bind this entry, for the log."""
        now = self.clock.now()
        return {
            "granted_epoch": self._granted,
            "granted_for_ms": max(0, self._granted_until - now),
            "enrolled_at": self._enrolled_at,
            "enrolled_for_ms": max(0, self._enrolled_until - now),
        }


class _Enrolment:
    """An enrolled entry.

    Parameters
    ----------
    address : str
        Address for requests to the entry.
    until : Instant
        Time until which a claim of the entry may be carried out.
    """

    def __init__(self, address: str, until: Instant) -> None:
        self.address = address
        self.until = until
        self.granted_at: Instant | None = None


class Enrolments:
    """Entries that may replace this one, and have to grant it a lease.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._entries: dict[str, _Enrolment] = {}

    def add(self, incarnation: str, address: str) -> None:
        """Enrol an incarnation of an entry that requests a watch."""
        for name, other in list(self._entries.items()):
            if other.address == address and name != incarnation:
                self.record_end(name)
        term_ms = to_other_clock(ENROLMENT_MS) + LATE_CLAIM_MS
        until = Instant(self.clock.now() + term_ms)
        enrolment = self._entries.setdefault(incarnation, _Enrolment(address, until))
        enrolment.address = address
        enrolment.until = until

    def record_grant(self, incarnation: str, requested_at: Instant) -> None:
        """Record that an entry has granted a lease that was requested at a time."""
        if incarnation in self._entries:
            self._entries[incarnation].granted_at = requested_at

    def record_end(self, incarnation: str) -> None:
        """Record that an incarnation has certainly ended.

        One that had granted a lease has made no claim. A claim of another one may still
        be on its way to the store.
        """
        enrolment = self._entries.get(incarnation)
        if enrolment is None:
            return
        now = self.clock.now()
        granted_at = enrolment.granted_at
        if granted_at is not None and now < granted_at + AUTHORITY_MS:
            del self._entries[incarnation]
        else:
            enrolment.until = min(enrolment.until, Instant(now + LATE_CLAIM_MS))

    def required(self, stored_at: Instant) -> dict[str, str]:
        """Return the addresses of the entries that have to grant a lease.

        Parameters
        ----------
        stored_at : Instant
            Latest time at which the store has shown that no other entry led. Entries
            that could not claim any more by then are left out.

        Returns
        -------
        dict of str to str
            Addresses by incarnation.
        """
        for incarnation, enrolment in list(self._entries.items()):
            if enrolment.until <= stored_at:
                del self._entries[incarnation]
        return {name: item.address for name, item in self._entries.items()}
