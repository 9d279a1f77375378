"""Accounting of control traffic."""

import threading
from collections.abc import Mapping

__all__ = ["TrafficMeter", "header_bytes"]

LINE_OVERHEAD_BYTES = 4  # ": " and CRLF


def header_bytes(headers: Mapping[str, str]) -> int:
    """Return the size in bytes of header lines, with separators and line ends."""
    return sum(len(k) + len(v) + LINE_OVERHEAD_BYTES for k, v in headers.items())


class TrafficMeter:
    """Count bytes sent and received at the HTTP and message level.

    Attributes
    ----------
    sent_, received_ : int
        Total bytes so far.
    """

    def __init__(self) -> None:
        self.sent_ = 0
        self.received_ = 0
        self._lock = threading.Lock()

    def add(self, sent: int, received: int) -> None:
        """Add the bytes of a message and its answer."""
        with self._lock:
            self.sent_ += sent
            self.received_ += received
