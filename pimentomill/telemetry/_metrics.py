"""Counters that are read from within the process."""

import json

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from ..utils import TrafficMeter

__all__ = ["Metrics"]

SCOPE = "pimentomill"


class Metrics:
    """Metrics of one process.

    Parameters
    ----------
    meter : TrafficMeter
        Counts the bytes of control traffic.

    Attributes
    ----------
    accepted_, rejected_, requests_ : Counter
        Accepted and rejected submissions, and requests by outcome.
    commands_, reports_, unexpected_errors_ : Counter
        Commands to workers, their reports, and unexpected errors.
    """

    def __init__(self, meter: TrafficMeter) -> None:
        self.meter = meter
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        otel_meter = self._provider.get_meter(SCOPE)
        self.accepted_ = otel_meter.create_counter("jobs_accepted", "1")
        self.rejected_ = otel_meter.create_counter("jobs_refused", "1")
        self.requests_ = otel_meter.create_counter("requests", "1")
        self.commands_ = otel_meter.create_counter("worker_commands", "1")
        self.reports_ = otel_meter.create_counter("worker_reports", "1")
        self.unexpected_errors_ = otel_meter.create_counter("unexpected_errors", "1")

        self._closed_connections = otel_meter.create_counter("closed_connections", "1")
        otel_meter.create_observable_counter(
            "control_bytes", [self._observe_traffic], "By"
        )

    def record_closed_connection(self, reason: str) -> None:
        """Record a connection closed, or a request refused, before its answer."""
        self._closed_connections.add(1, {"reason": reason})

    def _observe_traffic(self, options: CallbackOptions) -> list[Observation]:
        return [
            Observation(self.meter.sent_, {"direction": "sent"}),
            Observation(self.meter.received_, {"direction": "received"}),
        ]

    def read_json(self) -> bytes:
        """Return the current values as JSON; an empty object if there are none yet."""
        data = self._reader.get_metrics_data()
        if data is None:
            return b"{}"
        return json.dumps(json.loads(data.to_json()), indent=None).encode()
