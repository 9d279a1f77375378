"""Calls between the system's own entries."""

import aiohttp
import msgspec
from aiohttp import web

from ..control import AdviceGiven, AdvicePort
from ..exceptions import PimentomillError, TransportError
from ..jobs import StepKey, WorkerId
from ..telemetry import PartLog

__all__ = ["LinkServer", "RemoteAdvisor"]

ASK_PATH = "/ask"
CONNECT_S = 0.3
"""Seconds to connect to another entry; a round trip takes about 1 ms."""
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
    """

    def __init__(self, advisor: AdvicePort) -> None:
        self.advisor = advisor
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.Response:
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
