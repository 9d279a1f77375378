"""The lease as its holder sees it."""

from ..utils import Clock, Instant

__all__ = ["LeaseGuard"]

NEVER = Instant(-1)


class LeaseGuard:
    """Track whether this entry may still act for the groups that it holds.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    term_ms : int
        Term of the lease.
    margin_ms : int
        Part of the term that is left unused, to allow for clock drift.

    Attributes
    ----------
    deadline_ : Instant
        Time at which the right to act ends.

    Notes
    -----
    The holder counts the term from before it sent the renewal. Other entries
    count it from when they read the renewal, and wait a margin longer. A process
    that was paused past its deadline therefore finds its lease expired before
    any other entry acts.
    """

    def __init__(self, clock: Clock, term_ms: int, margin_ms: int) -> None:
        self.clock = clock
        self.term_ms = term_ms
        self.margin_ms = margin_ms
        self.deadline_ = NEVER

    def renew(self, sent_at: Instant) -> None:
        """Extend the lease after its renewal was read back from the log.

        Parameters
        ----------
        sent_at : Instant
            Clock reading before the renewal was sent.
        """
        deadline = Instant(sent_at + self.term_ms - self.margin_ms)
        self.deadline_ = max(self.deadline_, deadline)

    def revoke(self) -> None:
        """Give up the right to act immediately."""
        self.deadline_ = NEVER

    def is_valid(self) -> bool:
        """Return whether this entry may act now."""
        return self.clock.now() < self.deadline_

    def remaining_ms(self) -> int:
        """Return for how many milliseconds this entry may still act, at least 0."""
        return max(self.deadline_ - self.clock.now(), 0)
