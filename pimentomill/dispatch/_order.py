"""Which waiting step comes first."""

from collections.abc import Iterable
from enum import IntEnum

from ..utils import Instant
from ._state import JobRun, StepRun

__all__ = [
    "LATE_FACTOR",
    "Prospect",
    "chain_ms",
    "in_order",
    "is_in_time",
    "objective_ms",
    "prospect",
]

LATE_FACTOR = 3
"""A job earns less after its objective and nothing after this multiple of it."""
PRESSING_SHARE = 0.5
"""Share of its objective from which a job that can be in time has to go on: the rest is
for room to become free, as long runs leave no gap for longer."""
ROUGH_FACTOR = 1.5
"""Multiple of its objective up to which a job may be in time after all: the times that
callers declare are rough, often by half."""
NO_PRIORITY = -1
"""Before the most urgent priority, which is 0."""


class Prospect(IntEnum):
    """What a job can still reach if the step starts now."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


def chain_ms(job: JobRun) -> int:
    """Return the declared time of a job's longest chain of steps."""
    return max(job.tails_ms, default=0)


def objective_ms(job: JobRun) -> float:
    """Return the time within which a job should be completed."""
    return job.queue.stretch * chain_ms(job) + job.queue.target_ms


def prospect(step: StepRun, now: Instant) -> Prospect:
    """Return what a step's job can still reach by its declared times.

    The time that the step and those after it take counts, so room is not spent on
    work that will miss its objective anyhow while other work could still meet it.
    """
    if step.spec.long_running:
        return Prospect.IN_TIME
    since = _since(step)
    if since is None:
        return Prospect.IN_TIME
    objective = objective_ms(step.job)
    needed = now - since + step.job.tails_ms[step.key.step]
    if needed <= objective:
        return Prospect.IN_TIME
    if needed <= LATE_FACTOR * objective:
        return Prospect.LATE
    return Prospect.TOO_LATE


def is_in_time(step: StepRun, now: Instant) -> bool:
    """Return whether a step's job may still meet its objective."""
    return prospect(step, now) is Prospect.IN_TIME


def in_order(steps: Iterable[StepRun], now: Instant) -> list[StepRun]:
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
    found = [(step, prospect(step, now)) for step in steps]
    pressing: dict[str, int] = {}
    for step, _ in found:
        queue = step.job.queue
        if _is_pressing(step, now):
            before = pressing.get(queue.service, NO_PRIORITY)
            pressing[queue.service] = max(before, queue.priority)
    found.sort(key=lambda pair: _order_key(*pair, now, pressing))
    return [step for step, _ in found]


def _order_key(
    step: StepRun, outlook: Prospect, now: Instant, pressing: dict[str, int]
) -> tuple:
    """Return the position of a step, the smallest first.

    `pressing` holds, by pool, the priority of the least urgent pressing work. All
    work that may be in time and is more urgent than that comes first with it.
    """
    job = step.job
    queue = job.queue
    since = _since(step)
    due = (now if since is None else since) + objective_ms(job)
    least_urgent = pressing.get(queue.service, NO_PRIORITY)
    may_be_in_time = _use_of_objective(step, now) <= ROUGH_FACTOR
    goes_on = _is_pressing(step, now) or (
        may_be_in_time and queue.priority < least_urgent
    )
    too_late = outlook is Prospect.TOO_LATE
    return (too_late, job.over_share, not goes_on, queue.priority, outlook, due)


def _is_pressing(step: StepRun, now: Instant) -> bool:
    """Return whether a step that can be in time has little time to spare."""
    if step.job.over_share:
        return False
    return PRESSING_SHARE < _use_of_objective(step, now) <= 1.0


def _use_of_objective(step: StepRun, now: Instant) -> float:
    """Return the share of its objective that a job takes if the step starts now."""
    since = _since(step)
    if since is None or step.spec.long_running:
        return 0.0
    needed = now - since + step.job.tails_ms[step.key.step]
    return needed / max(1.0, objective_ms(step.job))


def _since(step: StepRun) -> Instant | None:
    """Return when the step's objective began to count, None if it has not."""
    job = step.job
    return step.ready_at if job.spec.is_scheduled else job.seen_at
