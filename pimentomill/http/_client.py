"""HTTP client for control traffic."""

import urllib3
from urllib3.util import SKIP_HEADER

from ..utils import TrafficMeter, header_bytes

__all__ = ["MeteredClient", "is_unsent"]

REQUEST_LINE_BYTES = 64
STATUS_LINE_BYTES = 17
UNSENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
SKIPPED_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}


def is_unsent(exc: urllib3.exceptions.HTTPError) -> bool:
    """Return whether an error proves that the request was not sent."""
    return isinstance(exc, UNSENT_ERRORS)


class MeteredClient:
    """HTTP client with persistent connections that counts its traffic.

    Parameters
    ----------
    meter : TrafficMeter
        Counts the bytes of requests and responses.
    connections_per_host : int, default=2
        Maximum number of pooled connections to each host.
    max_hosts : int, default=256
        Maximum number of hosts with pooled connections.
    """

    def __init__(
        self, meter: TrafficMeter, connections_per_host: int = 2, max_hosts: int = 256
    ) -> None:
        self.meter = meter
        self.connections_per_host = connections_per_host
        self.max_hosts = max_hosts
        self._pool = urllib3.PoolManager(
            num_pools=max_hosts, maxsize=connections_per_host, retries=False
        )

    def post(
        self, url: str, body: bytes, connect_timeout_s: float, read_timeout_s: float
    ) -> urllib3.BaseHTTPResponse:
        """Send a POST request without retries and return the response; see `call`."""
        timeout = urllib3.Timeout(connect=connect_timeout_s, read=read_timeout_s)
        return self.call("POST", url, body, {}, timeout)

    def call(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str],
        timeout: urllib3.Timeout,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request without retries and return the complete response.

        Parameters
        ----------
        method : str
            HTTP method.
        url : str
            Target of the request.
        body : bytes
            Request body.
        headers : dict
            Headers in addition to the mandatory ones.
        timeout : urllib3.Timeout
            Timeouts for the connection and for the response.

        Returns
        -------
        urllib3.BaseHTTPResponse
            Complete response.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If no complete response arrived; see `is_unsent`.
        """
        response = self._pool.request(
            method,
            url,
            body=body or None,
            headers={**SKIPPED_HEADERS, **headers},
            timeout=timeout,
        )
        received = STATUS_LINE_BYTES + header_bytes(response.headers)
        self.meter.add(
            REQUEST_LINE_BYTES + len(url) + header_bytes(headers) + len(body),
            received + len(response.data),
        )
        return response
