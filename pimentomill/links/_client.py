"""Client of the HTTP calls between entries."""

import enum
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import aiohttp
import msgspec

from ..control import PolicyTickets
from ..exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    ProcessEndedError,
    StateUnavailableError,
    TransportError,
)
from ..httpclient import HttpClient, HttpReply
from ..jobs import JobState, KeyedRecord, StepKey, WorkerId
from ..overload import LoadReport
from ..telemetry import ComponentLogger
from ..utils import JobId
from ._messages import (
    ADDRESS_PARAMETER,
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
    WatchOutcome,
)

__all__ = ["LeaseOutcome", "LinkClient", "RemotePolicyClient", "Watcher"]

MessageT = TypeVar("MessageT", bound=msgspec.Struct)
RELAY_TIMEOUT_MS = 1200
"""Timeout of an append through another entry, so that callers still get an answer
within their 3 s."""
FORWARD_TIMEOUT_MS = 1400
"""Timeout of a caller's request that is forwarded; two attempts fit into 3 s."""
NOTIFY_TIMEOUT_MS = 300
"""Timeout of a notification of appended records, which also arrive by the stream."""
STATE_TIMEOUT_MS = 150
"""Timeout of a state query; reading the stream is the alternative."""
HEARTBEAT_TIMEOUT_S = 0.5
"""Seconds without a heartbeat after which the other entry, or the network path to it,
is considered faulty."""
WATCH_TIMEOUT_S = 40.0
"""Maximum duration of a watch; the server ends it earlier."""
LEASE_TIMEOUT_MS = 300
"""Timeout of a request for a lease; an entry answers it from memory."""
POLICY_TIMEOUT_MS = 10_000
"""Timeout of a policy query; the calling code applies a tighter bound itself."""
REJECTED_STATUSES = frozenset((400, 404, 503))
"""HTTP statuses which certify that the request had no effect."""

_log = ComponentLogger("links")


class LeaseOutcome(enum.Enum):
    """Outcome of a request for a lease."""

    GRANTED = "granted"
    REFUSED = "refused"
    ENDED = "the incarnation has ended"
    UNKNOWN = "no answer"


class Watcher(NamedTuple):
    """Entry that requests a watch.

    Parameters
    ----------
    incarnation : str
        Incarnation of its process.
    address : str
        Its address for other entries.
    """

    incarnation: str
    address: str


