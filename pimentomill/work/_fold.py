"""Replay of a group's stream."""

from functools import singledispatch, singledispatchmethod

import msgspec

from ..journal import AppliedRecord, Envelope, advance_state
from ..utils import Offset
from ._records import (
    HolderOpened,
    JobAccepted,
    JobCancelled,
    JobMoved,
    JobMoveDone,
    RequestClaimed,
    RequestEnded,
    TaskAssigned,
    TaskEnded,
    WorkRecord,
)
from ._specs import BatchSpec, GangSpec, JobSpec, ServiceSpec, task_count
from ._state import (
    Job,
    RequestOutcome,
    StoredRequest,
    Task,
    TaskOutcome,
    TaskState,
    WorkState,
)

__all__ = ["WorkFold"]

OUTCOMES_KEPT_MS = 86_400_000
_decoder = msgspec.msgpack.Decoder(
    HolderOpened
    | JobAccepted
    | JobCancelled
    | JobMoved
    | JobMoveDone
    | TaskAssigned
    | TaskEnded
    | RequestClaimed
    | RequestEnded
)
FAILED_OUTCOMES = (TaskOutcome.FAILED, TaskOutcome.LOST)


class WorkFold:
    """Apply records in order.

    Parameters
    ----------
    state : WorkState or None, default=None
        Where to begin; an empty group if None.

    Attributes
    ----------
    state_ : WorkState
        The work so far.
    """

    def __init__(self, state: WorkState | None = None) -> None:
        self.state = state
        self.state_ = WorkState() if state is None else state

    def apply(self, offset: Offset, envelope: Envelope) -> AppliedRecord | None:
        """Apply one record.

        Parameters
        ----------
        offset : Offset
            Where the record stands; must be the next one.
        envelope : Envelope
            The record with its writer.

        Returns
        -------
        AppliedRecord or None
            None for the repeat of a record that was applied before.

        Raises
        ------
        InvariantError
            If a record was skipped.
        """
        if not advance_state(self.state_, offset, envelope):
            return None
        record = _decoder.decode(envelope.body)
        refusal = self._refusal_by_epoch(record) or self._apply(record)
        self._forget_old(record.at)
        return AppliedRecord(offset, envelope.writer, envelope.seq, record, refusal)

    def _refusal_by_epoch(self, record: WorkRecord) -> str:
        if isinstance(record, JobAccepted | JobCancelled | HolderOpened):
            return ""
        if record.epoch != self.state_.epoch:
            return f"epoch {record.epoch} is over"
        return ""

    def _live_job(self, job_id) -> Job | None:
        job = self.state_.jobs.get(job_id)
        return job if job is not None and job.is_live else None

    @singledispatchmethod
    def _apply(self, record: WorkRecord) -> str:
        raise TypeError(f"record must be a WorkRecord, got {record!r}")

    @_apply.register
    def _(self, record: HolderOpened) -> str:
        if record.epoch <= self.state_.epoch:
            return f"epoch {record.epoch} is over"
        self.state_.epoch = record.epoch
        return ""

    @_apply.register
    def _(self, record: JobAccepted) -> str:
        known = self.state_.jobs.get(record.job)
        if known is not None and record.moves <= known.moves:
            return f"job {record.job} was accepted before"
        self.state_.jobs[record.job] = Job(
            id=record.job,
            team=record.team,
            spec=record.spec,
            urgent=record.urgent,
            handed_in_at=record.handed_in_at,
            tasks=_new_tasks(record),
            moves=record.moves,
        )
        return ""

    @_apply.register
    def _(self, record: JobCancelled) -> str:
        job = self.state_.jobs.get(record.job)
        if job is None:
            return f"there is no job {record.job}"
        if job.ended_at:
            return f"job {record.job} has ended"
        if job.cancelled:
            return f"job {record.job} was cancelled before"
        job.cancelled = True
        for task in job.tasks:
            if task.state is TaskState.WAITING:
                _end(task, TaskOutcome.CANCELLED, record.at)
        self._note_end(job, record.at)
        return ""

    @_apply.register
    def _(self, record: JobMoved) -> str:
        job = self._live_job(record.job)
        if job is None or job.cancelled:
            return f"job {record.job} is not waiting here"
        if any(task.state is not TaskState.WAITING for task in job.tasks):
            return f"tasks of job {record.job} run or have ended"
        job.moved_to = record.to
        job.moves += 1
        return ""

    @_apply.register
    def _(self, record: JobMoveDone) -> str:
        job = self.state_.jobs.get(record.job)
        if job is None or not job.moved_to:
            return f"job {record.job} has not moved"
        job.move_done = True
        job.tasks = []
        self.state_.ended.append((record.at, job.id))
        return ""

    @_apply.register
    def _(self, record: TaskAssigned) -> str:
        job = self._live_job(record.job)
        if job is None or job.cancelled:
            return f"job {record.job} is not to be run"
        task = job.tasks[record.index]
        if task.state is not TaskState.WAITING or record.attempt != task.attempt + 1:
            return f"task {record.index} of {record.job} is not waiting"
        task.state = TaskState.ASSIGNED
        task.attempt = record.attempt
        task.worker = record.worker
        task.boot = record.boot
        task.epoch = record.epoch
        task.why = record.why
        task.outcome = None
        task.assigned_at = record.at
        task.ended_at = 0
        return ""

    @_apply.register
    def _(self, record: TaskEnded) -> str:
        job = self._live_job(record.job)
        if job is None:
            return f"job {record.job} is not here or has ended"
        task = job.tasks[record.index]
        if task.state is not TaskState.ASSIGNED or record.attempt != task.attempt:
            return f"task {record.index} of {record.job} does not run this attempt"
        _end(task, record.outcome, record.at)
        if record.outcome in FAILED_OUTCOMES:
            task.failures += 1
        if not job.cancelled:
            settle_end(job.spec, job, task)
        self._note_end(job, record.at)
        return ""

    @_apply.register
    def _(self, record: RequestClaimed) -> str:
        known = self.state_.requests.get(record.request)
        if known is not None and known.outcome is not RequestOutcome.NOT_RUN:
            return f"request {record.request} was claimed before"
        self.state_.requests[record.request] = StoredRequest(
            id=record.request,
            team=record.team,
            service=record.service,
            epoch=record.epoch,
            at=record.at,
            claims=known.claims + 1 if known else 1,
        )
        self.state_.claimed.append((record.at, record.request))
        return ""

    @_apply.register
    def _(self, record: RequestEnded) -> str:
        request = self.state_.requests.get(record.request)
        if request is None or request.outcome is not RequestOutcome.PENDING:
            return f"request {record.request} is not pending"
        request.outcome = record.outcome
        request.status = record.status
        request.at = record.at
        return ""

    def _note_end(self, job: Job, at: int) -> None:
        if any(task.state is not TaskState.ENDED for task in job.tasks):
            return
        job.ended_at = max(at, 1)
        self.state_.ended.append((job.ended_at, job.id))

    def _forget_old(self, at: int) -> None:
        """Drop outcomes that are older than outcomes are kept."""
        before = at - OUTCOMES_KEPT_MS
        for job_id in _take_older(self.state_.ended, before):
            self.state_.jobs.pop(job_id, None)
        for request in _take_older(self.state_.claimed, before):
            self.state_.requests.pop(request, None)


