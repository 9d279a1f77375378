"""Account of what all connections of a server hold."""

from enum import Enum, auto
from typing import Protocol

from ._closures import CloseReason
from ._limits import IngressLimits

__all__ = ["ConnectionState", "Holder", "IngressAccount"]

ORDINARY_BYTES = 32 * 1024
"""Charge up to which a request counts as an ordinary one, such as a submission."""
FREED_PARTS = 16
"""One of this many parts is freed at a time, so that few refusals need a search."""


class ConnectionState(Enum):
    """What a connection is doing.

    Attributes
    ----------
    IDLE
        No part of a request has been received.
    RECEIVING
        A request is incomplete, and nothing has been done for it.
    ANSWERING
        A complete request is being answered.
    DISCARDING
        The rest of a request that has been answered is read and dropped.
    """

    IDLE = auto()
    RECEIVING = auto()
    ANSWERING = auto()
    DISCARDING = auto()


class Holder(Protocol):
    """Connection in an account.

    Attributes
    ----------
    state_ : ConnectionState
        What the connection is doing.
    since_ : float
        Time at which the last request began or the connection was accepted, in seconds.
    base_bytes_ : int
        Charge for the connection's own objects and buffers.
    content_bytes_ : int
        Charge for what the connection holds beside them.
    """

    state_: ConnectionState
    since_: float
    base_bytes_: int
    content_bytes_: int

    def refuse(self, reason: CloseReason) -> None:
        """Refuse the request that is being received, if any, and close."""


class IngressAccount:
    """Bound on the number of connections and on what they hold.

    If there is no room, connections are closed: first those that hold more than an
    ordinary request, the largest first; then idle ones, the longest idle first; then
    incomplete requests, the longest first. Requests that are being answered stay.

    Parameters
    ----------
    limits : IngressLimits
        The bounds.

    Attributes
    ----------
    held_bytes_ : int
        Sum of all charges.
    """

    def __init__(self, limits: IngressLimits) -> None:
        self.limits = limits
        self.held_bytes_ = 0
        self._holders: dict[Holder, None] = {}

    @property
    def connection_count(self) -> int:
        """Number of connections in the account."""
        return len(self._holders)

    def open(self, holder: Holder) -> bool:
        """Add a connection; return False if there is no room for it."""
        if len(self._holders) >= self.limits.max_connections:
            self._free(CloseReason.CONNECTIONS)
            if len(self._holders) >= self.limits.max_connections:
                return False
        self._holders[holder] = None
        self.held_bytes_ += holder.base_bytes_ + holder.content_bytes_
        if self.held_bytes_ > self.limits.max_bytes:
            self._free(CloseReason.MEMORY)
        if self._is_full():
            self.close(holder)
        return holder in self._holders

    def charge(self, holder: Holder, count: int) -> None:
        """Charge bytes to a connection, which is refused if there is no room.

        A connection with a request that is being answered stays in any case.
        """
        if holder not in self._holders:
            return
        holder.content_bytes_ += count
        self.held_bytes_ += count
        if not self._is_full():
            return
        self._free(CloseReason.MEMORY)
        is_answering = holder.state_ is ConnectionState.ANSWERING
        if self._is_full() and holder in self._holders and not is_answering:
            self._evict(holder, CloseReason.MEMORY)

    def release(self, holder: Holder, count: int) -> None:
        """Give back bytes that were charged to a connection."""
        holder.content_bytes_ -= count
        if holder in self._holders:
            self.held_bytes_ -= count

    def close(self, holder: Holder) -> None:
        """Remove a connection and give back its charges; do nothing if removed."""
        if holder in self._holders:
            del self._holders[holder]
            self.held_bytes_ -= holder.base_bytes_ + holder.content_bytes_

    def _is_full(self) -> bool:
        return self.held_bytes_ > self.limits.max_bytes

    def _free(self, reason: CloseReason) -> None:
        """Close connections until a part of the bounds is free again."""
        limits = self.limits
        max_bytes = limits.max_bytes - limits.max_bytes // FREED_PARTS
        max_connections = limits.max_connections - max(
            limits.max_connections // FREED_PARTS, 1
        )
        candidates = [
            holder
            for holder in self._holders
            if holder.state_ is not ConnectionState.ANSWERING
        ]
        candidates.sort(key=_rank)
        for holder in candidates:
            has_memory = self.held_bytes_ <= max_bytes
            if reason is CloseReason.MEMORY and has_memory:
                return
            if has_memory and len(self._holders) <= max_connections:
                return
            self._evict(holder, reason)

    def _evict(self, holder: Holder, reason: CloseReason) -> None:
        self.close(holder)
        holder.refuse(reason)


def _rank(holder: Holder) -> tuple[int, float]:
    """Return the sort key of a connection; the lowest is closed first."""
    if holder.content_bytes_ > ORDINARY_BYTES:
        return 0, -holder.content_bytes_
    if holder.state_ is ConnectionState.IDLE:
        return 1, holder.since_
    return 2, holder.since_
