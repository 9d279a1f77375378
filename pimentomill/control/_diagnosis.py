"""Why a step waits, for the log."""

from ..dispatch import Plan, QuotaBook, StepRun
from ..fleet import Worker
from ..utils import Instant

__all__ = ["NOT_ALLOWED", "why_waiting"]

NOT_ALLOWED = "not allowed"


def why_waiting(
    step: StepRun, workers: list[Worker], quotas: QuotaBook, plan: Plan, now: Instant
) -> dict[str, int | str]:
    """Return how many workers of the step's pool fall out, and by which cause.

    Parameters
    ----------
    step : StepRun
        Step with waiting tasks.
    workers : list of Worker
        All workers.
    quotas : QuotaBook
        Limits of teams.
    plan : Plan
        Last plan.
    now : Instant
        Time.

    Returns
    -------
    dict
        Count of workers by cause, and ``limit`` if the team's limit is reached.
    """
    causes: dict[str, int | str] = {}
    if not quotas.allows(step.job.accepted.team, step.spec.need):
        causes["limit"] = step.job.accepted.team
    for worker in workers:
        if worker.info.service == step.job.queue.service:
            cause = _cause(step, worker, plan, now)
            causes[cause] = int(causes.get(cause, 0)) + 1
    return causes


def _cause(step: StepRun, worker: Worker, plan: Plan, now: Instant) -> str:
    name = worker.info.worker
    policy = step.job.queue.advice
    ticket = step.tickets.get(name)
    kept_for = plan.kept_for.get(name, step.key)
    free = worker.free
    checks = (
        (not worker.is_listed or worker.info.is_draining, "leaving"),
        (not worker.is_reachable, "silent"),
        (policy is not None and name not in step.asked, "not asked about"),
        (policy is not None and name not in step.allowed, NOT_ALLOWED),
        (now < worker.avoid_until, "avoided"),
        (not step.spec.reserved.fits_in(free), f"full ({free.describe()} free)"),
        (kept_for != step.key, f"kept for {kept_for.job}"),
        (policy and (ticket is None or ticket.valid_until <= now), "no ticket"),
    )
    return next((cause for holds, cause in checks if holds), "usable")
