"""HTTP client of the command line."""

import os
from typing import Any

import msgspec
import urllib3

from ..exceptions import TransportError, UnauthorizedError, ValidationError

__all__ = ["EntryClient", "read_key"]

REQUEST_TIMEOUT_S = 15.0
FIRST_ERROR_STATUS = 400


def read_key(variable: str) -> str:
    """Return a key from the environment, so that it shows in no process list.

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
    """Talk to an entry.

    Parameters
    ----------
    url : str
        Base address of an entry or of the balancer before the entries.
    key : str
        Key of a team or an operator.
    ca_file : str, default=""
        Certificates to trust, PEM; the system's if empty.
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
        """Make a call and return the body of its answer.

        Raises
        ------
        TransportError
            If there was no answer.
        ValidationError
            If the entry refused the call; the message is the entry's.
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
