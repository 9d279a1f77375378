"""Upper limits of teams, split into allotments of groups.

The allotments of a team never sum to more than its limit, except after the limit
was lowered; then nothing is granted until enough has been given back. An
allotment belongs to a group, so that whoever takes the group over inherits it.
"""

from ..exceptions import InvariantError
from ..utils import ZERO, GroupName, Resources, TeamName
from ._state import CellState

__all__ = ["allotted_total", "draw", "give_back", "grant_wants", "unallotted"]


def allotted_total(state: CellState, team: TeamName) -> Resources:
    """Return the sum of a team's allotments."""
    total = ZERO
    for amount in state.allotments.get(team, {}).values():
        total = total + amount
    return total


def unallotted(state: CellState, team: TeamName) -> Resources:
    """Return the part of a team's limit that no group has, at least zero."""
    if team not in state.teams:
        return ZERO
    limit = state.teams[team].limit
    return (limit - allotted_total(state, team)).maximum(ZERO)


def draw(state: CellState, team: TeamName, group: GroupName, amount: Resources) -> None:
    """Note what a group wants and grant what there is.

    Parameters
    ----------
    state : CellState
        State to change.
    team, group : str
        Who wants part of which limit.
    amount : Resources
        What is wanted on top of the present allotment; zero withdraws the wish.
    """
    wants = state.wants.setdefault(team, {})
    if amount.is_zero():
        wants.pop(group, None)
    else:
        wants[group] = amount
    grant_wants(state, team)


def give_back(
    state: CellState, team: TeamName, group: GroupName, amount: Resources
) -> None:
    """Take back part of a group's allotment and grant it to who waits.

    Parameters
    ----------
    state : CellState
        State to change.
    team, group : str
        Whose allotment.
    amount : Resources
        At most the allotment.
    """
    allotments = state.allotments.setdefault(team, {})
    left = allotments.get(group, ZERO) - amount
    if left.is_zero():
        allotments.pop(group, None)
    else:
        allotments[group] = left
    grant_wants(state, team)


def grant_wants(state: CellState, team: TeamName) -> None:
    """Grant what is free of a team's limit, longest waiting group first.

    Parameters
    ----------
    state : CellState
        State to change.
    team : TeamName
        Whose limit.

    Raises
    ------
    InvariantError
        If a grant would exceed the limit.
    """
    wants = state.wants.get(team, {})
    for group in list(wants):
        granted = wants[group].minimum(unallotted(state, team))
        if granted.is_zero():
            continue
        _grant(state, team, group, granted)
    if not wants:
        state.wants.pop(team, None)


def _grant(
    state: CellState, team: TeamName, group: GroupName, granted: Resources
) -> None:
    allotments = state.allotments.setdefault(team, {})
    allotments[group] = allotments.get(group, ZERO) + granted
    left = state.wants[team][group] - granted
    if left.is_zero():
        del state.wants[team][group]
    else:
        state.wants[team][group] = left
    total = allotted_total(state, team)
    limit = state.teams[team].limit
    excess = (total - limit).maximum(ZERO)
    grew = granted.minimum(excess)
    if not grew.is_zero():
        raise InvariantError(f"allotments of {team} exceed its limit by {excess}")
