"""HTTP client for the platform's log and instance list."""

import msgspec
import urllib3

from ..exceptions import AppendUnknownError, LogUnavailableError
from ..http import MeteredClient, is_unsent
from ..utils import Offset, StreamName, TrafficMeter
from ._messages import (
    Appended,
    AppendRequest,
    Instance,
    InstanceList,
    ReadRequest,
    ReadResult,
)

__all__ = ["PlatformClient"]

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class PlatformClient:
    """HTTP client for the platform's log and instance list.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://10.0.0.5:7000``.
    connections : int, default=4
        Number of pooled connections.
    meter : TrafficMeter or None, default=None
        Counter of the bytes sent and received; None for a private one.

    Notes
    -----
    The client retries nothing: whether an append can be repeated safely depends
    on the identity of its records, which only the caller knows.
    """

    def __init__(
        self, url: str, connections: int = 4, meter: TrafficMeter | None = None
    ) -> None:
        self.url = url
        self.connections = connections
        self.meter = meter
        self._instances: list[Instance] = []
        self._instances_etag = ""
        self._http = MeteredClient(meter or TrafficMeter(), connections, max_hosts=1)

    def append(self, stream: StreamName, records: list[bytes]) -> Offset:
        """Append records to a stream.

        Parameters
        ----------
        stream : StreamName
            Stream to append to.
        records : list of bytes
            Payloads, appended atomically and in order.

        Returns
        -------
        Offset
            Offset of the first record.

        Raises
        ------
        LogUnavailableError
            If nothing was appended.
        AppendUnknownError
            If the response was lost or invalid, so that the outcome is unknown.
        """
        body = msgspec.json.encode(AppendRequest(records))
        try:
            response = self._post(f"/v1/streams/{stream}/append", body)
        except urllib3.exceptions.HTTPError as exc:
            if is_unsent(exc):
                raise LogUnavailableError(
                    f"platform log is unreachable: {exc}"
                ) from exc
            raise AppendUnknownError(f"response to the append was lost: {exc}") from exc
        if response.status in (429, 503):
            raise LogUnavailableError(
                f"platform log rejected the append with status {response.status}"
            )
        if response.status != HTTP_OK:
            raise AppendUnknownError(
                f"platform log responded with status {response.status}"
            )
        try:
            return msgspec.json.decode(response.data, type=Appended).offset
        except msgspec.DecodeError as exc:
            raise AppendUnknownError(
                f"response to the append is malformed: {exc}"
            ) from exc

    def read(self, req: ReadRequest) -> ReadResult:
        """Read from several streams in one call.

        Parameters
        ----------
        req : ReadRequest
            Positions, and how long to wait for new records.

        Returns
        -------
        ReadResult
            Streams with new records.

        Raises
        ------
        LogUnavailableError
            If the log can't be read.
        """
        timeout_s = READ_TIMEOUT_S + req.wait_ms / 1000
        return self._fetch("/v1/read", msgspec.json.encode(req), ReadResult, timeout_s)

    def instances(self) -> list[Instance]:
        """Return the instance list.

        Returns
        -------
        list of Instance
            The platform's current list, which lags behind the instances. It is
            transferred only if it has changed since the last call.

        Raises
        ------
        LogUnavailableError
            If the list can't be read.
        """
        headers = (
            {"If-None-Match": self._instances_etag} if self._instances_etag else {}
        )
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        url = self.url + "/v1/instances"
        try:
            response = self._http.call("GET", url, b"", headers, timeout)
        except urllib3.exceptions.HTTPError as exc:
            raise LogUnavailableError(f"platform is unreachable: {exc}") from exc
        if response.status == HTTP_NOT_MODIFIED:
            return self._instances
        self._instances = _decode_response(response, InstanceList).instances
        self._instances_etag = response.headers.get("ETag", "")
        return self._instances

    def _fetch(self, path: str, body: bytes, message_type: type, timeout_s: float):
        try:
            response = self._post(path, body, timeout_s)
        except urllib3.exceptions.HTTPError as exc:
            raise LogUnavailableError(f"platform is unreachable: {exc}") from exc
        return _decode_response(response, message_type)

    def _post(self, path: str, body: bytes, timeout_s: float = READ_TIMEOUT_S):
        return self._http.post(self.url + path, body, CONNECT_TIMEOUT_S, timeout_s)


def _decode_response(response: urllib3.BaseHTTPResponse, message_type: type):
    """Decode a response of the platform."""
    if response.status != HTTP_OK:
        raise LogUnavailableError(f"platform responded with status {response.status}")
    try:
        return msgspec.json.decode(response.data, type=message_type)
    except msgspec.DecodeError as exc:
        raise LogUnavailableError(f"platform response is malformed: {exc}") from exc
