"""Limits of teams, split into allotments of groups.

The allotments of a team never sum to more than its limit, except after the limit
has been lowered; then nothing is granted until enough has been returned. An
allotment belongs to a group, so that the successor of a holder inherits it.
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
    """Return the part of a team's limit not allotted to a group, at least zero."""
    if team not in state.teams:
        return ZERO
    limit = state.teams[team].limit
    return (limit - total_allotted(state, team)).at_least(ZERO)


def request_allotment(
    state: CellState, team: TeamName, group: GroupName, amount: Resources
) -> None:
    """Record the request of a group and grant what is available.

    Parameters
    ----------
    state : CellState
        State to modify.
    team, group : str
        Team whose limit is requested, and requesting group.
    amount : Resources
        Amount requested on top of the current allotment; zero cancels the
        request.
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
    """Reduce the allotment of a group and grant it to waiting groups.

    Parameters
    ----------
    state : CellState
        State to modify.
    team, group : str
        Team and group of the allotment.
    amount : Resources
        Returned amount, at most the allotment.
    """
    allotments = state.allotments.setdefault(team, {})
    remaining = allotments.get(group, ZERO) - amount
    if remaining.is_zero():
        allotments.pop(group, None)
    else:
        allotments[group] = remaining
    grant_requests(state, team)


def grant_requests(state: CellState, team: TeamName) -> None:
    """Grant the unallotted part of a limit, longest waiting group first.

    Parameters
    ----------
    state : CellState
        State to modify.
    team : TeamName
        Team whose limit is granted.

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
