"""Counts how many answers of placement policies were used by a run."""

from collections import Counter, deque
from collections.abc import Iterable
from typing import NamedTuple

from ..dispatch import StepRun
from ..jobs import WorkerId
from ..telemetry import CellMetrics, ComponentLogger
from ..utils import Instant
from ._query_choice import QueryReason

__all__ = ["AnswerLedger"]

MAX_ANSWERS = 10_000
"""Answers that are remembered; the oldest are dropped without being counted. A full
cell has 3,000 waiting tasks, few of them with more than two answers."""
REVIEW_INTERVAL_MS = 2000
"""Milliseconds between two reviews. Answers are counted only after their step has
ended, so there is no hurry, and a review looks at each of them."""

_log = ComponentLogger("advice")


class _Answer(NamedTuple):
    """Answer of a policy about one step."""

    step: StepRun
    reason: QueryReason
    allowed: tuple[WorkerId, ...]
    received_at: Instant


class AnswerLedger:
    """Answers of steps that have not ended yet, and the counts of the others.

    An answer is used if a run of its step is ordered later on a worker that it allows.

    Parameters
    ----------
    metrics : CellMetrics
        Metrics of the process.
    now : Instant
        Current time.

    Attributes
    ----------
    unused_ : Counter of QueryReason
        Answers whose step ended without having used them.
    used_ : Counter of QueryReason
        Answers that were used.
    """

    def __init__(self, metrics: CellMetrics, now: Instant) -> None:
        self.metrics = metrics
        self.unused_: Counter[QueryReason] = Counter()
        self.used_: Counter[QueryReason] = Counter()
        self._open: deque[_Answer] = deque(maxlen=MAX_ANSWERS)
        self._next_review_at = Instant(now + REVIEW_INTERVAL_MS)

    def record(
        self,
        step: StepRun,
        reason: QueryReason,
        allowed: Iterable[WorkerId],
        now: Instant,
    ) -> None:
        """Record an answer that has been received."""
        self._open.append(_Answer(step, reason, tuple(allowed), now))

    def review(self, now: Instant) -> None:
        """Count the answers of the steps that have ended, at most every 2 s."""
        if now < self._next_review_at:
            return
        self._next_review_at = Instant(now + REVIEW_INTERVAL_MS)
        used: Counter[QueryReason] = Counter()
        unused: Counter[QueryReason] = Counter()
        remaining = []
        for answer in self._open:
            if not (answer.step.is_done or answer.step.job.state.is_final):
                remaining.append(answer)
                continue
            is_used = _is_used(answer)
            (used if is_used else unused)[answer.reason] += 1
            self.metrics.record_policy_answer(answer.reason.value, is_used)
        if not used and not unused:
            return
        self._open = deque(remaining, MAX_ANSWERS)
        self.used_ += used
        self.unused_ += unused
        _log.info(
            "Policy answers of ended steps",
            used={reason.value: count for reason, count in used.items()},
            unused={reason.value: count for reason, count in unused.items()},
            open=len(self._open),
        )


def _is_used(answer: _Answer) -> bool:
    ordered_at = answer.step.ordered_at
    return any(
        worker in ordered_at and ordered_at[worker] >= answer.received_at
        for worker in answer.allowed
    )