class LinkClient:
    """Client of the other entries.

    Parameters
    ----------
    http : HttpClient
        HTTP client that holds the connections.
    """

    def __init__(self, http: HttpClient) -> None:
        self.http = http

    async def post(
        self, address: str, path: Path, message: msgspec.Struct, timeout_ms: float
    ) -> HttpReply:
        body = msgspec.msgpack.encode(message)
        return await self.http.call("POST", f"http://{address}{path}", timeout_ms, body)

    async def append(
        self,
        address: str,
        records: list[KeyedRecord],
        timeout_ms: float = RELAY_TIMEOUT_MS,
    ) -> None:
        """Append records through another entry.

        Raises
        ------
        LogUnavailableError
            If nothing was stored.
        AppendUnknownError
            If it is unknown whether the records were stored.
        """
        message = RelayedAppend(records)
        try:
            reply = await self.post(address, Path.APPEND, message, timeout_ms)
        except TransportError as exc:
            error_type = AppendUnknownError if exc.sent else LogUnavailableError
            raise error_type(f"{address}: {exc}") from exc
        if reply.status == 200:
            return
        if reply.status in REJECTED_STATUSES:
            raise LogUnavailableError(f"{address} answers {reply.status}")
        raise AppendUnknownError(f"{address} answers {reply.status}")

    async def notify_appended(
        self, address: str, first_offset: int, records: list[KeyedRecord]
    ) -> None:
        """Notify an entry of records that the store has acknowledged.

        Raises
        ------
        TransportError
            If the entry may not have received the notification.
        """
        message = AppendedRecords(first_offset, records)
        await self.post(address, Path.APPENDED, message, NOTIFY_TIMEOUT_MS)

    async def query_state(self, address: str, job: JobId) -> JobState | None:
        """Return the state of a job as reported by the leader.

        Raises
        ------
        TransportError
            If no usable answer was received.
        """
        reply = await self.post(address, Path.STATE, StateQuery(job), STATE_TIMEOUT_MS)
        return _decode(address, reply, StateAnswer).state

    async def forward(self, address: str, req: CallerRequest) -> CallerAnswer:
        """Forward a caller's request to another entry.

        Raises
        ------
        StateUnavailableError
            If the entry can't answer; the request had no effect.
        TransportError
            If no usable answer was received; `sent` is True if the request may have
            had an effect.
        """
        reply = await self.post(address, Path.CALLER, req, FORWARD_TIMEOUT_MS)
        if reply.status in REJECTED_STATUSES:
            raise StateUnavailableError(f"{address} answers {reply.status}")
        return _decode(address, reply, CallerAnswer)

    async def request_lease(self, address: str, query: LeaseQuery) -> LeaseOutcome:
        """Ask an entry for a lease on behalf of the leader."""
        try:
            reply = await self.post(address, Path.LEASE, query, LEASE_TIMEOUT_MS)
            if reply.status == 410:
                return LeaseOutcome.ENDED
            answer = _decode(address, reply, LeaseAnswer)
        except TransportError as exc:
            _log.info("Request for a lease failed", address=address, why=str(exc))
            # A connection is also closed by a reset; only a refusal is certain.
            is_refused = isinstance(exc, ProcessEndedError) and not exc.sent
            return LeaseOutcome.ENDED if is_refused else LeaseOutcome.UNKNOWN
        if answer.refusal:
            _log.info("Lease refused", address=address, why=answer.refusal)
            return LeaseOutcome.REFUSED
        return LeaseOutcome.GRANTED

    async def watch_incarnation(
        self,
        address: str,
        incarnation: str,
        on_heartbeat: Callable[[bool], None],
        on_load_report: Callable[[LoadReport], None] | None = None,
        watcher: Watcher | None = None,
    ) -> WatchOutcome:
        """Watch an incarnation of another entry until it ends or its heartbeats stop.

        Parameters
        ----------
        address : str
            IP address and port of the entry.
        incarnation : str
            Incarnation to watch.
        on_heartbeat : callable
            Called at each heartbeat with whether the entry's appends are acknowledged.
        on_load_report : callable, default=None
            Called with each load report that the entry sends as the leader.
        watcher : Watcher, default=None
            Entry that is enrolled at the watched one by the first heartbeat.

        Returns
        -------
        WatchOutcome
            ``ENDED`` if the incarnation has certainly ended: another incarnation
            answers, or nothing listens at the address. ``TIMED_OUT`` if no heartbeat
            arrived in time. ``INCONCLUSIVE`` if the watch ended for another reason,
            which says nothing about the entry.
        """
        timeout = aiohttp.ClientTimeout(
            total=WATCH_TIMEOUT_S,
            sock_connect=self.http.connect_timeout_s,
            sock_read=HEARTBEAT_TIMEOUT_S,
        )
        url = f"http://{address}{Path.WATCH}{incarnation}"
        params = {}
        if watcher is not None:
            params[WATCHER_PARAMETER] = watcher.incarnation
            params[ADDRESS_PARAMETER] = watcher.address
        try:
            async with self.http.session.get(
                url, params=params, timeout=timeout
            ) as resp:
                if resp.status == 410:
                    return WatchOutcome.ENDED
                reader = _WatchReader()
                async for chunk in resp.content.iter_any():
                    reports, is_writing = reader.read(chunk)
                    if on_load_report is not None:
                        for report in reports:
                            on_load_report(report)
                    if is_writing is not None:
                        on_heartbeat(is_writing)
        except aiohttp.ClientConnectorError as exc:
            refused = isinstance(exc.os_error, ConnectionRefusedError)
            return WatchOutcome.ENDED if refused else WatchOutcome.INCONCLUSIVE
        except TimeoutError:
            return WatchOutcome.TIMED_OUT
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            reason = str(exc) or type(exc).__name__
            _log.info("Watch of another entry failed", address=address, why=reason)
        return WatchOutcome.INCONCLUSIVE


class _WatchReader:
    """Splits what a watch receives into heartbeats and load reports."""

    def __init__(self) -> None:
        self._rest = b""

    def read(self, chunk: bytes) -> tuple[list[LoadReport], bool | None]:
        """Return the complete reports, and the newest heartbeat if there is one."""
        *parts, self._rest = (self._rest + chunk).split(REPORT_END)
        if not self._rest.startswith(b"{"):
            parts.append(self._rest)
            self._rest = b""
        reports = []
        is_writing = None
        for part in parts:
            if not part.startswith(b"{"):
                is_writing = part.endswith(HEARTBEAT) if part else is_writing
                continue
            try:
                reports.append(msgspec.json.decode(part, type=LoadReport))
            except msgspec.DecodeError as exc:
                _log.warning("Load report ignored", why=str(exc))
        return reports, is_writing


class RemotePolicyClient:
    """Query the placement policy through another entry.

    Parameters
    ----------
    name : str
        Name of the entry.
    address : str
        IP address and port of the entry.
    links : LinkClient
        Client of the other entries.
    incarnation : str, default=""
        Incarnation of the entry's process.
    """

    def __init__(
        self, name: str, address: str, links: LinkClient, incarnation: str = ""
    ) -> None:
        self.name = name
        self.address = address
        self.links = links
        self.incarnation = incarnation

    async def ask(self, step: StepKey, workers: list[WorkerId]) -> PolicyTickets:
        """Return the allowed workers; see `PolicyPort`."""
        message = RemotePolicyQuery(step, workers)
        reply = await self.links.post(
            self.address, Path.QUERY_POLICY, message, POLICY_TIMEOUT_MS
        )
        answer = _decode(self.name, reply, PolicyAnswer)
        return PolicyTickets(answer.tickets, answer.valid_ms)


def _decode(name: str, reply: HttpReply, message_type: type[MessageT]) -> MessageT:
    if reply.status != 200:
        raise TransportError(f"{name} answers {reply.status}", True)
    try:
        return msgspec.msgpack.decode(reply.body, type=message_type)
    except msgspec.DecodeError as exc:
        raise TransportError(
            f"{name} sent an answer that can't be decoded", True
        ) from exc
