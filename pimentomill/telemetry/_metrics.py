"""Counters and histograms that can be read from the process."""

import json

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

__all__ = ["Metrics"]

SCOPE = "pimentomill"


class Metrics:
    """Metrics of one process.

    Attributes
    ----------
    accepted_, refused_, requests_, commands_, control_bytes_ : Counter
        Hand-ins kept and refused, requests by outcome, commands to workers,
        and bytes of control traffic.
    """

    def __init__(self) -> None:
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        meter = self._provider.get_meter(SCOPE)
        self.accepted_ = meter.create_counter("jobs_accepted", "1")
        self.refused_ = meter.create_counter("jobs_refused", "1")
        self.requests_ = meter.create_counter("requests", "1")
        self.commands_ = meter.create_counter("worker_commands", "1")
        self.reports_ = meter.create_counter("worker_reports", "1")
        self.failures_ = meter.create_counter("unexpected_errors", "1")

    def read_json(self) -> bytes:
        """Return the present values as JSON, empty before the first."""
        data = self._reader.get_metrics_data()
        if data is None:
            return b"{}"
        return json.dumps(json.loads(data.to_json()), indent=None).encode()
