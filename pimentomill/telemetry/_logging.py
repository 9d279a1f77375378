"""Structured logs with one JSON object per line."""

import json
import os
import sys
from typing import Any, TextIO

import eliot

__all__ = ["ComponentLogger", "NonBlockingSink", "log_to_stdout", "start_logging"]


def start_logging(stream: TextIO | None = None) -> None:
    """Send logs to a stream.

    Parameters
    ----------
    stream : file object, default=None
        Destination; standard error if None.
    """
    eliot.to_file(stream if stream is not None else sys.stderr)


class ComponentLogger:
    """Logger of one component of the system.

    Parameters
    ----------
    component : str
        Name of the component, prefixed to every message.
    **fields
        Fields added to every message.

    Examples
    --------
    >>> log = ComponentLogger("ownership", entry="entry-1")
    >>> log.component
    'ownership'
    """

    def __init__(self, component: str, **fields: Any) -> None:
        self.component = component
        self.fields = fields

    def info(self, text: str, **fields: Any) -> None:
        """Log a short message at the level ``info``."""
        self._write("info", text, fields)

    def warning(self, text: str, **fields: Any) -> None:
        """Log a short message about a failure at the level ``warning``."""
        self._write("warning", text, fields)

    def _write(self, level: str, text: str, fields: dict[str, Any]) -> None:
        eliot.log_message(
            message_type=f"pimentomill:{self.component}",
            level=level,
            text=f"{self.component}: {text}",
            **self.fields,
            **fields,
        )


class NonBlockingSink:
    """Write lines to a file descriptor without blocking on a slow reader.

    Lines that arrive while an earlier one is still unsent are dropped and counted;
    the count is written before the next line that gets through.

    Parameters
    ----------
    fd : int
        File descriptor; it is set to non-blocking mode.

    Attributes
    ----------
    dropped_ : int
        Lines dropped since the count was last written.
    """

    def __init__(self, fd: int) -> None:
        self.fd = fd
        self.dropped_ = 0
        self._unsent = b""
        os.set_blocking(fd, False)

    def write(self, text: bytes | str) -> int:
        """Write a line, or drop it while an earlier line is unsent."""
        data = text.encode() if isinstance(text, str) else text
        if self.dropped_:
            notice = {"text": "log: Lines dropped", "count": self.dropped_}
            data = json.dumps(notice).encode() + b"\n" + data
        if not self._send(self._unsent):
            self.dropped_ += 1
            return len(text)
        self.dropped_ = 0
        self._send(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines are written immediately."""

    def _send(self, data: bytes) -> bool:
        """Write without blocking and buffer the remainder of a partly written line."""
        try:
            sent = os.write(self.fd, data) if data else 0
        except BlockingIOError:
            sent = 0
        self._unsent = data[sent:]
        return not self._unsent


def log_to_stdout() -> None:
    """Send logs to standard output without blocking on a slow reader."""
    eliot.to_file(NonBlockingSink(sys.stdout.fileno()))
