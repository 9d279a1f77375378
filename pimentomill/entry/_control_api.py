"""HTTP interface for worker reports and for monitoring an entry."""

from http import HTTPStatus

from ..http import HttpRequest, HttpResponse, Router
from ..telemetry import Metrics
from ..utils import TrafficMeter
from ..workers import WorkerReport
from ._actor import CoreHandle
from ._health_api import add_health_routes

__all__ = ["ControlApi"]


class ControlApi:
    """Serve worker reports, metrics, health and readiness.

    Parameters
    ----------
    core : CoreHandle
        The core of this entry.
    metrics : Metrics
        Counters.
    meter : TrafficMeter
        Counts bytes of control traffic.
    """

    def __init__(self, core: CoreHandle, metrics: Metrics, meter: TrafficMeter) -> None:
        self.core = core
        self.metrics = metrics
        self.meter = meter

    def router(self) -> Router:
        """Return the router of the control interface."""
        router = Router(meter=self.meter)
        router.add("POST", "/v1/reports", self._report)
        router.add("GET", "/metrics", self._metrics)
        add_health_routes(router, self.core)
        return router

    def _report(self, req: HttpRequest) -> HttpResponse:
        report = req.decode(WorkerReport)
        reply = self.core.ask(lambda core: core.on_report(report))
        self.metrics.reports_.add(1)
        return HttpResponse.json(reply)

    def _metrics(self, req: HttpRequest) -> HttpResponse:
        return HttpResponse(HTTPStatus.OK, self.metrics.read_json())
