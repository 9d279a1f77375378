"""Asynchronous HTTP client with persistent connections."""

import asyncio
import errno
from typing import NamedTuple
from urllib.parse import urlsplit

import aiohttp

from ..exceptions import ProcessEndedError, TransportError
from ..telemetry import ComponentLogger

__all__ = ["HttpClient", "HttpReply"]

CONNECT_TIMEOUT_S = 0.5
"""Shorter than the about 1 s after which TCP retransmits a lost SYN packet."""
KEEPALIVE_TIMEOUT_S = 60.0
"""Idle connections stay open for reuse: each new one costs a round trip."""
MAX_RENEWED_ADDRESSES = 256
"""Addresses with connections of their own after a renewal; bounds the memory."""
CLOSE_DELAY_S = 10.0
"""Seconds in which requests on replaced connections may end."""
MAX_REASON_CHARS = 200
"""Most characters of an address or an error in a message; bounds the log."""

_log = ComponentLogger("http")


class HttpReply(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes


class HttpClient:
    """Send requests over persistent connections.

    Parameters
    ----------
    connections_per_host : int
        Maximum number of connections to one address.
    connect_timeout_s : float, default=0.5
        Timeout in seconds to establish a connection.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Underlying session, for responses that are streamed.
    """

    def __init__(
        self, connections_per_host: int, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        self.connections_per_host = connections_per_host
        self.connect_timeout_s = connect_timeout_s
        self.session = self._open_session()
        self._renewed: dict[str, aiohttp.ClientSession] = {}
        self._closing: dict[asyncio.Task, aiohttp.ClientSession] = {}

    def _open_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=self.connections_per_host,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            use_dns_cache=False,
        )
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Close all connections."""
        closing, self._closing = self._closing, {}
        for task in closing:
            task.cancel()
        for session in (self.session, *self._renewed.values(), *closing.values()):
            await session.close()

    def _session_for(self, url: str) -> aiohttp.ClientSession:
        if not self._renewed:
            return self.session
        return self._renewed.get(urlsplit(url).netloc, self.session)

    def _renew(self, url: str) -> None:
        """Use new connections to the address of a URL from now on.

        Those that are open may be silent for good. Requests under way there go on.
        """
        address = urlsplit(url).netloc
        replaced = [self._renewed.pop(address, None)]
        if len(self._renewed) >= MAX_RENEWED_ADDRESSES:
            replaced.append(self._renewed.pop(next(iter(self._renewed))))
        self._renewed[address] = self._open_session()
        _log.info("New connections after a request without an answer", address=address)
        for session in replaced:
            if session is not None:
                task = asyncio.get_running_loop().create_task(_close_later(session))
                self._closing[task] = session
                task.add_done_callback(lambda done: self._closing.pop(done, None))

    async def call(
        self,
        method: str,
        url: str,
        timeout_ms: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        read_timeout_ms: float | None = None,
        renews: bool = False,
    ) -> HttpReply:
        """Send a request and return the complete response.

        Parameters
        ----------
        method, url : str
            HTTP method and URL.
        timeout_ms : float
            Timeout in milliseconds for the complete response.
        body : bytes, default=None
            Request body.
        headers : dict of str to str, default=None
            Additional headers.
        read_timeout_ms : float, default=None
            Maximum milliseconds between two received bytes, after which the response
            counts as lost; if None, only `timeout_ms` applies.
        renews : bool, default=False
            Whether later requests to the address use new connections if this one gets
            no answer in time.

        Raises
        ------
        TransportError
            If no complete response arrived; `sent` states whether the request may
            have been executed. It is a `ProcessEndedError` if the connection was
            refused or closed. An address that can't be used is such an error, too.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1000,
            sock_connect=self.connect_timeout_s,
            sock_read=read_timeout_ms / 1000 if read_timeout_ms is not None else None,
        )
        content = bytearray()
        try:
            async with self._session_for(url).request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as resp:
                async for chunk in resp.content.iter_any():
                    content += chunk
                return HttpReply(resp.status, bytes(content))
        except aiohttp.ConnectionTimeoutError as exc:
            raise TransportError("connection timed out", sent=False) from exc
        except aiohttp.ClientConnectorError as exc:
            refused = isinstance(exc.os_error, ConnectionRefusedError)
            error_type = ProcessEndedError if refused else TransportError
            raise error_type(f"connection failed: {exc.os_error}", sent=False) from exc
        except aiohttp.SocketTimeoutError as exc:
            received = f"{len(content)} bytes, then none" if content else "no answer"
            reason = f"{received} for {read_timeout_ms:.0f} ms"
            raise TransportError(reason, sent=True) from exc
        except TimeoutError as exc:
            if renews:
                self._renew(url)
            received = f"{len(content)} bytes, but no complete" if content else "no"
            reason = f"{received} answer within {timeout_ms:.0f} ms"
            raise TransportError(reason, sent=True) from exc
        except (aiohttp.InvalidURL, UnicodeError) as exc:
            # Neither yields a host to connect to.
            reason = f"address can't be used: {_shortened(url)}"
            raise TransportError(reason, sent=False) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            reason = _shortened(str(exc)) or type(exc).__name__
            error_type = ProcessEndedError if _is_closed(exc) else TransportError
            raise error_type(reason, sent=True) from exc


async def _close_later(session: aiohttp.ClientSession) -> None:
    await asyncio.sleep(CLOSE_DELAY_S)
    await session.close()


def _shortened(text: str) -> str:
    return text if len(text) <= MAX_REASON_CHARS else f"{text[:MAX_REASON_CHARS]}..."


def _is_closed(exc: BaseException | None) -> bool:
    """Return whether the other side has closed the connection before its answer.

    A failed write of a request body has the closed connection as its cause.
    """
    if isinstance(exc, aiohttp.ServerDisconnectedError | ConnectionError):
        return True
    if not isinstance(exc, OSError):
        return False
    is_reset = exc.errno in (errno.ECONNRESET, errno.EPIPE)
    return is_reset or _is_closed(exc.__cause__)
