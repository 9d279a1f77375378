"""Crowds of clients that send more than they should, or never complete a request."""

import contextlib
import functools
import itertools
import selectors
import socket
import ssl
import time
import zlib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

__all__ = ["SHAPES", "ClientCrowd", "ProcessWatch", "make_tls_hello"]

BODY_BYTES = 262_144
"""Size of the largest body within the default limits."""
ENDLESS_BYTES = 1_048_576
"""Bytes after which a client that would never end stops."""
PIECE_BYTES = 65_536
SMALL_PIECE_BYTES = 4_096
FIELD_BYTES = 8_000
PIPELINED_BODIES = 8
PIPELINED_REQUESTS = 400
REQUESTS_PER_PIECE = 8
ONE_BYTE_CHUNKS = 43_000
DECODED_BODY_BYTES = 64 * 1_048_576
"""Decoded size of a body whose compressed form is well below `BODY_BYTES`."""
CLIENT_BUFFER_BYTES = 65_536
QUIET_S = 5.0
"""A crowd has sent all it can if the server has read nothing for so long."""
SAMPLE_INTERVAL_S = 0.1
KB = 1024
HEX = 16

Pieces = Iterable[bytes]


def split(data: bytes, size: int = PIECE_BYTES) -> Iterator[bytes]:
    """Split data into pieces."""
    return (data[start : start + size] for start in range(0, len(data), size))


