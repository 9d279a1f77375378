"""Which waiting step comes first."""

from collections.abc import Iterable
from enum import IntEnum

from ..utils import Instant
from ._state import JobRun, StepRun

__all__ = [
    "LATE_FACTOR",
    "Feasibility",
    "critical_path_ms",
    "order_steps",
    "is_in_time",
    "objective_ms",
    "assess_feasibility",
]

LATE_FACTOR = 3
"""A job earns less after its objective and nothing after this multiple of it."""
AT_RISK_SHARE = 0.5
"""Share of its objective from which a job that can be in time has to go on: the rest is
for room to become free, as long runs leave no gap for longer."""
ESTIMATE_ERROR_FACTOR = 1.5
"""Multiple of its objective up to which a job may be in time after all: the times that
callers declare are rough, often by half."""
NO_PRIORITY = -1
"""Before the most urgent priority, which is 0."""


class Feasibility(IntEnum):
    """What a job can still reach if the step starts now."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


def critical_path_ms(job: JobRun) -> int:
    """Return the declared time of a job's longest chain of steps."""
    return max(job.remaining_path_ms, default=0)


def objective_ms(job: JobRun) -> float:
    """Return the time within which a job should be completed."""
    return job.queue.stretch * critical_path_ms(job) + job.queue.target_ms


def assess_feasibility(step: StepRun, now: Instant) -> Feasibility:
    """Return what a step's job can still reach by its declared times.

    The time that the step and those after it take counts, so room is not spent on
    work that will miss its objective anyhow while other work could still meet it.
    """
    if step.spec.long_running:
        return Feasibility.IN_TIME
    start = _objective_start(step)
    if start is None:
        return Feasibility.IN_TIME
    objective = objective_ms(step.job)
    completion_ms = now - start + step.job.remaining_path_ms[step.key.step]
    if completion_ms <= objective:
        return Feasibility.IN_TIME
    if completion_ms <= LATE_FACTOR * objective:
        return Feasibility.LATE
    return Feasibility.TOO_LATE


def is_in_time(step: StepRun, now: Instant) -> bool:
    """Return whether a step's job may still meet its objective."""
    return assess_feasibility(step, now) is Feasibility.IN_TIME


def order_steps(steps: Iterable[StepRun], now: Instant) -> list[StepRun]:
    """Return waiting steps, the first to be served first.

    Work that can reach nothing any more takes what the rest leaves. Work beyond a
    team's share comes before it, after all within the shares. Then the priority
    decides. Within a priority, work that can only be late comes after work that can
    be in time, and the nearest objective comes first.

    Less urgent work that will soon be late goes before more urgent work of its pool
    that is certainly late, as a backlog of that would make all work behind it late.
    Work with time to spare waits, as it would only have to be stopped again for the
    next urgent job.

    Parameters
    ----------
    steps : iterable of StepRun
        Steps with waiting tasks.
    now : Instant
        Time.

    Returns
    -------
    list of StepRun
        All of them.
    """
    assessed = [(step, assess_feasibility(step, now)) for step in steps]
    at_risk_priorities: dict[str, int] = {}
    for step, _ in assessed:
        queue = step.job.queue
        if _is_at_risk(step, now):
            current = at_risk_priorities.get(queue.service, NO_PRIORITY)
            at_risk_priorities[queue.service] = max(current, queue.priority)
    assessed.sort(key=lambda pair: _order_key(*pair, now, at_risk_priorities))
    return [step for step, _ in assessed]


def _order_key(
    step: StepRun,
    feasibility: Feasibility,
    now: Instant,
    at_risk_priorities: dict[str, int],
) -> tuple:
    """Return the position of a step, the smallest first.

    `pressing` holds, by pool, the priority of the least urgent pressing work. All
    work that may be in time and is more urgent than that comes first with it.
    """
    job = step.job
    queue = job.queue
    start = _objective_start(step)
    due = (now if start is None else start) + objective_ms(job)
    at_risk_priority = at_risk_priorities.get(queue.service, NO_PRIORITY)
    may_be_in_time = _objective_share(step, now) <= ESTIMATE_ERROR_FACTOR
    is_promoted = _is_at_risk(step, now) or (
        may_be_in_time and queue.priority < at_risk_priority
    )
    too_late = feasibility is Feasibility.TOO_LATE
    return (too_late, job.over_share, not is_promoted, queue.priority, feasibility, due)


def _is_at_risk(step: StepRun, now: Instant) -> bool:
    """Return whether a step that can be in time has little time to spare."""
    if step.job.over_share:
        return False
    return AT_RISK_SHARE < _objective_share(step, now) <= 1.0


def _objective_share(step: StepRun, now: Instant) -> float:
    """Return the share of its objective that a job takes if the step starts now."""
    start = _objective_start(step)
    if start is None or step.spec.long_running:
        return 0.0
    completion_ms = now - start + step.job.remaining_path_ms[step.key.step]
    return completion_ms / max(1.0, objective_ms(step.job))


def _objective_start(step: StepRun) -> Instant | None:
    """Return when the step's objective began to count, None if it has not."""
    job = step.job
    return step.ready_at if job.spec.is_scheduled else job.seen_at
