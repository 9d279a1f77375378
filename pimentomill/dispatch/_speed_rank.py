"""Rank of workers for a step by the predicted end of its tasks."""

import math
from typing import NamedTuple, Protocol

from ..jobs import WorkerId
from ..utils import Instant
from ._candidates import Candidate
from ._order import (
    AT_RISK_SHARE,
    ESTIMATE_ERROR_FACTOR,
    LATE_FACTOR,
    URGENT_PRIORITY,
    _objective_start,
    objective_ms,
)
from ._state import StepRun

__all__ = ["SpeedPreference", "SpeedRanking", "WorkerSpeeds", "speed_score"]

LOG_BAND = math.log(1.15)
"""Width of a band of predicted durations. Tasks of a step differ by 15 % or more on one
worker, so that smaller differences between workers are left to packing."""
PACKING_STEPS = 10
"""Steps per unit of misalignment within which work with slack chooses by speed. One is
a third of a worker's free capacity in one resource."""
COLD_BANDS = 1000
"""Bands by which a cold worker ranks behind warm ones for work without slack."""
ANY_BAND = 1_000_000
"""Slowest band for work that a slow worker can't make later than it is."""


class WorkerSpeeds(Protocol):
    """Predicted durations of tasks on workers.

    Attributes
    ----------
    log_far : float
        Logarithm of the factor for a task off the rack with its data.
    """

    log_far: float

    def log_slowness(self, worker: WorkerId, now: Instant) -> float:
        """Return the logarithm of the predicted factor of a worker's durations."""


class SpeedPreference(NamedTuple):
    """How a step ranks workers by their bands.

    Parameters
    ----------
    max_band : int or None
        Slowest band on which a step with slack is in time; None without slack.
    ticket_bands : int
        Bands by which the request of a ticket delays the end.
    """

    max_band: int | None
    ticket_bands: int


class SpeedRanking:
    """Ranks the candidates of a pass by bands of their predicted durations.

    The bands of a candidate are computed once in a pass and the preference of a step
    once for all candidates, as thousands of pairs are scored.

    Parameters
    ----------
    speeds : WorkerSpeeds
        Predictions.
    now : Instant
        Time of the pass.
    """

    def __init__(self, speeds: WorkerSpeeds, now: Instant) -> None:
        self.speeds = speeds
        self.now = now

    def prepare(self, candidate: Candidate) -> None:
        """Set the bands of a candidate."""
        log_factor = self.speeds.log_slowness(candidate.id, self.now)
        candidate.band = round(log_factor / LOG_BAND)
        candidate.far_band = round((log_factor + self.speeds.log_far) / LOG_BAND)

    def preference(self, step: StepRun) -> SpeedPreference | None:
        """Return how a step ranks workers, None if their speed does not matter to it.

        Urgent steps, and steps whose job is in time only on workers that are not slow,
        prefer fast workers. All others leave those to them. A task that lasts has no
        end.
        """
        if step.job.queue.priority == URGENT_PRIORITY:
            return SpeedPreference(None, _ticket_bands(step))
        if step.spec.long_running:
            return None
        max_band = self._max_band(step)
        return SpeedPreference(max_band, _ticket_bands(step))

    def _max_band(self, step: StepRun) -> int | None:
        """Return the slowest band on which a step's job is in time, None without slack.

        What the rest of the path needs counts, so that a step beside the critical path
        has more slack. Work that will be late has slack until it is worth nothing.
        """
        estimate_ms = step.spec.estimate_ms
        start = _objective_start(step)
        if start is None or estimate_ms <= 0:
            return ANY_BAND
        objective = objective_ms(step.job, step.key.occurrence)
        elapsed_ms = self.now - start
        remaining_ms = step.job.remaining_path_ms[step.key.step]
        limit_ms = AT_RISK_SHARE * objective
        completion_ms = elapsed_ms + remaining_ms
        if completion_ms > LATE_FACTOR * objective:
            return ANY_BAND
        if completion_ms > ESTIMATE_ERROR_FACTOR * objective:
            limit_ms = LATE_FACTOR * objective
        room_ms = limit_ms - elapsed_ms - (remaining_ms - estimate_ms)
        if room_ms <= estimate_ms:
            return None
        max_band = math.floor(math.log(room_ms / estimate_ms) / LOG_BAND)
        return max_band if max_band > 0 else None


def _ticket_bands(step: StepRun) -> int:
    """Return the bands by which a missing ticket delays the end of a task."""
    policy = step.job.queue.placement_policy
    if policy is None or step.spec.estimate_ms <= 0:
        return 0
    query_ms = policy.query_duration_ms(1)
    return round(math.log1p(query_ms / step.spec.estimate_ms) / LOG_BAND)


def speed_score(
    preference: SpeedPreference,
    candidate: Candidate,
    is_far: bool,
    lacks_ticket: bool,
    misalignment: float,
) -> tuple:
    """Return the part of a candidate's score that follows failures and retries.

    Parameters
    ----------
    preference : SpeedPreference
        Preference of the step.
    candidate : Candidate
        Worker with its bands.
    is_far : bool
        Whether the worker is off the rack with the step's data.
    lacks_ticket : bool
        Whether the step holds no valid ticket for the worker.
    misalignment : float
        How poorly the need of the step matches what is free.
    """
    band = candidate.far_band if is_far else candidate.band
    if preference.max_band is None:
        if candidate.is_cold:
            band += COLD_BANDS
        if lacks_ticket:
            band += preference.ticket_bands
        return (band, is_far, lacks_ticket, misalignment)
    is_too_slow = band > preference.max_band
    packing = round(misalignment * PACKING_STEPS)
    rank = band if is_too_slow else -band
    return (is_far, is_too_slow, lacks_ticket, packing, rank, misalignment)
