"""Answers the calls of other entries."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from aiohttp import web

from ..control import PolicyPort
from ..exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    PimentomillError,
    StateUnavailableError,
)
from ..jobs import JobState, KeyedRecord
from ..telemetry import PartLog
from ..utils import JobId
from ._messages import (
    BEAT,
    TROUBLED_BEAT,
    AppendedRecords,
    CallerAnswer,
    CallerRequest,
    Path,
    PolicyAnswer,
    PolicyQuestion,
    RelayedAppend,
    StateAnswer,
    StateQuestion,
)

__all__ = ["EntryServices", "LinkServer"]

WATCH_S = 20.0
"""Seconds for which a watch is held open; it ends earlier only with the process."""
BEAT_S = 0.15
"""Seconds between two signs of life on a watch; three fit into the silence after
which the other side gives up."""
CLOSE_S = 0.1
"""Seconds for which a stop waits for calls of other entries."""

_log = PartLog("links")


class EntryServices(Protocol):
    """What an entry does for others."""

    async def append_for(self, records: list[KeyedRecord]) -> None:
        """Append records; raises `LogUnavailableError` or `AppendUnknownError`."""

    def note_appended(self, first: int, records: list[KeyedRecord]) -> None:
        """Take in records ahead of the stream."""

    def state_for(self, job: JobId) -> JobState | None:
        """Return a job's state; raises `StateUnavailableError` unless it leads."""

    def is_writing(self) -> bool:
        """Return whether what this entry appends is acknowledged."""

    @property
    def has_resigned_(self) -> bool:
        """Whether this entry has led and leads no more by its own will."""


class LinkServer:
    """Listens for other entries.

    Parameters
    ----------
    advisor : PolicyPort
        How this entry asks the policy.
    incarnation : str
        Life of this process.
    services : EntryServices
        What is done for others.
    answer : callable
        Answers a caller of another entry; raises `StateUnavailableError` if it
        can't help.
    """

    def __init__(
        self,
        advisor: PolicyPort,
        incarnation: str,
        services: EntryServices,
        answer: Callable[[CallerRequest], Awaitable[CallerAnswer]],
    ) -> None:
        self.answer = answer
        self.advisor = advisor
        self.incarnation = incarnation
        self.services = services
        self._runner: web.ServerRunner | None = None
        self._handlers: dict[str, Callable[[bytes], Awaitable[web.Response]]] = {
            Path.ASK: self._ask,
            Path.APPEND: self._append,
            Path.APPENDED: self._appended,
            Path.STATE: self._state,
            Path.CALLER: self._caller,
        }

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None), shutdown_timeout=CLOSE_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path.startswith(Path.WATCH):
            return await self._watch(req)
        handler = self._handlers.get(req.path)
        if handler is None:
            return web.Response(status=404)
        try:
            return await handler(await req.read())
        except msgspec.DecodeError as exc:
            return web.Response(status=400, text=str(exc))
        except AppendUnknownError as exc:
            return web.Response(status=504, text=str(exc))
        except (LogUnavailableError, StateUnavailableError) as exc:
            return web.Response(status=503, text=str(exc))

    async def _ask(self, body: bytes) -> web.Response:
        question = msgspec.msgpack.decode(body, type=PolicyQuestion)
        try:
            given = await self.advisor.ask(question.step, question.workers)
        except PimentomillError as exc:
            return web.Response(status=503, text=str(exc))
        return _encode(PolicyAnswer(given.tickets, given.valid_ms))

    async def _append(self, body: bytes) -> web.Response:
        relayed = msgspec.msgpack.decode(body, type=RelayedAppend)
        await self.services.append_for(relayed.records)
        return web.Response(status=200)

    async def _appended(self, body: bytes) -> web.Response:
        appended = msgspec.msgpack.decode(body, type=AppendedRecords)
        self.services.note_appended(appended.first, appended.records)
        return web.Response(status=200)

    async def _state(self, body: bytes) -> web.Response:
        question = msgspec.msgpack.decode(body, type=StateQuestion)
        return _encode(StateAnswer(self.services.state_for(question.job)))

    async def _caller(self, body: bytes) -> web.Response:
        req = msgspec.msgpack.decode(body, type=CallerRequest)
        return _encode(await self.answer(req))

    async def _watch(self, req: web.BaseRequest) -> web.StreamResponse:
        """Give signs of life for as long as the life that is meant goes on."""
        if req.path[len(Path.WATCH) :] != self.incarnation:
            return web.Response(status=410)
        resp = web.StreamResponse()
        await resp.prepare(req)
        loop = asyncio.get_running_loop()
        until = loop.time() + WATCH_S
        try:
            while loop.time() < until and not self.services.has_resigned_:
                await resp.write(BEAT if self.services.is_writing() else TROUBLED_BEAT)
                await asyncio.sleep(BEAT_S)
        except ConnectionError as exc:
            _log.info("Watch left", peer=req.remote, why=str(exc))
        return resp


def _encode(message: msgspec.Struct) -> web.Response:
    return web.Response(body=msgspec.msgpack.encode(message))
