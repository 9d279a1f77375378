"""Log lines and counts of closed connections."""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum

from ..telemetry import ComponentLogger

__all__ = ["CloseReason", "ClosureLog"]

LOG_INTERVAL_S = 1.0
"""Interval between two log lines with the same reason."""


class CloseReason(Enum):
    """Why a connection was closed or its request refused."""

    MEMORY = "no memory left for callers"
    CONNECTIONS = "too many connections"
    HEADER_SIZE = "header too large"
    REQUEST_SIZE = "body too large"
    HEADER_TIMEOUT = "timed out waiting for the header"
    BODY_TIMEOUT = "body not sent in time"
    ANSWER_UNREAD = "answer not read in time"
    MALFORMED = "not a valid HTTP request"
    HANDSHAKE = "TLS handshake failed"
    CALLER_LEFT = "closed by the caller"


class ClosureLog:
    """Count closed connections, and log them at a bounded rate.

    The first closure with a reason is logged at once; those of the next second
    share one line.

    Parameters
    ----------
    log : ComponentLogger
        Receives the lines.
    on_closure : callable, optional
        Called with the name of the reason, in lowercase, for each closure.
    """

    def __init__(
        self,
        log: ComponentLogger,
        on_closure: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.log = log
        self.on_closure = on_closure
        self._unlogged: Counter[CloseReason] = Counter()
        self._peers: dict[CloseReason, str] = {}
        self._timers: dict[CloseReason, asyncio.TimerHandle] = {}

    def record(self, reason: CloseReason, peer: str, detail: str = "") -> None:
        """Record a closure; `detail` is logged if the closure has its own line."""
        self.on_closure(reason.name.lower())
        if reason in self._timers:
            self._unlogged[reason] += 1
            self._peers[reason] = peer
            return
        self._write(reason, 1, peer, detail)
        self._start_timer(reason)

    def _start_timer(self, reason: CloseReason) -> None:
        loop = asyncio.get_running_loop()
        self._timers[reason] = loop.call_later(LOG_INTERVAL_S, self._flush, reason)

    def _flush(self, reason: CloseReason) -> None:
        del self._timers[reason]
        count = self._unlogged.pop(reason, 0)
        if count:
            self._write(reason, count, self._peers.pop(reason), "")
            self._start_timer(reason)

    def _write(self, reason: CloseReason, count: int, peer: str, detail: str) -> None:
        details = {"detail": detail} if detail else {}
        is_lost = reason is CloseReason.CALLER_LEFT
        self.log.info(
            "Connection lost before the answer" if is_lost else "Connection closed",
            reason=reason.name.lower(),
            why=reason.value,
            count=count,
            peer=peer,
            **details,
        )
