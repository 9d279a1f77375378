"""Server of the HTTP calls between entries."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from aiohttp import web

from ..control import PolicyPort
from ..exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    PimentomillError,
    StateUnavailableError,
)
from ..ingress import (
    IngressAccount,
    IngressLimits,
    IngressServer,
    Machine,
    RequestBounds,
    read_request_body,
)
from ..jobs import JobState, KeyedRecord
from ..overload import LoadReport
from ..replica import ANY_GRANTOR, GrantRefusal, LeaseRequest
from ..telemetry import ComponentLogger
from ..utils import JobId
from ._messages import (
    ADDRESS_PARAMETER,
    FAILING_HEARTBEAT,
    HEARTBEAT,
    REPORT_END,
    WATCHER_PARAMETER,
    AppendedRecords,
    CallerAnswer,
    CallerRequest,
    LeaseAnswer,
    LeaseQuery,
    Path,
    PolicyAnswer,
    RelayedAppend,
    RemotePolicyQuery,
    StateAnswer,
    StateQuery,
)

__all__ = ["EntryServices", "LinkServer"]

WATCH_DURATION_S = 10.0
"""Duration of a watch. The server ends it earlier only if the process exits or, as the
leader, steps down. The next watch renews the enrolment, which lasts for 20 s."""
HEARTBEAT_INTERVAL_S = 0.15
"""Seconds between two heartbeats on a watch; three fit into the client's heartbeat
timeout."""
HEARTBEATS_PER_REPORT = 2
"""Heartbeats per load report. Three reports a second are well below the age of 1 s from
which they are not used."""
BODY_TIMEOUT_S = 10.0
"""Seconds for a complete body."""
BOUNDS = RequestBounds(
    header_bytes=16_384,
    body_bytes=1_048_576,
    header_timeout_s=5.0,
    answer_timeout_s=30.0,
)
BACKLOG = 128
"""Connections that may wait to be accepted."""
SHUTDOWN_TIMEOUT_S = 0.1
"""Maximum time that a stop waits for open calls of other entries."""

_log = ComponentLogger("links")


class EntryServices(Protocol):
    """Operations that an entry performs on behalf of other entries."""

    async def append_for(self, records: list[KeyedRecord]) -> None:
        """Append records; raise `LogUnavailableError` or `AppendUnknownError`."""

    def on_appended(self, first: int, records: list[KeyedRecord]) -> None:
        """Apply acknowledged records before the stream delivers them."""

    def state_for(self, job: JobId) -> JobState | None:
        """Return a job's state; raise `StateUnavailableError` if not the leader."""

    def enrol(self, incarnation: str, address: str) -> None:
        """Record that an entry watches this one and may replace it."""

    def grant_lease(self, req: LeaseRequest) -> GrantRefusal | None:
        """Grant a lease to the leader, or return why none is granted."""

    def is_writing(self) -> bool:
        """Return whether the store acknowledges the appends of this entry."""

    @property
    def has_resigned_(self) -> bool:
        """Whether this entry has led and has stepped down voluntarily."""


