"""Leases that entries grant to the leader while the store can't be reached.

An entry that has granted a lease makes no claim while it lasts. If each entry that may
claim has granted one, the leader has not been replaced.

The leader stores the addresses of the entries that it asks, at first together with its
claim. An entry that restarts, or has not enrolled yet, knows by that list that the
leader can't act without it, although the leader may not know the process.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..utils import Clock, Epoch, Instant, to_other_clock
from ._authority import AUTHORITY_MS, MAX_APPEND_SILENCE_MS

__all__ = [
    "ANY_GRANTOR",
    "ENROLMENT_MS",
    "GRANTORS_KEY",
    "GRANT_MS",
    "Enrolments",
    "GrantRefusal",
    "Grantor",
    "GrantorList",
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

GRANTORS_KEY = "leader-grantors"
"""Key of the list of the entries that the leader asks for leases. It sorts after that
of the leader, with the records that are loaded first."""
LISTED_MS = 15_000
"""Milliseconds since its last enrolment in which an entry is listed. A watch renews it
after 10 s."""
MAX_LIST_AGE_MS = 2000
"""Age in milliseconds of the replay of the records up to which an entry relies on the
list; reads are up to 1.3 s apart where the store is slow."""
NAMED_MS = 3000
"""Milliseconds for which an entry is listed that the leader's claim has named and that
does not enrol. Where the store is slow, it reads the claim after 1.3 s."""
NAMED_CLAIM_MS = to_other_clock(NAMED_MS + MAX_LIST_AGE_MS) + LATE_CLAIM_MS
"""Milliseconds for which a named entry has to grant leases. Then its address counts, if
it is still listed."""
ANY_GRANTOR = ""
"""Incarnation in a request for a lease of whatever process runs at an address."""


class GrantorList(msgspec.Struct, frozen=True):
    """Record of the entries that a leader asks for leases.

    Parameters
    ----------
    epoch : Epoch
        Fencing token of the leader.
    incarnation : str
        Incarnation of its process.
    addresses : tuple of str
        Addresses of the entries, sorted.
    """

    epoch: Epoch
    incarnation: str
    addresses: tuple[str, ...]


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
    leases, or can't act any more. The leader may ask an address that it lists, or find
    that no process runs there, so the start of a process counts as a grant.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._reachable_since: Instant | None = None
        self._listed_by: LeaseRequest | None = None
        self._granted = Epoch(0)
        self._granted_until = clock.now()
        self._enrolled_at = ""
        self._enrolled_until = clock.now()
        self._claimed = Epoch(0)

    def record_reachable(self) -> None:
        """Record that connections of other entries are not refused any more."""
        if self._reachable_since is None:
            self._reachable_since = self.clock.now()

    def apply_list(self, leader: LeaseRequest | None) -> None:
        """Record which leader lists the address of this entry, None if none does."""
        self._listed_by = leader

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
        # A leader whose claim this entry has not read may have been granted one.
        if req != known or req.epoch < self._granted:
            return GrantRefusal.OTHER_LEADER
        if self._claimed > req.epoch:
            # The claim may still be carried out.
            return GrantRefusal.CLAIMED
        if replay_age_ms < CURRENT_AGE_MS:
            return GrantRefusal.STORE_REACHABLE
        self._granted = req.epoch
        self._granted_until = Instant(self.clock.now() + GRANT_MS)
        return None

    def has_granted_beyond(self, epoch: Epoch) -> bool:
        """Return whether a lease is in force of a leader later than that on record.

        Its claim has been stored, but this entry has not read it yet.
        """
        return self._granted > epoch and self.clock.now() < self._granted_until

    def may_claim(
        self, leader: LeaseRequest, silence_ms: int, replay_age_ms: int = 0
    ) -> bool:
        """Return whether this entry may replace a leader that may still be alive.

        Parameters
        ----------
        leader : LeaseRequest
            Leader on record.
        silence_ms : int
            Milliseconds from the read of its latest heartbeat to the latest time at
            which this entry's replay was current.
        replay_age_ms : int, default=0
            Age of this entry's replay of the records in milliseconds.
        """
        now = self.clock.now()
        if self._granted == leader.epoch and now < self._granted_until:
            return False
        if silence_ms >= UNENROLLED_SILENCE_MS:
            return True
        is_enrolled = (
            leader.incarnation == self._enrolled_at and now < self._enrolled_until
        )
        return is_enrolled or self._is_asked(leader, replay_age_ms, now)

    def _is_asked(self, leader: LeaseRequest, replay_age_ms: int, now: Instant) -> bool:
        """Return whether a leader asks this process, and can't act without it."""
        reachable_since = self._reachable_since
        return (
            leader == self._listed_by
            and replay_age_ms < MAX_LIST_AGE_MS
            and reachable_since is not None
            and now >= reachable_since + GRANT_MS
        )

    def describe(self) -> dict[str, object]:
        """Return the grant and the enrolment that bind this entry, for the log."""
        now = self.clock.now()
        return {
            "granted_epoch": self._granted,
            "granted_for_ms": max(0, self._granted_until - now),
            "enrolled_at": self._enrolled_at,
            "enrolled_for_ms": max(0, self._enrolled_until - now),
            "listed_by": self._listed_by,
        }


