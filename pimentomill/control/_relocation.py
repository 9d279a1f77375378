"""Which runs should be stopped and begun elsewhere."""

import statistics

from ..dispatch import StepRun
from ..fleet import Attempt, AttemptPhase
from ..utils import Instant

__all__ = ["is_straggler", "is_stuck", "must_evacuate"]

STUCK_MS = 1700
"""Milliseconds without a percent of progress after which a run counts as stuck: the
longest tasks gain a percent each 140 ms, on a worker that is eight times slower each
1.1 s."""
STRAGGLER_FACTOR = 2.5
"""Multiple of its siblings' time from which a run counts as slow: kinds of workers
differ by 1.3, tasks of one step by 15 %, and a wrong rack costs up to 3 once."""
RESTART_MS = 250
"""Milliseconds that a stop and a new start take."""
MIN_ELAPSED_RATIO = 0.8
"""Share of its siblings' time that a run gets before it is judged."""
MIN_SIBLINGS = 1
"""Tasks of the same step that must be done before one is called slow."""
EVACUATION_MARGIN_MS = 300
"""Milliseconds before the end of a leaving worker at which everything is stopped: a
run that ends with its worker is given up only when its lease has lapsed."""
MAX_RESTART_PERCENT = 30
"""Progress up to which a run without checkpoints is begun anew rather than risked."""


def is_stuck(attempt: Attempt, step: StepRun | None, now: Instant) -> bool:
    """Return whether a run stands still.

    Parameters
    ----------
    attempt : Attempt
        Run without new progress.
    step : StepRun or None
        Its step, None if the job is not known.
    now : Instant
        Time.
    """
    if step is None or attempt.phase is not AttemptPhase.RUNNING:
        return False
    if step.spec.long_running and attempt.percent >= 100:
        return False
    if step.spec.gang or attempt.pace < 100 or step.spec.fills:
        return False
    return now - attempt.advanced_at > STUCK_MS


def is_straggler(attempt: Attempt, step: StepRun, now: Instant) -> bool:
    """Return whether a run would be done sooner if it began anew elsewhere.

    Parameters
    ----------
    attempt : Attempt
        Run with progress.
    step : StepRun
        Its step; tasks of one step take about the same time.
    now : Instant
        Time.
    """
    spec = step.spec
    if attempt.phase is not AttemptPhase.RUNNING or attempt.pace < 100:
        return False
    if spec.gang or spec.long_running or spec.fills:
        return False
    if len(step.durations) < MIN_SIBLINGS:
        return False
    median_ms = statistics.median(step.durations)
    if now - attempt.began_at < MIN_ELAPSED_RATIO * median_ms:
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
    """Return whether a run on a leaving worker has to go elsewhere now.

    Parameters
    ----------
    attempt : Attempt
        Run on a worker with a known end.
    step : StepRun
        Its step.
    now : Instant
        Time.
    """
    if attempt.phase is not AttemptPhase.RUNNING:
        return False
    left_ms = attempt.worker.leaves_at - now
    if step.spec.long_running:
        return True
    remaining_ms = attempt.remaining_ms(now)
    if remaining_ms is not None and remaining_ms < left_ms:
        return False
    if left_ms <= EVACUATION_MARGIN_MS or step.spec.checkpointed:
        return True
    return 0 <= attempt.percent <= MAX_RESTART_PERCENT and remaining_ms is not None
