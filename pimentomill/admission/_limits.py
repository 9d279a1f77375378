"""Bounds on what is taken in."""

from ..exceptions import AdmissionError, CapacityError
from ..holder import GroupSummary
from ..utils import GroupName, TeamName
from ..work import GangSpec, JobSpec, task_count

__all__ = ["check_fits_any_group", "check_waiting_limit"]

RETRY_AFTER_MS = 5_000


def check_waiting_limit(
    summaries: dict[GroupName, GroupSummary],
    team: TeamName,
    new_tasks: int,
    max_waiting: int,
) -> None:
    """Refuse a hand-in that would let too many tasks of a team wait.

    Parameters
    ----------
    summaries : dict
        Latest summaries of all groups.
    team : TeamName
        Whose work.
    more : int
        Tasks of the hand-in.
    most : int
        Bound of the cell.

    Raises
    ------
    AdmissionError
        If the bound would be passed; other teams are not affected.
    """
    waiting = sum(s.waiting.get(team, 0) for s in summaries.values())
    if waiting + new_tasks > max_waiting:
        raise AdmissionError(
            f"team {team} has {waiting} tasks waiting, at most {max_waiting} may wait",
            RETRY_AFTER_MS,
        )


def check_fits_any_group(
    summaries: dict[GroupName, GroupSummary], groups: list[GroupName], spec: JobSpec
) -> None:
    """Refuse work that no group could ever run.

    Parameters
    ----------
    summaries : dict
        Latest summaries.
    groups : list of GroupName
        All groups; nothing is refused while one of them is not known, or has
        workers that have not reported.
    spec : JobSpec
        The work.

    Raises
    ------
    CapacityError
        If no worker is large enough, or no group for a whole gang.
    """
    if any(group not in summaries for group in groups):
        return
    if not any(_could_fit(summary, spec) for summary in summaries.values()):
        raise CapacityError(
            f"no group of the cell can run {task_count(spec)} x "
            f"{spec.resources.describe()}"
        )


def _could_fit(summary: GroupSummary, spec: JobSpec) -> bool:
    if not summary.is_complete:
        return True
    if not any(spec.resources.fits_in(size) for size in summary.largest):
        return False
    if not isinstance(spec, GangSpec):
        return True
    return (spec.resources * spec.tasks).fits_in(summary.capacity)
