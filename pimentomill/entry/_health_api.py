"""Health and readiness endpoints, shared by both HTTP ports of an entry."""

from http import HTTPStatus

from ..http import HttpRequest, HttpResponse, Router
from ._actor import CoreHandle

__all__ = ["add_health_routes"]


def add_health_routes(router: Router, core: CoreHandle) -> None:
    """Add ``/healthz`` and ``/readyz`` to a router.

    Parameters
    ----------
    router : Router
        Router to extend.
    core : CoreHandle
        The core of the entry.
    """

    def answer_health(req: HttpRequest) -> HttpResponse:
        return HttpResponse.json(core.ask(lambda c: c.health()))

    def answer_readiness(req: HttpRequest) -> HttpResponse:
        health = core.ask(lambda c: c.health())
        status = HTTPStatus.OK if health.is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return HttpResponse.json(health, status)

    router.add("GET", "/healthz", answer_health)
    router.add("GET", "/readyz", answer_readiness)
