"""Bound on the authority of a leader.

A leader that has lost the store can't read the claim of its successor. So it acts only
for a limited time after the last proof that no other entry leads. Each successor waits
out the same bound for all workers that may still obey the leader before.
"""

from collections.abc import Callable

from ..utils import Instant, to_other_clock

__all__ = [
    "AUTHORITY_MS",
    "MAX_APPEND_SILENCE_MS",
    "Authority",
    "authority_end_bound",
]

AUTHORITY_MS = 2500
"""Milliseconds for which a leader acts after the last proof of its authority. Proofs
are 0.4 s apart, or 1.5 s where the store is slow. A successor adds it to the wait for
a silent worker."""
MAX_APPEND_SILENCE_MS = 25_000
"""Milliseconds after its last acknowledged append in which a leader may act on other
proofs, so that accepted work goes on while the store is down."""


def authority_end_bound(now: Instant) -> Instant:
    """Return the time by which no earlier leader acts any more.

    Parameters
    ----------
    now : Instant
        Time at which the claim of a successor is known to have been stored.
    """
    return Instant(now + to_other_clock(AUTHORITY_MS))


class Authority:
    """Proofs that a leader has not been replaced.

    A proof shows that no other entry had claimed a higher epoch at some time. What
    counts is the time at which the proof was requested.

    Parameters
    ----------
    claimed_at : Instant
        Time at which the claim was first sent.
    proven_at : Instant
        Time of the first proof: the read that returned the claim was sent.
    read_at : callable, default=None
        Returns the time of the latest read that shows no later leader, None if a later
        one is on record.

    Attributes
    ----------
    appended_at_ : Instant
        Time at which the last acknowledged append was sent.
    """

    def __init__(
        self,
        claimed_at: Instant,
        proven_at: Instant,
        read_at: Callable[[], Instant | None] | None = None,
    ) -> None:
        self.appended_at_ = claimed_at
        self._stored_at = proven_at
        self._granted_at = proven_at
        self._read_at = read_at
        self._has_ended = False

    @property
    def stored_at_(self) -> Instant:
        """Latest time at which the store has shown that no other entry led."""
        read_at = self._read_at() if self._read_at is not None else None
        if read_at is not None and not self._has_ended:
            self._stored_at = max(self._stored_at, read_at)
        return self._stored_at

    @property
    def proven_at_(self) -> Instant:
        """Latest time at which no other entry was the leader."""
        return max(self.stored_at_, self._granted_at)

    def prove_by_append(self, sent_at: Instant, now: Instant) -> None:
        """Record that the store has acknowledged an append.

        Parameters
        ----------
        sent_at : Instant
            Time at which it was sent for the first time.
        now : Instant
            Current time. An answer that comes too late is no proof: entries that have
            never enrolled may have claimed meanwhile.
        """
        if not self._has_ended and not self.has_lapsed(now):
            self.appended_at_ = max(self.appended_at_, sent_at)
            self._stored_at = max(self._stored_at, sent_at)

    def prove_by_grants(self, requested_at: Instant, now: Instant) -> None:
        """Record that all enrolled entries have granted a lease."""
        if not self._has_ended and not self.has_lapsed(now):
            self._granted_at = max(self._granted_at, requested_at)

    def end(self) -> None:
        """End the authority for good."""
        self._has_ended = True

    def has_lapsed(self, now: Instant) -> bool:
        """Return whether the leader has to step down, as it can't append."""
        return now - self.appended_at_ >= MAX_APPEND_SILENCE_MS

    def is_valid(self, now: Instant) -> bool:
        """Return whether the leader may renew leases and start work."""
        is_recent = now < self.proven_at_ + AUTHORITY_MS
        return is_recent and not self._has_ended and not self.has_lapsed(now)

    def covers(self, at: Instant) -> bool:
        """Return whether no other entry led up to a time.

        A lease whose bound is covered has expired, since nobody else has renewed it.
        """
        return self.proven_at_ >= at

    def age_ms(self, now: Instant) -> int:
        """Return the milliseconds since the time of the latest proof."""
        return now - self.proven_at_
