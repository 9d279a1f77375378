"""Control of one group of workers by the entry that holds it.

The holder uses no threads: records, reports, answers and ticks arrive through
its methods, and all output goes through its ports. The assignment of an attempt is
durable before its start command is sent, so that a successor knows every worker
that may run the attempt.
"""

from concurrent.futures import Future
from enum import Enum
from functools import singledispatchmethod

from ..cell import MemberRenewed
from ..exceptions import InvariantError, TransportError
from ..journal import AppendState, AppliedRecord, Instance, decode_envelope
from ..ownership import LeaseGuard
from ..placement import PlacementPass, Scheduler, TeamUsage
from ..requests import OutcomeReply, RequestClaims
from ..settings import LeaseSettings
from ..utils import (
    Clock,
    Epoch,
    GroupName,
    InstanceId,
    JobId,
    MemberId,
    Offset,
    RequestId,
    Resources,
    ServiceName,
    TeamName,
)
from ..work import (
    EpochStarted,
    Job,
    JobAccepted,
    JobCancelled,
    JobMoved,
    RequestClaimed,
    RequestEnded,
    RequestOutcome,
    TaskAssigned,
    TaskEnded,
    TaskOutcome,
    TaskRef,
    TaskState,
    WorkFold,
    WorkRecord,
    WorkState,
)
from ..workers import (
    CommandAnswer,
    CommandBatch,
    ReportReply,
    StartTask,
    StopTask,
    TaskEndReport,
    WorkerClock,
    WorkerHealth,
    WorkerOutcome,
    WorkerReport,
    WorkerView,
)
from ._allotments import AllotmentKeeper
from ._answers import GroupSummary, JobAnswer, WorkerAnswer
from ._attempt import AttemptStage, TaskAttempt
from ._attempt_table import AttemptTable
from ._durable_appends import DurableAppends
from ._inspector import GroupInspector
from ._monitor import WorkerMonitor
from ._moves import JobMover
from ._outbox import CommandOutbox
from ._ports import HolderPorts

__all__ = ["GroupHolder", "HolderPhase"]

INTENT_LINGER_MS = 5
END_LINGER_MS = 100
TASK_OUTCOMES = {
    WorkerOutcome.SUCCEEDED: TaskOutcome.SUCCEEDED,
    WorkerOutcome.FAILED: TaskOutcome.FAILED,
    WorkerOutcome.STOPPED: TaskOutcome.STOPPED,
    WorkerOutcome.LEASE_EXPIRED: TaskOutcome.LOST,
}


class HolderPhase(Enum):
    """Phase of a holder.

    An opening holder reads the group's stream, an active one places work, and a
    closing one places nothing and waits for outstanding answers. A holder becomes
    inactive when it releases the group or when a later holder opens the stream.
    """

    OPENING = "opening"
    ACTIVE = "active"
    CLOSING = "closing"
    RELEASED = "released"
    SUPERSEDED = "superseded"


ACTING_PHASES = (HolderPhase.ACTIVE, HolderPhase.CLOSING)


