"""Why a step waits, for the log."""

from ..dispatch import QuotaBook, StepRun
from ..fleet import Worker
from ..utils import Instant

__all__ = ["why_waiting"]


def why_waiting(
    step: StepRun, workers: list[Worker], quotas: QuotaBook, now: Instant
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
            cause = _cause(step, worker, now)
            causes[cause] = int(causes.get(cause, 0)) + 1
    return causes


def _cause(step: StepRun, worker: Worker, now: Instant) -> str:
    name = worker.info.worker
    policy = step.job.queue.advice
    if not worker.is_listed or worker.info.is_draining:
        return "leaving"
    if not worker.is_reachable:
        return "silent"
    if policy is not None and name not in step.asked:
        return "not asked about"
    if policy is not None and name not in step.allowed:
        return "not allowed"
    if now < worker.avoid_until:
        return "avoided"
    if not step.spec.reserved.fits_in(worker.free):
        return f"full ({worker.free.describe()} free)"
    ticket = step.tickets.get(name)
    if policy is not None and (ticket is None or ticket.valid_until <= now):
        return "no ticket"
    return "usable"
