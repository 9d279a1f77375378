"""HTTP calls over kept connections."""

from typing import NamedTuple

import aiohttp

from ..exceptions import TransportError

__all__ = ["HttpClient", "HttpReply"]

CONNECT_TIMEOUT_S = 0.5
"""Seconds to connect; a lost opening packet is sent again after about 1 s."""
KEEPALIVE_TIMEOUT_S = 60.0
"""Seconds for which a connection is kept: each new one costs a round trip."""


class HttpReply(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpClient:
    """Sends requests over kept connections.

    Parameters
    ----------
    connections_per_host : int
        Most connections to one address.
    connect_s : float, default=0.5
        Seconds to connect.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Connections, for answers that are read as they come.
    """

    def __init__(
        self, connections_per_host: int, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections_per_host,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            use_dns_cache=False,
        )
        self.session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def call(
        self,
        method: str,
        url: str,
        timeout_ms: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        read_timeout_ms: float | None = None,
    ) -> HttpReply:
        """Send a request and return the whole answer.

        Parameters
        ----------
        method, url : str
            What is called.
        timeout_ms : float
            Milliseconds for the whole answer.
        body : bytes, default=None
            What is sent.
        headers : dict of str to str, default=None
            Further headers.
        silence_ms : float, default=None
            Milliseconds without any byte after which the answer counts as lost; only
            the whole time is bounded if None.

        Raises
        ------
        TransportError
            If no whole answer came; `sent` tells whether the request may have
            been carried out.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1000,
            sock_connect=self.connect_timeout_s,
            sock_read=read_timeout_ms / 1000 if read_timeout_ms is not None else None,
        )
        content = bytearray()
        try:
            async with self.session.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as resp:
                async for chunk in resp.content.iter_any():
                    content += chunk
                return HttpReply(resp.status, bytes(content))
        except aiohttp.ConnectionTimeoutError as exc:
            raise TransportError("connecting took too long", sent=False) from exc
        except aiohttp.ClientConnectorError as exc:
            raise TransportError(f"can't connect: {exc.os_error}", sent=False) from exc
        except aiohttp.SocketTimeoutError as exc:
            received = f"{len(content)} bytes, then none" if content else "no answer"
            reason = f"{received} for {read_timeout_ms:.0f} ms"
            raise TransportError(reason, sent=True) from exc
        except TimeoutError as exc:
            received = f"{len(content)} bytes, but no whole" if content else "no"
            reason = f"{received} answer within {timeout_ms:.0f} ms"
            raise TransportError(reason, sent=True) from exc
        except (aiohttp.ClientError, OSError) as exc:
            reason = str(exc) or type(exc).__name__
            raise TransportError(reason, sent=True) from exc
