"""Replay of a group's stream into its state."""

from functools import singledispatch, singledispatchmethod

import msgspec

from ..journal import AppliedRecord, Envelope, advance_state
from ..utils import Offset
from ._records import (
    OPERATORS,
    EpochStarted,
    JobAccepted,
    JobMoveConfirmed,
    JobMoved,
    JobWithdrawn,
    RequestClaimed,
    RequestEnded,
    TaskAssigned,
    TaskEnded,
    WorkRecord,
)
from ._specs import BatchSpec, GangSpec, JobSpec, ServiceSpec, count_tasks
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

OUTCOME_RETENTION_MS = 86_400_000
_decoder = msgspec.msgpack.Decoder(
    EpochStarted
    | JobAccepted
    | JobWithdrawn
    | JobMoved
    | JobMoveConfirmed
    | TaskAssigned
    | TaskEnded
    | RequestClaimed
    | RequestEnded
)
FAILED_OUTCOMES = (TaskOutcome.FAILED, TaskOutcome.LOST)


class WorkFold:
    """Apply the records of a group's stream in order.

    Parameters
    ----------
    state : WorkState or None, default=None
        Initial state; an empty group if None.

    Attributes
    ----------
    state_ : WorkState
        State after the records applied so far.
    """

    def __init__(self, state: WorkState | None = None) -> None:
        self.state = state
        self.state_ = WorkState() if state is None else state

    def apply(self, offset: Offset, envelope: Envelope) -> AppliedRecord | None:
        """Apply one record.

        Parameters
        ----------
        offset : Offset
            Offset of the record; must be the next one.
        envelope : Envelope
            The record with its writer and sequence number.

        Returns
        -------
        AppliedRecord or None
            The record and why it was rejected, if it was; None for a duplicate of
            a record that was applied before.

        Raises
        ------
        InvariantError
            If a record was skipped.
        """
        if not advance_state(self.state_, offset, envelope):
            return None
        record = _decoder.decode(envelope.body)
        refusal = self._check_epoch(record) or self._apply(record)
        self._remove_expired(record.at)
        return AppliedRecord(offset, envelope.writer, envelope.seq, record, refusal)

    def _check_epoch(self, record: WorkRecord) -> str:
        if isinstance(record, JobAccepted | JobWithdrawn | EpochStarted):
            return ""
        if record.epoch != self.state_.epoch:
            return f"epoch {record.epoch} is over"
        return ""

    def _find_active_job(self, job_id) -> Job | None:
        job = self.state_.jobs.get(job_id)
        return job if job is not None and job.is_active else None

    @singledispatchmethod
    def _apply(self, record: WorkRecord) -> str:
        raise TypeError(f"record must be a WorkRecord, got {record!r}")

    @_apply.register
    def _(self, record: EpochStarted) -> str:
        if record.epoch <= self.state_.epoch:
            return f"epoch {record.epoch} is over"
        self.state_.epoch = record.epoch
        return ""

    @_apply.register
    def _(self, record: JobAccepted) -> str:
        existing = self.state_.jobs.get(record.job)
        if existing is not None and record.move_count <= existing.move_count:
            return f"job {record.job} has already been accepted"
        self.state_.jobs[record.job] = Job(
            id=record.job,
            team=record.team,
            spec=record.spec,
            urgent=record.urgent,
            submitted_at=record.submitted_at,
            tasks=_create_tasks(record),
            move_count=record.move_count,
        )
        if self._is_withdrawn(record):
            self._cancel_job(self.state_.jobs[record.job], record.at)
        return ""

    def _is_withdrawn(self, record: JobAccepted) -> bool:
        teams = self.state_.withdrawing_teams(record.job)
        return record.team in teams or OPERATORS in teams

    @_apply.register
    def _(self, record: JobWithdrawn) -> str:
        job = self.state_.jobs.get(record.job)
        if job is None:
            return self._withdraw(record)
        if record.team not in (None, OPERATORS, job.team):
            return f"job {record.job} belongs to another team"
        if job.ended_at:
            return f"job {record.job} has already ended"
        if job.cancelled:
            return f"job {record.job} has already been cancelled"
        self._cancel_job(job, record.at)
        return ""

    def _withdraw(self, record: JobWithdrawn) -> str:
        if record.team is None:
            return f"there is no job {record.job}"
        self.state_.withdraw(record.job, record.team, record.at)
        return ""

    def _cancel_job(self, job: Job, at: int) -> None:
        job.cancelled = True
        for task in job.tasks:
            if task.state is TaskState.WAITING:
                _end_task(task, TaskOutcome.CANCELLED, at)
        self._end_job_if_done(job, at)

    @_apply.register
    def _(self, record: JobMoved) -> str:
        job = self._find_active_job(record.job)
        if job is None or job.cancelled:
            return f"job {record.job} is cancelled or not active in this group"
        if any(task.state is not TaskState.WAITING for task in job.tasks):
            return f"job {record.job} has tasks that are assigned or have ended"
        job.moved_to = record.target_group
        job.move_count += 1
        return ""

    @_apply.register
    def _(self, record: JobMoveConfirmed) -> str:
        job = self.state_.jobs.get(record.job)
        if job is None or not job.moved_to:
            return f"job {record.job} has not been moved"
        job.move_confirmed = True
        job.tasks = []
        self.state_.ended_jobs.append((record.at, job.id))
        return ""

    @_apply.register
    def _(self, record: TaskAssigned) -> str:
        job = self._find_active_job(record.job)
        if job is None or job.cancelled:
            return f"job {record.job} is cancelled or not active in this group"
        task = job.tasks[record.index]
        if task.state is not TaskState.WAITING or record.attempt != task.attempt + 1:
            return (
                f"task {record.index} of {record.job} is not waiting for this attempt"
            )
        task.state = TaskState.ASSIGNED
        task.attempt = record.attempt
        task.worker = record.worker
        task.boot = record.boot
        task.epoch = record.epoch
        task.reason = record.reason
        task.outcome = None
        task.assigned_at = record.at
        task.ended_at = 0
        return ""

    @_apply.register
    def _(self, record: TaskEnded) -> str:
        job = self._find_active_job(record.job)
        if job is None:
            return f"job {record.job} is not active in this group"
        task = job.tasks[record.index]
        if task.state is not TaskState.ASSIGNED or record.attempt != task.attempt:
            return f"task {record.index} of {record.job} is not running this attempt"
        _end_task(task, record.outcome, record.at)
        if record.outcome in FAILED_OUTCOMES:
            task.failures += 1
        if not job.cancelled:
            requeue_if_retryable(job.spec, job, task)
        self._end_job_if_done(job, record.at)
        return ""

    @_apply.register
    def _(self, record: RequestClaimed) -> str:
        existing = self.state_.requests.get(record.request)
        if existing is not None and existing.outcome is not RequestOutcome.NOT_RUN:
            return f"request {record.request} has already been claimed"
        self.state_.requests[record.request] = StoredRequest(
            id=record.request,
            team=record.team,
            service=record.service,
            epoch=record.epoch,
            updated_at=record.at,
            claim_count=existing.claim_count + 1 if existing else 1,
        )
        self.state_.claimed_requests.append((record.at, record.request))
        return ""

    @_apply.register
    def _(self, record: RequestEnded) -> str:
        request = self.state_.requests.get(record.request)
        if request is None or request.outcome is not RequestOutcome.PENDING:
            return f"request {record.request} is not pending"
        request.outcome = record.outcome
        request.status = record.status
        request.updated_at = record.at
        return ""

    def _end_job_if_done(self, job: Job, at: int) -> None:
        if any(task.state is not TaskState.ENDED for task in job.tasks):
            return
        job.ended_at = max(at, 1)
        self.state_.ended_jobs.append((job.ended_at, job.id))

    def _remove_expired(self, at: int) -> None:
        """Remove jobs, requests and withdrawals older than the retention time."""
        cutoff = at - OUTCOME_RETENTION_MS
        for job_id in _pop_older(self.state_.ended_jobs, cutoff):
            self.state_.jobs.pop(job_id, None)
        for request in _pop_older(self.state_.claimed_requests, cutoff):
            self.state_.requests.pop(request, None)
        self.state_.forget_withdrawn(cutoff)


