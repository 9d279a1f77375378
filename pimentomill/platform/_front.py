"""The callers' interface and the readiness check."""

import asyncio
import re
import time

from aiohttp import web

from ..catalog import Queue
from ..exceptions import StateUnavailableError, ValidationError
from ..intake import Kept
from ..node import CellNode
from ..telemetry import PartLog
from ..utils import JobId
from ._jobs import decode_job, encode_state, encode_waiting

__all__ = ["Front"]

KEY_HEADER = "Key"
JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
QUIET_STATUSES = (200, 404)
METRICS_PATH = "/metrics"
READY_PATH = "/ready"
DOUBT_AGE_MS = 1000
"""Age of the operators' settings above which an unknown key or route is no proof."""
RETRY_AFTER_S = 1
"""Seconds after which a refused caller may come back; the balancer has moved on."""
KEEPALIVE_S = 75.0
"""Seconds for which an idle connection is kept, longer than callers keep theirs."""
CLOSE_S = 0.3
"""Seconds for which a stop waits for callers that are still being answered."""
MAX_LINE_BYTES = 16384
"""Longest request line and header field."""

_log = PartLog("front")


class Refusal(Exception):  # noqa: N818
    """A request gets its final answer without being carried out.

    Parameters
    ----------
    status : int
        HTTP status.
    why : str
        Reason for the log.
    """

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Front:
    """Answers callers.

    Parameters
    ----------
    node : CellNode
        Entry.
    """

    def __init__(self, node: CellNode) -> None:
        self.node = node
        self.in_flight_ = 0
        self._runners: list[web.ServerRunner] = []

    async def start(
        self,
        callers: tuple[str, int],
        readiness: tuple[str, int],
        metrics: tuple[str, int],
    ) -> None:
        """Listen for callers, for the readiness check and for scrapers."""
        for handler, (host, port) in (
            (self._handle, callers),
            (self._handle_ready, readiness),
            (self._handle_metrics, metrics),
        ):
            server = web.Server(
                handler,
                access_log=None,
                keepalive_timeout=KEEPALIVE_S,
                max_line_size=MAX_LINE_BYTES,
                max_field_size=MAX_LINE_BYTES,
            )
            runner = web.ServerRunner(server, shutdown_timeout=CLOSE_S)
            await runner.setup()
            await web.TCPSite(runner, host, port, backlog=1024).start()
            self._runners.append(runner)

    async def stop(self) -> None:
        """Stop listening and close idle connections."""
        for runner in self._runners:
            await runner.cleanup()

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
        began = time.monotonic()
        try:
            queue, rest = self._route(req)
            team = self._authorize(req, queue)
            resp = await self._dispatch(req, queue, team, rest)
            why = ""
        except Refusal as exc:
            resp, why = self._refuse(exc), str(exc)
        except (ValidationError, StateUnavailableError) as exc:
            status = 503 if isinstance(exc, StateUnavailableError) else 400
            refusal = Refusal(status, str(exc))
            resp, why = self._refuse(refusal), str(exc)
        self._note(req, resp.status, why, (time.monotonic() - began) * 1000)
        return resp

    def _note(self, req: web.BaseRequest, status: int, why: str, took: float) -> None:
        """Count an answer, and log it unless it only repeats what is known."""
        node = self.node
        node.metrics.note_request(req.method, status, took)
        if req.method == "GET" and status in QUIET_STATUSES:
            return
        _log.info(
            "Request",
            method=req.method,
            path=req.path,
            status=status,
            why=why,
            took_ms=round(took),
            version=node.catalog_.version if node.catalog_ else None,
            settings_age_ms=node.rules.age_ms(),
            state_age_ms=node.work.age_ms(),
        )

    @staticmethod
    def _refuse(refusal: Refusal) -> web.Response:
        headers = {}
        if refusal.status in (429, 503, 504):
            headers["Retry-After"] = str(RETRY_AFTER_S)
        return web.Response(status=refusal.status, text=str(refusal), headers=headers)

    def _route(self, req: web.BaseRequest) -> tuple[Queue, str]:
        catalog = self.node.catalog_
        if catalog is None:
            raise Refusal(503, "no settings of operators yet")
        host = req.headers.get("Host", "").split(":")[0].lower()
        queue = catalog.route(host, req.path)
        if queue is None:
            self._check_certain()
            raise Refusal(404, "no such queue")
        return queue, req.path[len(queue.path_prefix) :]

    def _authorize(self, req: web.BaseRequest, queue: Queue) -> str:
        """Return the team of the caller's key, empty for a public queue."""
        if queue.public:
            return ""
        if not self.node.keys_hold():
            raise Refusal(503, "keys can't be checked now")
        team = self.node.catalog_.keys.get(req.headers.get(KEY_HEADER, ""))
        if team is None:
            self._check_certain()
            raise Refusal(401, "unknown key")
        return team

    def _check_certain(self) -> None:
        """Refuse for the time being if the settings may have changed meanwhile."""
        if self.node.rules.age_ms() > DOUBT_AGE_MS:
            raise Refusal(503, "settings of operators may be out of date")

    async def _dispatch(
        self, req: web.BaseRequest, queue: Queue, team: str, rest: str
    ) -> web.Response:
        if req.method == "GET" and not rest:
            count = self.node.intake.waiting(queue)
            return _json(encode_waiting(count))
        if not JOB_ID.match(rest):
            raise Refusal(404, "no such job name")
        job = JobId(rest)
        if req.method == "POST":
            return await self._submit(req, queue, team, job)
        if req.method == "GET":
            return await self._show(queue, team, job)
        if req.method == "DELETE":
            return await self._cancel(queue, team, job)
        raise Refusal(405, "no such method")

    async def _submit(self, req, queue: Queue, team: str, job: JobId) -> web.Response:
        spec = decode_job(await self._body(req))
        kept = await self.node.intake.submit(queue, team, job, spec)
        return self._kept(kept)

    async def _body(self, req: web.BaseRequest) -> bytes:
        limits = self.node.catalog_.limits
        if (req.content_length or 0) > limits.body_bytes:
            raise Refusal(413, "body too large")
        try:
            async with asyncio.timeout(limits.idle_timeout_ms / 1000):
                body = await req.read()
        except TimeoutError as exc:
            raise Refusal(408, "body not sent in time") from exc
        except web.HTTPRequestEntityTooLarge as exc:
            raise Refusal(413, "body too large") from exc
        if len(body) > limits.body_bytes:
            raise Refusal(413, "body too large")
        return body

    async def _show(self, queue: Queue, team: str, job: JobId) -> web.Response:
        state = await self.node.intake.state(queue, team, job)
        if state is None:
            raise Refusal(410, "no such job")
        return _json(encode_state(state))

    async def _cancel(self, queue: Queue, team: str, job: JobId) -> web.Response:
        return self._kept(await self.node.intake.cancel(queue, team, job))

    @staticmethod
    def _kept(kept: Kept) -> web.Response:
        if kept is Kept.KEPT:
            return web.Response(status=200)
        if kept is Kept.NO_SUCH_JOB:
            raise Refusal(410, "no such job")
        if kept is Kept.NOT_KEPT:
            raise Refusal(503, "the store can't be reached")
        raise Refusal(504, "the outcome is not known")


def _json(body: bytes) -> web.Response:
    return web.Response(body=body, content_type="application/json")
