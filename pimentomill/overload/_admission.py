"""Decides whether a submission is refused while its pool is full."""

import math
import zlib
from typing import NamedTuple

from ..utils import JobId
from ._load import LoadReport, rank_work

__all__ = ["MAX_REPORT_AGE_MS", "AdmissionPolicy", "AdmissionRequest", "Refusal"]

MAX_REPORT_AGE_MS = 1000
"""Age from which a report says nothing: a pool may be empty a second later."""
WORTHLESS_FACTOR = 3
"""Multiple of its objective after which a job is of no use to its caller."""
MIN_JITTER_MS = 1000
"""Span of the times at which refused callers return. Retry-After is in whole seconds,
so a shorter one would let all of them return at the same time."""
MAX_RETRY_AFTER_S = 30
"""Upper bound of Retry-After: the load changes, and a caller gives up after four."""
MS_PER_S = 1000


class AdmissionRequest(NamedTuple):
    """Submission as far as it matters for its admission.

    Parameters
    ----------
    job : JobId
        Name of the job.
    pool : str
        Service whose workers would run it.
    team : str
        Team of the caller, empty for a public queue.
    priority : int
        Priority of the queue.
    path_ms : int
        Declared duration of the critical path in milliseconds.
    objective_ms : float
        Time in which the job should be completed, in milliseconds.
    is_deferred : bool
        Whether the job has long-running tasks or runs at scheduled times, so that it
        does not have to be completed soon.
    excess_ms : float
        Milliseconds for which the job lies beyond its team's share, 0 if within.
    """

    job: JobId
    pool: str
    team: str
    priority: int
    path_ms: int
    objective_ms: float
    is_deferred: bool
    excess_ms: float


class Refusal(NamedTuple):
    """Reason why a submission is refused, and what the decision is based on.

    Parameters
    ----------
    reason : str
        Reason, for the answer and the log.
    retry_after_s : int
        Seconds after which a retry may be accepted.
    wait_ms : int
        Predicted wait in the pool, in milliseconds.
    excess_ms : float, default=0.0
        Milliseconds for which the job lies beyond its team's share.
    epoch : int, default=0
        Epoch of the leader whose report was used.
    report_age_ms : float, default=0.0
        Age of that report in milliseconds.
    """

    reason: str
    retry_after_s: int
    wait_ms: int
    excess_ms: float = 0.0
    epoch: int = 0
    report_age_ms: float = 0.0


class AdmissionPolicy:
    """Refuses submissions of no use to their callers while the pool is full.

    Long-running and scheduled work is always accepted: it is useful whenever it runs.
    """

    def decide(
        self, req: AdmissionRequest, report: LoadReport | None, age_ms: float
    ) -> Refusal | None:
        """Return why a submission is refused, None if it is accepted.

        Parameters
        ----------
        req : AdmissionRequest
            Submission.
        report : LoadReport or None
            Newest report of the current leader, None if there is none.
        age_ms : float
            Age of the report in milliseconds.
        """
        if report is None or age_ms > MAX_REPORT_AGE_MS or req.is_deferred:
            return None
        load = report.full_pools.get(req.pool)
        if load is None:
            return None
        rank = rank_work(req.priority, is_excess=req.excess_ms > 0)
        wait_ms = load.wait_ms(rank, req.objective_ms)
        late_by_ms = wait_ms + req.path_ms - WORTHLESS_FACTOR * req.objective_ms
        if req.excess_ms > 0 and any(team != req.team for team in load.teams):
            reason, delay_ms = "team beyond its share", req.excess_ms
        elif late_by_ms > 0:
            reason, delay_ms = "job would be too late", late_by_ms
        else:
            return None
        return Refusal(
            reason,
            _retry_after_s(req.job, delay_ms),
            wait_ms,
            req.excess_ms,
            report.epoch,
            age_ms,
        )


def _retry_after_s(job: JobId, delay_ms: float) -> int:
    """Return Retry-After; its jitter depends on the job, so retries are spread."""
    position = zlib.crc32(job.encode()) / 2**32
    jitter_ms = position * max(MIN_JITTER_MS, delay_ms / 2)
    seconds = math.ceil((delay_ms + jitter_ms) / MS_PER_S)
    return max(1, min(MAX_RETRY_AFTER_S, seconds))
