"""What callers get: from their request to a final answer."""

import re
import time

from ..catalog import Queue
from ..exceptions import StateUnavailableError, ValidationError
from ..intake import ChangeOutcome
from ..links import CallerAnswer, CallerRequest
from ..node import CellNode
from ..telemetry import ComponentLogger
from ..utils import JobId
from ._jobs import decode_job, encode_state, encode_waiting

__all__ = ["Callers", "Refusal"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
QUIET_STATUSES = (200, 404)
DOUBT_AGE_MS = 1000
"""Age of the operators' settings above which an unknown key or route is no proof."""

_log = ComponentLogger("front")


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


class Callers:
    """Answers callers by an entry's state, or through another entry.

    Parameters
    ----------
    node : CellNode
        Entry.
    """

    def __init__(self, node: CellNode) -> None:
        self.node = node

    async def answer_for(self, req: CallerRequest) -> CallerAnswer:
        """Answer a caller of an entry that can't reach the store.

        Raises
        ------
        StateUnavailableError
            If this entry can't reach it either.
        """
        if self.node.is_store_lost() or self.node.is_stopping_:
            raise StateUnavailableError("no help here")
        self.node.check_answerable(req.version)
        return await self._answer_here(req)

    async def answer(self, req: CallerRequest) -> CallerAnswer:
        """Return the final answer to a caller."""
        passed_on = await self.node.forward(req)
        return passed_on if passed_on is not None else await self._answer_here(req)

    async def _answer_here(self, req: CallerRequest) -> CallerAnswer:
        began = time.monotonic()
        version = self.node.version
        try:
            self.node.check_answerable()
            queue, rest = self._route(req)
            team = self._authorize(req, queue)
            body = await self._dispatch(req, queue, team, rest)
            answer = CallerAnswer(200, body, version=version)
        except Refusal as exc:
            answer = CallerAnswer(exc.status, reason=str(exc), version=version)
        except ValidationError as exc:
            answer = CallerAnswer(400, reason=str(exc), version=version)
        except StateUnavailableError as exc:
            answer = CallerAnswer(503, reason=str(exc), version=version)
        self._note(req, answer, (time.monotonic() - began) * 1000)
        return answer

    def _note(self, req: CallerRequest, answer: CallerAnswer, took: float) -> None:
        """Count an answer, and log it unless it only repeats what is known."""
        node = self.node
        node.metrics.record_request(req.method, answer.status, took)
        if req.method == "GET" and answer.status in QUIET_STATUSES:
            return
        _log.info(
            "Request",
            method=req.method,
            path=req.path,
            status=answer.status,
            why=answer.reason,
            took_ms=round(took),
            version=answer.version,
            settings_age_ms=node.rules.age_ms(),
            state_age_ms=node.work.age_ms(),
        )

    def _route(self, req: CallerRequest) -> tuple[Queue, str]:
        catalog = self.node.catalog_
        if catalog is None:
            raise Refusal(503, "no settings of operators yet")
        queue = catalog.route(req.host, req.path)
        if queue is None:
            self._check_certain()
            raise Refusal(404, "no such queue")
        return queue, req.path[len(queue.path_prefix) :]

    def _authorize(self, req: CallerRequest, queue: Queue) -> str:
        """Return the team of the caller's key, empty for a public queue."""
        if queue.public:
            return ""
        if not self.node.are_keys_valid():
            raise Refusal(503, "keys can't be checked now")
        team = self.node.catalog_.keys.get(req.key)
        if team is None:
            self._check_certain()
            raise Refusal(401, "unknown key")
        return team

    def _check_certain(self) -> None:
        """Refuse for the time being if the settings may have changed meanwhile."""
        if self.node.rules.age_ms() > DOUBT_AGE_MS:
            raise Refusal(503, "settings of operators may be out of date")

    async def _dispatch(
        self, req: CallerRequest, queue: Queue, team: str, rest: str
    ) -> bytes:
        if req.method == "GET" and not rest:
            return encode_waiting(self.node.intake.count_queued(queue))
        if not JOB_ID.match(rest):
            raise Refusal(404, "no such job name")
        job = JobId(rest)
        if req.method == "POST":
            spec = decode_job(req.body)
            return _done(await self.node.intake.submit(queue, team, job, spec))
        if req.method == "GET":
            state = await self.node.intake.state(queue, team, job)
            if state is None:
                raise Refusal(410, "no such job")
            return encode_state(state)
        if req.method == "DELETE":
            return _done(await self.node.intake.cancel(queue, team, job))
        raise Refusal(405, "no such method")


def _done(kept: ChangeOutcome) -> bytes:
    """Return the body of a success; everything else is a refusal."""
    if kept is ChangeOutcome.DURABLE:
        return b""
    if kept is ChangeOutcome.NO_SUCH_JOB:
        raise Refusal(410, "no such job")
    if kept is ChangeOutcome.REJECTED:
        raise Refusal(503, "the store can't be reached")
    raise Refusal(504, "the outcome is not known")
