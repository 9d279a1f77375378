"""Submission, cancellation and state queries of jobs, served by every entry."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Protocol

from ..catalog import Queue
from ..exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    StateUnavailableError,
    SubmissionRefusedError,
)
from ..jobs import (
    Accepted,
    Cancelled,
    JobEntry,
    JobSpec,
    JobState,
    JobTable,
    KeyedRecord,
    Withdrawn,
    accepted_key,
    cancelled_key,
    encode_record,
)
from ..overload import Refusal
from ..replica import AppendedHook, Follower, GroupAppender, RecordStore, Relay
from ..telemetry import ComponentLogger
from ..utils import Clock, Instant, JobId

__all__ = ["ChangeOutcome", "Intake"]

STORE_OUTAGE_AGE_MS = 1200
"""Age of the replicated state above which the store is considered unreachable."""
CATCH_UP_TIMEOUT_MS = 1000
"""Maximum wait for the newest state; callers wait 3 s for an answer."""
REFRESH_TIMEOUT_MS = 150
"""Maximum wait for newer records before the state of an unfinished job is returned, if
the leader does not report it."""
APPEND_RETRY_WINDOW_MS = 1600
"""Milliseconds during which an unanswered append is retried; callers wait 3 s, and the
last retry takes up to 1 s more."""

ADMISSION_CONFIRM_TIMEOUT_MS = 300
"""Maximum wait for newer records before a submission is refused. A store that takes
longer may still be storing the same job for another entry, so it is accepted."""
OWN_APPEND_MEMORY_MS = 60_000
"""Time for which a job whose append this entry has begun is not refused: callers retry
for some seconds, and the store may carry an unanswered append out late."""

MAX_WITHDRAWN_JOBS = 5000
"""Cancelled jobs of a team and queue that were not accepted. Further such cancellations
are rejected until some have expired, so that they can't fill the store."""

LeaderStateQuery = Callable[[JobId], Awaitable[JobState | None]]

_log = ComponentLogger("intake")


class ChangeOutcome(Enum):
    """Outcome of a request that changes the state of a job."""

    DURABLE = "kept"
    REJECTED = "not kept"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no such job"
    WITHDRAWN = "cancelled before"


class AdmissionCheck(Protocol):
    """Decides on submissions under overload."""

    def decide(
        self, queue: Queue, team: str, job: JobId, spec: JobSpec
    ) -> Refusal | None:
        """Return why a submission is to be refused, None if it is to be accepted."""

    def record_refusal(
        self, refusal: Refusal, queue: Queue, team: str, job: JobId, state_age_ms: int
    ) -> None:
        """Count and log a refusal."""


