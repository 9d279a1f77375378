"""Handling of callers' requests: authorization, dispatch and answers."""

import re
import time

from ..catalog import Queue
from ..exceptions import (
    StateUnavailableError,
    SubmissionRefusedError,
    ValidationError,
)
from ..intake import ChangeOutcome
from ..links import CallerAnswer, CallerRequest
from ..node import CellNode
from ..telemetry import ComponentLogger
from ..utils import JobId
from ._jobs import decode_job, encode_state, encode_waiting

__all__ = ["CallerHandler", "RequestRejectedError"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
UNLOGGED_STATUSES = (200, 404)
SLOW_ANSWER_MS = 500
"""Time to an answer from which routine answers are logged as well; callers wait 3 s."""
MAX_SETTINGS_AGE_MS = 1000
"""Age of the operators' settings above which an unknown key or route may meanwhile
have been added, so that the request is only rejected temporarily."""

_log = ComponentLogger("front")


class RequestRejectedError(Exception):
    """A request is answered with an error status and not carried out.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Reason, for the answer and the log.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class CallerHandler:
    """Answers callers from the state of this entry, or forwards to another one.

    Parameters
    ----------
    node : CellNode
        Node of this entry.
    """

    def __init__(self, node: CellNode) -> None:
        self.node = node

    async def answer_forwarded(self, req: CallerRequest) -> CallerAnswer:
        """Answer a request forwarded by an entry that can't reach the store.

        Raises
        ------
        StateUnavailableError
            If this entry can't reach the store either or is stopping.
        """
        if self.node.is_store_unreachable() or self.node.is_stopping_:
            raise StateUnavailableError(
                "forwarded request rejected: store unreachable or entry stopping"
            )
        self.node.check_answerable(req.version)
        return await self._answer_locally(req)

    async def answer(self, req: CallerRequest) -> CallerAnswer:
        """Answer a caller's request, through another entry if needed."""
        started_at = time.monotonic()
        forwarded = await self.node.forward(req)
        forward_ms = (time.monotonic() - started_at) * 1000
        if forwarded is None:
            return await self._answer_locally(req, forward_ms)
        if forward_ms >= SLOW_ANSWER_MS:
            _log.info(
                "Slow answer of another entry",
                method=req.method,
                path=req.path,
                status=forwarded.status,
                took_ms=round(forward_ms),
            )
        return forwarded

    async def _answer_locally(
        self, req: CallerRequest, forward_ms: float = 0.0
    ) -> CallerAnswer:
        """Answer from this entry; `forward_ms` were spent on other entries before."""
        started_at = time.monotonic()
        version = self.node.version
        try:
            self.node.check_answerable()
            queue, job_name = self._route(req)
            team = self._authorize(req, queue)
            body = await self._dispatch(req, queue, team, job_name)
            answer = CallerAnswer(200, body, version=version)
        except RequestRejectedError as exc:
            answer = CallerAnswer(exc.status, reason=str(exc), version=version)
        except ValidationError as exc:
            answer = CallerAnswer(400, reason=str(exc), version=version)
        except SubmissionRefusedError as exc:
            answer = CallerAnswer(
                429,
                reason=str(exc),
                version=version,
                retry_after_s=exc.retry_after_s,
            )
        except StateUnavailableError as exc:
            answer = CallerAnswer(503, reason=str(exc), version=version)
        elapsed_ms = forward_ms + (time.monotonic() - started_at) * 1000
        self._record_answer(req, answer, elapsed_ms, forward_ms)
        return answer

    def _record_answer(
        self,
        req: CallerRequest,
        answer: CallerAnswer,
        elapsed_ms: float,
        forward_ms: float,
    ) -> None:
        """Count an answer; log it unless it is a quick routine answer to a GET."""
        node = self.node
        node.metrics.record_request(req.method, answer.status, elapsed_ms)
        is_routine = req.method == "GET" and answer.status in UNLOGGED_STATUSES
        if is_routine and elapsed_ms < SLOW_ANSWER_MS:
            return
        _log.info(
            "Request",
            method=req.method,
            path=req.path,
            status=answer.status,
            why=answer.reason,
            took_ms=round(elapsed_ms),
            forward_ms=round(forward_ms),
            version=answer.version,
            settings_age_ms=node.rules.age_ms(),
            state_age_ms=node.work.age_ms(),
        )

    def _route(self, req: CallerRequest) -> tuple[Queue, str]:
        catalog = self.node.catalog_
        if catalog is None:
            raise RequestRejectedError(503, "no settings of operators yet")
        queue = catalog.route(req.host, req.path)
        if queue is None:
            self._check_settings_age()
            raise RequestRejectedError(404, "no such queue")
        return queue, req.path[len(queue.path_prefix) :]

    def _authorize(self, req: CallerRequest, queue: Queue) -> str:
        """Return the team of the caller's key, or "" for a public queue."""
        if queue.public:
            return ""
        if not self.node.are_keys_valid():
            raise RequestRejectedError(503, "keys can't be checked now")
        team = self.node.catalog_.keys.get(req.key)
        if team is None:
            self._check_settings_age()
            raise RequestRejectedError(401, "unknown key")
        return team

    def _check_settings_age(self) -> None:
        """Reject temporarily if the operators' settings may be outdated."""
        if self.node.rules.age_ms() > MAX_SETTINGS_AGE_MS:
            raise RequestRejectedError(503, "settings of operators may be out of date")

    async def _dispatch(
        self, req: CallerRequest, queue: Queue, team: str, job_name: str
    ) -> bytes:
        if req.method == "GET" and not job_name:
            return encode_waiting(self.node.intake.count_queued(queue))
        if not JOB_ID.match(job_name):
            raise RequestRejectedError(404, "no such job name")
        job = JobId(job_name)
        if req.method == "POST":
            spec = decode_job(req.body)
            return _encode_change(await self.node.intake.submit(queue, team, job, spec))
        if req.method == "GET":
            state = await self.node.intake.state(queue, team, job)
            if state is None:
                raise RequestRejectedError(410, "no such job")
            return encode_state(state)
        if req.method == "DELETE":
            return _encode_change(await self.node.intake.cancel(queue, team, job))
        raise RequestRejectedError(405, "no such method")


def _encode_change(outcome: ChangeOutcome) -> bytes:
    """Return the body for a durable change, and raise for every other outcome."""
    if outcome is ChangeOutcome.DURABLE:
        return b""
    if outcome is ChangeOutcome.NO_SUCH_JOB:
        raise RequestRejectedError(410, "no such job")
    if outcome is ChangeOutcome.WITHDRAWN:
        raise RequestRejectedError(503, "the job was cancelled before")
    if outcome is ChangeOutcome.REJECTED:
        raise RequestRejectedError(503, "the store can't be reached")
    raise RequestRejectedError(504, "the outcome is not known")