class LinkServer:
    """Answer calls of other entries.

    Parameters
    ----------
    policy_client : PolicyPort
        Client through which this entry queries the placement policy.
    incarnation : str
        Identifier of this run of the process.
    services : EntryServices
        Operations that are performed for other entries.
    answer_caller : callable
        Answers a forwarded request; raises `StateUnavailableError` if this entry
        can't answer.
    load_report : callable, optional
        Returns the load of the cell if this entry leads and reports it, else None.
    limits : IngressLimits or None, default=None
        Bounds on what all other entries hold; None for those of a default machine.
    on_closure : callable, optional
        Called with the name of the reason for each connection closed before its
        answer.
    """

    def __init__(
        self,
        policy_client: PolicyPort,
        incarnation: str,
        services: EntryServices,
        answer_caller: Callable[[CallerRequest], Awaitable[CallerAnswer]],
        load_report: Callable[[], LoadReport | None] = lambda: None,
        limits: IngressLimits | None = None,
        on_closure: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.answer_caller = answer_caller
        self.load_report = load_report
        self.policy_client = policy_client
        self.incarnation = incarnation
        self.services = services
        self.limits = limits or IngressLimits.for_peers(Machine())
        self.on_closure = on_closure
        self._server: IngressServer | None = None
        self._handlers: dict[str, Callable[[bytes], Awaitable[web.Response]]] = {
            Path.QUERY_POLICY: self._query_policy,
            Path.APPEND: self._append_records,
            Path.APPENDED: self._handle_appended,
            Path.STATE: self._report_state,
            Path.CALLER: self._handle_caller_request,
            Path.LEASE: self._grant_lease,
        }

    async def start(self, host: str, port: int) -> None:
        """Start listening on an address."""
        self._server = IngressServer(
            self._handle,
            IngressAccount(self.limits),
            lambda: BOUNDS,
            _log,
            self.on_closure,
            access_log=None,
        )
        await self._server.start(host, port, BACKLOG)

    @property
    def address_(self) -> tuple[str, int]:
        """Address at which the server listens."""
        return self._server.address_

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.stop(SHUTDOWN_TIMEOUT_S)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path.startswith(Path.WATCH):
            return await self._serve_watch(req)
        handler = self._handlers.get(req.path)
        if handler is None:
            return web.Response(status=404)
        try:
            body = await read_request_body(req, BOUNDS.body_bytes, BODY_TIMEOUT_S)
            return await handler(body)
        except msgspec.DecodeError as exc:
            return web.Response(status=400, text=str(exc))
        except AppendUnknownError as exc:
            return web.Response(status=504, text=str(exc))
        except (LogUnavailableError, StateUnavailableError) as exc:
            return web.Response(status=503, text=str(exc))

    async def _query_policy(self, body: bytes) -> web.Response:
        query = msgspec.msgpack.decode(body, type=RemotePolicyQuery)
        try:
            answer = await self.policy_client.ask(query.step, query.workers)
        except PimentomillError as exc:
            return web.Response(status=503, text=str(exc))
        return _encode(PolicyAnswer(answer.tickets, answer.valid_ms))

    async def _append_records(self, body: bytes) -> web.Response:
        message = msgspec.msgpack.decode(body, type=RelayedAppend)
        await self.services.append_for(message.records)
        return web.Response(status=200)

    async def _handle_appended(self, body: bytes) -> web.Response:
        message = msgspec.msgpack.decode(body, type=AppendedRecords)
        self.services.on_appended(message.first_offset, message.records)
        return web.Response(status=200)

    async def _report_state(self, body: bytes) -> web.Response:
        query = msgspec.msgpack.decode(body, type=StateQuery)
        return _encode(StateAnswer(self.services.state_for(query.job)))

    async def _handle_caller_request(self, body: bytes) -> web.Response:
        req = msgspec.msgpack.decode(body, type=CallerRequest)
        return _encode(await self.answer_caller(req))

    async def _grant_lease(self, body: bytes) -> web.Response:
        query = msgspec.msgpack.decode(body, type=LeaseQuery)
        if query.grantor not in (self.incarnation, ANY_GRANTOR):
            return web.Response(status=410)
        refusal = self.services.grant_lease(LeaseRequest(query.epoch, query.leader))
        return _encode(LeaseAnswer(refusal.value if refusal is not None else ""))

    async def _serve_watch(self, req: web.BaseRequest) -> web.StreamResponse:
        """Send heartbeats while this process is the watched incarnation."""
        if req.path[len(Path.WATCH) :] != self.incarnation:
            return web.Response(status=410)
        watcher = req.query.get(WATCHER_PARAMETER)
        if watcher:
            self.services.enrol(watcher, req.query.get(ADDRESS_PARAMETER, ""))
        resp = web.StreamResponse()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WATCH_DURATION_S
        number = 0
        try:
            await resp.prepare(req)
            while loop.time() < deadline and not self.services.has_resigned_:
                heartbeat = (
                    HEARTBEAT if self.services.is_writing() else FAILING_HEARTBEAT
                )
                is_report_due = number % HEARTBEATS_PER_REPORT == 0
                report = self.load_report() if is_report_due else None
                if report is not None:
                    encoded = msgspec.json.encode(report)
                    heartbeat = REPORT_END + encoded + REPORT_END + heartbeat
                await resp.write(heartbeat)
                number += 1
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        except ConnectionError as exc:
            _log.info(
                "Watching entry closed the connection", peer=req.remote, why=str(exc)
            )
        return resp


def _encode(message: msgspec.Struct) -> web.Response:
    return web.Response(body=msgspec.msgpack.encode(message))
