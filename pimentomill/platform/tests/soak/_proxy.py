"""Loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
from enum import Enum

__all__ = ["NetworkFault", "Proxy"]

CHUNK_BYTES = 65536
DELAY_S = 0.25
LOW_BANDWIDTH_BYTES_PER_S = 100_000
LOW_BANDWIDTH_CHUNK_INTERVAL_S = 0.05
"""Interval between two chunks on a low-bandwidth link."""


class NetworkFault(Enum):
    """Fault that applies to the traffic of all connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    BLACKHOLE = "silent"
    ANSWERS_LOST = "answers lost"
    LOW_BANDWIDTH = "small link"
    HELD = "held"
    """Bytes are delivered after the fault, as a retransmission would."""
    REJECT = "503"
    """Requests are answered with status 503; applied by the switch of an entry."""


class Proxy:
    """Forward connections to one address.

    Attributes
    ----------
    fault : NetworkFault
        Fault that applies to all connections, including those already open.
    """

    def __init__(self):
        self.fault = NetworkFault.NONE
        self.target = ("", 0)
        self.port = 0
        self._server = None
        self._writers = set()
        self._restored = asyncio.Event()

    async def start(self, target):
        self.target = target
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()
        self.abort_connections()

    def abort_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def set_fault(self, fault):
        self.fault = fault
        if fault is NetworkFault.RESET:
            self.abort_connections()
        if fault is not NetworkFault.HELD:
            self._restored.set()
            self._restored = asyncio.Event()

    async def _serve(self, reader, writer):
        if self.fault is NetworkFault.RESET:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await self.forward((reader, writer), upstream)

    async def forward(self, client, upstream):
        """Forward between two connections, each a reader and a writer."""
        reader, writer = client
        upstream_reader, upstream_writer = upstream
        self._writers |= {writer, upstream_writer}
        await asyncio.gather(
            self._forward(reader, upstream_writer, is_answer=False),
            self._forward(upstream_reader, writer, is_answer=True),
        )
        self._writers -= {writer, upstream_writer}

    def _chunk_bytes(self):
        if self.fault is NetworkFault.LOW_BANDWIDTH:
            return round(LOW_BANDWIDTH_BYTES_PER_S * LOW_BANDWIDTH_CHUNK_INTERVAL_S)
        return CHUNK_BYTES

    async def _forward(self, reader, writer, is_answer):
        """Forward bytes in one direction; dropped bytes are never sent again."""
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(self._chunk_bytes()):
                if self.fault is NetworkFault.HELD:
                    await self._restored.wait()
                if self.fault is NetworkFault.BLACKHOLE:
                    continue
                if self.fault is NetworkFault.ANSWERS_LOST and is_answer:
                    continue
                if self.fault is NetworkFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                if self.fault is NetworkFault.LOW_BANDWIDTH:
                    await asyncio.sleep(LOW_BANDWIDTH_CHUNK_INTERVAL_S)
                writer.write(data)
                await writer.drain()
        writer.close()
