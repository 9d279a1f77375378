"""HTTP between simulated entries, below the product's own client and server."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace

import aiohttp
from aiohttp import web
from yarl import URL

from pimentomill.exceptions import ProcessEndedError, TransportError
from pimentomill.httpclient import HttpReply

from ._loop import PROCESS
from ._network import Endpoint, LinkKind, LostError, Network, RefusedError

__all__ = [
    "EntryEndpoint",
    "SimulatedHttp",
    "SimulatedStream",
    "StreamWeb",
    "read_simulated_body",
]

END_OF_STREAM = None
MS_PER_S = 1000
MIN_GAP_S = 1e-6
"""Seconds between the arrivals of two chunks, which keep their order."""


class EntryEndpoint(Endpoint):
    """Address of an entry.

    Attributes
    ----------
    server : LinkServer or None
        Server of the process that listens.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.server = None


class SimulatedRequest:
    """Request as a server receives it."""

    def __init__(self, method: str, url: str, body: bytes, headers, remote: str):
        self.method = method
        self.rel_url = URL(url).relative()
        self.path = self.rel_url.path
        self.query = self.rel_url.query
        self.headers = headers or {}
        self.remote = remote
        self.channel: _Channel | None = None
        self._body = body

    async def read(self) -> bytes:
        """Return the body."""
        return self._body


async def read_simulated_body(
    req: SimulatedRequest, max_bytes: int, timeout_s: float
) -> bytes:
    """Read a body in place of `read_request_body`; it has arrived and is small."""
    return await req.read()


class _Channel:
    """Carries a streamed response from a server to a client."""

    def __init__(self, network: Network, server: str, client: str) -> None:
        self.network = network
        self.server = server
        self.client = client
        self.chunks: asyncio.Queue = asyncio.Queue()
        self.is_closed = False
        self._last_at = 0.0

    def send(self, item) -> None:
        """Send a chunk, after those before; it is lost while a cut separates both."""
        if self.network.is_cut(LinkKind.ENTRY, self.client, self.server):
            return
        now = self.network.loop.time()
        self._last_at = max(self._last_at + MIN_GAP_S, now + self.network.latency_s())
        self.network.after(self._last_at - now, self.chunks.put_nowait, item)


class SimulatedStream:
    """Streamed response, in place of that of aiohttp."""

    def __init__(self, *, status: int = 200) -> None:
        self.status = status
        self._channel: _Channel | None = None

    async def prepare(self, req: SimulatedRequest) -> None:
        """Send the status."""
        self._channel = req.channel
        self._channel.send(self.status)

    async def write(self, data: bytes) -> None:
        """Send a chunk.

        Raises
        ------
        ConnectionError
            If the client has closed the connection.
        """
        if self._channel.is_closed:
            raise ConnectionResetError("closed by the client")
        self._channel.send(data)


StreamWeb = SimpleNamespace(
    Response=web.Response,
    BaseRequest=web.BaseRequest,
    StreamResponse=SimulatedStream,
)
"""Replaces the module `aiohttp.web` in the server of entries."""


class SimulatedHttp:
    """HTTP client of an entry; see `HttpClient`.

    Parameters
    ----------
    network : Network
        Network.
    find : callable
        Returns the endpoint of an address.
    """

    def __init__(self, network: Network, find: Callable[[str], EntryEndpoint]) -> None:
        self.network = network
        self.find = find
        self.connect_timeout_s = 0.5
        self.session = self

    async def call(
        self, method, url, timeout_ms, body=None, headers=None, read_timeout_ms=None
    ) -> HttpReply:
        """Send a request and return the complete response."""
        target = self.find(URL(url).authority)
        request = SimulatedRequest(
            method, url, body or b"", headers, PROCESS.get().name
        )

        async def handle() -> HttpReply:
            reply = await target.server._handle(request)
            return HttpReply(reply.status, bytes(reply.body or b""))

        try:
            return await self.network.request(
                target, LinkKind.ENTRY, handle, timeout_ms
            )
        except LostError as exc:
            raise TransportError(str(exc), sent=True) from exc
        except RefusedError as exc:
            raise ProcessEndedError("refused", sent=exc.was_sent) from exc

    def get(self, url: str, *, params=None, timeout=None) -> "_StreamedGet":
        """Open a streamed response; see `aiohttp.ClientSession.get`."""
        address = URL(url).with_query(params or {})
        target = self.find(address.authority)
        request = SimulatedRequest("GET", str(address), b"", None, PROCESS.get().name)
        return _StreamedGet(self.network, target, request, timeout)

    def post(self, url: str, *, data: bytes, timeout) -> "_Post":
        """Send a request; see `aiohttp.ClientSession.post`."""
        return _Post(self, url, data, timeout.total * MS_PER_S)


class _Post:
    """Context of a response that has been received as a whole."""

    def __init__(
        self, http: SimulatedHttp, url: str, data: bytes, timeout_ms: float
    ) -> None:
        self.http = http
        self.url = url
        self.data = data
        self.timeout_ms = timeout_ms
        self.status = 0
        self._body = b""

    async def __aenter__(self) -> "_Post":
        try:
            reply = await self.http.call("POST", self.url, self.timeout_ms, self.data)
        except ProcessEndedError as exc:
            if exc.sent:
                raise aiohttp.ServerDisconnectedError from exc
            refused = ConnectionRefusedError("refused")
            raise aiohttp.ClientConnectorError(_CONNECTION, refused) from exc
        except TransportError as exc:
            raise TimeoutError(str(exc)) from exc
        self.status, self._body = reply
        return self

    async def __aexit__(self, *exc_info) -> None:
        return None

    async def read(self) -> bytes:
        """Return the body."""
        return self._body


class _StreamedGet:
    """Context of a streamed response on the side of the client."""

    def __init__(
        self, network: Network, target: EntryEndpoint, request, timeout
    ) -> None:
        self.network = network
        self.target = target
        self.request = request
        self.timeout = timeout
        self.status = 0
        self.content = self
        self._channel = _Channel(network, target.name, request.remote)
        request.channel = self._channel

    async def __aenter__(self) -> "_StreamedGet":
        if PROCESS.get().has_ended:
            raise asyncio.CancelledError
        if not self.network.is_cut(
            LinkKind.ENTRY, self.request.remote, self.target.name
        ):
            self.network.after(self.network.latency_s(), self._deliver)
        self.status = await self._next()
        return self

    async def __aexit__(self, *exc_info) -> None:
        self._channel.is_closed = True

    def _deliver(self) -> None:
        process = self.target.process
        if process is None:
            self._channel.send(ConnectionRefusedError("refused"))
            return
        process.spawn(self._serve())

    async def _serve(self) -> None:
        try:
            reply = await self.target.server._handle(self.request)
            if isinstance(reply, web.Response):
                self._channel.send(reply.status)
            self._channel.send(END_OF_STREAM)
        except asyncio.CancelledError:
            self._channel.send(ConnectionResetError("reset"))
            raise

    async def iter_any(self):
        """Yield the chunks until the end."""
        while (item := await self._next()) is not END_OF_STREAM:
            yield item

    async def _next(self):
        async with asyncio.timeout(self.timeout.sock_read):
            item = await self._channel.chunks.get()
        if isinstance(item, ConnectionRefusedError):
            raise aiohttp.ClientConnectorError(_CONNECTION, item)
        if isinstance(item, ConnectionResetError):
            raise aiohttp.ClientOSError("reset")
        return item


_CONNECTION = SimpleNamespace(ssl=False, host="entry", port=0, is_ssl=False)
