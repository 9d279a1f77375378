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
    """Return whether an error proves that a request did not leave."""
    return isinstance(exc, UNSENT_ERRORS)


class MeteredClient:
    """Post bodies over kept connections, and count the bytes.

    Parameters
    ----------
    meter : TrafficMeter
        Where bytes are counted.
    connections : int, default=2
        Connections kept to each address.
    addresses : int, default=256
        Addresses that connections are kept to.
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
        """Post a body once and return the whole answer; see `call`."""
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
        """Make a call once and return the whole answer.

        Parameters
        ----------
        method : str
            HTTP method.
        url : str
            Where to.
        body : bytes
            What to send.
        headers : dict
            Headers besides the necessary ones.
        timeout : urllib3.Timeout
            How long to wait for the connection and for the answer.

        Returns
        -------
        urllib3.BaseHTTPResponse
            The answer.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If there is no whole answer; see `is_unsent`.
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
