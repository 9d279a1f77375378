"""Error budget consumption computed from the metrics of all entries."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from prometheus_client.parser import text_string_to_metric_families

__all__ = ["ErrorBudgetRow", "compute_burn", "render_burn"]

JOBS_FINISHED_SAMPLE = "jobs_finished_total"
EXCLUDED_STATES = frozenset({"cancelled"})


class ErrorBudgetRow(NamedTuple):
    """Error budget of the jobs of one queue and team.

    Parameters
    ----------
    queue, team : str
        Queue and team of the jobs.
    finished, in_time : int
        Finished jobs, without cancelled ones, and those that met their objective.
    target : float
        Fraction of jobs that should meet their objective.
    """

    queue: str
    team: str
    finished: int
    in_time: int
    target: float

    @property
    def in_time_ratio(self) -> float:
        """Fraction of jobs that met their objective."""
        return self.in_time / self.finished if self.finished else 1.0

    @property
    def remaining_budget(self) -> float:
        """Remaining fraction of the error budget; negative when it is exceeded."""
        allowed_misses = (1 - self.target) * self.finished
        missed = self.finished - self.in_time
        if allowed_misses <= 0:
            return 1.0 if not missed else -float(missed)
        return 1 - missed / allowed_misses


def compute_burn(texts: Iterable[str], target: float) -> list[ErrorBudgetRow]:
    """Return the error budgets by queue and team, least remaining first.

    Parameters
    ----------
    texts : iterable of str
        Metrics of each entry in the Prometheus text format.
    target : float
        Fraction of jobs that should meet their objective, above 0 and below 1.

    Examples
    --------
    >>> text = 'jobs_finished_total{queue="q",state="completed",in_time="%s"} %d'
    >>> rows = compute_burn([text % ("true", 9), text % ("false", 1)], 0.9)
    >>> rows[0].in_time_ratio, round(rows[0].remaining_budget, 1) == 0
    (0.9, True)
    """
    counts: dict[tuple[str, str], list[int]] = defaultdict(lambda: [0, 0])
    for text in texts:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                _count_sample(sample, counts)
    rows = [
        ErrorBudgetRow(queue, team, finished, in_time, target)
        for (queue, team), (finished, in_time) in counts.items()
    ]
    return sorted(rows, key=lambda row: row.remaining_budget)


def _count_sample(sample, counts: dict[tuple[str, str], list[int]]) -> None:
    labels = sample.labels
    if sample.name != JOBS_FINISHED_SAMPLE or labels.get("state") in EXCLUDED_STATES:
        return
    count = counts[(labels.get("queue", ""), labels.get("team", ""))]
    count[0] += int(sample.value)
    if labels.get("in_time") == "true" and labels.get("state") == "completed":
        count[1] += int(sample.value)


def render_burn(rows: list[ErrorBudgetRow]) -> str:
    """Render the error budgets as a table."""
    lines = ["queue                team       jobs  in time  budget left"]
    lines += [
        f"{row.queue:<20} {row.team:<10} {row.finished:>4}  "
        f"{row.in_time_ratio:>7.1%}  {row.remaining_budget:>11.0%}"
        for row in rows
    ]
    return "\n".join(lines)
