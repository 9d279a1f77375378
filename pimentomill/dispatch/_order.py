"""Which waiting step comes first."""

from enum import IntEnum

from ..utils import Instant
from ._state import JobRun, StepRun

__all__ = [
    "LATE_FACTOR",
    "Prospect",
    "chain_ms",
    "is_in_time",
    "objective_ms",
    "order_key",
    "prospect",
]

LATE_FACTOR = 3
"""A job earns less after its objective and nothing after this multiple of it."""


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


def order_key(step: StepRun, now: Instant) -> tuple:
    """Return the position of a step, the smallest first.

    Work that can reach nothing any more takes what the rest leaves. Work beyond a
    team's share comes before it, after all within the shares. Then the priority
    decides. Within a priority, work that can only be late comes after work that can
    be in time, and the nearest objective comes first.
    """
    job = step.job
    outlook = prospect(step, now)
    since = _since(step)
    due = (now if since is None else since) + objective_ms(job)
    too_late = outlook is Prospect.TOO_LATE
    return (too_late, job.over_share, job.queue.priority, outlook, due)


def _since(step: StepRun) -> Instant | None:
    """Return when the step's objective began to count, None if it has not."""
    job = step.job
    return step.ready_at if job.spec.is_scheduled else job.seen_at
