"""Which waiting step comes first."""

from ..utils import Instant
from ._state import JobRun, StepRun

__all__ = ["LATE_FACTOR", "chain_ms", "is_in_time", "objective_ms", "order_key"]

LATE_FACTOR = 3
"""A job earns less after its objective and nothing after this multiple of it."""


def chain_ms(job: JobRun) -> int:
    """Return the declared time of a job's longest chain of steps."""
    ends: list[int] = []
    for spec in job.spec.steps:
        start = max((ends[number] for number in spec.depends_on), default=0)
        ends.append(start + spec.estimate_ms)
    return max(ends, default=0)


def objective_ms(job: JobRun) -> float:
    """Return the time within which a job should be completed."""
    return job.queue.stretch * chain_ms(job) + job.queue.target_ms


def is_in_time(step: StepRun, now: Instant) -> bool:
    """Return whether a step's job may still meet its objective."""
    if step.spec.long_running:
        return True
    job = step.job
    since = step.ready_at if job.spec.is_scheduled else job.seen_at
    return since is None or now - since <= objective_ms(job)


def order_key(step: StepRun, now: Instant) -> tuple:
    """Return the position of a step, the smallest first.

    Work beyond a team's share comes last. Then the priority decides. Within a
    priority, work that can no longer earn comes after work that can, and the
    nearest objective comes first.
    """
    job = step.job
    since = job.seen_at if not job.spec.is_scheduled else step.ready_at or now
    objective = objective_ms(job)
    waited = now - since
    lateness = 0
    if not step.spec.long_running:
        lateness = (waited > objective) + (waited > LATE_FACTOR * objective)
    return (job.over_share, job.queue.priority, lateness, since + objective)
