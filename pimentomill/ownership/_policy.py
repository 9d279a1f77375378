"""Who should claim, release and strike off, by the same rule in every entry."""

from ..cell import CellState, GroupClaim
from ..utils import GroupName, Instant, MemberId, Offset, stable_hash
from ._witness import Witness

__all__ = ["choose_claims", "choose_evictions", "choose_releases"]

STAGGER_MS = 400
EVICT_AFTER_TERMS = 4
FREE = Offset(-1)


def _live_members(state: CellState, witness: Witness) -> list[MemberId]:
    return sorted(m for m in state.members if witness.is_live(m))


def _claimable_at(state: CellState, witness: Witness, group: GroupName) -> Instant:
    holder = state.ownership(group).holder
    return Instant(0) if holder is None else witness.lapses_at(holder)


def _ranking(group: GroupName, load: dict[MemberId, int]) -> list[MemberId]:
    """Return members, the one that should take the group first."""
    return sorted(load, key=lambda m: (load[m], stable_hash(m, group)))


def choose_claims(
    state: CellState,
    groups: list[GroupName],
    me: MemberId,
    witness: Witness,
    waiting_since: dict[GroupName, Instant],
) -> list[GroupClaim]:
    """Choose the groups that this entry should claim now.

    Parameters
    ----------
    state : CellState
        The cell's facts.
    groups : list of GroupName
        All groups of the cell.
    me : MemberId
        This entry.
    witness : Witness
        What this entry has seen of the others.
    waiting_since : dict
        Since when this entry has seen each group without a holder; kept by
        the caller and updated here.

    Returns
    -------
    list of GroupClaim
        Claims that name the epoch and renewal seen, so that the fold refuses
        them if anything has changed.

    Notes
    -----
    All entries spread the open groups alike, the least loaded first. The
    member of rank r waits r times `STAGGER_MS` before it steps in for the
    ranks before it.
    """
    now = witness.clock.now()
    live = _live_members(state, witness)
    if me not in live:
        return []
    load = {member: len(state.groups_of(member)) for member in live}
    claims = []
    for group in sorted(groups):
        if _claimable_at(state, witness, group) > now:
            waiting_since.pop(group, None)
            continue
        since = waiting_since.setdefault(group, now)
        ranking = _ranking(group, load)
        rank = ranking.index(me)
        load[ranking[0]] += 1
        if now >= since + rank * STAGGER_MS:
            claims.append(_claim(state, group))
    return claims


def _claim(state: CellState, group: GroupName) -> GroupClaim:
    ownership = state.ownership(group)
    if ownership.holder is None:
        return GroupClaim(group, ownership.epoch, FREE)
    return GroupClaim(group, ownership.epoch, state.members[ownership.holder].renewal)


def choose_releases(
    state: CellState, me: MemberId, witness: Witness
) -> list[GroupName]:
    """Choose a group that this entry should hand over to a less loaded one.

    Parameters
    ----------
    state : CellState
        The cell's facts.
    me : MemberId
        This entry.
    witness : Witness
        What this entry has seen of the others.

    Returns
    -------
    list of GroupName
        At most one, if a live member holds at least two groups fewer.
    """
    mine = state.groups_of(me)
    others = [m for m in _live_members(state, witness) if m != me]
    if not others or not mine:
        return []
    least = min(len(state.groups_of(member)) for member in others)
    return mine[-1:] if len(mine) - least >= 2 else []


def choose_evictions(
    state: CellState, me: MemberId, witness: Witness
) -> list[tuple[MemberId, Offset]]:
    """Choose members without groups that have been silent for long.

    Parameters
    ----------
    state : CellState
        The cell's facts.
    me : MemberId
        This entry.
    witness : Witness
        What this entry has seen of the others.

    Returns
    -------
    list of (MemberId, Offset)
        Whom to strike off, with the latest renewal seen. Only the first live
        member acts.
    """
    live = _live_members(state, witness)
    if not live or live[0] != me:
        return []
    grace = EVICT_AFTER_TERMS * witness.term_ms
    now = witness.clock.now()
    return [
        (member.id, member.renewal)
        for member in state.members.values()
        if now > witness.lapses_at(member.id) + grace and not state.groups_of(member.id)
    ]