class Intake:
    """Accept and cancel jobs, and return their states.

    Parameters
    ----------
    store : RecordStore
        Store that the records are appended to.
    stream : str
        Stream of the job records.
    table : JobTable
        All jobs, built by replaying the stream.
    follower : Follower
        Keeps the table up to date.
    clock : Clock
        Source of time.
    relay : callable, default=None
        Appends records through another entry.
    on_appended : callable, default=None
        Called after each append that the store has acknowledged, with the offset of
        the first record and the records.
    gather : callable, default=None
        Appends records through the entry that batches them while the store is slow.
    query_leader : callable, default=None
        Returns the state of a job as reported by the leader, None if there is no
        answer.
    is_store_responding : callable, default=None
        Returns whether the store has recently answered this entry, on any stream. If
        None, the store is assumed to respond.
    admission : AdmissionCheck, default=None
        Decides on submissions under overload; None accepts all.
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
        admission: AdmissionCheck | None = None,
    ) -> None:
        self.appender = GroupAppender(store, stream, clock, relay, on_appended, gather)
        self.relay = relay
        self.query_leader = query_leader
        self.is_store_responding = is_store_responding
        self.admission = admission
        self._own_appends: dict[str, Instant] = {}
        self.table = table
        self.follower = follower
        self.clock = clock

    def is_store_unreachable(self) -> bool:
        """Return whether the store is considered unreachable."""
        return (
            not self.follower.is_reachable_
            or self.follower.age_ms() > STORE_OUTAGE_AGE_MS
        )

    def _is_isolated(self) -> bool:
        """Return whether an append by this entry would not be answered.

        An entry whose job table is out of date, such as during its initial load, can
        still append.
        """
        if self.is_store_responding is None or self.is_store_responding():
            return False
        return self.is_store_unreachable()

    async def submit(
        self, queue: Queue, team: str, job: JobId, spec: JobSpec
    ) -> ChangeOutcome:
        """Accept a job; a repeated submission has no further effect.

        Returns
        -------
        ChangeOutcome
            `REJECTED` only if it is certain that this request never runs the job.
            `WITHDRAWN` if a caller has cancelled the job before; it never runs.

        Raises
        ------
        SubmissionRefusedError
            If the job is of no use to its caller while its pool is full. No record of
            it exists then.
        """
        if self.table.find(job) is not None:
            return ChangeOutcome.DURABLE
        if self.table.is_withdrawn(job, queue.name, team):
            return ChangeOutcome.WITHDRAWN
        if self.is_store_unreachable() and self.relay is None:
            return ChangeOutcome.REJECTED
        if self.admission is not None:
            await self._check_admission(queue, team, job, spec)
            if self.table.find(job) is not None:
                return ChangeOutcome.DURABLE
            self.note_append(accepted_key(job))
        record = Accepted(job, queue, team, spec, self.clock.wall_ms())
        return await self._append(accepted_key(job), encode_record(record))

    def note_append(self, key: str) -> None:
        """Record that an append of a key begins at this entry, whatever its outcome."""
        now = self.clock.now()
        while self._own_appends:
            oldest = next(iter(self._own_appends))
            if self._own_appends[oldest] > now:
                break
            del self._own_appends[oldest]
        self._own_appends.pop(key, None)
        self._own_appends[key] = Instant(now + OWN_APPEND_MEMORY_MS)

    async def _check_admission(
        self, queue: Queue, team: str, job: JobId, spec: JobSpec
    ) -> None:
        """Refuse a job that is of no use, unless a record of it may exist.

        A record that another entry has stored may not have been read yet, so the
        newest records are read first. Without them the job is accepted.
        """
        if accepted_key(job) in self._own_appends:
            return
        refusal = self.admission.decide(queue, team, job, spec)
        if refusal is None or self.is_store_unreachable():
            return
        is_confirmed = (
            self.follower.is_loaded_
            and await self.follower.confirm(ADMISSION_CONFIRM_TIMEOUT_MS)
            and self.table.find(job) is None
            and accepted_key(job) not in self._own_appends
        )
        if not is_confirmed:
            return
        age_ms = self.follower.age_ms()
        self.admission.record_refusal(refusal, queue, team, job, age_ms)
        raise SubmissionRefusedError(refusal.reason, refusal.retry_after_s)

    async def cancel(self, queue: Queue, team: str, job: JobId) -> ChangeOutcome:
        """Cancel a job, also one that has not been accepted.

        Returns
        -------
        ChangeOutcome
            `NO_SUCH_JOB` if no job that the caller may see is known. One of that name
            never runs then, even if its submission is still on its way.

        Raises
        ------
        StateUnavailableError
            If the current state of the jobs is not available, or the team has
            withdrawn too many jobs.
        """
        job_entry = await self._find(queue, team, job)
        if job_entry is None:
            return await self._withdraw(queue, team, job)
        if job_entry.state.is_final:
            return ChangeOutcome.DURABLE
        record = Cancelled(job, self.clock.wall_ms())
        return await self._append(cancelled_key(job), encode_record(record))

    async def _withdraw(self, queue: Queue, team: str, job: JobId) -> ChangeOutcome:
        is_others = self.table.find(job) is not None
        if is_others or self.table.is_withdrawn(job, queue.name, team):
            return ChangeOutcome.NO_SUCH_JOB
        if self.table.count_withdrawn(queue.name, team) >= MAX_WITHDRAWN_JOBS:
            raise StateUnavailableError("too many cancellations of unknown jobs")
        record = Withdrawn(job, queue.name, team, self.clock.wall_ms())
        outcome = await self._append(record.key, encode_record(record))
        if outcome is ChangeOutcome.DURABLE:
            return ChangeOutcome.NO_SUCH_JOB
        return outcome

    async def state(self, queue: Queue, team: str, job: JobId) -> JobState | None:
        """Return a job's state, None if there is no such job.

        Raises
        ------
        StateUnavailableError
            If the current state of the jobs is not available.
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
        """Return the number of accepted jobs of a queue that have not started.

        Raises
        ------
        StateUnavailableError
            If the current state of the jobs is not available.
        """
        self._check_loaded()
        return sum(
            entry.state is JobState.QUEUED and entry.accepted_.queue.name == queue.name
            for entry in self.table.iter_accepted()
        )

    def _check_loaded(self) -> None:
        """Check that all records of the initial load have been replayed."""
        if not self.follower.is_loaded_:
            raise StateUnavailableError("the state is still being loaded")

    async def _find(self, queue: Queue, team: str, job: JobId) -> JobEntry | None:
        job_entry = self.table.find(job)
        if job_entry is None:
            # Another entry may have accepted the job after the latest replayed record.
            deadline = Instant(self.clock.now() + CATCH_UP_TIMEOUT_MS)
            if self.is_store_unreachable() or not await self.follower.wait_current(
                deadline
            ):
                raise StateUnavailableError("the newest state can't be read")
            job_entry = self.table.find(job)
        if job_entry is None or not job_entry.accepted_.is_visible(queue.name, team):
            return None
        return job_entry

    async def _append(self, key: str, value: bytes) -> ChangeOutcome:
        deadline = Instant(self.clock.now() + APPEND_RETRY_WINDOW_MS)
        try:
            if self.relay is not None and self._is_isolated():
                await self.relay([KeyedRecord(key, value)])
            else:
                await self.appender.append(KeyedRecord(key, value), deadline)
        except LogUnavailableError as exc:
            _log.warning("Append failed, nothing stored", key=key, why=str(exc))
            return ChangeOutcome.REJECTED
        except AppendUnknownError as exc:
            _log.warning("Append outcome unknown", key=key, why=str(exc))
            return ChangeOutcome.UNKNOWN
        except asyncio.CancelledError:
            _log.warning(
                "Append outcome unknown", key=key, why="caller has disconnected"
            )
            raise
        return ChangeOutcome.DURABLE