def repeat_piece(piece: bytes) -> Iterator[bytes]:
    """Repeat a piece up to the size of an endless request."""
    joined = piece * -(-PIECE_BYTES // len(piece))
    return itertools.repeat(joined, -(-ENDLESS_BYTES // len(joined)))


def with_length(head: bytes, size: int = BODY_BYTES) -> bytes:
    """Return a header for a body of known size."""
    return head + f"Content-Length: {size}\r\n\r\n".encode()


def chunked(head: bytes) -> bytes:
    """Return a header for a chunked body."""
    return head + b"Transfer-Encoding: chunked\r\n\r\n"


def send_incomplete_body(head: bytes) -> Pieces:
    """Send a body up to its last byte."""
    yield with_length(head)
    yield from split(b"x" * (BODY_BYTES - 1), BODY_BYTES)


def send_incomplete_body_in_pieces(head: bytes) -> Pieces:
    """Send small pieces of a body, up to its last byte."""
    yield with_length(head)
    yield from split(b"x" * (BODY_BYTES - 1), SMALL_PIECE_BYTES)


def send_bodies_one_after_the_other(head: bytes) -> Pieces:
    """Send complete requests without waiting for the answers."""
    for _ in range(PIPELINED_BODIES):
        yield with_length(head) + b"x" * BODY_BYTES


def send_large_chunks(head: bytes) -> Pieces:
    """Send a chunked body that stops short of its end."""
    yield chunked(head)
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield f"{PIECE_BYTES:x}\r\n".encode() + b"x" * PIECE_BYTES + b"\r\n"


def send_one_byte_chunks(head: bytes) -> Pieces:
    """Send a body in chunks of one byte that stops short of its end."""
    yield chunked(head)
    yield from split(b"1\r\nx\r\n" * ONE_BYTE_CHUNKS)


def send_endless_request_line(head: bytes) -> Pieces:
    """Send a request line without end."""
    yield b"GET /"
    yield from repeat_piece(b"x" * PIECE_BYTES)


def send_endless_fields(head: bytes) -> Pieces:
    """Send header fields without end."""
    yield head
    yield from repeat_piece(b"X-Field: " + b"x" * FIELD_BYTES + b"\r\n")


def send_endless_small_fields(head: bytes) -> Pieces:
    """Send very small header fields without end."""
    yield head
    yield from repeat_piece(b"a:b\r\n")


def send_endless_empty_lines(head: bytes) -> Pieces:
    """Send empty lines without end before a request."""
    return repeat_piece(b"\r\n")


def send_endless_chunk_extension(head: bytes) -> Pieces:
    """Send a chunk whose extension has no end."""
    yield chunked(head) + b"5;"
    yield from repeat_piece(b"x" * PIECE_BYTES)


def send_endless_trailer(head: bytes) -> Pieces:
    """Send trailer fields without end after a chunked body."""
    yield chunked(head) + b"1\r\nx\r\n0\r\n"
    yield from repeat_piece(b"X-Trailer: " + b"x" * FIELD_BYTES + b"\r\n")


def send_data_after_upgrade(head: bytes) -> Pieces:
    """Ask for another protocol and go on sending."""
    yield head + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
    yield from repeat_piece(b"x" * PIECE_BYTES)


def send_data_after_connect(head: bytes) -> Pieces:
    """Ask for a tunnel and go on sending."""
    yield b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n"
    yield from repeat_piece(b"x" * PIECE_BYTES)


@functools.cache
def compress_zeros() -> bytes:
    """Return a small body that is large once it has been decoded."""
    packer = zlib.compressobj(9, zlib.DEFLATED, zlib.MAX_WBITS | 16)
    return packer.compress(bytes(DECODED_BODY_BYTES)) + packer.flush()


def send_compressed_bodies(head: bytes) -> Pieces:
    """Send bodies that are far larger once they have been decoded."""
    body = compress_zeros()
    head += b"Content-Encoding: gzip\r\n"
    for _ in range(PIPELINED_BODIES):
        yield with_length(head, len(body)) + body


def send_requests_without_reading(head: bytes) -> Pieces:
    """Send small requests and never read an answer."""
    batch = (head + b"\r\n") * REQUESTS_PER_PIECE
    return itertools.repeat(batch, PIPELINED_REQUESTS // REQUESTS_PER_PIECE)


def send_nothing(head: bytes) -> Pieces:
    """Connect and stay silent."""
    return ()


SHAPES: dict[str, Callable[[bytes], Pieces]] = {
    "incomplete_body": send_incomplete_body,
    "incomplete_body_in_pieces": send_incomplete_body_in_pieces,
    "bodies_one_after_the_other": send_bodies_one_after_the_other,
    "large_chunks": send_large_chunks,
    "one_byte_chunks": send_one_byte_chunks,
    "endless_request_line": send_endless_request_line,
    "endless_fields": send_endless_fields,
    "endless_small_fields": send_endless_small_fields,
    "endless_empty_lines": send_endless_empty_lines,
    "endless_chunk_extension": send_endless_chunk_extension,
    "endless_trailer": send_endless_trailer,
    "data_after_upgrade": send_data_after_upgrade,
    "data_after_connect": send_data_after_connect,
    "compressed_bodies": send_compressed_bodies,
    "requests_without_reading": send_requests_without_reading,
    "silent_connections": send_nothing,
}
"""Functions that return what a client sends, given the first lines of a request."""


def make_tls_hello() -> bytes:
    """Return the first message of a TLS handshake."""
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    conn = ssl.create_default_context().wrap_bio(incoming, outgoing, False, "h")
    with contextlib.suppress(ssl.SSLWantReadError):
        conn.do_handshake()
    return outgoing.read()


class ProcessWatch:
    """Memory and descriptors of a process that serves an address.

    Parameters
    ----------
    pid : int
        Process id.
    address : tuple of (str, int)
        Address at which the process listens.

    Attributes
    ----------
    unread_kb_ : int
        Largest sum of the bytes in the sockets of the address, in KB.
    sockets_ : int
        Largest number of sockets of the process.
    """

    def __init__(self, pid: int, address: tuple[str, int]) -> None:
        self.pid = pid
        packed = socket.inet_aton(address[0])[::-1].hex().upper()
        self._local = f"{packed}:{address[1]:04X}"
        self.unread_kb_ = 0
        self.sockets_ = 0

    @property
    def peak_kb(self) -> int:
        """Peak of the resident memory and of the bytes in sockets, in KB."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return int(fields["VmHWM"].split()[0]) + self.unread_kb_

    def sample(self) -> None:
        """Update the peaks."""
        total = 0
        lines = Path(f"/proc/{self.pid}/net/tcp").read_text().splitlines()[1:]
        for line in lines:
            _, local, _, state, queues, *_ = line.split()
            if local == self._local and state != "0A":
                total += sum(int(size, HEX) for size in queues.split(":"))
        self.unread_kb_ = max(self.unread_kb_, total // KB)
        count = 0
        for path in Path(f"/proc/{self.pid}/fd").iterdir():
            # A descriptor may be closed between the listing and the reading.
            with contextlib.suppress(FileNotFoundError):
                count += str(path.readlink()).startswith("socket:")
        self.sockets_ = max(self.sockets_, count)


class ClientCrowd:
    """Connections that send to one address and read nothing.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the server.
    count : int
        Number of connections.
    make_pieces : callable
        Returns what one connection sends, as pieces.
    """

    def __init__(
        self, address: tuple[str, int], count: int, make_pieces: Callable[[], Pieces]
    ) -> None:
        self.address = address
        self.count = count
        self.make_pieces = make_pieces
        self._sockets: list[socket.socket] = []

    def send(self, watch: ProcessWatch) -> None:
        """Send until nothing is left or the server reads no more."""
        selector = selectors.DefaultSelector()
        for _ in range(self.count):
            sock = self._connect()
            pieces = iter(self.make_pieces())
            selector.register(sock, selectors.EVENT_WRITE, [pieces, b""])
        quiet_since = next_sample = time.monotonic()
        while selector.get_map() and time.monotonic() - quiet_since < QUIET_S:
            events = selector.select(SAMPLE_INTERVAL_S)
            if events:
                quiet_since = time.monotonic()
            for key, _ in events:
                self._send_piece(selector, key)
            if time.monotonic() >= next_sample:
                watch.sample()
                next_sample = time.monotonic() + SAMPLE_INTERVAL_S
        selector.close()
        watch.sample()

    def _connect(self) -> socket.socket:
        sock = socket.socket()
        self._sockets.append(sock)
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, CLIENT_BUFFER_BYTES)
        sock.setblocking(False)
        sock.connect_ex(self.address)
        return sock

    @staticmethod
    def _send_piece(
        selector: selectors.BaseSelector, key: selectors.SelectorKey
    ) -> None:
        pieces, rest = key.data
        piece = rest or next(pieces, b"")
        if not piece:
            selector.unregister(key.fileobj)
            return
        try:
            sent = key.fileobj.send(piece)
        except BlockingIOError:
            sent = 0
        except OSError:
            selector.unregister(key.fileobj)
            return
        key.data[1] = piece[sent:]

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()
