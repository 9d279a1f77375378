"""Which runs should be stopped and begun elsewhere."""

import statistics

from ..dispatch import StepRun
from ..fleet import Attempt, AttemptPhase
from ..utils import Instant

__all__ = ["is_straggler", "is_stuck", "must_leave"]

STUCK_MS = 1700
"""Milliseconds without a percent of progress after which a run counts as stuck: the
longest tasks gain a percent each 140 ms, on a worker that is eight times slower each
1.1 s."""
SLOW_FACTOR = 2.5
"""Multiple of its siblings' time from which a run counts as slow: kinds of workers
differ by 1.3, tasks of one step by 15 %, and a wrong rack costs up to 3 once."""
RESTART_MS = 250
"""Milliseconds that a stop and a new start take."""
MIN_SHARE = 0.8
"""Share of its siblings' time that a run gets before it is judged."""
MIN_SIBLINGS = 1
"""Tasks of the same step that must be done before one is called slow."""
LEAVE_MARGIN_MS = 300
"""Milliseconds before the end of a leaving worker at which everything is stopped: a
run that ends with its worker is given up only when its lease has lapsed."""
YOUNG_PERCENT = 30
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
    if step.spec.gang or attempt.pace < 100 or step.spec.uses_idle_cpu:
        return False
    return now - attempt.last_progress_at > STUCK_MS


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
    if spec.gang or spec.long_running or spec.uses_idle_cpu:
        return False
    if len(step.durations) < MIN_SIBLINGS:
        return False
    usual = statistics.median(step.durations)
    if now - attempt.started_at < MIN_SHARE * usual:
        return False
    remaining = attempt.remaining_ms(now)
    if remaining is None or attempt.percent >= 100:
        return False
    whole = remaining * 100 / (100 - attempt.percent)
    anew = usual + RESTART_MS
    if spec.checkpointed:
        anew = usual * (100 - attempt.percent) / 100 + RESTART_MS
    return whole > SLOW_FACTOR * usual and remaining > anew


def must_leave(attempt: Attempt, step: StepRun, now: Instant) -> bool:
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
    left = attempt.worker.earliest_leave_at - now
    if step.spec.long_running:
        return True
    remaining = attempt.remaining_ms(now)
    if remaining is not None and remaining < left:
        return False
    if left <= LEAVE_MARGIN_MS or step.spec.checkpointed:
        return True
    return 0 <= attempt.percent <= YOUNG_PERCENT and remaining is not None
