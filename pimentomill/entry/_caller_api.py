"""HTTP interface for callers and operators."""

from http import HTTPStatus

import msgspec

from ..admission import is_operator, resolve_team
from ..exceptions import (
    AdmissionError,
    LogUnavailableError,
    NotFoundError,
    UnauthorizedError,
    ValidationError,
)
from ..http import HttpRequest, HttpResponse, Router
from ..query import parse_statement
from ..requests import RequestResult
from ..settings import EntrySettings
from ..telemetry import ComponentLogger, Metrics
from ..utils import JobId, RequestId, ServiceName, TeamName, check_name
from ..work import RequestOutcome, Submission
from ._actor import CoreHandle
from ._health_api import add_health_routes
from ._jobs import JobService
from ._operator import OperatorService
from ._peers import HolderDirectory
from ._requests import RequestService

__all__ = ["CallerApi"]

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
BUDGET_HEADER = "pimentomill-budget-ms"
IDEMPOTENT_HEADER = "pimentomill-idempotent"
FORWARDED_HEADER_PREFIX = "stand-in-"
MAX_KEY_LENGTH = 200
DEFAULT_BUDGET_MS = 10_000
MAX_BUDGET_MS = 60_000
MS_PER_S = 1_000


class UnknownOutcome(msgspec.Struct):
    """Response body for a request that no backend server has answered."""

    error: str
    message: str
    id: RequestId
    outcome: RequestOutcome


class CallerApi:
    """Serve job submissions, lookups, service requests and operator statements.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    core : CoreHandle
        The core of this entry.
    directory : HolderDirectory
        Access to the cell state.
    jobs : JobService
        Handles jobs.
    requests : RequestService
        Handles requests to services.
    operators : OperatorService
        Executes operator statements.
    metrics : Metrics
        Counters.
    log : ComponentLogger
        Logger for unexpected errors.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        core: CoreHandle,
        directory: HolderDirectory,
        jobs: JobService,
        requests: RequestService,
        operators: OperatorService,
        metrics: Metrics,
        log: ComponentLogger,
    ) -> None:
        self.cfg = cfg
        self.core = core
        self.directory = directory
        self.jobs = jobs
        self.requests = requests
        self.operators = operators
        self.metrics = metrics
        self.log = log

    def router(self) -> Router:
        """Return the router of the caller interface."""
        router = Router(self._record_failure)
        router.add("POST", "/v1/jobs", self._submit_job)
        router.add("GET", "/v1/jobs/{job}", self._find_job)
        router.add("DELETE", "/v1/jobs/{job}", self._cancel_job)
        router.add("POST", "/v1/services/{service}/requests", self._run_request)
        router.add("GET", "/v1/requests/{request}", self._find_request)
        router.add("POST", "/v1/commands", self._execute_statement)
        add_health_routes(router, self.core)
        return router

    def _record_failure(self, req: HttpRequest, exc: Exception) -> None:
        self.metrics.unexpected_errors_.add(1)
        self.log.warning("Request failed.", path=req.path, error=repr(exc))

    def _check_ready(self) -> None:
        health = self.core.ask(lambda core: core.health())
        if not health.is_ready:
            raise LogUnavailableError(health.reason)

    def _caller_team(self, req: HttpRequest) -> TeamName:
        """Return the team of the caller's key; fail if the entry is not ready."""
        self._check_ready()
        header = req.headers.get("authorization", "")
        return self.directory.look_up(lambda cell: resolve_team(cell, header))

    def _submit_job(self, req: HttpRequest) -> HttpResponse:
        try:
            team = self._caller_team(req)
            submission = req.decode(Submission)
            ticket = self.jobs.submit(team, _idempotency_key(req), submission)
        except Exception as exc:
            self.metrics.rejected_.add(1, {"error": type(exc).__name__})
            raise
        self.metrics.accepted_.add(1)
        return HttpResponse.json(ticket, HTTPStatus.ACCEPTED)

    def _find_job(self, req: HttpRequest, job: str) -> HttpResponse:
        return HttpResponse.json(self.jobs.find(JobId(job), self._viewer(req)))

    def _cancel_job(self, req: HttpRequest, job: str) -> HttpResponse:
        self.jobs.cancel(JobId(job), self._viewer(req))
        return HttpResponse.json({"id": job}, HTTPStatus.ACCEPTED)

    def _viewer(self, req: HttpRequest) -> TeamName | None:
        """Return the team of the caller's key, or None for an operator key."""
        header = req.headers.get("authorization", "")
        if is_operator(self.cfg.operator_key_digests, header):
            return None
        return self._caller_team(req)

    def _run_request(self, req: HttpRequest, service: str) -> HttpResponse:
        team = self._caller_team(req)
        check_name("service", service)
        is_idempotent = _boolean_header(req, IDEMPOTENT_HEADER)
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if not is_idempotent:
            key = _idempotency_key(req)
        request, result = self.requests.run(
            team=team,
            service=ServiceName(service),
            key=key,
            is_idempotent=is_idempotent,
            body=req.body,
            budget_ms=_budget_ms(req),
            headers=_forwarded_headers(req),
        )
        self.metrics.requests_.add(1, {"outcome": result.outcome.value})
        return _make_response(request, result)

    def _find_request(self, req: HttpRequest, request: str) -> HttpResponse:
        viewer = self._viewer(req)
        answer = self.requests.find(RequestId(request))
        _check_visible(viewer, answer.team, f"there is no request {request}")
        return HttpResponse.json(answer)

    def _execute_statement(self, req: HttpRequest) -> HttpResponse:
        header = req.headers.get("authorization", "")
        if not is_operator(self.cfg.operator_key_digests, header):
            raise UnauthorizedError("an operator key is required")
        try:
            text = req.body.decode()
        except UnicodeDecodeError as exc:
            raise ValidationError(f"the statement must be UTF-8: {exc}") from exc
        answer = self.operators.execute(parse_statement(text))
        if req.headers.get("accept", "").startswith("text/plain"):
            return HttpResponse.text(answer.text + "\n")
        return HttpResponse.json(answer)


