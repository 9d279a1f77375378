"""Calls between the system's own entries."""

import asyncio
import enum
from collections.abc import Callable

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

__all__ = ["LifeSign", "LinkServer", "RemoteAdvisor", "relay_append", "watch_life"]

ASK_PATH = "/ask"
APPEND_PATH = "/append"
RELAY_S = 1.2
"""Seconds for an append through another entry, so that callers still get an answer."""
WATCH_PATH = "/watch/"
WATCH_S = 20.0
"""Seconds for which a watch is held open; it ends earlier only with the process."""
BEAT_S = 0.15
"""Seconds between two signs of life on a watch; three fit into the silence below."""
SILENCE_S = 0.5
"""Seconds without one after which the other entry, or the way to it, is in trouble."""
CONNECT_S = 0.3
"""Seconds to connect to another entry; a round trip takes about 1 ms."""
CLOSE_S = 0.1
"""Seconds for which a stop waits for calls of other entries."""
CALL_S = 10.0
"""Seconds for a whole call; the caller sets a closer bound itself."""

_log = PartLog("links")


class LifeSign(enum.Enum):
    """How a watch of another entry's life ended."""

    GONE = "gone"
    SILENT = "silent"
    OPEN = "open"


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

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path.startswith(WATCH_PATH):
            return await self._watch(req)
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

    async def _watch(self, req: web.BaseRequest) -> web.StreamResponse:
        """Give signs of life for as long as the life that is meant goes on."""
        if req.path[len(WATCH_PATH) :] != self.incarnation:
            return web.Response(status=410)
        resp = web.StreamResponse()
        await resp.prepare(req)
        loop = asyncio.get_running_loop()
        until = loop.time() + WATCH_S
        try:
            while loop.time() < until:
                await resp.write(b".")
                await asyncio.sleep(BEAT_S)
        except ConnectionError as exc:
            _log.info("Watch left", peer=req.remote, why=str(exc))
        return resp


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


async def watch_life(
    session: aiohttp.ClientSession,
    address: str,
    incarnation: str,
    on_beat: Callable[[], None],
) -> LifeSign:
    """Watch a life of another entry until it ends or falls silent.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    address : str
        IP address and port of the entry.
    incarnation : str
        Life to watch.
    on_beat : callable
        Called at each sign of life.

    Returns
    -------
    LifeSign
        ``GONE`` if the life has ended for certain: another life answers, or nothing
        listens at the address. ``SILENT`` if no sign came in time. ``OPEN`` if the
        watch ended otherwise, which tells nothing.
    """
    url = f"http://{address}{WATCH_PATH}{incarnation}"
    limit = aiohttp.ClientTimeout(
        total=2 * WATCH_S, sock_connect=CONNECT_S, sock_read=SILENCE_S
    )
    try:
        async with session.get(url, timeout=limit) as resp:
            if resp.status == 410:
                return LifeSign.GONE
            async for _ in resp.content.iter_any():
                on_beat()
    except aiohttp.ClientConnectorError as exc:
        refused = isinstance(exc.os_error, ConnectionRefusedError)
        return LifeSign.GONE if refused else LifeSign.OPEN
    except TimeoutError:
        return LifeSign.SILENT
    except (aiohttp.ClientError, OSError) as exc:
        _log.info("Watch broken", address=address, why=str(exc) or type(exc).__name__)
    return LifeSign.OPEN


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
