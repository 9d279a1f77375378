"""Bounds on connections and on what they hold, derived from the machine."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = [
    "CONNECTION_BYTES",
    "MESSAGE_BYTES",
    "RECEIVE_BUFFER_BYTES",
    "RETRY_AFTER_S",
    "SEND_BUFFER_BYTES",
    "TLS_BYTES",
    "Descriptors",
    "IngressLimits",
    "Machine",
    "MemoryMb",
    "RequestBounds",
]

BYTES_PER_MB = 1024 * 1024
RECEIVE_BUFFER_BYTES = 8192
"""Size requested for the receive buffer of a connection; the kernel doubles it."""
SEND_BUFFER_BYTES = 8192
"""Size requested for the send buffer of a connection; the kernel doubles it."""
CONNECTION_BYTES = 12 * 1024 + 2 * (RECEIVE_BUFFER_BYTES + SEND_BUFFER_BYTES)
"""Charge of a connection: its objects and both buffers of its socket."""
TLS_BYTES = 384 * 1024
"""Charge of the buffers and the state of TLS of a connection."""
MESSAGE_BYTES = 4096
"""Charge of the objects of a parsed request header."""
FILE_DESCRIPTORS = 200
"""Descriptors of a process that are not available to sockets."""
CALLER_MEMORY_PARTS = 4
CALLER_DESCRIPTOR_PARTS = 2
"""Callers get one of this many equal parts of the memory and of the descriptors for
sockets."""
MIN_BODIES_IN_MEMORY = 64
"""Bodies of the maximum size that the memory of a machine must hold."""
PEER_MEMORY_PARTS = 8
PEER_DESCRIPTOR_PARTS = 4
"""Other entries get one of this many equal parts."""
HEADER_OVERHEAD_BYTES = 1024
"""Separators, line ends and version, which a limit on a header does not include."""
BYTES_PER_BODY_BYTE = 8
"""Bytes received per byte of a body; a chunk of one byte has six."""
RETRY_AFTER_S = 1
"""Retry delay after a refusal; by then another entry is chosen or memory is free."""

MemoryMb = Annotated[int, Meta(ge=32)]
Descriptors = Annotated[int, Meta(gt=FILE_DESCRIPTORS)]


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of the machine that a process may use.

    Parameters
    ----------
    memory_mb : int, default=512
        Memory in MB, at least 32.
    descriptors : int, default=4096
        File descriptors, more than 200.
    """

    memory_mb: MemoryMb = 512
    descriptors: Descriptors = 4096

    @property
    def max_body_bytes(self) -> int:
        """Largest body that fits into the callers' account in chunks of any size."""
        return self.memory_mb * BYTES_PER_MB // MIN_BODIES_IN_MEMORY


class IngressLimits(msgspec.Struct, frozen=True):
    """Bounds on all connections of a server together.

    Parameters
    ----------
    max_bytes : int
        Bound on what all connections hold, in bytes.
    max_connections : int
        Maximum number of connections.
    """

    max_bytes: int
    max_connections: int

    @classmethod
    def for_callers(cls, machine: Machine) -> "IngressLimits":
        """Return the bounds for the callers of a process."""
        return cls._for_parts(machine, CALLER_MEMORY_PARTS, CALLER_DESCRIPTOR_PARTS)

    @classmethod
    def for_peers(cls, machine: Machine) -> "IngressLimits":
        """Return the bounds for other entries that call a process."""
        return cls._for_parts(machine, PEER_MEMORY_PARTS, PEER_DESCRIPTOR_PARTS)

    @classmethod
    def _for_parts(
        cls, machine: Machine, memory_parts: int, descriptor_parts: int
    ) -> "IngressLimits":
        return cls(
            machine.memory_mb * BYTES_PER_MB // memory_parts,
            (machine.descriptors - FILE_DESCRIPTORS) // descriptor_parts,
        )

    @classmethod
    def for_connections(cls, count: int, max_request_bytes: int) -> "IngressLimits":
        """Return bounds for a few connections with one large request among them."""
        return cls(count * CONNECTION_BYTES + 2 * max_request_bytes, count)


class RequestBounds(msgspec.Struct, frozen=True):
    """Bounds on one request.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the header and of the body, in bytes.
    header_timeout_s : float
        Seconds from the first byte of a request to the end of its header.
    answer_timeout_s : float
        Seconds that an answer may wait for its reader.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    answer_timeout_s: float

    @property
    def max_header_bytes(self) -> int:
        """Bytes received after which an incomplete header is refused."""
        return self.header_bytes + HEADER_OVERHEAD_BYTES

    @property
    def max_request_bytes(self) -> int:
        """Bytes received after which an incomplete request is refused."""
        return self.max_header_bytes + self.body_bytes * BYTES_PER_BODY_BYTE