def _check_visible(
    viewer: TeamName | None, team: TeamName, not_found_message: str
) -> None:
    """Raise `NotFoundError` for other teams, so that they can't probe for ids."""
    if viewer is not None and viewer != team:
        raise NotFoundError(not_found_message)


def _idempotency_key(req: HttpRequest) -> str:
    key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if not key or len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise ValidationError(
            f"the Idempotency-Key header must have 1 to {MAX_KEY_LENGTH} printable "
            f"characters, got {key[:MAX_KEY_LENGTH]!r}"
        )
    return key


def _boolean_header(req: HttpRequest, header: str) -> bool:
    value = req.headers.get(header, "false")
    if value not in ("true", "false"):
        raise ValidationError(
            f"the {header} header must be true or false, got {value!r}"
        )
    return value == "true"


def _budget_ms(req: HttpRequest) -> int:
    value = req.headers.get(BUDGET_HEADER, str(DEFAULT_BUDGET_MS))
    if not value.isdecimal() or not 1 <= int(value) <= MAX_BUDGET_MS:
        raise ValidationError(
            f"the {BUDGET_HEADER} header must be 1 to {MAX_BUDGET_MS}, got {value!r}"
        )
    return int(value)


def _forwarded_headers(req: HttpRequest) -> dict[str, str]:
    return {
        k: v for k, v in req.headers.items() if k.startswith(FORWARDED_HEADER_PREFIX)
    }


def _make_response(request: RequestId, result: RequestResult) -> HttpResponse:
    if result.is_repeat:
        return _unanswered_response(request, result, HTTPStatus.CONFLICT, "repeat")
    if result.outcome is RequestOutcome.NOT_RUN:
        if result.status == HTTPStatus.TOO_MANY_REQUESTS:
            raise AdmissionError(result.detail, result.retry_after_ms)
        response = _unanswered_response(
            request, result, HTTPStatus.SERVICE_UNAVAILABLE, "not_run"
        )
        seconds = max(result.retry_after_ms // MS_PER_S, 1)
        response.headers["Retry-After"] = str(seconds)
        return response
    if result.outcome is RequestOutcome.UNKNOWN:
        return _unanswered_response(
            request, result, HTTPStatus.GATEWAY_TIMEOUT, "unknown"
        )
    response = HttpResponse(result.status, result.body, result.content_type)
    response.headers["Pimentomill-Request"] = request
    return response


def _unanswered_response(
    request: RequestId, result: RequestResult, status: int, error: str
) -> HttpResponse:
    body = UnknownOutcome(error, result.detail, request, result.outcome)
    return HttpResponse.json(body, status)
