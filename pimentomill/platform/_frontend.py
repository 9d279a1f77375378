"""HTTP servers for callers, the readiness check and metrics."""

from aiohttp import web

from ..catalog import RequestLimits
from ..exceptions import BodyTooLargeError, ValidationError
from ..ingress import (
    IngressAccount,
    IngressLimits,
    IngressServer,
    RequestBounds,
    decode_content,
    read_request_body,
    skip_request_body,
)
from ..links import CallerAnswer, CallerRequest
from ..telemetry import ComponentLogger
from ._caller_handler import CallerHandler, RequestRejectedError

__all__ = ["Frontend"]

KEY_HEADER = "Key"
METRICS_PATH = "/metrics"
READY_PATH = "/ready"
RETRY_AFTER_S = 1
"""Retry delay for a rejected caller; by then the load balancer uses another entry."""
KEEPALIVE_S = 75.0
"""Idle timeout of a connection, longer than that of the callers."""
SHUTDOWN_TIMEOUT_S = 0.3
"""How long a shutdown waits for requests in flight."""
MAX_LINE_BYTES = 65536
"""Maximum request line and header field that are parsed; operators set less."""
BACKLOG = 1024
"""Connections that may wait to be accepted."""
MONITOR_CONNECTIONS = 32
"""Connections for readiness checks, and as many for metrics scrapers."""

DEFAULT_LIMITS = RequestLimits()

_log = ComponentLogger("front")


class Frontend:
    """Serves callers, the readiness check and metrics over HTTP.

    Parameters
    ----------
    caller_handler : CallerHandler
        Handler of callers' requests.
    limits : IngressLimits
        Bounds on what all callers together hold.
    """

    def __init__(self, caller_handler: CallerHandler, limits: IngressLimits) -> None:
        self.caller_handler = caller_handler
        self.node = caller_handler.node
        self.account = IngressAccount(limits)
        self.in_flight_ = 0
        self._servers: list[IngressServer] = []
        self._bounded_limits: RequestLimits | None = None
        self._request_bounds: RequestBounds | None = None

    async def start(
        self,
        caller_address: tuple[str, int],
        readiness_address: tuple[str, int],
        metrics_address: tuple[str, int],
    ) -> None:
        """Listen for callers, readiness checks and metrics scrapers."""
        metrics = self.node.metrics
        metrics.watch_callers(self._caller_usage)
        for handler, account, address in (
            (self._handle, self.account, caller_address),
            (self._handle_ready, self._monitor_account(), readiness_address),
            (self._handle_metrics, self._monitor_account(), metrics_address),
        ):
            server = IngressServer(
                handler,
                account,
                self._bounds,
                _log,
                metrics.record_closed_connection,
                access_log=None,
                keepalive_timeout=KEEPALIVE_S,
                max_line_size=MAX_LINE_BYTES,
                max_field_size=MAX_LINE_BYTES,
            )
            await server.start(*address, backlog=BACKLOG)
            self._servers.append(server)

    @property
    def addresses_(self) -> list[tuple[str, int]]:
        """Addresses for callers, readiness checks and metrics scrapers."""
        return [server.address_ for server in self._servers]

    def _monitor_account(self) -> IngressAccount:
        """Return an account of its own, so that callers can't use it up."""
        max_request_bytes = self._bounds().max_request_bytes
        return IngressAccount(
            IngressLimits.for_connections(MONITOR_CONNECTIONS, max_request_bytes)
        )

    def _caller_usage(self) -> tuple[int, int]:
        """Return the number of callers' connections and the bytes they hold."""
        return self.account.connection_count, self.account.held_bytes_

    def _bounds(self) -> RequestBounds:
        limits = self._limits()
        if limits is not self._bounded_limits:
            self._bounded_limits = limits
            self._request_bounds = RequestBounds(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_ms / 1000,
                limits.idle_timeout_ms / 1000,
            )
        return self._request_bounds

    async def stop(self) -> None:
        """Stop listening and close idle connections."""
        for server in self._servers:
            await server.stop(SHUTDOWN_TIMEOUT_S)

    async def _handle_ready(self, req: web.BaseRequest) -> web.Response:
        if req.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.node.is_ready() else 503)

    async def _handle_metrics(self, req: web.BaseRequest) -> web.Response:
        if req.path != METRICS_PATH:
            return web.Response(status=404)
        text = self.node.metrics.render()
        return web.Response(body=text, content_type="text/plain")

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        self.in_flight_ += 1
        try:
            resp = await self._answer(req)
        finally:
            self.in_flight_ -= 1
        if self.node.is_stopping_:
            resp.force_close()
        return resp

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        try:
            body = await self._read_body(req)
        except RequestRejectedError as exc:
            _log.info("Request", path=req.path, status=exc.status, why=str(exc))
            return _encode(CallerAnswer(exc.status, reason=str(exc)))
        caller_request = CallerRequest(
            req.method,
            req.headers.get("Host", "").split(":")[0].lower(),
            req.path,
            req.headers.get(KEY_HEADER, ""),
            body,
        )
        return _encode(await self.caller_handler.answer(caller_request))

    async def _read_body(self, req: web.BaseRequest) -> bytes:
        if req.method != "POST":
            skip_request_body(req)
            return b""
        limits = self._limits()
        timeout_s = limits.idle_timeout_ms / 1000
        body = await read_request_body(req, limits.body_bytes, timeout_s)
        encoding = req.headers.get("Content-Encoding", "")
        try:
            return decode_content(body, encoding, limits.body_bytes)
        except BodyTooLargeError:
            raise
        except ValidationError as exc:
            raise RequestRejectedError(415, str(exc)) from exc

    def _limits(self) -> RequestLimits:
        catalog = self.node.catalog_
        return catalog.limits if catalog is not None else DEFAULT_LIMITS


def _encode(answer: CallerAnswer) -> web.Response:
    if answer.status == 200:
        content_type = "application/json" if answer.body else None
        return web.Response(body=answer.body, content_type=content_type)
    headers = {}
    if answer.status in (429, 503, 504):
        headers["Retry-After"] = str(answer.retry_after_s or RETRY_AFTER_S)
    return web.Response(status=answer.status, text=answer.reason, headers=headers)
