"""Client of the platform's placement policy service."""

import asyncio

import msgspec

from ..control import PolicyTickets
from ..exceptions import TransportError
from ..httpclient import HttpClient
from ..jobs import StepKey, WorkerId
from ._tasks import format_step

__all__ = ["PlatformPolicyClient"]

JSON_HEADERS = {"Content-Type": "application/json"}
QUERY_TIMEOUT_MS = 8000
"""Timeout of a policy query. The slowest takes about 1 s, and queries may queue."""


class WirePolicyQuery(msgspec.Struct):
    """Request body: asks which of the workers may run the step."""

    step: str = msgspec.field(name="Step")
    workers: list[str] = msgspec.field(name="Workers")


class WirePolicyAnswer(msgspec.Struct):
    """Response body: rows of worker and ticket, and how long the tickets are valid."""

    tickets: list[list[str]] = msgspec.field(name="Good", default_factory=list)
    valid_ms: int = msgspec.field(name="ValidMs", default=1000)


class PlatformPolicyClient:
    """Sends the policy queries of this instance, one at a time.

    Parameters
    ----------
    name : str
        Name of the instance.
    address : str
        IP address and port of the policy service.
    http : HttpClient
        HTTP client.
    """

    def __init__(self, name: str, address: str, http: HttpClient) -> None:
        self.name = name
        self.url = f"http://{address}/advise"
        self.http = http
        self._query_lock = asyncio.Lock()

    async def ask(self, step: StepKey, workers: list[WorkerId]) -> PolicyTickets:
        """Return tickets for the allowed workers; see `PolicyPort`."""
        body = msgspec.json.encode(WirePolicyQuery(format_step(step), workers))
        async with self._query_lock:
            reply = await self.http.call(
                "POST", self.url, QUERY_TIMEOUT_MS, body, JSON_HEADERS
            )
        if reply.status != 200:
            raise TransportError(
                f"policy query rejected with status {reply.status}", False
            )
        try:
            answer = msgspec.json.decode(reply.body, type=WirePolicyAnswer)
            tickets = {WorkerId(row[0]): row[1] for row in answer.tickets}
        except (msgspec.DecodeError, IndexError) as exc:
            raise TransportError(f"policy answer unreadable: {exc}", True) from exc
        return PolicyTickets(tickets, answer.valid_ms)