def _pop_older(entries: list[tuple[int, str]], cutoff: int) -> list[str]:
    """Remove entries older than a wall-clock time and return their ids."""
    count = 0
    while count < len(entries) and entries[count][0] < cutoff:
        count += 1
    removed = [id for _, id in entries[:count]]
    del entries[:count]
    return removed


def _create_tasks(record: JobAccepted) -> list[Task]:
    if record.prior_attempts:
        return [
            Task(attempt=prior[0], failures=prior[1]) for prior in record.prior_attempts
        ]
    return [Task() for _ in range(count_tasks(record.spec))]


def _end_task(task: Task, outcome: TaskOutcome, at: int) -> None:
    task.state = TaskState.ENDED
    task.outcome = outcome
    task.ended_at = at


def _requeue(task: Task) -> None:
    task.state = TaskState.WAITING


@singledispatch
def requeue_if_retryable(spec: JobSpec, job: Job, task: Task) -> None:
    """Requeue the ended task, or its whole gang, if it may run again."""
    raise TypeError(f"spec must be a job spec, got {spec!r}")


@requeue_if_retryable.register
def _(spec: ServiceSpec, job: Job, task: Task) -> None:
    _requeue(task)


@requeue_if_retryable.register
def _(spec: BatchSpec, job: Job, task: Task) -> None:
    if _is_retryable(spec, task):
        _requeue(task)


@requeue_if_retryable.register
def _(spec: GangSpec, job: Job, task: Task) -> None:
    if any(other.state is TaskState.ASSIGNED for other in job.tasks):
        return
    if all(other.outcome is TaskOutcome.SUCCEEDED for other in job.tasks):
        return
    failures = max(other.failures for other in job.tasks)
    if failures >= spec.max_attempts:
        return
    if not spec.idempotent and _has_lost_task(job):
        return
    for other in job.tasks:
        other.failures = failures
        _requeue(other)


def _is_retryable(spec: BatchSpec, task: Task) -> bool:
    if task.outcome is TaskOutcome.SUCCEEDED:
        return False
    if task.outcome is TaskOutcome.LOST and not spec.idempotent:
        return False
    return task.failures < spec.max_attempts


def _has_lost_task(job: Job) -> bool:
    return any(task.outcome is TaskOutcome.LOST for task in job.tasks)
