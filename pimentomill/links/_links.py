"""Calls between the system's own entries."""

import asyncio

import aiohttp
import msgspec
from aiohttp import web

from ..control import AdviceGiven, AdvicePort
from ..exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    PimentomillError,
    TransportError,
)
from ..jobs import KeyedRecord, StepKey, WorkerId
from ..replica import Relay
from ..telemetry import PartLog

__all__ = ["LinkServer", "RemoteAdvisor", "is_gone", "relay_append"]

ASK_PATH = "/ask"
APPEND_PATH = "/append"
RELAY_S = 1.2
"""Seconds for an append through another entry, so that callers still get an answer."""
WATCH_PATH = "/watch/"
WATCH_S = 20.0
"""Seconds for which a watch is held open; it ends earlier only with the process."""
CONNECT_S = 0.3
"""Seconds to connect to another entry; a round trip takes about 1 ms."""
CLOSE_S = 0.1
"""Seconds for which a stop waits for calls of other entries."""
CALL_S = 10.0
"""Seconds for a whole call; the caller sets a closer bound itself."""

_log = PartLog("links")


class Question(msgspec.Struct, frozen=True):
    """Which of these workers may run a step."""

    step: StepKey
    workers: list[WorkerId]


class RelayedAppend(msgspec.Struct, frozen=True):
    """Records of a keyed stream to append for another entry."""

    records: list[KeyedRecord]


class Answer(msgspec.Struct, frozen=True):
    """Tickets by worker, and for how many milliseconds they can be used."""

    tickets: dict[WorkerId, str]
    valid_ms: int


class LinkServer:
    """Answers other entries' questions.

    Parameters
    ----------
    advisor : AdvicePort
        How this entry asks the policy.
    incarnation : str
        Life of this process.
    append : callable
        Appends records to the store; raises `LogUnavailableError` if nothing was
        kept and `AppendUnknownError` if that is not known.
    """

    def __init__(self, advisor: AdvicePort, incarnation: str, append: Relay) -> None:
        self.advisor = advisor
        self.incarnation = incarnation
        self.append = append
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None), shutdown_timeout=CLOSE_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        if req.path.startswith(WATCH_PATH):
            return await self._watch(req.path[len(WATCH_PATH) :])
        if req.path == APPEND_PATH:
            return await self._append(req)
        if req.path != ASK_PATH:
            return web.Response(status=404)
        try:
            question = msgspec.msgpack.decode(await req.read(), type=Question)
        except msgspec.DecodeError as exc:
            return web.Response(status=400, text=str(exc))
        try:
            given = await self.advisor.ask(question.step, question.workers)
        except PimentomillError as exc:
            return web.Response(status=503, text=str(exc))
        answer = Answer(given.tickets, given.valid_ms)
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def _append(self, req: web.BaseRequest) -> web.Response:
        try:
            relayed = msgspec.msgpack.decode(await req.read(), type=RelayedAppend)
        except msgspec.DecodeError as exc:
            return web.Response(status=400, text=str(exc))
        try:
            await self.append(relayed.records)
        except LogUnavailableError as exc:
            return web.Response(status=503, text=str(exc))
        except AppendUnknownError as exc:
            return web.Response(status=504, text=str(exc))
        return web.Response(status=200)

    async def _watch(self, incarnation: str) -> web.Response:
        """Hold the answer back for as long as the life that is meant goes on."""
        if incarnation != self.incarnation:
            return web.Response(status=410)
        await asyncio.sleep(WATCH_S)
        return web.Response(status=200)


async def relay_append(
    session: aiohttp.ClientSession, address: str, records: list[KeyedRecord]
) -> None:
    """Append records through another entry.

    Raises
    ------
    LogUnavailableError
        If nothing was kept.
    AppendUnknownError
        If the records may or may not have been kept.
    """
    body = msgspec.msgpack.encode(RelayedAppend(records))
    limit = aiohttp.ClientTimeout(total=RELAY_S, sock_connect=CONNECT_S)
    url = f"http://{address}{APPEND_PATH}"
    try:
        async with session.post(url, data=body, timeout=limit) as resp:
            status = resp.status
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise LogUnavailableError(f"{address} can't be reached") from exc
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        raise AppendUnknownError(f"{address} did not answer") from exc
    if status == 200:
        return
    if status == 504:
        raise AppendUnknownError(f"{address} does not know the outcome")
    raise LogUnavailableError(f"{address} answers {status}")


async def is_gone(
    session: aiohttp.ClientSession, address: str, incarnation: str
) -> bool:
    """Watch a life of another entry until it may have ended.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    address : str
        IP address and port of the entry.
    incarnation : str
        Life to watch.

    Returns
    -------
    bool
        Whether the life has ended for certain: another life answers, or nothing
        listens at the address.
    """
    url = f"http://{address}{WATCH_PATH}{incarnation}"
    limit = aiohttp.ClientTimeout(total=2 * WATCH_S, sock_connect=CONNECT_S)
    try:
        async with session.get(url, timeout=limit) as resp:
            return resp.status == 410
    except aiohttp.ClientConnectorError as exc:
        return isinstance(exc.os_error, ConnectionRefusedError)
    except (TimeoutError, aiohttp.ClientError, OSError):
        return False


class RemoteAdvisor:
    """Asks the policy through another entry.

    Parameters
    ----------
    name : str
        Name of the entry.
    address : str
        Its IP address and port.
    session : aiohttp.ClientSession
        Connections.
    """

    def __init__(self, name: str, address: str, session: aiohttp.ClientSession):
        self.name = name
        self.address = address
        self.session = session

    async def ask(self, step: StepKey, workers: list[WorkerId]) -> AdviceGiven:
        """Return the allowed workers.

        Raises
        ------
        TransportError
            If no usable answer came.
        """
        body = msgspec.msgpack.encode(Question(step, workers))
        url = f"http://{self.address}{ASK_PATH}"
        limit = aiohttp.ClientTimeout(total=CALL_S, sock_connect=CONNECT_S)
        try:
            async with self.session.post(url, data=body, timeout=limit) as resp:
                content = await resp.read()
                if resp.status != 200:
                    raise TransportError(f"{self.name} answers {resp.status}", True)
            answer = msgspec.msgpack.decode(content, type=Answer)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            why = str(exc) or type(exc).__name__
            raise TransportError(f"{self.name} did not answer: {why}", True) from exc
        except msgspec.DecodeError as exc:
            raise TransportError(f"{self.name} answers unreadably", True) from exc
        return AdviceGiven(answer.tickets, answer.valid_ms)
