"""Connection of a client, with bounds that hold while bytes arrive."""

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from ._account import ConnectionState
from ._closures import CloseReason
from ._limits import MESSAGE_BYTES, RECEIVE_BUFFER_BYTES, RETRY_AFTER_S

if TYPE_CHECKING:
    from ._server import IngressServer

__all__ = ["IngressConnection"]

PIECE_BYTES = RECEIVE_BUFFER_BYTES
"""Maximum size of a piece that is read from a socket."""
PARSED_BYTES = 2048
"""Size of what is parsed at a time while bytes wait; chunks of one byte take far longer
than other bytes."""
BODY_BUFFER_BYTES = 32 * 1024
"""Bytes of a body from which on its connection is read only as the body is consumed."""
CHARGE_PER_BYTE = 2
"""Bytes charged per byte received, as a complete body exists twice for a moment."""
LINGER_S = 2.0
"""How long the rest of a refused body is read, so that the answer is not lost."""
FLUSH_TIMEOUT_S = 2.0
"""How long a closed connection may take to send what remains."""
STATUS_BY_REASON = {
    CloseReason.MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
    CloseReason.CONNECTIONS: HTTPStatus.SERVICE_UNAVAILABLE,
    CloseReason.HEADER_SIZE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    CloseReason.REQUEST_SIZE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}
"""Status of the answer to an incomplete request; other reasons have no answer."""


