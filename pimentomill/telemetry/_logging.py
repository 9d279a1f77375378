"""Structured logs, one JSON object a line."""

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
        Where to write; standard error if None.
    """
    eliot.to_file(stream if stream is not None else sys.stderr)


class ComponentLogger:
    """Log of one part of the system.

    Parameters
    ----------
    part : str
        Prefix of every message.
    **fields
        Fields of every message.

    Examples
    --------
    >>> log = PartLog("ownership", entry="entry-1")
    >>> log.part
    'ownership'
    """

    def __init__(self, component: str, **fields: Any) -> None:
        self.component = component
        self.fields = fields

    def info(self, text: str, **fields: Any) -> None:
        """Log a short sentence."""
        self._write("info", text, fields)

    def warning(self, text: str, **fields: Any) -> None:
        """Log a short sentence about something that went wrong."""
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
    """Writes lines to a file descriptor and never waits for its reader.

    Lines that the reader is too slow for are dropped and counted; the count is
    written with the next line that gets through.

    Parameters
    ----------
    fd : int
        File descriptor, set to non-blocking.

    Attributes
    ----------
    dropped_ : int
        Lines dropped since the last report.
    """

    def __init__(self, fd: int) -> None:
        self.fd = fd
        self.dropped_ = 0
        self._unsent = b""
        os.set_blocking(fd, False)

    def write(self, text: bytes | str) -> int:
        """Write a line, or drop it if it can't be taken at once."""
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
        """Do nothing: lines are handed on at once."""

    def _send(self, data: bytes) -> bool:
        """Write as much as possible and keep the rest of a line that was begun."""
        try:
            sent = os.write(self.fd, data) if data else 0
        except BlockingIOError:
            sent = 0
        self._unsent = data[sent:]
        return not self._unsent


def log_to_stdout() -> None:
    """Send logs to standard output without ever waiting for its reader."""
    eliot.to_file(NonBlockingSink(sys.stdout.fileno()))
