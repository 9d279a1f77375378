"""Structured logs, one JSON object a line."""

import sys
from typing import Any, TextIO

import eliot

__all__ = ["PartLog", "start_logging"]


def start_logging(stream: TextIO | None = None) -> None:
    """Send logs to a stream.

    Parameters
    ----------
    stream : file object, default=None
        Where to write; standard error if None.
    """
    eliot.to_file(stream if stream is not None else sys.stderr)


class PartLog:
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

    def __init__(self, part: str, **fields: Any) -> None:
        self.part = part
        self.fields = fields

    def info(self, sentence: str, **fields: Any) -> None:
        """Log a short sentence."""
        self._write("info", sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log a short sentence about something that went wrong."""
        self._write("warning", sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        eliot.log_message(
            message_type=f"pimentomill:{self.part}",
            level=level,
            text=f"{self.part}: {sentence}",
            **self.fields,
            **fields,
        )