class IngressConnection(web.RequestHandler):
    """HTTP connection whose memory is charged to an account.

    Parameters
    ----------
    server : IngressServer
        Server of the connection.
    peer : str
        Address of the client.
    base_bytes : int
        Charge for the objects and buffers of the connection.
    options : dict
        Options of `aiohttp.web.RequestHandler`.

    Attributes
    ----------
    state_, since_, base_bytes_, content_bytes_
        See `Holder`.
    received_bytes_ : int
        Bytes received since the last request was answered, also of further requests.
    opening : asyncio.Task or None
        Sets up the transport, with the TLS handshake if any; None once it is there.
    is_refused_ : bool
        Whether the request was refused or the connection closed, so that nothing more
        may be carried out.
    """

    def __init__(
        self, server: "IngressServer", peer: str, base_bytes: int, **options
    ) -> None:
        super().__init__(
            server,
            read_bufsize=BODY_BUFFER_BYTES,
            lingering_time=LINGER_S,
            auto_decompress=False,
            **options,
        )
        self.server = server
        self.peer = peer
        self.opening: asyncio.Task | None = None
        self.state_ = ConnectionState.IDLE
        self.since_ = self._loop.time()
        self.base_bytes_ = base_bytes
        self.content_bytes_ = 0
        self._socket_transport: asyncio.Transport | None = None
        self.received_bytes_ = 0
        self.is_refused_ = False
        self._is_header_received = False
        self._is_held_by_parser = False
        self._pending: list[bytes] = []
        self._is_deferred = False
        self._header_timer: asyncio.TimerHandle | None = None
        self._unsent_timer: asyncio.TimerHandle | None = None
        self._unsent_bytes = 0

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bound what the transport reads at once and what it buffers."""
        super().connection_made(transport)
        self._socket_transport = transport
        # Unsent bytes pause writing, so that unread answers are noticed. TLS transports
        # would pause for good with a limit of 0.
        transport.set_write_buffer_limits(high=1, low=0)
        if hasattr(transport, "max_size"):
            transport.max_size = PIECE_BYTES

    def data_received(self, data: bytes) -> None:
        """Charge received bytes and parse them, now or in a later iteration."""
        if not data:
            # The parser goes on with what it has buffered.
            super().data_received(data)
            return
        if self._force_close:
            return
        if self.state_ is ConnectionState.IDLE:
            self._begin_request()
        self._charge(CHARGE_PER_BYTE * len(data))
        if self._force_close:
            return
        pacer = self.server.pacer
        if self._pending or self._is_busy() or not pacer.has_time():
            self._pending.append(data)
            self._update_reading()
            self._parse_later()
            return
        pacer.run(self._parse, data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back all charges, and log a caller that left without an answer."""
        if self.state_ is not ConnectionState.IDLE and not self._force_close:
            self.server.closures.record(CloseReason.CALLER_LEFT, self.peer)
        self.server.account.close(self)
        self._pending.clear()
        self._cancel_header_timer()
        self._cancel_unsent_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Charge unsent bytes, and limit how long they may wait for their reader."""
        super().pause_writing()
        self._unsent_bytes = self._socket_transport.get_write_buffer_size()
        self._charge(self._unsent_bytes)
        self._unsent_timer = self._loop.call_later(
            self.server.bounds().answer_timeout_s, self._on_unread
        )

    def resume_writing(self) -> None:
        """Give back what has been sent."""
        self._cancel_unsent_timer()
        self.server.account.release(self, self._unsent_bytes)
        self._unsent_bytes = 0
        super().resume_writing()

    # Progress of a request, as told by the server.

    def begin_answer(self, req: web.BaseRequest) -> None:
        """Note that a request's header is complete and its handler runs."""
        self._cancel_header_timer()
        if req.content.is_eof():
            self.mark_received()
        else:
            self._parse_later()

    def mark_received(self) -> None:
        """Note that the request is complete and may be carried out."""
        self.state_ = ConnectionState.ANSWERING

    def end_answer(self, is_complete: bool) -> None:
        """Give back what the request held; `is_complete` tells if all was received."""
        kept = self._unsent_bytes + len(self._messages) * MESSAGE_BYTES
        if self._pending:
            kept += CHARGE_PER_BYTE * sum(map(len, self._pending))
        self.server.account.release(self, self.content_bytes_ - kept)
        self._is_header_received = bool(self._messages)
        if not self._messages:
            self.received_bytes_ = 0
        if not is_complete:
            self.state_ = ConnectionState.DISCARDING
        elif self._messages or self._pending:
            self._begin_request()
        else:
            self.state_ = ConnectionState.IDLE
        self._parse_later()

    # Refusals.

    def refuse(self, reason: CloseReason) -> None:
        """Refuse the request that is being received, if any, and close."""
        if self._force_close:
            return
        self.is_refused_ = True
        self.server.closures.record(reason, self.peer)
        status = STATUS_BY_REASON.get(reason)
        transport = self.transport
        if transport is None:
            if self.opening is not None:
                self.opening.cancel()
        elif self.state_ is ConnectionState.RECEIVING and status is not None:
            transport.write(self._encode_refusal(status, reason))
        self.force_close()

    def force_close(self) -> None:
        """Close the connection, with a limit on how long unsent bytes are kept."""
        transport = self.transport
        has_unsent = transport is not None and transport.get_write_buffer_size() > 0
        super().force_close()
        self._cancel_header_timer()
        self._pending.clear()
        if has_unsent:
            self._loop.call_later(FLUSH_TIMEOUT_S, transport.abort)

    def _encode_refusal(self, status: HTTPStatus, reason: CloseReason) -> bytes:
        content_type, body = self.server.encode_error(status, reason.value)
        lines = [
            f"HTTP/1.1 {status:d} {status.phrase}",
            f"Content-Type: {content_type}",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            lines.append(f"Retry-After: {RETRY_AFTER_S}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    # Parsing.

    def _begin_request(self) -> None:
        self.state_ = ConnectionState.RECEIVING
        self.since_ = self._loop.time()

    def _is_busy(self) -> bool:
        """Return whether what is received now belongs to a later request."""
        return self.state_ is ConnectionState.ANSWERING or bool(self._messages)

    def _parse_later(self) -> None:
        """Let bytes that wait be parsed, unless they belong to a later request."""
        if self._pending and not self._is_deferred and not self._is_busy():
            self._is_deferred = True
            self.server.pacer.defer(self.received_bytes_, self._parse_pending)

    def _parse_pending(self) -> None:
        """Parse some of the bytes that wait."""
        self._is_deferred = False
        if self._force_close or self._is_busy():
            return
        data = b"".join(self._pending)
        rest = data[PARSED_BYTES:]
        self._pending = [rest] if rest else []
        self._update_reading()
        if data:
            self._parse(data[:PARSED_BYTES])
        self._parse_later()

    def _parse(self, data: bytes) -> None:
        self.received_bytes_ += len(data)
        count = self._request_count
        super().data_received(data)
        arrived = self._request_count - count
        if arrived:
            self._is_header_received = True
            self._cancel_header_timer()
        # The objects of one request are in the charge of the connection.
        if arrived > 1:
            self._charge(arrived * MESSAGE_BYTES)
        if not self._force_close:
            self._check_bounds(len(data))

    def _check_bounds(self, count: int) -> None:
        """Refuse a request that is too large, after `count` bytes of it were parsed."""
        if self.state_ is ConnectionState.DISCARDING:
            self.server.account.release(self, CHARGE_PER_BYTE * count)
        elif not self._is_header_received:
            self._check_header()
            return
        # One piece is too small to matter, and most requests are not larger.
        if self.received_bytes_ <= PIECE_BYTES:
            return
        if self.received_bytes_ > self.server.bounds().max_request_bytes:
            self.refuse(CloseReason.REQUEST_SIZE)

    def _check_header(self) -> None:
        bounds = self.server.bounds()
        if self.received_bytes_ > bounds.max_header_bytes:
            self.refuse(CloseReason.HEADER_SIZE)
        elif self._header_timer is None:
            self._header_timer = self._loop.call_later(
                bounds.header_timeout_s, self._on_header_timeout
            )

    def _charge(self, count: int) -> None:
        self.server.account.charge(self, count)

    # Reading pauses for the parser's buffers or for bytes that wait to be parsed.

    def _pause_transport_reading(self) -> None:
        self._is_held_by_parser = True
        super()._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        self._is_held_by_parser = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self._pending:
            super()._pause_transport_reading()
        elif not self._is_held_by_parser:
            super()._resume_transport_reading()

    # Timeouts.

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        self.refuse(CloseReason.HEADER_TIMEOUT)

    def _on_unread(self) -> None:
        self._unsent_timer = None
        self.server.closures.record(CloseReason.ANSWER_UNREAD, self.peer)
        self._socket_transport.abort()

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _cancel_unsent_timer(self) -> None:
        if self._unsent_timer is not None:
            self._unsent_timer.cancel()
            self._unsent_timer = None