class GroupHolder:
    """Place, start, monitor and stop the tasks of one group.

    Parameters
    ----------
    group : GroupName
        The group.
    racks : list of str
        Its racks.
    epoch : Epoch
        Epoch assigned to the claim of the group.
    member : MemberId
        This entry.
    report_to : str
        ``host:port`` where workers report.
    leases : LeaseSettings
        Lease terms.
    guard : LeaseGuard
        Validity of the ownership lease.
    clock : Clock
        Source of time.
    ports : HolderPorts
        Interface to the surrounding process.

    Attributes
    ----------
    phase_ : HolderPhase
        Phase of the holder.
    fold_ : WorkFold
        Accepted work of the group, built from its stream.
    views_ : dict
        Workers by id.
    attempts_ : AttemptTable
        Tracked attempts.
    """

    def __init__(
        self,
        group: GroupName,
        racks: list[str],
        epoch: Epoch,
        member: MemberId,
        report_to: str,
        leases: LeaseSettings,
        guard: LeaseGuard,
        clock: Clock,
        ports: HolderPorts,
    ) -> None:
        self.group = group
        self.racks = racks
        self.epoch = epoch
        self.member = member
        self.report_to = report_to
        self.leases = leases
        self.guard = guard
        self.clock = clock
        self.ports = ports
        self.phase_ = HolderPhase.OPENING
        self.fold_ = WorkFold()
        self.views_: dict[InstanceId, WorkerView] = {}
        self.attempts_ = AttemptTable(self.views_)
        self._outbox = CommandOutbox(
            group, epoch, report_to, leases, guard, clock, self.attempts_, ports
        )
        self._monitor = WorkerMonitor(
            racks, leases, clock, self.attempts_, self._outbox, ports
        )
        self._scheduler = Scheduler(self._find_job, self._team_capacity)
        self._inspector = GroupInspector(
            group, epoch, member, clock, self._scheduler, self.attempts_
        )
        self._allotments = AllotmentKeeper(group, epoch, member, ports)
        self._appends = DurableAppends(ports)
        self._mover = JobMover(group, epoch, clock, ports, self._appends)
        self._claims = RequestClaims()
        self._shortfalls: dict[TeamName, Resources] = {}
        self._start_valid_until: dict[TaskRef, WorkerClock] = {}
        self._needs_placement = True
        self._ready_worker_count = 0

    def open(self) -> None:
        """Queue the record that fences off earlier holders."""
        record = EpochStarted(self.clock.wall_ms(), self.epoch, self.member)
        self._appends.append(self.group, record, 0)

    @property
    def next_offset(self) -> Offset:
        """First offset of the group's stream that has not been read."""
        return self.fold_.state_.next_offset

    @property
    def is_idle(self) -> bool:
        """Whether no attempt waits for its append or for the worker's answer."""
        return self.attempts_.is_idle

    @property
    def is_acting(self) -> bool:
        """Whether this holder may send commands, renew leases and end tasks."""
        return self.phase_ in ACTING_PHASES

    def close(self) -> None:
        """Stop placing work, so that the group can be handed over."""
        if self.phase_ is HolderPhase.ACTIVE:
            self.phase_ = HolderPhase.CLOSING

    def release(self) -> None:
        """Become inactive, because the release is about to be sent."""
        self.phase_ = HolderPhase.RELEASED

    # Records of the group's stream

    def on_snapshot(self, state: WorkState) -> None:
        """Start from a snapshot.

        Parameters
        ----------
        state : WorkState
            State that covers more than was applied so far. A holder past its
            opening that gets one has fallen behind the part of the log that is
            retained; it releases the group, since it can't know what it missed.
        """
        if self.phase_ is HolderPhase.OPENING:
            self.fold_ = WorkFold(state)
            self._activate_if_opened()
        else:
            self.release()

    def _activate_if_opened(self) -> None:
        """Activate at once if the snapshot covers this holder's own opening."""
        if self.fold_.state_.epoch == self.epoch:
            self._activate()

    def on_records(self, start: Offset, payloads: list[bytes]) -> None:
        """Apply records read from the group's stream.

        Parameters
        ----------
        start : Offset
            Offset of the first record.
        payloads : list of bytes
            The records.
        """
        for index, payload in enumerate(payloads):
            offset = Offset(start + index)
            if offset < self.next_offset:
                continue
            applied = self.fold_.apply(offset, decode_envelope(payload))
            if applied is not None:
                self._on_applied(applied)
        self._outbox.flush()

    def _on_applied(self, applied: AppliedRecord) -> None:
        if self.fold_.state_.epoch > self.epoch:
            self.phase_ = HolderPhase.SUPERSEDED
        if not self.is_acting and self.phase_ is not HolderPhase.OPENING:
            return
        opened = isinstance(applied.record, EpochStarted)
        if opened and applied.record.epoch == self.epoch and not applied.refusal:
            self._activate()
        elif self.phase_ is not HolderPhase.OPENING and self._is_current(applied):
            self._on_record(applied.record, applied.refusal)
        if applied.writer == self.member:
            self._resolve_claim(applied)

    def _is_current(self, applied: AppliedRecord) -> bool:
        """Return False for a late record of an earlier holder."""
        return getattr(applied.record, "epoch", self.epoch) == self.epoch

    def _activate(self) -> None:
        """Index the work of earlier holders, and become active."""
        self.phase_ = HolderPhase.ACTIVE
        for job in self.fold_.state_.jobs.values():
            self._index_job(job)
        at_ms = self.clock.wall_ms()
        for record in RequestClaims.orphan_records(
            self.fold_.state_.requests, self.epoch, at_ms
        ):
            self._appends.append(self.group, record, END_LINGER_MS)
        self._needs_placement = True

    def _index_job(self, job: Job) -> None:
        if job.moved_to:
            self._mover.resume_move(job)
            return
        if job.ended_at:
            return
        self._queue_if_waiting(job)
        for index, task in enumerate(job.tasks):
            if task.state is not TaskState.ASSIGNED:
                continue
            ref = TaskRef(job.id, index, task.attempt)
            attempt = self.attempts_.add(ref, job, task.worker, AttemptStage.ADOPTED)
            attempt.is_stop_requested = job.cancelled

    def _queue_if_waiting(self, job: Job) -> None:
        waiting = [
            index
            for index, task in enumerate(job.tasks)
            if task.state is TaskState.WAITING
            and TaskRef(job.id, index, task.attempt + 1) not in self.attempts_
        ]
        if waiting and job.is_active and not job.cancelled:
            self._scheduler.add(job, waiting)
            self._needs_placement = True
        else:
            self._scheduler.remove(job.id)

    @singledispatchmethod
    def _on_record(self, record: WorkRecord, refusal: str) -> None:
        """React to an applied record; most types need no reaction."""

    @_on_record.register
    def _(self, record: JobAccepted, refusal: str) -> None:
        if not refusal:
            self._queue_if_waiting(self._find_job(record.job))

    @_on_record.register
    def _(self, record: JobCancelled, refusal: str) -> None:
        job = self.fold_.state_.jobs.get(record.job)
        if job is None or not job.cancelled:
            return
        self._scheduler.remove(job.id)
        if job.moved_to:
            self._mover.forward_cancel(job)
        for attempt in self.attempts_.of_job(job):
            self._request_stop(attempt)

    @_on_record.register
    def _(self, record: JobMoved, refusal: str) -> None:
        self._mover.observe_moved(record.job, refusal)
        if not refusal:
            self._scheduler.remove(record.job)
            self._mover.resume_move(self._find_job(record.job))

    @_on_record.register
    def _(self, record: TaskAssigned, refusal: str) -> None:
        ref = TaskRef(record.job, record.index, record.attempt)
        attempt = self.attempts_.get(ref)
        if attempt is None or attempt.stage is not AttemptStage.APPENDING:
            return
        if refusal:
            self._remove_attempt(ref)
            job = self.fold_.state_.jobs.get(record.job)
            if job is not None:
                self._queue_if_waiting(job)
            return
        attempt.pending_append = None
        self._queue_start(attempt)

    @_on_record.register
    def _(self, record: TaskEnded, refusal: str) -> None:
        ref = TaskRef(record.job, record.index, record.attempt)
        attempt = self.attempts_.get(ref)
        if attempt is None:
            return
        if refusal:
            raise InvariantError(f"record of the end of {ref} was rejected: {refusal}")
        self._update_health(attempt, record.outcome)
        self._remove_attempt(ref)
        job = self._find_job(record.job)
        self._queue_if_waiting(job)
        if record.outcome is not TaskOutcome.SUCCEEDED:
            self._stop_rest_of_gang(job)

    def _update_health(self, attempt: TaskAttempt, outcome: TaskOutcome) -> None:
        view = self.views_.get(attempt.worker)
        if view is None:
            return
        if outcome is TaskOutcome.SUCCEEDED:
            view.record_success()
        elif outcome is TaskOutcome.FAILED:
            view.record_failure(attempt.ref.job, self.clock.now())

    def _stop_rest_of_gang(self, job: Job) -> None:
        """Stop the remaining tasks of a gang of which one did not succeed."""
        if type(job.spec).__struct_config__.tag != "gang":
            return
        for attempt in self.attempts_.of_job(job):
            self._request_stop(attempt)

    # Attempts

    def _remove_attempt(self, ref: TaskRef) -> None:
        attempt = self.attempts_.get(ref)
        if attempt.valid_until:
            self._start_valid_until[ref] = attempt.valid_until
        self.attempts_.remove(ref)
        self._needs_placement = True

    def _queue_start(self, attempt: TaskAttempt) -> None:
        view = self.views_.get(attempt.worker)
        attempt.stage = AttemptStage.COMMANDED
        if view is None or view.health_ is not WorkerHealth.LIVE:
            return
        job = self._find_job(attempt.ref.job)
        if job.cancelled:
            attempt.is_stop_requested = True
            return
        if not self._allotments.excess(attempt.team).is_zero():
            # The limit was lowered while the assignment was being appended.
            self._queue_end(attempt, TaskOutcome.NOT_STARTED)
            return
        lease_until = view.estimate_clock(self.clock.now()) + self.leases.task_ms
        command = StartTask(
            *attempt.ref, attempt.resources, job.spec.command, WorkerClock(lease_until)
        )
        self._outbox.put(view.id, command)

    def _request_stop(self, attempt: TaskAttempt) -> None:
        attempt.is_stop_requested = True
        if attempt.worker in self.views_ and attempt.stage is AttemptStage.RUNNING:
            self._outbox.put(attempt.worker, StopTask(*attempt.ref))

    def _queue_end(self, attempt: TaskAttempt, outcome: TaskOutcome) -> None:
        """Queue the end record of an attempt that has certainly ended."""
        if attempt.is_end_queued:
            return
        job = self.fold_.state_.jobs.get(attempt.ref.job)
        if job is not None and job.cancelled and outcome is not TaskOutcome.SUCCEEDED:
            outcome = TaskOutcome.CANCELLED
        attempt.is_end_queued = True
        record = TaskEnded(
            self.clock.wall_ms(), self.epoch, *attempt.ref, outcome=outcome
        )
        attempt.pending_append = self.ports.append_work(
            self.group, record, END_LINGER_MS
        )

    # Reports and answers of workers

    def on_report(self, report: WorkerReport) -> ReportReply | None:
        """Process a worker's report.

        Parameters
        ----------
        report : WorkerReport
            The report.

        Returns
        -------
        ReportReply or None
            None if the worker or the epoch of the report is not this holder's,
            or the holder may not act.
        """
        view = self.views_.get(report.worker)
        if view is None or report.epoch != self.epoch or not self.is_acting:
            return None
        now = self.clock.now()
        if not view.is_newer(report):
            return ReportReply(self.epoch)
        if view.health_ is not WorkerHealth.LIVE:
            self._needs_placement = True
        view.apply_report(report, now)
        forget = self._reconcile(view, report)
        self._outbox.flush()
        if not self.guard.is_valid():
            return ReportReply(self.epoch, None, forget)
        view.extend_lease(self.leases.task_lease_end(now))
        lease_until = WorkerClock(report.clock + self.leases.task_ms)
        return ReportReply(self.epoch, lease_until, forget)

    def _reconcile(self, view: WorkerView, report: WorkerReport) -> list[TaskEndReport]:
        """Compare a report with the attempts assigned to the worker."""
        running = [TaskRef(s.job, s.index, s.attempt) for s in report.running]
        ended = {TaskRef(e.job, e.index, e.attempt): e for e in report.ended}
        for attempt in self.attempts_.on_worker(view.id):
            if attempt.ref in running:
                self._mark_running(attempt)
            elif attempt.ref in ended:
                self._queue_end(attempt, TASK_OUTCOMES[ended[attempt.ref].outcome])
            else:
                self._end_if_absent(attempt, view, report)
        for ref in running:
            if ref not in self.attempts_:
                self._outbox.put(view.id, StopTask(*ref))
        for ref in view.reserved_refs():
            if ref not in running and ref not in self.attempts_:
                view.release(ref)
        return [
            end
            for ref, end in ended.items()
            if ref not in self.attempts_ and self._is_start_expired(ref, report)
        ]

    def _is_start_expired(self, ref: TaskRef, report: WorkerReport) -> bool:
        """Return whether the start command of an ended attempt has expired.

        Until then a delayed copy may take effect, so the worker has to remember
        that the attempt has ended.
        """
        if report.clock <= self._start_valid_until.get(ref, WorkerClock(-1)):
            return False
        self._start_valid_until.pop(ref, None)
        return True

    def _mark_running(self, attempt: TaskAttempt) -> None:
        attempt.stage = AttemptStage.RUNNING
        if attempt.is_stop_requested:
            self._outbox.put(attempt.worker, StopTask(*attempt.ref))

    def _end_if_absent(
        self, attempt: TaskAttempt, view: WorkerView, report: WorkerReport
    ) -> None:
        """End an attempt that its worker certainly does not run, by its report.

        A worker remembers its attempts until the holder has recorded their end,
        but not across a reboot.
        """
        if attempt.stage is AttemptStage.APPENDING:
            return
        task = self._find_job(attempt.ref.job).tasks[attempt.ref.index]
        if task.boot != view.incarnation_ or attempt.stage is AttemptStage.RUNNING:
            self._queue_end(attempt, TaskOutcome.LOST)
        elif (
            attempt.stage is AttemptStage.ADOPTED or report.clock > attempt.valid_until
        ):
            self._queue_end(attempt, TaskOutcome.NOT_STARTED)

    def on_answer(
        self,
        worker: InstanceId,
        batch: CommandBatch,
        answer: CommandAnswer | TransportError,
    ) -> None:
        """Process the result of a batch of commands.

        Parameters
        ----------
        worker : InstanceId
            Worker that it was sent to.
        batch : CommandBatch
            The batch.
        answer : CommandAnswer or TransportError
            The worker's answer, or the error if there is none.
        """
        if not self.is_acting:
            return
        if isinstance(answer, TransportError):
            self._on_no_answer(worker, batch, answer)
            return
        for index, command in enumerate(batch.commands):
            if not isinstance(command, StartTask):
                continue
            refusal = answer.refusal or answer.results[index].refusal
            ref = TaskRef(command.job, command.index, command.attempt)
            attempt = self.attempts_.get(ref)
            if attempt is None:
                continue
            if refusal:
                self._end_rejected(attempt)
            else:
                attempt.stage = AttemptStage.RUNNING
        view = self.views_.get(worker)
        if view is not None:
            view.update_clock(answer.boot, answer.clock, self.clock.now())
        if answer.report is not None:
            self.on_report(answer.report)

    def _end_rejected(self, attempt: TaskAttempt) -> None:
        """End an attempt that was certainly not started."""
        self._queue_end(attempt, TaskOutcome.NOT_STARTED)
        view = self.views_.get(attempt.worker)
        if view is not None:
            view.record_failure(attempt.ref.job, self.clock.now())

    def _on_no_answer(
        self, worker: InstanceId, batch: CommandBatch, exc: TransportError
    ) -> None:
        view = self.views_.get(worker)
        if view is not None and view.health_ is WorkerHealth.LIVE:
            view.health_ = WorkerHealth.SUSPECTED
        if exc.sent:
            return
        for command in batch.commands:
            ref = TaskRef(command.job, command.index, command.attempt)
            attempt = self.attempts_.get(ref)
            if isinstance(command, StartTask) and attempt is not None:
                self._end_rejected(attempt)

    def on_instances(self, instances: list[Instance]) -> None:
        """Apply the platform's list of workers."""
        self._monitor.update(instances)

    # Periodic work

    def tick(self) -> None:
        """Retry appends, poll unresponsive workers, expire attempts and place work."""
        if not self.guard.is_valid():
            return
        if self.is_acting or self.phase_ is HolderPhase.OPENING:
            self._appends.retry()
        if not self.is_acting:
            return
        self._monitor.run()
        self._expire_attempts()
        self._retry_appends()
        if self.phase_ is HolderPhase.ACTIVE:
            self._place()
            self._mover.run(self._scheduler, self._find_job, list(self.views_.values()))
        self._outbox.flush()

    def _expire_attempts(self) -> None:
        """End attempts on unresponsive workers whose leases have certainly ended."""
        now = self.clock.now()
        for worker, lease_ends_at in self._monitor.unresponsive_workers():
            if now <= lease_ends_at:
                continue
            for attempt in self.attempts_.on_worker(worker):
                if attempt.stage is not AttemptStage.APPENDING:
                    self._queue_end(attempt, TaskOutcome.LOST)

    def _retry_appends(self) -> None:
        """Retry appends that failed, except assignments that were not stored.

        The task of such an assignment is queued again.
        """
        for attempt in self.attempts_:
            item = attempt.pending_append
            if item is None or item.state is AppendState.WAITING:
                continue
            if item.state is AppendState.DURABLE:
                continue
            if isinstance(item.body, TaskAssigned) and (
                item.state is AppendState.NOT_APPENDED
            ):
                self._remove_attempt(attempt.ref)
                self._queue_if_waiting(self._find_job(attempt.ref.job))
                continue
            attempt.pending_append = self.ports.append_work(self.group, item.body, 0)

    def _place(self) -> None:
        views = list(self.views_.values())
        now = self.clock.now()
        ready = sum(view.accepts_tasks(now) for view in views)
        changed = self._needs_placement or ready != self._ready_worker_count
        if not changed and not self._allotments.is_pending:
            return
        self._needs_placement = False
        self._ready_worker_count = ready
        outcome = self._scheduler.run(views, now, self.clock.wall_ms())
        self._shortfalls = outcome.shortfalls
        self._assign(outcome)
        self._allotments.adjust(self._shortfalls, self.attempts_.used_)

    def _assign(self, outcome: PlacementPass) -> None:
        at_ms = self.clock.wall_ms()
        for job, placements in outcome.placements:
            for placement in placements:
                number = job.tasks[placement.index].attempt + 1
                ref = TaskRef(job.id, placement.index, number)
                attempt = self.attempts_.add(
                    ref, job, placement.worker, AttemptStage.APPENDING
                )
                boot = self.views_[placement.worker].incarnation_
                record = TaskAssigned(
                    at_ms, self.epoch, *ref, placement.worker, boot, placement.reason
                )
                attempt.pending_append = self.ports.append_work(
                    self.group, record, INTENT_LINGER_MS
                )
            self._check_allotment(job.team)

    def _check_allotment(self, team: TeamName) -> None:
        """Assert that the team's usage stays within the group's allotment."""
        used = self.attempts_.used(team)
        usable = self._allotments.usable(team)
        if not used.fits_in(usable):
            raise InvariantError(
                f"team {team} uses {used} but may use {usable} in {self.group}"
            )

    def on_cell_record(self, applied: AppliedRecord) -> None:
        """React to a record of the cell's stream.

        Parameters
        ----------
        applied : AppliedRecord
            The record.
        """
        self._allotments.observe_applied(applied)
        if not isinstance(applied.record, MemberRenewed):
            self._needs_placement = True

    def _find_job(self, job_id: JobId) -> Job:
        return self.fold_.state_.jobs[job_id]

    def _team_capacity(self, team: TeamName) -> TeamUsage:
        limits = self.ports.cell().teams.get(team)
        used = self.attempts_.used(team)
        exceeds_limit = not self._allotments.excess(team).is_zero()
        allotment = used if exceeds_limit else self._allotments.usable(team)
        return TeamUsage(limits.share if limits else 1, used, allotment)

    # Non-idempotent requests

    def claim_request(
        self, request: RequestId, team: TeamName, service: ServiceName
    ) -> Future:
        """Claim a request before it is sent.

        Parameters
        ----------
        request : RequestId
            The request.
        team : TeamName
            Team that sends the request.
        service : ServiceName
            Service that the request is for.

        Returns
        -------
        Future
            Resolves to the number of the claim, 0 if the request was claimed
            before and may have run.
        """
        record = RequestClaimed(
            self.clock.wall_ms(), self.epoch, request, team, service
        )
        item = self.ports.append_work(self.group, record, INTENT_LINGER_MS)
        return self._claims.add(request, item)

    def _resolve_claim(self, applied: AppliedRecord) -> None:
        record = applied.record
        if isinstance(record, RequestClaimed):
            stored = self.fold_.state_.requests.get(record.request)
            self._claims.resolve(record, applied.seq, applied.refusal, stored)

    def end_request(
        self, request: RequestId, outcome: RequestOutcome, status: int
    ) -> None:
        """Record the outcome of a claimed request."""
        record = RequestEnded(
            self.clock.wall_ms(), self.epoch, request, outcome, status
        )
        self._appends.append(self.group, record, END_LINGER_MS)

    def describe_request(self, request: RequestId) -> OutcomeReply:
        """Return a non-idempotent request as shown to callers.

        Raises
        ------
        NotFoundError
            If the group does not know the request.
        """
        stored = self.fold_.state_.requests.get(request)
        return RequestClaims.describe(stored, request)

    # Queries

    def describe(self, job_id: JobId) -> JobAnswer:
        """Return a job as shown to callers; see `GroupInspector.job`."""
        return self._inspector.job(self.fold_.state_, job_id)

    def jobs(self) -> list[JobAnswer]:
        """Return all jobs that this group has."""
        return self._inspector.jobs(self.fold_.state_)

    def workers(self) -> list[WorkerAnswer]:
        """Return the workers of this group."""
        return self._inspector.workers()

    def summary(self) -> GroupSummary:
        """Return what other entries need to know about this group."""
        return self._inspector.summary(self.fold_.state_)