def _take_older(entries: list[tuple[int, str]], before: int) -> list[str]:
    """Remove and return the ids of entries older than a time of day."""
    count = 0
    while count < len(entries) and entries[count][0] < before:
        count += 1
    taken = [id for _, id in entries[:count]]
    del entries[:count]
    return taken


def _new_tasks(record: JobAccepted) -> list[Task]:
    if record.tries:
        return [Task(attempt=tries[0], failures=tries[1]) for tries in record.tries]
    return [Task() for _ in range(task_count(record.spec))]


def _end(task: Task, outcome: TaskOutcome, at: int) -> None:
    task.state = TaskState.ENDED
    task.outcome = outcome
    task.ended_at = at


def _wait_again(task: Task) -> None:
    task.state = TaskState.WAITING


@singledispatch
def settle_end(spec: JobSpec, job: Job, task: Task) -> None:
    """Decide whether an ended task of a job waits again."""
    raise TypeError(f"spec must be a job spec, got {spec!r}")


@settle_end.register
def _(spec: ServiceSpec, job: Job, task: Task) -> None:
    _wait_again(task)


@settle_end.register
def _(spec: BatchSpec, job: Job, task: Task) -> None:
    if _may_try_again(spec, task):
        _wait_again(task)


@settle_end.register
def _(spec: GangSpec, job: Job, task: Task) -> None:
    if any(other.state is TaskState.ASSIGNED for other in job.tasks):
        return
    if all(other.outcome is TaskOutcome.SUCCEEDED for other in job.tasks):
        return
    failures = max(other.failures for other in job.tasks)
    if failures >= spec.max_attempts:
        return
    if not spec.idempotent and _was_lost(job):
        return
    for other in job.tasks:
        other.failures = failures
        _wait_again(other)


def _may_try_again(spec: BatchSpec, task: Task) -> bool:
    if task.outcome is TaskOutcome.SUCCEEDED:
        return False
    if task.outcome is TaskOutcome.LOST and not spec.idempotent:
        return False
    return task.failures < spec.max_attempts


def _was_lost(job: Job) -> bool:
    return any(task.outcome is TaskOutcome.LOST for task in job.tasks)
