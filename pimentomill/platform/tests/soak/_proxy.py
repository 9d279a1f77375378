"""A loopback proxy that harms connections as it is told."""

import asyncio
import contextlib
from enum import Enum

__all__ = ["Harm", "Proxy"]

CHUNK_BYTES = 65536
DELAY_S = 0.25
SMALL_LINK_BYTES_A_S = 100_000
SMALL_LINK_PART_S = 0.05
"""Seconds between two parts over a small link."""


class Harm(Enum):
    """What happens to the bytes of all connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ANSWERS_LOST = "answers lost"
    SMALL_LINK = "small link"


class Proxy:
    """Forwards connections to one address.

    Attributes
    ----------
    harm : Harm
        What is done to all connections, also to those that are open.
    """

    def __init__(self):
        self.harm = Harm.NONE
        self.target = ("", 0)
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self, target):
        self.target = target
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()
        self.reset()

    def reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def set(self, harm):
        self.harm = harm
        if harm is Harm.RESET:
            self.reset()

    async def _serve(self, reader, writer):
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer, is_answer=False),
            self._pump(far_reader, writer, is_answer=True),
        )
        self._writers -= {writer, far_writer}

    def _part_bytes(self):
        if self.harm is Harm.SMALL_LINK:
            return round(SMALL_LINK_BYTES_A_S * SMALL_LINK_PART_S)
        return CHUNK_BYTES

    async def _pump(self, reader, writer, is_answer):
        """Pass bytes on in one direction; what is lost once is lost for good."""
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(self._part_bytes()):
                if self.harm is Harm.SILENT:
                    continue
                if self.harm is Harm.ANSWERS_LOST and is_answer:
                    continue
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                if self.harm is Harm.SMALL_LINK:
                    await asyncio.sleep(SMALL_LINK_PART_S)
                writer.write(data)
                await writer.drain()
        writer.close()
