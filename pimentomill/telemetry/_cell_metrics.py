"""Counters and histograms of a cell's entry, exported to Prometheus."""

from collections.abc import Callable, Iterator, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import CollectorRegistry, generate_latest

__all__ = ["CellMetrics"]

SCOPE = "pimentomill"
BUCKETS_MS = (5, 10, 20, 40, 80, 160, 320, 640, 1280, 2560, 5120, 10240, 20480)
"""Upper bucket bounds of the latency histograms, doubling at each step."""

TEAM_GAUGES = ("team_current_share", "team_past_share", "team_past_use_factor")
"""Gauges of each team, in the order of the values passed to `set_team_usage`."""
CALLER_GAUGES = ("caller_connections", "caller_held_bytes")
"""Gauges of all callers, in the order of the values read by `watch_callers`."""


class CellMetrics:
    """Metrics of one process.

    Notes
    -----
    Each process counts only its own decisions; jobs and runs are counted by the
    leader only.

    Examples
    --------
    >>> metrics = CellMetrics()
    >>> metrics.record_request("POST", 200, 12.0)
    >>> 'requests_total{method="POST"' in metrics.render().decode()
    True
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        buckets = ExplicitBucketHistogramAggregation(BUCKETS_MS)
        self._provider = MeterProvider(
            metric_readers=[reader],
            views=[View(instrument_name="*_ms", aggregation=buckets)],
        )
        meter = self._provider.get_meter(SCOPE)
        self._requests = meter.create_counter("requests")
        self._request_ms = meter.create_histogram("request_ms")
        self._store_calls = meter.create_counter("store_calls")
        self._store_ms = meter.create_histogram("store_ms")
        self._starts = meter.create_counter("starts")
        self._start_wait_ms = meter.create_histogram("start_wait_ms")
        self._ends = meter.create_counter("ends")
        self._policy_queries = meter.create_counter("questions")
        self._policy_answers = meter.create_counter("policy_answers")
        self._policy_query_ms = meter.create_histogram("question_ms")
        self._jobs = meter.create_counter("jobs_finished")
        self._job_ms = meter.create_histogram("job_ms")
        self._withdrawn_starts = meter.create_counter("starts_withdrawn")
        self._held_back = meter.create_counter("starts_held_back")
        self._evacuations = meter.create_counter("evacuations")
        self._evacuated = meter.create_up_down_counter("evacuated_data_centres")
        self._refusals = meter.create_counter("submissions_refused")
        self._terms = meter.create_counter("leader_terms")
        self._past_use_changes = meter.create_counter("past_use_changes")
        self._team_usage: Mapping[str, tuple[float, float, float]] = {}
        for index, name in enumerate(TEAM_GAUGES):
            meter.create_observable_gauge(name, [self._observe_teams(index)])
        self._slow_runs = meter.create_counter("slow_runs")
        self._closed_connections = meter.create_counter("closed_connections")
        self._caller_usage: Callable[[], tuple[int, int]] = lambda: (0, 0)
        for index, name in enumerate(CALLER_GAUGES):
            meter.create_observable_gauge(name, [self._observe_callers(index)])

    def record_request(self, method: str, status: int, duration_ms: float) -> None:
        """Record an answered request of a caller and its latency."""
        self._requests.add(1, {"method": method, "status": str(status)})
        self._request_ms.record(duration_ms, {"method": method})

    def record_store_call(self, call: str, outcome: str, duration_ms: float) -> None:
        """Record a call to the store and its latency."""
        self._store_calls.add(1, {"call": call, "outcome": outcome})
        self._store_ms.record(duration_ms, {"call": call})

    def record_run_start(self, outcome: str, wait_ms: float) -> None:
        """Record an order to start a run; `wait_ms` counts from the submission."""
        self._starts.add(1, {"outcome": outcome})
        self._start_wait_ms.record(wait_ms)

    def record_withdrawn_start(self, reason: str) -> None:
        """Record a planned start whose order was not sent."""
        self._withdrawn_starts.add(1, {"reason": reason})

    def record_held_back(self, reason: str) -> None:
        """Record that a leader has begun to hold all starts back."""
        self._held_back.add(1, {"reason": reason})

    def record_refusal(self, queue: str, reason: str) -> None:
        """Record a submission that was refused under overload."""
        self._refusals.add(1, {"queue": queue, "reason": reason})

    def record_evacuation(self, data_centre: str, has_begun: bool) -> None:
        """Record the begin or the end of an evacuation as read by this entry."""
        event = "begun" if has_begun else "ended"
        self._evacuations.add(1, {"event": event})
        self._evacuated.add(1 if has_begun else -1, {"data_centre": data_centre})

    def record_run_end(self, kind: str) -> None:
        """Record the end of a run."""
        self._ends.add(1, {"kind": kind})

    def record_slow_run(self, outcome: str) -> None:
        """Record what was decided on a slow run, or what its restart has brought.

        Parameters
        ----------
        outcome : str
            `stopped`, `long_task` if the worker's other runs are normal, or at the end
            of the next run of a stopped task `restart_faster` or `false_positive`.
        """
        self._slow_runs.add(1, {"outcome": outcome})

    def record_policy_query(
        self, outcome: str, duration_ms: float, reason: str = ""
    ) -> None:
        """Record a policy query for a queue, its latency and its reason if any."""
        labels = {"outcome": outcome}
        if reason:
            labels["reason"] = reason
        self._policy_queries.add(1, labels)
        self._policy_query_ms.record(duration_ms)

    def record_policy_answer(self, reason: str, is_used: bool) -> None:
        """Record an answer of a step that has ended, and whether a run used it."""
        self._policy_answers.add(1, {"reason": reason, "used": str(is_used).lower()})

    def record_job(
        self, queue: str, team: str, state: str, in_time: bool, duration_ms: float
    ) -> None:
        """Record a finished job and whether it met its objective."""
        labels = {"queue": queue, "team": team, "state": state}
        self._jobs.add(1, {**labels, "in_time": str(in_time).lower()})
        self._job_ms.record(duration_ms, {"queue": queue})

    def record_closed_connection(self, reason: str) -> None:
        """Record a connection closed, or a request refused, before its answer."""
        self._closed_connections.add(1, {"reason": reason})

    def watch_callers(self, read_usage: Callable[[], tuple[int, int]]) -> None:
        """Export what callers hold.

        Parameters
        ----------
        read_usage : callable
            Returns the number of callers' connections and the bytes they hold.
        """
        self._caller_usage = read_usage

    def record_leader_term(self) -> None:
        """Record the start of a term as leader."""
        self._terms.add(1)

    def record_past_use_change(self, pool: str) -> None:
        """Record that past use put another team first in a pool."""
        self._past_use_changes.add(1, {"pool": pool})

    def set_team_usage(self, usage: Mapping[str, tuple[float, float, float]]) -> None:
        """Replace the gauges of all teams.

        Parameters
        ----------
        usage : mapping of str to tuple of float
            Dominant share of the cell in use, mean share used in the past and factor
            on the weight, by team. Empty on an entry that does not lead.
        """
        self._team_usage = usage

    def _observe_teams(self, index: int):
        def observe(_: CallbackOptions) -> Iterator[Observation]:
            for team, values in self._team_usage.items():
                yield Observation(values[index], {"team": team})

        return observe

    def _observe_callers(self, index: int):
        def observe(_: CallbackOptions) -> Iterator[Observation]:
            yield Observation(self._caller_usage()[index])

        return observe

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
