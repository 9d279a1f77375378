"""Upper limits of teams, split into allotments of groups.

The allotments of a team never sum to more than its limit, except after the limit
was lowered; then nothing is granted until enough has been given back. An
allotment belongs to a group, so that whoever takes the group over inherits it.
"""

from ..exceptions import InvariantError
from ..utils import ZERO, GroupName, Resources, TeamName
from ._state import CellState

__all__ = [
    "grant_requests",
    "request_allotment",
    "return_allotment",
    "total_allotted",
    "unallotted_limit",
]


def total_allotted(state: CellState, team: TeamName) -> Resources:
    """Return the sum of a team's allotments."""
    total = ZERO
    for amount in state.allotments.get(team, {}).values():
        total = total + amount
    return total


def unallotted_limit(state: CellState, team: TeamName) -> Resources:
    """Return the part of a team's limit that no group has, at least zero."""
    if team not in state.teams:
        return ZERO
    limit = state.teams[team].limit
    return (limit - total_allotted(state, team)).at_least(ZERO)


def request_allotment(
    state: CellState, team: TeamName, group: GroupName, amount: Resources
) -> None:
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
    requests = state.allotment_requests.setdefault(team, {})
    if amount.is_zero():
        requests.pop(group, None)
    else:
        requests[group] = amount
    grant_requests(state, team)


def return_allotment(
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
    remaining = allotments.get(group, ZERO) - amount
    if remaining.is_zero():
        allotments.pop(group, None)
    else:
        allotments[group] = remaining
    grant_requests(state, team)


def grant_requests(state: CellState, team: TeamName) -> None:
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
    requests = state.allotment_requests.get(team, {})
    for group in list(requests):
        granted = requests[group].at_most(unallotted_limit(state, team))
        if granted.is_zero():
            continue
        _grant(state, team, group, granted)
    if not requests:
        state.allotment_requests.pop(team, None)


def _grant(
    state: CellState, team: TeamName, group: GroupName, granted: Resources
) -> None:
    allotments = state.allotments.setdefault(team, {})
    allotments[group] = allotments.get(group, ZERO) + granted
    remaining = state.allotment_requests[team][group] - granted
    if remaining.is_zero():
        del state.allotment_requests[team][group]
    else:
        state.allotment_requests[team][group] = remaining
    total = total_allotted(state, team)
    limit = state.teams[team].limit
    excess = (total - limit).at_least(ZERO)
    overgranted = granted.at_most(excess)
    if not overgranted.is_zero():
        raise InvariantError(f"allotments of {team} exceed its limit by {excess}")
