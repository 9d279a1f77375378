"""Questions to the service that knows queues' policies."""

import asyncio

import msgspec

from ..control import PolicyTickets
from ..exceptions import TransportError
from ..httpclient import HttpCaller
from ..jobs import StepKey, WorkerId
from ._tasks import format_step

__all__ = ["PlatformPolicyClient"]

JSON_HEADERS = {"Content-Type": "application/json"}
QUERY_TIMEOUT_MS = 8000
"""Milliseconds for a question; the slowest takes about 1 s, and some may wait."""


class WirePolicyQuery(msgspec.Struct):
    """Which of these workers may run a step."""

    step: str = msgspec.field(name="Step")
    workers: list[str] = msgspec.field(name="Workers")


class WirePolicyAnswer(msgspec.Struct):
    """Rows of worker and ticket, and how long the tickets can be used."""

    tickets: list[list[str]] = msgspec.field(name="Good", default_factory=list)
    valid_ms: int = msgspec.field(name="ValidMs", default=1000)


class PlatformPolicyClient:
    """Asks for this instance, one question at a time.

    Parameters
    ----------
    name : str
        Name of the instance.
    address : str
        IP address and port of the service.
    http : HttpCaller
        Connections.
    """

    def __init__(self, name: str, address: str, http: HttpCaller) -> None:
        self.name = name
        self.url = f"http://{address}/advise"
        self.http = http
        self._query_lock = asyncio.Lock()

    async def ask(self, step: StepKey, workers: list[WorkerId]) -> PolicyTickets:
        """Return the allowed workers; see `PolicyPort`."""
        body = msgspec.json.encode(WirePolicyQuery(format_step(step), workers))
        async with self._query_lock:
            reply = await self.http.call(
                "POST", self.url, QUERY_TIMEOUT_MS, body, JSON_HEADERS
            )
        if reply.status != 200:
            raise TransportError(f"question refused with {reply.status}", False)
        try:
            answer = msgspec.json.decode(reply.body, type=WirePolicyAnswer)
            tickets = {WorkerId(row[0]): row[1] for row in answer.tickets}
        except (msgspec.DecodeError, IndexError) as exc:
            raise TransportError(f"answer unreadable: {exc}", True) from exc
        return PolicyTickets(tickets, answer.valid_ms)
