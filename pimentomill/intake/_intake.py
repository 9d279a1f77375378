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

__all__ = ["ChangeOutcome", "Intake"]

STORE_OUTAGE_AGE_MS = 1200
"""Age of the state above which the store counts as out of reach."""
CATCH_UP_TIMEOUT_MS = 1000
"""Longest wait for the newest state; callers wait 3 s for an answer."""
REFRESH_TIMEOUT_MS = 150
"""Longest wait for newer records before a state is shown that may still change, where
the leader does not tell it."""
APPEND_RETRY_WINDOW_MS = 1600
"""Milliseconds within which an append without an answer is repeated; callers wait 3 s
and the last repeat takes up to 1 s more."""

LeaderStateQuery = Callable[[JobId], Awaitable[JobState | None]]

_log = PartLog("intake")


class ChangeOutcome(Enum):
    """What became of a request that changes something."""

    DURABLE = "kept"
    REJECTED = "not kept"
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
    on_appended : callable, default=None
        Called with the offset of the first record and the records of each append
        that the store has acknowledged.
    gather : callable, default=None
        Appends through the entry that gathers records while the store is slow.
    query_leader : callable, default=None
        Returns what the leader knows of a job's state, None if it does not tell.
    is_store_responding : callable, default=None
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
        on_appended: AppendedHook | None = None,
        gather: Relay | None = None,
        query_leader: LeaderStateQuery | None = None,
        is_store_responding: Callable[[], bool] | None = None,
    ) -> None:
        self.appender = GroupAppender(store, stream, clock, relay, on_appended, gather)
        self.relay = relay
        self.query_leader = query_leader
        self.is_store_responding = is_store_responding
        self.table = table
        self.follower = follower
        self.clock = clock

    def is_store_unreachable(self) -> bool:
        """Return whether the store is out of reach."""
        return (
            not self.follower.is_reachable_
            or self.follower.age_ms() > STORE_OUTAGE_AGE_MS
        )

    def _is_isolated(self) -> bool:
        """Return whether an append from here would have no answer.

        An entry that is behind with the jobs, as while it loads them, can still append.
        """
        if self.is_store_responding is None or self.is_store_responding():
            return False
        return self.is_store_unreachable()

    async def submit(
        self, queue: Queue, team: str, job: JobId, spec: JobSpec
    ) -> ChangeOutcome:
        """Accept a job, once.

        Returns
        -------
        ChangeOutcome
            `REJECTED` only if the job certainly never runs by this request.
        """
        if self.table.find(job) is not None:
            return ChangeOutcome.DURABLE
        if self.is_store_unreachable() and self.relay is None:
            return ChangeOutcome.REJECTED
        record = Accepted(job, queue, team, spec, self.clock.wall_ms())
        return await self._append(accepted_key(job), encode_record(record))

    async def cancel(self, queue: Queue, team: str, job: JobId) -> ChangeOutcome:
        """Cancel a job."""
        job_entry = await self._find(queue, team, job)
        if job_entry is None:
            return ChangeOutcome.NO_SUCH_JOB
        if job_entry.state.is_final:
            return ChangeOutcome.DURABLE
        record = Cancelled(job, self.clock.wall_ms())
        return await self._append(cancelled_key(job), encode_record(record))

    async def state(self, queue: Queue, team: str, job: JobId) -> JobState | None:
        """Return a job's state, None if there is no such job.

        Raises
        ------
        StateUnavailableError
            If that can't be told now.
        """
        job_entry = await self._find(queue, team, job)
        if job_entry is None:
            return None
        if job_entry.state.is_final and self.follower.is_loaded_:
            return job_entry.state
        leader_state = (
            await self.query_leader(job) if self.query_leader is not None else None
        )
        if leader_state is not None:
            return leader_state
        self._check_loaded()
        await self.follower.refresh(REFRESH_TIMEOUT_MS)
        return job_entry.state

    def count_queued(self, queue: Queue) -> int:
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
        job_entry = self.table.find(job)
        if job_entry is None:
            # The job may have been accepted elsewhere a moment ago.
            deadline = Instant(self.clock.now() + CATCH_UP_TIMEOUT_MS)
            if self.is_store_unreachable() or not await self.follower.wait_current(
                deadline
            ):
                raise StateUnavailableError("the newest state can't be read")
            job_entry = self.table.find(job)
        if job_entry is None or not self._is_visible(job_entry, queue, team):
            return None
        return job_entry

    @staticmethod
    def _is_visible(job_entry: JobEntry, queue: Queue, team: str) -> bool:
        accepted = job_entry.accepted_
        if accepted.queue.name != queue.name:
            return False
        return not (accepted.team and team) or accepted.team == team

    async def _append(self, key: str, value: bytes) -> ChangeOutcome:
        deadline = Instant(self.clock.now() + APPEND_RETRY_WINDOW_MS)
        try:
            if self.relay is not None and self._is_isolated():
                await self.relay([KeyedRecord(key, value)])
            else:
                await self.appender.append(KeyedRecord(key, value), deadline)
        except LogUnavailableError as exc:
            _log.warning("Not kept", key=key, why=str(exc))
            return ChangeOutcome.REJECTED
        except AppendUnknownError as exc:
            _log.warning("Outcome unknown", key=key, why=str(exc))
            return ChangeOutcome.UNKNOWN
        except asyncio.CancelledError:
            _log.warning("Outcome unknown", key=key, why="caller has gone")
            raise
        return ChangeOutcome.DURABLE
