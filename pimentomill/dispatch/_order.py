"""Order in which waiting steps are served."""

import itertools
from collections.abc import Iterable
from enum import IntEnum

from ..jobs import JobState
from ..usage import PastUse, VirtualTime
from ..utils import Instant
from ._state import JobRun, StepRun

__all__ = [
    "LATE_FACTOR",
    "Feasibility",
    "assess_feasibility",
    "critical_path_ms",
    "is_in_time",
    "is_kept_retry",
    "is_urgent",
    "objective_ms",
    "order_steps",
    "slack_ms",
]

LATE_FACTOR = 3
"""A job earns less after its objective and nothing after this multiple of it."""
AT_RISK_SHARE = 0.5
"""Share of its objective beyond which a job that can be in time is at risk: the rest
allows for the wait for free capacity, as long runs release none for some time."""
ESTIMATE_ERROR_FACTOR = 1.5
"""Multiple of its objective up to which a job may still be in time: the durations that
callers declare are often wrong by half."""
URGENT_PRIORITY = 0
"""Priority of urgent queues, the highest."""
RETRY_RANK = -1
"""Sorts repeated runs before work of every feasibility and outlook."""
NO_PRIORITY = -1
"""Sorts before the most urgent priority, which is 0."""


class Feasibility(IntEnum):
    """Whether a job can still meet its objective if the step starts now."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


def critical_path_ms(job: JobRun) -> int:
    """Return the declared duration of a job's critical path, in milliseconds."""
    return max(job.remaining_path_ms, default=0)


def objective_ms(job: JobRun, occurrence: int = 0) -> float:
    """Return the time in which an occurrence should be completed, in milliseconds.

    Runs that failed lengthen the path that the caller's objective is based on, if the
    job counts them.
    """
    path_ms = critical_path_ms(job)
    if job.counts_failed_runs:
        path_ms += job.failed_path_ms(occurrence)
    return job.queue.stretch * path_ms + job.queue.target_ms


def assess_feasibility(step: StepRun, now: Instant) -> Feasibility:
    """Return whether a step's job can meet its objective, by its declared durations.

    The durations of the step and of those that depend on it count, so that no capacity
    goes to work that will miss its objective while other work could still meet its own.
    """
    if step.spec.long_running:
        return Feasibility.IN_TIME
    start = _objective_start(step)
    if start is None:
        return Feasibility.IN_TIME
    objective = objective_ms(step.job, step.key.occurrence)
    completion_ms = now - start + step.job.remaining_path_ms[step.key.step]
    if completion_ms <= objective:
        return Feasibility.IN_TIME
    if completion_ms <= LATE_FACTOR * objective:
        return Feasibility.LATE
    return Feasibility.TOO_LATE


def is_in_time(step: StepRun, now: Instant) -> bool:
    """Return whether a step's job may still meet its objective."""
    return assess_feasibility(step, now) is Feasibility.IN_TIME


def is_urgent(step: StepRun, now: Instant) -> bool:
    """Return whether free capacity is kept for a step.

    That is urgent work within its team's share that may still be in time.
    """
    job = step.job
    if job.queue.priority != URGENT_PRIORITY or job.over_share:
        return False
    return _objective_share(step, now) <= ESTIMATE_ERROR_FACTOR


def is_kept_retry(step: StepRun, now: Instant) -> bool:
    """Return whether a step waits only for repeated runs, which keep their place.

    Their first runs were ahead of all work that arrived since. The objective, which
    failed runs may extend, would put them behind it.
    """
    job = step.job
    return job.keeps_retries and step.has_only_retries and is_urgent(step, now)


def slack_ms(step: StepRun, now: Instant) -> float:
    """Return how long a step may wait so that its job can still meet its objective."""
    start = _objective_start(step)
    waited_ms = 0 if start is None else now - start
    remaining_ms = step.job.remaining_path_ms[step.key.step]
    return objective_ms(step.job, step.key.occurrence) - waited_ms - remaining_ms


class Outlook(IntEnum):
    """Prospects of a job among work of its priority while capacity is scarce."""

    LIKELY = 0
    POSSIBLE = 1
    LATE = 2


def assess_outlook(step: StepRun, now: Instant) -> Outlook:
    """Return a job's prospects, given what its remaining steps need.

    Work that has not begun counts as likely in time only if its steps may take as much
    longer as estimates are wrong: a step ends with the slowest of its tasks. Ordered by
    due time alone, a backlog is served at the last moment, and each delay then makes
    work late that capacity has been spent on. Begun work keeps its place, so that what
    it has used is not lost.
    """
    used = _objective_share(step, now)
    if used > ESTIMATE_ERROR_FACTOR:
        return Outlook.LATE
    if step.job.state is JobState.QUEUED:
        remaining_ms = step.job.remaining_path_ms[step.key.step]
        allowance_ms = (ESTIMATE_ERROR_FACTOR - 1.0) * remaining_ms
        if not step.spec.long_running:
            used += allowance_ms / max(1.0, objective_ms(step.job, step.key.occurrence))
    return Outlook.LIKELY if used <= 1.0 else Outlook.POSSIBLE


