"""HTTP client for the API of an entry."""

import os
from typing import Any

import msgspec
import urllib3

from ..exceptions import TransportError, UnauthorizedError, ValidationError

__all__ = ["EntryClient", "read_key"]

REQUEST_TIMEOUT_S = 15.0
FIRST_ERROR_STATUS = 400


def read_key(variable: str) -> str:
    """Read an API key from the environment.

    An argument of the command line would be visible in process lists.

    Raises
    ------
    UnauthorizedError
        If the variable is not set.
    """
    value = os.environ.get(variable, "")
    if not value:
        raise UnauthorizedError(f"set {variable} to the key to use")
    return value


class EntryClient:
    """Client for the API of an entry.

    Parameters
    ----------
    url : str
        Base URL of an entry or of the load balancer in front of the entries.
    key : str
        API key of a team or an operator.
    ca_file : str, default=""
        Path of the CA certificates, PEM; empty for those of the system.
    """

    def __init__(self, url: str, key: str, ca_file: str = "") -> None:
        self.url = url
        self.key = key
        self.ca_file = ca_file
        self._pool = urllib3.PoolManager(retries=False, ca_certs=ca_file or None)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Send a request and return the body of the response.

        Raises
        ------
        TransportError
            If no response was received.
        ValidationError
            If the entry rejected the request; the message is that of the entry.
        """
        all_headers = {"Authorization": f"Bearer {self.key}", **(headers or {})}
        try:
            response = self._pool.request(
                method,
                self.url + path,
                body=body,
                headers=all_headers,
                timeout=REQUEST_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise TransportError(f"no answer from {self.url}: {exc}", True) from exc
        if response.status >= FIRST_ERROR_STATUS:
            raise ValidationError(_format_error(response.status, response.data))
        return response.data


def _format_error(status: int, data: bytes) -> str:
    try:
        body: Any = msgspec.json.decode(data)
        message = body["message"]
        column = body.get("column", 0)
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError):
        return f"status {status}"
    location = f" (column {column})" if column else ""
    return f"status {status}: {message}{location}"
