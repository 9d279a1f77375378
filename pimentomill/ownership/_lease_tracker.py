"""What an entry has seen of the other members' renewals."""

from ..cell import CellState
from ..utils import Clock, Instant, MemberId, Offset

__all__ = ["LeaseTracker"]


class LeaseTracker:
    """Remember when each renewal was read.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    term_ms : int
        Term of a holder's lease.
    margin_ms : int
        Extra wait before a lease counts as over.
    """

    def __init__(self, clock: Clock, term_ms: int, margin_ms: int) -> None:
        self.clock = clock
        self.term_ms = term_ms
        self.margin_ms = margin_ms
        self._renewals: dict[MemberId, tuple[Offset, Instant]] = {}

    def observe(self, state: CellState) -> None:
        """Note the renewals of a state that was just folded.

        Parameters
        ----------
        state : CellState
            The cell's facts, after a read of the log.
        """
        now = self.clock.now()
        for member in state.members.values():
            last = self._renewals.get(member.id)
            if last is None or last[0] != member.renewal:
                self._renewals[member.id] = (member.renewal, now)
        for removed in self._renewals.keys() - state.members.keys():
            del self._renewals[removed]

    def expires_at(self, member: MemberId) -> Instant:
        """Return when a member's lease is surely over.

        Parameters
        ----------
        member : MemberId
            A member of the observed state.

        Returns
        -------
        Instant
            Counted from the reading of its latest renewal.
        """
        _, read_at = self._renewals[member]
        return Instant(read_at + self.term_ms + self.margin_ms)

    def is_live(self, member: MemberId) -> bool:
        """Return whether a member has renewed within its term."""
        return member in self._renewals and self.clock.now() < self.expires_at(member)
