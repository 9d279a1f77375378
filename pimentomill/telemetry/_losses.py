"""Why jobs missed their objectives, worked out from the logs of the entries."""

import enum
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["LossCause", "QueueLosses", "compute_losses", "render_losses"]

JOB_PATTERN = re.compile(r"job='(\w+)'")
LONG_WAIT_SHARE = 0.3
"""Share of its objective from which the wait of a late job counts as the cause."""
TICKET_WAIT_SHARE = 0.6
"""Share of the wait for the first start that passed before the first answer of the
placement policy, from which the policy counts as the cause."""
MS_PER_S = 1000
FINISHED_FIELDS = ("queue", "state", "took_ms", "objective_ms")
COMPLETED = "completed"
STARTED = "started"
FAILED = "failed"
JOB_STOP_PREFIX = "job "
"""Stop orders that follow from the end of the job begin with this."""


class LossCause(enum.Enum):
    """Main cause of a job's lateness."""

    LEADER_CHANGE = "waited across a change of the leader"
    TICKET = "waited for the placement policy"
    CAPACITY = "waited for free capacity"
    FAILED_RUN = "a run failed"
    STOPPED = "a run was stopped"
    START_UNKNOWN = "a start was not confirmed"
    LATE_TASK = "a later task waited"
    RAN_LONG = "ran longer than declared"


class QueueLosses(NamedTuple):
    """Finished jobs of one queue.

    Parameters
    ----------
    queue : str
        Name of the queue.
    states : Counter
        Number of jobs by final state.
    in_time : int
        Completed jobs that met their objective, by their declared durations.
    causes : Counter
        Number of late jobs by `LossCause`.
    """

    queue: str
    states: Counter
    in_time: int
    causes: Counter


class _JobTrace:
    """What the logs tell of one job; all times are in seconds."""

    def __init__(self) -> None:
        self.starts: list[tuple[float, str]] = []
        self.failed_runs = 0
        self.stops: Counter = Counter()
        self.policy_answers: list[float] = []
        self.finished: dict | None = None
        self.finished_at = 0.0


class _LogReader:
    """Collects the traces of all jobs from log lines."""

    def __init__(self) -> None:
        self.jobs: defaultdict[str, _JobTrace] = defaultdict(_JobTrace)
        self.leaderships: list[float] = []

    def read(self, line: str) -> None:
        """Apply one line; lines that are no log entries are passed over."""
        begin = line.find("{")
        if begin < 0:
            return
        try:
            entry = json.loads(line[begin:])
        except json.JSONDecodeError:
            return
        if not isinstance(entry, dict) or "timestamp" not in entry:
            return
        try:
            self._apply(entry, float(entry["timestamp"]))
        except (KeyError, TypeError, ValueError):
            # Lines of other builds may lack fields; they are passed over as well.
            return

    def _apply(self, entry: dict, at: float) -> None:
        text = entry.get("text")
        if text == "orders: Start order finished":
            self._trace(entry, "task").starts.append((at, entry["outcome"]))
        elif text == "orders: Stop order finished":
            self._trace(entry, "task").stops[entry["why"]] += 1
        elif text == "cell: Run ended":
            self._trace(entry, "task").failed_runs += entry["how"] == FAILED
        elif text == "advice: Policy query answered":
            self._trace(entry, "step").policy_answers.append(at)
        elif text == "control: Leadership started":
            self.leaderships.append(at)
        elif text == "cell: Job finished":
            trace = self.jobs[entry["job"]]
            trace.finished = {key: entry[key] for key in FINISHED_FIELDS}
            trace.finished_at = at

    def _trace(self, entry: dict, key: str) -> _JobTrace:
        found = JOB_PATTERN.search(str(entry.get(key)))
        return self.jobs[found[1] if found else ""]


def compute_losses(lines: Iterable[str]) -> list[QueueLosses]:
    """Return the finished jobs of each queue and the causes of lateness.

    Parameters
    ----------
    lines : iterable of str
        Log lines of all entries, in any order. Anything before the first brace of a
        line is ignored, and so are lines that are not JSON.

    Returns
    -------
    list of QueueLosses
        One per queue, the one with the most late jobs first.
    """
    reader = _LogReader()
    for line in lines:
        reader.read(line)
    queues: dict[str, QueueLosses] = {}
    for trace in reader.jobs.values():
        if trace.finished is None:
            continue
        name = trace.finished["queue"]
        losses = queues.get(name) or QueueLosses(name, Counter(), 0, Counter())
        losses.states[trace.finished["state"]] += 1
        if trace.finished["state"] == COMPLETED:
            if trace.finished["took_ms"] <= trace.finished["objective_ms"]:
                losses = losses._replace(in_time=losses.in_time + 1)
            else:
                losses.causes[_find_cause(trace, reader.leaderships)] += 1
        queues[name] = losses
    return sorted(queues.values(), key=lambda item: -item.causes.total())


def _find_cause(trace: _JobTrace, leaderships: list[float]) -> LossCause:
    """Return the main cause of a late job: what it waited for first, if for long."""
    took_ms = trace.finished["took_ms"]
    objective_ms = trace.finished["objective_ms"]
    seen_at = trace.finished_at - took_ms / MS_PER_S
    started = [at for at, outcome in trace.starts if outcome == STARTED]
    first = min(started, default=trace.finished_at)
    wait_ms = (first - seen_at) * MS_PER_S
    long_wait_ms = LONG_WAIT_SHARE * objective_ms
    if wait_ms > min(took_ms - objective_ms, long_wait_ms):
        return _find_wait_cause(trace, leaderships, seen_at, first)
    last = max(started, default=first)
    causes = {
        LossCause.FAILED_RUN: trace.failed_runs > 0,
        LossCause.STOPPED: any(
            not reason.startswith(JOB_STOP_PREFIX) for reason in trace.stops
        ),
        LossCause.LEADER_CHANGE: any(
            seen_at <= at <= trace.finished_at for at in leaderships
        ),
        LossCause.START_UNKNOWN: len(started) < len(trace.starts),
        LossCause.LATE_TASK: (last - first) * MS_PER_S > long_wait_ms,
    }
    applies = (cause for cause, found in causes.items() if found)
    return next(applies, LossCause.RAN_LONG)


def _find_wait_cause(
    trace: _JobTrace, leaderships: list[float], seen_at: float, first: float
) -> LossCause:
    if any(seen_at <= at <= first for at in leaderships):
        return LossCause.LEADER_CHANGE
    answered = min(trace.policy_answers, default=seen_at)
    if answered - seen_at > TICKET_WAIT_SHARE * (first - seen_at):
        return LossCause.TICKET
    return LossCause.CAPACITY


def render_losses(losses: list[QueueLosses]) -> str:
    """Return a report with a paragraph for each queue."""
    lines = []
    for item in losses:
        states = ", ".join(f"{count} {name}" for name, count in item.states.items())
        late = item.causes.total()
        lines.append(f"{item.queue}: {states}; {item.in_time} in time, {late} late")
        lines += [
            f"  {count:>6} {cause.value}" for cause, count in item.causes.most_common()
        ]
    return "\n".join(lines) or "the logs tell of no finished job"
