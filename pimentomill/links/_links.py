"""Calls between the system's own entries."""

import asyncio

import aiohttp
import msgspec
from aiohttp import web

from ..control import AdviceGiven, AdvicePort
from ..exceptions import PimentomillError, TransportError
from ..jobs import StepKey, WorkerId
from ..telemetry import PartLog

__all__ = ["LinkServer", "RemoteAdvisor", "is_gone"]

ASK_PATH = "/ask"
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
    """

    def __init__(self, advisor: AdvicePort, incarnation: str) -> None:
        self.advisor = advisor
        self.incarnation = incarnation
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

    async def _watch(self, incarnation: str) -> web.Response:
        """Hold the answer back for as long as the life that is meant goes on."""
        if incarnation != self.incarnation:
            return web.Response(status=410)
        await asyncio.sleep(WATCH_S)
        return web.Response(status=200)


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
