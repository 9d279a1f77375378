"""Claims, releases and evictions, chosen by the same rule in every entry."""

from ..cell import CellState, GroupClaim
from ..utils import GroupName, Instant, MemberId, Offset, stable_hash
from ._lease_tracker import LeaseTracker

__all__ = ["choose_claims", "choose_evictions", "choose_releases"]

CLAIM_STAGGER_MS = 400
EVICT_AFTER_TERMS = 4
NO_RENEWAL = Offset(-1)


def _live_members(state: CellState, leases: LeaseTracker) -> list[MemberId]:
    return sorted(m for m in state.members if leases.is_live(m))


def _claimable_at(state: CellState, leases: LeaseTracker, group: GroupName) -> Instant:
    holder = state.ownership(group).holder
    return Instant(0) if holder is None else leases.expires_at(holder)


def _rank_members(group: GroupName, load: dict[MemberId, int]) -> list[MemberId]:
    """Return the members by priority for claiming the group, highest first."""
    return sorted(load, key=lambda m: (load[m], stable_hash(m, group)))


def choose_claims(
    state: CellState,
    groups: list[GroupName],
    member_id: MemberId,
    leases: LeaseTracker,
    claimable_since: dict[GroupName, Instant],
) -> list[GroupClaim]:
    """Choose the groups that this entry should claim now.

    Parameters
    ----------
    state : CellState
        State of the cell.
    groups : list of GroupName
        All groups of the cell.
    member_id : MemberId
        Id of this entry.
    leases : LeaseTracker
        Leases of the members as this entry has observed them.
    claimable_since : dict
        Time since which this entry has seen each group without a holder; kept
        by the caller and updated here.

    Returns
    -------
    list of GroupClaim
        Claims that state the observed epoch and renewal, so that the fold
        rejects them if either has changed.

    Notes
    -----
    All entries assign the claimable groups in the same way, to the least loaded
    member first. The member of rank r waits r times `CLAIM_STAGGER_MS` before it
    claims a group in place of the members ranked before it.
    """
    now = leases.clock.now()
    live = _live_members(state, leases)
    if member_id not in live:
        return []
    load = {member: len(state.groups_of(member)) for member in live}
    claims = []
    for group in sorted(groups):
        if _claimable_at(state, leases, group) > now:
            claimable_since.pop(group, None)
            continue
        since = claimable_since.setdefault(group, now)
        ranking = _rank_members(group, load)
        rank = ranking.index(member_id)
        load[ranking[0]] += 1
        if now >= since + rank * CLAIM_STAGGER_MS:
            claims.append(_make_claim(state, group))
    return claims


def _make_claim(state: CellState, group: GroupName) -> GroupClaim:
    ownership = state.ownership(group)
    if ownership.holder is None:
        return GroupClaim(group, ownership.epoch, NO_RENEWAL)
    return GroupClaim(group, ownership.epoch, state.members[ownership.holder].renewal)


def choose_releases(
    state: CellState, member_id: MemberId, leases: LeaseTracker
) -> list[GroupName]:
    """Choose a group that this entry should release to a less loaded one.

    Parameters
    ----------
    state : CellState
        State of the cell.
    member_id : MemberId
        Id of this entry.
    leases : LeaseTracker
        Leases of the members as this entry has observed them.

    Returns
    -------
    list of GroupName
        At most one group, if a live member holds at least two groups fewer.
    """
    own_groups = state.groups_of(member_id)
    others = [m for m in _live_members(state, leases) if m != member_id]
    if not others or not own_groups:
        return []
    min_groups = min(len(state.groups_of(member)) for member in others)
    return own_groups[-1:] if len(own_groups) - min_groups >= 2 else []


def choose_evictions(
    state: CellState, member_id: MemberId, leases: LeaseTracker
) -> list[tuple[MemberId, Offset]]:
    """Choose members to evict: without groups, and long without a renewal.

    Parameters
    ----------
    state : CellState
        State of the cell.
    member_id : MemberId
        Id of this entry.
    leases : LeaseTracker
        Leases of the members as this entry has observed them.

    Returns
    -------
    list of (MemberId, Offset)
        Members to evict, with their latest observed renewal. Only the first
        live member evicts, so for all others the list is empty.
    """
    live = _live_members(state, leases)
    if not live or live[0] != member_id:
        return []
    grace_ms = EVICT_AFTER_TERMS * leases.term_ms
    now = leases.clock.now()
    return [
        (member.id, member.renewal)
        for member in state.members.values()
        if now > leases.expires_at(member.id) + grace_ms
        and not state.groups_of(member.id)
    ]
