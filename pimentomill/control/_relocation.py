"""Rules for runs that should be stopped and restarted elsewhere."""

import statistics

from ..dispatch import StepRun
from ..fleet import Attempt, AttemptPhase
from ..utils import Instant

__all__ = ["is_straggler", "is_stuck", "must_evacuate"]

STUCK_MS = 1700
"""Time without a percent of progress after which a run is stuck. The longest tasks gain
a percent every 140 ms, or every 1.1 s on a worker that is eight times slower."""
STRAGGLER_FACTOR = 2.5
"""Multiple of its siblings' duration above which a run is a straggler. Kinds of workers
differ by a factor of 1.3, tasks of one step by 15 %, and a wrong rack costs up to 3
once."""
RESTART_MS = 250
"""Time that a stop and a new start take."""
MIN_ELAPSED_RATIO = 0.8
"""Fraction of its siblings' duration that a run gets before it is judged."""
MIN_SIBLINGS = 1
"""Finished tasks of the same step that are needed to detect a straggler."""
EVACUATION_MARGIN_MS = 300
"""Time before the end of a draining worker at which runs that would not finish are
stopped: a run that is lost with its worker is released only when the lease expires."""
MAX_RESTART_PERCENT = 30
"""Progress up to which a run without checkpoints is restarted rather than risked."""


def is_stuck(attempt: Attempt, step: StepRun | None, now: Instant) -> bool:
    """Return whether a run makes no progress.

    Parameters
    ----------
    attempt : Attempt
        Run whose latest report shows no new progress.
    step : StepRun or None
        Its step, None if the job is unknown.
    now : Instant
        Current time.
    """
    if step is None or attempt.phase is not AttemptPhase.RUNNING:
        return False
    if step.spec.long_running and attempt.percent >= 100:
        return False
    if step.spec.gang or attempt.pace < 100 or step.spec.uses_idle_cpu:
        return False
    return now - attempt.last_progress_at > STUCK_MS


def is_straggler(attempt: Attempt, step: StepRun, now: Instant) -> bool:
    """Return whether a run would finish sooner if it restarted elsewhere.

    Parameters
    ----------
    attempt : Attempt
        Run whose latest report shows progress.
    step : StepRun
        Its step, whose tasks take about the same time.
    now : Instant
        Current time.
    """
    spec = step.spec
    if attempt.phase is not AttemptPhase.RUNNING or attempt.pace < 100:
        return False
    if spec.gang or spec.long_running or spec.uses_idle_cpu:
        return False
    if len(step.durations) < MIN_SIBLINGS:
        return False
    median_ms = statistics.median(step.durations)
    if now - attempt.started_at < MIN_ELAPSED_RATIO * median_ms:
        return False
    remaining_ms = attempt.remaining_ms(now)
    if remaining_ms is None or attempt.percent >= 100:
        return False
    projected_ms = remaining_ms * 100 / (100 - attempt.percent)
    restarted_ms = median_ms + RESTART_MS
    if spec.checkpointed:
        restarted_ms = median_ms * (100 - attempt.percent) / 100 + RESTART_MS
    return projected_ms > STRAGGLER_FACTOR * median_ms and remaining_ms > restarted_ms


def must_evacuate(attempt: Attempt, step: StepRun, now: Instant) -> bool:
    """Return whether a run on a draining worker has to move now.

    Parameters
    ----------
    attempt : Attempt
        Run on a worker whose end is known.
    step : StepRun
        Its step.
    now : Instant
        Current time.
    """
    if attempt.phase is not AttemptPhase.RUNNING:
        return False
    left_ms = attempt.worker.earliest_leave_at - now
    if step.spec.long_running:
        return True
    remaining_ms = attempt.remaining_ms(now)
    if remaining_ms is not None and remaining_ms < left_ms:
        return False
    if left_ms <= EVACUATION_MARGIN_MS or step.spec.checkpointed:
        return True
    return 0 <= attempt.percent <= MAX_RESTART_PERCENT and remaining_ms is not None
