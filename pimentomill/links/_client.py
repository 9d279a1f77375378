"""Calls to other entries."""

from collections.abc import Callable
from typing import TypeVar

import aiohttp
import msgspec

from ..control import PolicyTickets
from ..exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    StateUnavailableError,
    TransportError,
)
from ..httpclient import HttpCaller, HttpReply
from ..jobs import JobState, KeyedRecord, StepKey, WorkerId
from ..telemetry import PartLog
from ..utils import JobId
from ._messages import (
    BEAT,
    AppendedRecords,
    CallerAnswer,
    CallerRequest,
    LifeSign,
    Path,
    PolicyAnswer,
    PolicyQuestion,
    RelayedAppend,
    StateAnswer,
    StateQuestion,
)

__all__ = ["EntryLinks", "RemoteAdvisor"]

T = TypeVar("T", bound=msgspec.Struct)
RELAY_MS = 1200
"""Milliseconds for an append through another entry, so that callers still get an
answer within their 3 s."""
FORWARD_MS = 1400
"""Milliseconds for a caller's request at another entry; two tries fit into 3 s."""
NOTICE_MS = 300
"""Milliseconds for telling of appended records; the stream brings them later."""
STATE_MS = 150
"""Milliseconds for a question about a job; a read of the stream is the other way."""
SILENCE_S = 0.5
"""Seconds without a sign of life after which the other entry, or the way to it, is in
trouble."""
WATCH_S = 40.0
"""Longest time of a watch in seconds; the other side ends it earlier."""
CALL_MS = 10_000
"""Milliseconds for a question to a policy; the caller sets a closer bound itself."""
REFUSALS = frozenset((400, 404, 503))
"""Statuses that say that nothing was done."""

_log = PartLog("links")


class EntryLinks:
    """Calls to the other entries.

    Parameters
    ----------
    http : HttpCaller
        Connections.
    """

    def __init__(self, http: HttpCaller) -> None:
        self.http = http

    async def post(
        self, address: str, path: Path, message: msgspec.Struct, limit_ms: float
    ) -> HttpReply:
        body = msgspec.msgpack.encode(message)
        return await self.http.call("POST", f"http://{address}{path}", limit_ms, body)

    async def append(
        self, address: str, records: list[KeyedRecord], limit_ms: float = RELAY_MS
    ) -> None:
        """Append records through another entry.

        Raises
        ------
        LogUnavailableError
            If nothing was kept.
        AppendUnknownError
            If that is not known.
        """
        message = RelayedAppend(records)
        try:
            reply = await self.post(address, Path.APPEND, message, limit_ms)
        except TransportError as exc:
            kind = AppendUnknownError if exc.sent else LogUnavailableError
            raise kind(f"{address}: {exc}") from exc
        if reply.status == 200:
            return
        if reply.status in REFUSALS:
            raise LogUnavailableError(f"{address} answers {reply.status}")
        raise AppendUnknownError(f"{address} answers {reply.status}")

    async def tell_appended(
        self, address: str, first: int, records: list[KeyedRecord]
    ) -> None:
        """Tell an entry of records that the store has acknowledged.

        Raises
        ------
        TransportError
            If it may not know of them.
        """
        message = AppendedRecords(first, records)
        await self.post(address, Path.APPENDED, message, NOTICE_MS)

    async def state(self, address: str, job: JobId) -> JobState | None:
        """Return what the leader knows of a job.

        Raises
        ------
        TransportError
            If no usable answer came.
        """
        reply = await self.post(address, Path.STATE, StateQuestion(job), STATE_MS)
        return _decode(address, reply, StateAnswer).state

    async def forward(self, address: str, req: CallerRequest) -> CallerAnswer:
        """Let another entry answer a caller.

        Raises
        ------
        StateUnavailableError
            If it can't help; nothing was done.
        TransportError
            If no usable answer came; `sent` tells whether it may have acted.
        """
        reply = await self.post(address, Path.CALLER, req, FORWARD_MS)
        if reply.status in REFUSALS:
            raise StateUnavailableError(f"{address} answers {reply.status}")
        return _decode(address, reply, CallerAnswer)

    async def watch_life(
        self, address: str, incarnation: str, on_beat: Callable[[bool], None]
    ) -> LifeSign:
        """Watch a life of another entry until it ends or falls silent.

        Parameters
        ----------
        address : str
            IP address and port of the entry.
        incarnation : str
            Life to watch.
        on_beat : callable
            Called at each sign of life with whether the entry can write.

        Returns
        -------
        LifeSign
            ``GONE`` if the life has ended for certain: another life answers, or
            nothing listens at the address. ``SILENT`` if no sign came in time.
            ``OPEN`` if the watch ended otherwise, which tells nothing.
        """
        limit = aiohttp.ClientTimeout(
            total=WATCH_S, sock_connect=self.http.connect_s, sock_read=SILENCE_S
        )
        url = f"http://{address}{Path.WATCH}{incarnation}"
        try:
            async with self.http.session.get(url, timeout=limit) as resp:
                if resp.status == 410:
                    return LifeSign.GONE
                async for beats in resp.content.iter_any():
                    on_beat(beats.endswith(BEAT))
        except aiohttp.ClientConnectorError as exc:
            refused = isinstance(exc.os_error, ConnectionRefusedError)
            return LifeSign.GONE if refused else LifeSign.OPEN
        except TimeoutError:
            return LifeSign.SILENT
        except (aiohttp.ClientError, OSError) as exc:
            why = str(exc) or type(exc).__name__
            _log.info("Watch broken", address=address, why=why)
        return LifeSign.OPEN


class RemoteAdvisor:
    """Asks the policy through another entry.

    Parameters
    ----------
    name : str
        Name of the entry.
    address : str
        Its IP address and port.
    links : EntryLinks
        Calls to entries.
    """

    def __init__(self, name: str, address: str, links: EntryLinks) -> None:
        self.name = name
        self.address = address
        self.links = links

    async def ask(self, step: StepKey, workers: list[WorkerId]) -> PolicyTickets:
        """Return the allowed workers; see `PolicyPort`."""
        message = PolicyQuestion(step, workers)
        reply = await self.links.post(self.address, Path.ASK, message, CALL_MS)
        answer = _decode(self.name, reply, PolicyAnswer)
        return PolicyTickets(answer.tickets, answer.valid_ms)


def _decode(name: str, reply: HttpReply, kind: type[T]) -> T:
    if reply.status != 200:
        raise TransportError(f"{name} answers {reply.status}", True)
    try:
        return msgspec.msgpack.decode(reply.body, type=kind)
    except msgspec.DecodeError as exc:
        raise TransportError(f"{name} answers unreadably", True) from exc
