"""Client of the simulated store, as one entry reaches it."""

from pimentomill.exceptions import AppendUnknownError, LogUnavailableError
from pimentomill.jobs import KeyedRecord
from pimentomill.replica import AppendPosition, NewestPage, Slice, Writer
from pimentomill.standins import MemoryStore

from ._network import Endpoint, LinkKind, LostError, Network, RefusedError

__all__ = ["STORE_TIMEOUT_MS", "SimulatedStore"]

STORE_TIMEOUT_MS = 800
"""Timeout of a call in milliseconds, on top of the wait of a read."""


class SimulatedStore:
    """Store behind the simulated network; see `RecordStore`.

    Parameters
    ----------
    network : Network
        Network.
    endpoint : Endpoint
        Address of the store.
    memory : MemoryStore
        Store.
    """

    def __init__(
        self, network: Network, endpoint: Endpoint, memory: MemoryStore
    ) -> None:
        self.network = network
        self.endpoint = endpoint
        self.memory = memory

    async def append(
        self, stream: str, records: list[KeyedRecord], writer: Writer | None = None
    ) -> AppendPosition:
        """Append records atomically."""
        try:
            return await self._request(
                lambda: self.memory.append(stream, records, writer), STORE_TIMEOUT_MS
            )
        except LostError as exc:
            raise AppendUnknownError(str(exc)) from exc

    async def read(self, stream: str, offset: int, wait_ms: int) -> Slice:
        """Return records from an offset on."""
        return await self._read(
            lambda: self.memory.read(stream, offset, wait_ms),
            wait_ms + STORE_TIMEOUT_MS,
        )

    async def newest(self, stream: str, after: str | None) -> NewestPage:
        """Return a page of the newest records of all keys."""
        return await self._read(
            lambda: self.memory.newest(stream, after), STORE_TIMEOUT_MS
        )

    async def _read(self, handle, timeout_ms: int):
        try:
            return await self._request(handle, timeout_ms)
        except LostError as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def _request(self, handle, timeout_ms: int):
        try:
            return await self.network.request(
                self.endpoint, LinkKind.STORE, handle, timeout_ms
            )
        except RefusedError as exc:
            raise LogUnavailableError("the store refuses connections") from exc
