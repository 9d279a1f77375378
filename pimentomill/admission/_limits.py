"""Limits on the work that is accepted."""

from ..exceptions import AdmissionError, CapacityError
from ..holder import GroupSummary
from ..utils import GroupName, TeamName
from ..work import GangSpec, JobSpec, count_tasks

__all__ = ["check_fits_any_group", "check_waiting_limit", "check_withdrawal_limit"]

RETRY_AFTER_MS = 5_000
MAX_WITHDRAWN_JOBS = 5_000
"""Stored cancellations of unknown jobs per team, which would otherwise fill the log."""


def check_waiting_limit(
    summaries: dict[GroupName, GroupSummary],
    team: TeamName,
    new_tasks: int,
    max_waiting: int,
) -> None:
    """Reject a submission that would exceed a team's limit of waiting tasks.

    Parameters
    ----------
    summaries : dict
        Latest summaries of all groups.
    team : TeamName
        Team that submits.
    new_tasks : int
        Number of tasks in the submission.
    max_waiting : int
        Maximum number of waiting tasks per team in the cell.

    Raises
    ------
    AdmissionError
        If the limit would be exceeded; other teams are not affected.
    """
    waiting = sum(s.waiting.get(team, 0) for s in summaries.values())
    if waiting + new_tasks > max_waiting:
        raise AdmissionError(
            f"team {team} has {waiting} tasks waiting, at most {max_waiting} may wait",
            RETRY_AFTER_MS,
        )


def check_withdrawal_limit(
    summaries: dict[GroupName, GroupSummary], team: TeamName
) -> None:
    """Reject a cancellation of an unknown job beyond the number that is stored.

    Parameters
    ----------
    summaries : dict
        Latest summaries of all groups.
    team : TeamName
        Team of the caller.

    Raises
    ------
    AdmissionError
        If the limit is reached; nothing is stored then.
    """
    count = sum((s.withdrawn or {}).get(team, 0) for s in summaries.values())
    if count >= MAX_WITHDRAWN_JOBS:
        raise AdmissionError(
            f"team {team} has cancelled {count} unknown jobs, at most "
            f"{MAX_WITHDRAWN_JOBS} are stored",
            RETRY_AFTER_MS,
        )


def check_fits_any_group(
    summaries: dict[GroupName, GroupSummary], groups: list[GroupName], spec: JobSpec
) -> None:
    """Reject work that no group could ever run.

    Parameters
    ----------
    summaries : dict
        Latest summaries of the groups.
    groups : list of GroupName
        All groups. No work is rejected while the summary of a group is missing or
        some of its workers have not reported.
    spec : JobSpec
        Submitted work.

    Raises
    ------
    CapacityError
        If no worker is large enough, or no group can hold the whole gang.
    """
    if any(group not in summaries for group in groups):
        return
    if not any(_could_fit(summary, spec) for summary in summaries.values()):
        raise CapacityError(
            f"no group of the cell can run {count_tasks(spec)} x "
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