def order_steps(
    steps: Iterable[StepRun],
    now: Instant,
    past_use: PastUse | None = None,
    by_outlook: bool = False,
) -> list[StepRun]:
    """Return waiting steps in the order in which they are served.

    Work that is too late comes last, and work over its team's share just before it.
    Otherwise the priority decides. Within a priority, work that can be in time comes
    before work that will be late, and the earliest due time comes first.

    Less urgent work at risk comes before more urgent work of its pool that is certainly
    late, because a backlog of the latter would make all work behind it late. Work
    with slack waits, because it would have to be stopped for the next urgent job.

    Among steps that differ only by due time, past use decides first if it counts.
    Repeated runs of urgent work that keep their place come first in its priority.

    Parameters
    ----------
    steps : iterable of StepRun
        Steps with waiting tasks.
    now : Instant
        Current time.
    past_use : PastUse or None, default=None
        Usage of the teams; None if it does not count.
    by_outlook : bool, default=False
        Whether the work of a priority is ordered by its `Outlook`, and by the latest
        time at which a step has to start, instead of by feasibility and due time.

    Returns
    -------
    list of StepRun
        All steps, in order.
    """
    assessed = [(step, assess_feasibility(step, now)) for step in steps]
    at_risk_priorities: dict[str, int] = {}
    for step, _ in assessed:
        queue = step.job.queue
        if _is_at_risk(step, now):
            current = at_risk_priorities.get(queue.service, NO_PRIORITY)
            at_risk_priorities[queue.service] = max(current, queue.priority)
    keyed = [
        (_order_key(*pair, now, at_risk_priorities, by_outlook), pair[0])
        for pair in assessed
    ]
    keyed.sort(key=lambda pair: pair[0])
    if past_use is not None:
        return _order_by_past_use(keyed, past_use)
    return [step for _, step in keyed]


def _order_by_past_use(
    keyed: list[tuple[tuple, StepRun]], past_use: PastUse
) -> list[StepRun]:
    """Return sorted steps by past use where they differ only by due time.

    Within a pool, steps of one team keep their order: each comes after the resources
    that the steps before it need. Long-running work does not wait for past use, since
    each of its tasks has to run within seconds.
    """
    found: list[StepRun] = []
    # The last element of a key is the due time.
    for _, group in itertools.groupby(keyed, key=lambda pair: pair[0][:-1]):
        virtual_times: dict[tuple[str, str], VirtualTime] = {}
        terms = []
        for number, (key, step) in enumerate(group):
            team = step.job.accepted.team
            name = (step.job.queue.service, team)
            if name not in virtual_times:
                virtual_times[name] = past_use.virtual_time_of(team)
            term = virtual_times[name].take(step.spec.reserved, len(step.waiting))
            if step.spec.long_running:
                term = 0.0
            terms.append((term, key[-1], number, step))
        terms.sort(key=lambda item: item[:3])
        found += [item[3] for item in terms]
    return found


def _order_key(
    step: StepRun,
    feasibility: Feasibility,
    now: Instant,
    at_risk_priorities: dict[str, int],
    by_outlook: bool,
) -> tuple:
    """Return the sort key of a step.

    `at_risk_priorities` holds the priority of the least urgent work at risk, by pool.
    More urgent work that may still be in time is promoted together with it.
    """
    job = step.job
    queue = job.queue
    start = _objective_start(step)
    due = (now if start is None else start) + objective_ms(job, step.key.occurrence)
    at_risk_priority = at_risk_priorities.get(queue.service, NO_PRIORITY)
    may_be_in_time = _objective_share(step, now) <= ESTIMATE_ERROR_FACTOR
    is_promoted = _is_at_risk(step, now) or (
        may_be_in_time and queue.priority < at_risk_priority
    )
    too_late = feasibility is Feasibility.TOO_LATE
    outlook: int = feasibility
    if by_outlook:
        outlook = assess_outlook(step, now)
        due -= job.remaining_path_ms[step.key.step]
        # Urgent work with slack competes with urgent work at risk by outlook only.
        is_promoted |= may_be_in_time and queue.priority == URGENT_PRIORITY
    if is_kept_retry(step, now):
        is_promoted = True
        outlook = RETRY_RANK
    return (too_late, job.over_share, not is_promoted, queue.priority, outlook, due)


def _is_at_risk(step: StepRun, now: Instant) -> bool:
    """Return whether a step that can be in time has little slack."""
    if step.job.over_share:
        return False
    return AT_RISK_SHARE < _objective_share(step, now) <= 1.0


def _objective_share(step: StepRun, now: Instant) -> float:
    """Return the share of its objective that a job uses if the step starts now."""
    start = _objective_start(step)
    if start is None or step.spec.long_running:
        return 0.0
    completion_ms = now - start + step.job.remaining_path_ms[step.key.step]
    return completion_ms / max(1.0, objective_ms(step.job, step.key.occurrence))


def _objective_start(step: StepRun) -> Instant | None:
    """Return when the step's objective began to count, None if it has not begun."""
    job = step.job
    return step.ready_at if job.spec.is_scheduled else job.seen_at
