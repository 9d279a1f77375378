"""Leases of the members, as observed from their renewals in the log."""

from ..cell import CellState
from ..utils import Clock, Instant, MemberId, Offset

__all__ = ["LeaseTracker"]


class LeaseTracker:
    """Track when the latest renewal of each member was read.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    term_ms : int
        Term of a holder's lease.
    margin_ms : int
        Additional wait before a lease counts as expired.
    """

    def __init__(self, clock: Clock, term_ms: int, margin_ms: int) -> None:
        self.clock = clock
        self.term_ms = term_ms
        self.margin_ms = margin_ms
        self._renewals: dict[MemberId, tuple[Offset, Instant]] = {}

    def observe(self, state: CellState) -> None:
        """Record the renewals of a state that was just folded.

        Parameters
        ----------
        state : CellState
            State of the cell after a read of the log.
        """
        now = self.clock.now()
        for member in state.members.values():
            last = self._renewals.get(member.id)
            if last is None or last[0] != member.renewal:
                self._renewals[member.id] = (member.renewal, now)
        for removed in self._renewals.keys() - state.members.keys():
            del self._renewals[removed]

    def expires_at(self, member: MemberId) -> Instant:
        """Return the time after which a member's lease has certainly expired.

        Parameters
        ----------
        member : MemberId
            A member of the observed state.

        Returns
        -------
        Instant
            Term and margin after its latest renewal was read.
        """
        _, read_at = self._renewals[member]
        return Instant(read_at + self.term_ms + self.margin_ms)

    def is_live(self, member: MemberId) -> bool:
        """Return whether a member has renewed within its term."""
        return member in self._renewals and self.clock.now() < self.expires_at(member)