class _Enrolment:
    """An enrolled entry, or a listed address at which none is known.

    Parameters
    ----------
    address : str
        Address for requests to the entry.
    until : Instant
        Time until which a claim of the entry may be carried out.
    listed_until : Instant or None
        Time until which the leader lists the entry, None for a listed address.
    granted_at : Instant, optional
        Time of the latest proof that the entry had made no claim.
    """

    def __init__(
        self,
        address: str,
        until: Instant,
        listed_until: Instant | None,
        granted_at: Instant | None = None,
    ) -> None:
        self.address = address
        self.until = until
        self.listed_until = listed_until
        self.granted_at = granted_at

    @property
    def is_vacancy(self) -> bool:
        """Whether it stands for an address, not for a known process."""
        return self.listed_until is None

    def is_granted(self, now: Instant) -> bool:
        """Return whether the entry can't have made a claim."""
        return self.granted_at is not None and now < self.granted_at + AUTHORITY_MS

    def has_granted_since(self, requested_at: Instant) -> bool:
        """Return whether a lease was granted that was requested at a time or later."""
        return self.granted_at is not None and self.granted_at >= requested_at


class Enrolments:
    """Entries that may replace this one, and have to grant it a lease.

    An entry counts by the incarnation of its process: from its first watch on, or from
    before the claim of this entry that names it. An address that is listed in the
    store counts also after the known process there has ended: another one may rely on
    the list. It is asked by address then, under a name of its own, and as its earlier
    claims are not known, only an unbroken chain of answers proves anything.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._entries: dict[str, _Enrolment] = {}
        self._listed_until: dict[str, Instant | None] = {}
        self._named: set[str] = set()

    def add(self, incarnation: str, address: str) -> None:
        """Enrol an incarnation of an entry that requests a watch."""
        self._named.discard(incarnation)
        claim_ms = to_other_clock(ENROLMENT_MS) + LATE_CLAIM_MS
        self._add(incarnation, address, claim_ms, LISTED_MS)

    def _add(
        self, incarnation: str, address: str, claim_ms: int, listed_ms: int
    ) -> None:
        for name, other in list(self._entries.items()):
            if other.address == address and name != incarnation:
                self._end(name)
        now = self.clock.now()
        until, listed_until = Instant(now + claim_ms), Instant(now + listed_ms)
        enrolment = self._entries.setdefault(
            incarnation, _Enrolment(address, until, listed_until)
        )
        enrolment.address = address
        enrolment.until = max(enrolment.until, until)
        enrolment.listed_until = max(enrolment.listed_until, listed_until)

    def record_grant(self, name: str, requested_at: Instant) -> None:
        """Record that a lease has been granted that was requested at a time."""
        enrolment = self._entries.get(name)
        if enrolment is None:
            return
        if not enrolment.is_vacancy or enrolment.is_granted(self.clock.now()):
            enrolment.granted_at = requested_at
        else:
            self._end(name)

    def record_end(self, name: str, requested_at: Instant | None = None) -> None:
        """Record that a process has certainly ended.

        One that had granted a lease has made no claim. A claim of another one may still
        be on its way to the store.

        Parameters
        ----------
        name : str
            Incarnation of the process, or the name of a listed address at which none
            runs.
        requested_at : Instant, optional
            Time at which the address was called.
        """
        ended = self._entries.get(name)
        if ended is None:
            return
        was_granted = self._end(name)
        if not was_granted or not self._is_vacant(ended.address):
            return
        # Another process may answer at the address of one that has ended, but none
        # does at one that is asked whatever runs there.
        is_empty = ended.is_vacancy and requested_at is not None
        granted_at = requested_at if is_empty else ended.granted_at
        self._add_vacancy(ended.address, granted_at)

    def _end(self, name: str) -> bool:
        """Drop an entry that had granted a lease, and return whether it had."""
        enrolment = self._entries[name]
        now = self.clock.now()
        if enrolment.is_granted(now):
            del self._entries[name]
            return True
        enrolment.granted_at = None
        enrolment.until = min(enrolment.until, Instant(now + LATE_CLAIM_MS))
        return False

    def _is_vacant(self, address: str) -> bool:
        """Return whether an address is listed and no process there is known."""
        return address in self._listed_until and all(
            other.address != address for other in self._entries.values()
        )

    def _add_vacancy(self, address: str, granted_at: Instant | None = None) -> None:
        until = Instant(self.clock.now() + LATE_CLAIM_MS)
        self._entries[_vacancy_name(address)] = _Enrolment(
            address, until, None, granted_at
        )

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
        for name, enrolment in list(self._entries.items()):
            if enrolment.until <= stored_at:
                del self._entries[name]
        for address, until in list(self._listed_until.items()):
            if until is not None and until <= stored_at:
                del self._listed_until[address]
                self._entries.pop(_vacancy_name(address), None)
            elif self._is_vacant(address):
                self._add_vacancy(address)
        return {name: item.address for name, item in self._entries.items()}

    def grantor_of(self, name: str) -> str:
        """Return the incarnation to ask for a lease under a name of `required`."""
        return ANY_GRANTOR if self._entries[name].is_vacancy else name

    def ungranted(
        self, asked: Iterable[str], requested_at: Instant, stored_at: Instant
    ) -> list[str]:
        """Return who has granted no lease that was requested at a time or later.

        Parameters
        ----------
        asked : iterable of str
            Names that were asked. Others have enrolled since and made no claim before.
        requested_at : Instant
            Time of the requests.
        stored_at : Instant
            See `required`.
        """
        names = set(asked)
        return [
            name
            for name in self.required(stored_at)
            if (name in names or self._entries[name].is_vacancy)
            and not self._entries[name].has_granted_since(requested_at)
        ]

    # The list in the store

    def listable(self) -> tuple[str, ...]:
        """Return the addresses of the entries that were named or enrolled recently."""
        now = self.clock.now()
        addresses = {
            enrolment.address
            for enrolment in self._entries.values()
            if not enrolment.is_vacancy and now < enrolment.listed_until
        }
        return tuple(sorted(addresses))

    def begin_claim(self, others: Mapping[str, str]) -> tuple[str, ...]:
        """Require leases of the entries that a claim is about to name.

        They may replace this entry as soon as they have read the claim, so they count
        before any of them has enrolled. Lists of earlier epochs bind nobody any more.

        Parameters
        ----------
        others : mapping of str to str
            Addresses by incarnation.

        Returns
        -------
        tuple of str
            Addresses to store together with the claim, sorted.
        """
        self._drop_listed()
        for incarnation, address in others.items():
            if incarnation not in self._entries:
                self._named.add(incarnation)
            self._add(incarnation, address, NAMED_CLAIM_MS, NAMED_MS)
        addresses = tuple(sorted(set(others.values())))
        self.begin_listing(addresses)
        return addresses

    def _drop_listed(self) -> None:
        """Drop what counts by a list of an earlier epoch only."""
        for name, enrolment in list(self._entries.items()):
            if enrolment.is_vacancy or name in self._named:
                del self._entries[name]
        self._named.clear()
        self._listed_until.clear()

    def begin_listing(self, addresses: Iterable[str]) -> None:
        """Require leases of addresses that are about to be listed in the store."""
        for address in addresses:
            self._listed_until[address] = None

    def observe_list(self, addresses: Iterable[str]) -> None:
        """Record that the store holds a list of this leader.

        An entry that it leaves out may have read an earlier list, and made a claim.
        """
        listed = set(addresses)
        term_ms = to_other_clock(MAX_LIST_AGE_MS) + LATE_CLAIM_MS
        until = Instant(self.clock.now() + term_ms)
        for address in self._listed_until.keys() - listed:
            if self._listed_until[address] is None:
                self._listed_until[address] = until


def _vacancy_name(address: str) -> str:
    return f"@{address}"
