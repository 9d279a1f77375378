"""Callers' requests about jobs, answered at any entry."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

from ..catalog import Queue
from ..exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    StateUnavailableError,
)
from ..jobs import (
    Accepted,
    Cancelled,
    JobEntry,
    JobSpec,
    JobState,
    JobTable,
    KeyedRecord,
    accepted_key,
    cancelled_key,
    encode_record,
)
from ..replica import AppendedHook, Follower, GroupAppender, RecordStore, Relay
from ..telemetry import PartLog
from ..utils import Clock, Instant, JobId

__all__ = ["Intake", "Kept"]

OUTAGE_AGE_MS = 1200
"""Age of the state above which the store counts as out of reach."""
FRESH_WAIT_MS = 1000
"""Longest wait for the newest state; callers wait 3 s for an answer."""
REFRESH_MS = 150
"""Longest wait for newer records before a state is shown that may still change, where
the leader does not tell it."""
APPEND_WAIT_MS = 1600
"""Milliseconds within which an append without an answer is repeated; callers wait 3 s
and the last repeat takes up to 1 s more."""

LeaderQuestion = Callable[[JobId], Awaitable[JobState | None]]

_log = PartLog("intake")


class Kept(Enum):
    """What became of a request that changes something."""

    KEPT = "kept"
    NOT_KEPT = "not kept"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no such job"


class Intake:
    """Accepts, cancels and shows jobs.

    Parameters
    ----------
    store : RecordStore
        Store.
    stream : str
        Stream of the jobs' records.
    table : JobTable
        All jobs by replay.
    follower : Follower
        Keeps the table up to date.
    clock : Clock
        Source of time.
    relay : callable, default=None
        Appends through another entry.
    appended : callable, default=None
        Called with the offset of the first record and the records of each append
        that the store has acknowledged.
    gather : callable, default=None
        Appends through the entry that gathers records while the store is slow.
    ask_leader : callable, default=None
        Returns what the leader knows of a job's state, None if it does not tell.
    hears_store : callable, default=None
        Returns whether the store has answered this entry lately, on any stream; taken
        as so if None.
    """

    def __init__(
        self,
        store: RecordStore,
        stream: str,
        table: JobTable,
        follower: Follower,
        clock: Clock,
        relay: Relay | None = None,
        appended: AppendedHook | None = None,
        gather: Relay | None = None,
        ask_leader: LeaderQuestion | None = None,
        hears_store: Callable[[], bool] | None = None,
    ) -> None:
        self.appender = GroupAppender(store, stream, clock, relay, appended, gather)
        self.relay = relay
        self.ask_leader = ask_leader
        self.hears_store = hears_store
        self.table = table
        self.follower = follower
        self.clock = clock

    def is_store_lost(self) -> bool:
        """Return whether the store is out of reach."""
        return not self.follower.is_reachable_ or self.follower.age_ms() > OUTAGE_AGE_MS

    def _is_cut_off(self) -> bool:
        """Return whether an append from here would have no answer.

        An entry that is behind with the jobs, as while it loads them, can still append.
        """
        if self.hears_store is None or self.hears_store():
            return False
        return self.is_store_lost()

    async def submit(self, queue: Queue, team: str, job: JobId, spec: JobSpec) -> Kept:
        """Accept a job, once.

        Returns
        -------
        Kept
            `NOT_KEPT` only if the job certainly never runs by this request.
        """
        if self.table.find(job) is not None:
            return Kept.KEPT
        if self.is_store_lost() and self.relay is None:
            return Kept.NOT_KEPT
        record = Accepted(job, queue, team, spec, self.clock.wall_ms())
        return await self._append(accepted_key(job), encode_record(record))

    async def cancel(self, queue: Queue, team: str, job: JobId) -> Kept:
        """Cancel a job."""
        entry = await self._find(queue, team, job)
        if entry is None:
            return Kept.NO_SUCH_JOB
        if entry.state.is_final:
            return Kept.KEPT
        record = Cancelled(job, self.clock.wall_ms())
        return await self._append(cancelled_key(job), encode_record(record))

    async def state(self, queue: Queue, team: str, job: JobId) -> JobState | None:
        """Return a job's state, None if there is no such job.

        Raises
        ------
        StateUnavailableError
            If that can't be told now.
        """
        entry = await self._find(queue, team, job)
        if entry is None:
            return None
        if entry.state.is_final and self.follower.is_loaded_:
            return entry.state
        told = await self.ask_leader(job) if self.ask_leader is not None else None
        if told is not None:
            return told
        self._check_loaded()
        await self.follower.refresh(REFRESH_MS)
        return entry.state

    def waiting(self, queue: Queue) -> int:
        """Return how many accepted jobs of a queue have not begun.

        Raises
        ------
        StateUnavailableError
            If that can't be told now.
        """
        self._check_loaded()
        return sum(
            entry.state is JobState.QUEUED and entry.accepted_.queue.name == queue.name
            for entry in self.table.accepted()
        )

    def _check_loaded(self) -> None:
        """Check that no record of a job is still missing since the start."""
        if not self.follower.is_loaded_:
            raise StateUnavailableError("the state is still being loaded")

    async def _find(self, queue: Queue, team: str, job: JobId) -> JobEntry | None:
        entry = self.table.find(job)
        if entry is None:
            # The job may have been accepted elsewhere a moment ago.
            deadline = Instant(self.clock.now() + FRESH_WAIT_MS)
            if self.is_store_lost() or not await self.follower.wait_current(deadline):
                raise StateUnavailableError("the newest state can't be read")
            entry = self.table.find(job)
        if entry is None or not self._may_see(entry, queue, team):
            return None
        return entry

    @staticmethod
    def _may_see(entry: JobEntry, queue: Queue, team: str) -> bool:
        accepted = entry.accepted_
        if accepted.queue.name != queue.name:
            return False
        return not (accepted.team and team) or accepted.team == team

    async def _append(self, key: str, value: bytes) -> Kept:
        deadline = Instant(self.clock.now() + APPEND_WAIT_MS)
        try:
            if self.relay is not None and self._is_cut_off():
                await self.relay([KeyedRecord(key, value)])
            else:
                await self.appender.append(KeyedRecord(key, value), deadline)
        except LogUnavailableError as exc:
            _log.warning("Not kept", key=key, why=str(exc))
            return Kept.NOT_KEPT
        except AppendUnknownError as exc:
            _log.warning("Outcome unknown", key=key, why=str(exc))
            return Kept.UNKNOWN
        except asyncio.CancelledError:
            _log.warning("Outcome unknown", key=key, why="caller has gone")
            raise
        return Kept.KEPT
