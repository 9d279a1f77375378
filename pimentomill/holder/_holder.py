"""Control of one group of workers by the entry that holds it.

The holder is free of threads: records, reports, answers and ticks come in through
its methods, and everything that leaves goes through its ports. An attempt is
written to the log before its start command leaves, so that whoever takes the
group over knows every worker that may run it.
"""

from concurrent.futures import Future
from enum import Enum
from functools import singledispatchmethod

from ..cell import MemberRenewed
from ..exceptions import InvariantError, TransportError
from ..journal import AppendState, Applied, Instance, decode_envelope
from ..ownership import LeaseGuard
from ..placement import PlacementPass, Scheduler, TeamRoom
from ..requests import RequestClaims, StoredAnswer
from ..settings import LeaseSettings
from ..utils import (
    Clock,
    Epoch,
    GroupName,
    InstanceId,
    Instant,
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
from ._appends import LastingAppends
from ._attempts import AttemptTable
from ._flight import Flight, FlightStage
from ._moves import JobMover
from ._outbox import CommandOutbox
from ._ports import HolderPorts
from ._survey import GroupSurvey
from ._watch import WorkerWatch

__all__ = ["GroupHolder", "HolderPhase"]

INTENT_LINGER_MS = 5
END_LINGER_MS = 100
OUTCOMES = {
    WorkerOutcome.SUCCEEDED: TaskOutcome.SUCCEEDED,
    WorkerOutcome.FAILED: TaskOutcome.FAILED,
    WorkerOutcome.STOPPED: TaskOutcome.STOPPED,
    WorkerOutcome.LEASE_LAPSED: TaskOutcome.LOST,
}


class HolderPhase(Enum):
    """What a holder is doing.

    An opening holder reads the group's stream, an active one places work, a
    closing one only waits for answers under way. Once the release has left, or
    a later holder has opened the stream, the holder does nothing any more.
    """

    OPENING = "opening"
    ACTIVE = "active"
    CLOSING = "closing"
    RELEASED = "released"
    SUPERSEDED = "superseded"


ACTING_PHASES = (HolderPhase.ACTIVE, HolderPhase.CLOSING)


class GroupHolder:
    """Place, start, watch and stop the tasks of one group.

    Parameters
    ----------
    group : GroupName
        The group.
    racks : list of str
        Its racks.
    epoch : Epoch
        Epoch that the claim got.
    member : MemberId
        This entry.
    report_to : str
        ``host:port`` where workers report.
    leases : LeaseSettings
        Terms.
    guard : LeaseGuard
        Right to act.
    clock : Clock
        Source of time.
    ports : HolderPorts
        Ways out.

    Attributes
    ----------
    phase_ : HolderPhase
        What the holder is doing.
    fold_ : WorkFold
        The group's accepted work.
    views_ : dict
        Workers by id.
    attempts_ : AttemptTable
        Attempts under way.
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
        self._watch = WorkerWatch(
            racks, leases, clock, self.attempts_, self._outbox, ports
        )
        self._scheduler = Scheduler(self._find_job, self._team_room)
        self._survey = GroupSurvey(
            group, epoch, member, clock, self._scheduler, self.attempts_
        )
        self._allotments = AllotmentKeeper(group, epoch, member, ports)
        self._appends = LastingAppends(ports)
        self._mover = JobMover(group, epoch, clock, ports, self._appends)
        self._claims = RequestClaims()
        self._wanted: dict[TeamName, Resources] = {}
        self._commandable: dict[TaskRef, WorkerClock] = {}
        self._is_dirty = True
        self._ready_workers = 0

    def open(self) -> None:
        """Queue the record that ends the rights of earlier holders."""
        record = EpochStarted(self.clock.wall_ms(), self.epoch, self.member)
        self._appends.append(self.group, record, 0)

    @property
    def next_offset(self) -> Offset:
        """First offset of the group's stream that is still to be read."""
        return self.fold_.state_.next_offset

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is between decision and answer."""
        return self.attempts_.is_idle

    @property
    def is_acting(self) -> bool:
        """Whether this holder may send commands, renew leases and end tasks."""
        return self.phase_ in ACTING_PHASES

    def close(self) -> None:
        """Place nothing more, so that the group can be handed over."""
        if self.phase_ is HolderPhase.ACTIVE:
            self.phase_ = HolderPhase.CLOSING

    def release(self) -> None:
        """Do nothing any more, because the release is about to leave."""
        self.phase_ = HolderPhase.RELEASED

    # Records of the group's stream.

    def on_snapshot(self, state: WorkState) -> None:
        """Begin with a snapshot.

        Parameters
        ----------
        state : WorkState
            State that covers more than was folded so far. A holder that acts
            already has fallen behind what the log keeps; it gives the group
            up, since it does not know what it has missed.
        """
        if self.phase_ is HolderPhase.OPENING:
            self.fold_ = WorkFold(state)
            self._resume_if_opened()
        else:
            self.release()

    def _resume_if_opened(self) -> None:
        """Act at once if the snapshot covers this holder's own opening."""
        if self.fold_.state_.epoch == self.epoch:
            self._begin()

    def on_records(self, start: Offset, payloads: list[bytes]) -> None:
        """Fold records read from the group's stream.

        Parameters
        ----------
        start : Offset
            Offset of the first of them.
        payloads : list of bytes
            The records.
        """
        for index, payload in enumerate(payloads):
            offset = Offset(start + index)
            if offset < self.next_offset:
                continue
            applied = self.fold_.apply(offset, decode_envelope(payload))
            if applied is not None:
                self._react(applied)
        self._outbox.flush()

    def _react(self, applied: Applied) -> None:
        if self.fold_.state_.epoch > self.epoch:
            self.phase_ = HolderPhase.SUPERSEDED
        if not self.is_acting and self.phase_ is not HolderPhase.OPENING:
            return
        opened = isinstance(applied.record, EpochStarted)
        if opened and applied.record.epoch == self.epoch and not applied.refusal:
            self._begin()
        elif self.phase_ is not HolderPhase.OPENING and self._is_current(applied):
            self._on_record(applied.record, applied.refusal)
        if applied.writer == self.member:
            self._settle_claim(applied)

    def _is_current(self, applied: Applied) -> bool:
        """Return whether a record is not a late one of an earlier holder."""
        return getattr(applied.record, "epoch", self.epoch) == self.epoch

    def _begin(self) -> None:
        """Index the work left by earlier holders, and start to act."""
        self.phase_ = HolderPhase.ACTIVE
        for job in self.fold_.state_.jobs.values():
            self._index_job(job)
        at = self.clock.wall_ms()
        for record in RequestClaims.orphans(self.fold_.state_.requests, self.epoch, at):
            self._appends.append(self.group, record, END_LINGER_MS)
        self._is_dirty = True

    def _index_job(self, job: Job) -> None:
        if job.moved_to:
            self._mover.resume(job)
            return
        if job.ended_at:
            return
        self._queue_if_waiting(job)
        for index, task in enumerate(job.tasks):
            if task.state is not TaskState.ASSIGNED:
                continue
            ref = TaskRef(job.id, index, task.attempt)
            flight = self.attempts_.add(ref, job, task.worker, FlightStage.ADOPTED)
            flight.is_stop_wanted = job.cancelled

    def _queue_if_waiting(self, job: Job) -> None:
        waiting = [
            index
            for index, task in enumerate(job.tasks)
            if task.state is TaskState.WAITING
            and TaskRef(job.id, index, task.attempt + 1) not in self.attempts_
        ]
        if waiting and job.is_active and not job.cancelled:
            self._scheduler.add(job, waiting)
            self._is_dirty = True
        else:
            self._scheduler.remove(job.id)

    @singledispatchmethod
    def _on_record(self, record: WorkRecord, refusal: str) -> None:
        """React to a folded record; most kinds need nothing."""

    @_on_record.register
    def _(self, record: JobAccepted, refusal: str) -> None:
        if not refusal:
            self._queue_if_waiting(self._find_job(record.job))

    @_on_record.register
    def _(self, record: JobCancelled, refusal: str) -> None:
        job = self.fold_.state_.jobs.get(record.job)
        if job is None:
            return
        self._scheduler.remove(job.id)
        if job.moved_to:
            self._mover.forward_cancel(job)
        for flight in self.attempts_.of_job(job):
            self._stop(flight)

    @_on_record.register
    def _(self, record: JobMoved, refusal: str) -> None:
        self._mover.note_moved(record.job, refusal)
        if not refusal:
            self._scheduler.remove(record.job)
            self._mover.resume(self._find_job(record.job))

    @_on_record.register
    def _(self, record: TaskAssigned, refusal: str) -> None:
        ref = TaskRef(record.job, record.index, record.attempt)
        flight = self.attempts_.get(ref)
        if flight is None or flight.stage is not FlightStage.APPENDING:
            return
        if refusal:
            self._drop(ref)
            job = self.fold_.state_.jobs.get(record.job)
            if job is not None:
                self._queue_if_waiting(job)
            return
        flight.intent = None
        self._queue_start(flight)

    @_on_record.register
    def _(self, record: TaskEnded, refusal: str) -> None:
        ref = TaskRef(record.job, record.index, record.attempt)
        flight = self.attempts_.get(ref)
        if flight is None:
            return
        if refusal:
            raise InvariantError(f"end of {ref} was refused: {refusal}")
        self._note_health(flight, record.outcome)
        self._drop(ref)
        job = self._find_job(record.job)
        self._queue_if_waiting(job)
        if record.outcome is not TaskOutcome.SUCCEEDED:
            self._stop_rest_of_gang(job)

    def _note_health(self, flight: Flight, outcome: TaskOutcome) -> None:
        view = self.views_.get(flight.worker)
        if view is None:
            return
        if outcome is TaskOutcome.SUCCEEDED:
            view.note_success()
        elif outcome is TaskOutcome.FAILED:
            view.note_failure(flight.ref.job, self.clock.now())

    def _stop_rest_of_gang(self, job: Job) -> None:
        """Stop the running tasks of a gang that lost one."""
        if type(job.spec).__struct_config__.tag != "gang":
            return
        for flight in self.attempts_.of_job(job):
            self._stop(flight)

    # Attempts.

    def _drop(self, ref: TaskRef) -> None:
        flight = self.attempts_.get(ref)
        if flight.valid_until:
            self._commandable[ref] = flight.valid_until
        self.attempts_.drop(ref)
        self._is_dirty = True

    def _queue_start(self, flight: Flight) -> None:
        view = self.views_.get(flight.worker)
        flight.stage = FlightStage.COMMANDED
        if view is None or view.health_ is not WorkerHealth.LIVE:
            return
        job = self._find_job(flight.ref.job)
        if job.cancelled:
            flight.is_stop_wanted = True
            return
        if not self._allotments.excess(flight.team).is_zero():
            # The limit was lowered while the assignment was on its way.
            self._end(flight, TaskOutcome.NOT_STARTED)
            return
        lease_until = view.clock_at(self.clock.now()) + self.leases.task_ms
        command = StartTask(
            *flight.ref, flight.resources, job.spec.command, WorkerClock(lease_until)
        )
        self._outbox.put(view.id, command)

    def _stop(self, flight: Flight) -> None:
        flight.is_stop_wanted = True
        if flight.worker in self.views_ and flight.stage is FlightStage.RUNNING:
            self._outbox.put(flight.worker, StopTask(*flight.ref))

    def _end(self, flight: Flight, outcome: TaskOutcome) -> None:
        """Queue the record that an attempt is over for certain."""
        if flight.is_end_queued:
            return
        job = self.fold_.state_.jobs.get(flight.ref.job)
        if job is not None and job.cancelled and outcome is not TaskOutcome.SUCCEEDED:
            outcome = TaskOutcome.CANCELLED
        flight.is_end_queued = True
        record = TaskEnded(
            self.clock.wall_ms(), self.epoch, *flight.ref, outcome=outcome
        )
        flight.intent = self.ports.append_work(self.group, record, END_LINGER_MS)

    # Reports and answers of workers.

    def on_report(self, report: WorkerReport) -> ReportReply | None:
        """Take in a worker's report.

        Parameters
        ----------
        report : WorkerReport
            The report.

        Returns
        -------
        ReportReply or None
            None if the worker does not belong to this holder.
        """
        view = self.views_.get(report.worker)
        if view is None or report.epoch != self.epoch or not self.is_acting:
            return None
        now = self.clock.now()
        if not view.is_newer(report):
            return ReportReply(self.epoch)
        if view.health_ is not WorkerHealth.LIVE:
            self._is_dirty = True
        view.note_report(report, now)
        forget = self._reconcile(view, report)
        self._outbox.flush()
        if not self.guard.is_valid():
            return ReportReply(self.epoch, None, forget)
        view.lease_ends_at_ = Instant(now + self.leases.task_ms + self.leases.margin_ms)
        lease_until = WorkerClock(report.clock + self.leases.task_ms)
        return ReportReply(self.epoch, lease_until, forget)

    def _reconcile(self, view: WorkerView, report: WorkerReport) -> list[TaskEndReport]:
        """Compare a report with the attempts assigned to the worker."""
        running = [TaskRef(s.job, s.index, s.attempt) for s in report.running]
        ended = {TaskRef(e.job, e.index, e.attempt): e for e in report.ended}
        for flight in self.attempts_.on_worker(view.id):
            if flight.ref in running:
                self._note_running(flight)
            elif flight.ref in ended:
                self._end(flight, OUTCOMES[ended[flight.ref].outcome])
            else:
                self._note_absent(flight, view, report)
        for ref in running:
            if ref not in self.attempts_:
                self._outbox.put(view.id, StopTask(*ref))
        for ref in view.held_refs():
            if ref not in running and ref not in self.attempts_:
                view.release(ref)
        return [
            end
            for ref, end in ended.items()
            if ref not in self.attempts_ and self._is_past_start(ref, report)
        ]

    def _is_past_start(self, ref: TaskRef, report: WorkerReport) -> bool:
        """Return whether no copy of the start command can take effect any more.

        Until then the worker has to remember that the attempt has ended.
        """
        if report.clock <= self._commandable.get(ref, WorkerClock(-1)):
            return False
        self._commandable.pop(ref, None)
        return True

    def _note_running(self, flight: Flight) -> None:
        flight.stage = FlightStage.RUNNING
        if flight.is_stop_wanted:
            self._outbox.put(flight.worker, StopTask(*flight.ref))

    def _note_absent(
        self, flight: Flight, view: WorkerView, report: WorkerReport
    ) -> None:
        """Settle an attempt that its worker does not know.

        A worker remembers what it ran until the holder has noted the end, but
        not across a reboot.
        """
        if flight.stage is FlightStage.APPENDING:
            return
        task = self._find_job(flight.ref.job).tasks[flight.ref.index]
        if task.boot != view.boot_ or flight.stage is FlightStage.RUNNING:
            self._end(flight, TaskOutcome.LOST)
        elif flight.stage is FlightStage.ADOPTED or report.clock > flight.valid_until:
            self._end(flight, TaskOutcome.NOT_STARTED)

    def on_answer(
        self,
        worker: InstanceId,
        batch: CommandBatch,
        answer: CommandAnswer | TransportError,
    ) -> None:
        """Take in what became of a batch of commands.

        Parameters
        ----------
        worker : InstanceId
            Whom it was sent to.
        batch : CommandBatch
            The batch.
        answer : CommandAnswer or TransportError
            The worker's answer, or why there is none.
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
            flight = self.attempts_.get(ref)
            if flight is None:
                continue
            if refusal:
                self._note_refusal(flight)
            else:
                flight.stage = FlightStage.RUNNING
        view = self.views_.get(worker)
        if view is not None:
            view.note_clock(answer.boot, answer.clock, self.clock.now())
        if answer.report is not None:
            self.on_report(answer.report)

    def _note_refusal(self, flight: Flight) -> None:
        """Settle an attempt that surely was not started."""
        self._end(flight, TaskOutcome.NOT_STARTED)
        view = self.views_.get(flight.worker)
        if view is not None:
            view.note_failure(flight.ref.job, self.clock.now())

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
            flight = self.attempts_.get(ref)
            if isinstance(command, StartTask) and flight is not None:
                self._note_refusal(flight)

    def on_instances(self, instances: list[Instance]) -> None:
        """Take in the platform's list of workers."""
        self._watch.update(instances)

    # Time.

    def tick(self) -> None:
        """Do what is due: ask silent workers, expire leases, place work."""
        if not self.guard.is_valid():
            return
        if self.is_acting or self.phase_ is HolderPhase.OPENING:
            self._appends.retry()
        if not self.is_acting:
            return
        self._watch.run()
        self._expire_lost()
        self._retry_unkept()
        if self.phase_ is HolderPhase.ACTIVE:
            self._place()
            self._mover.run(self._scheduler, self._find_job, list(self.views_.values()))
        self._outbox.flush()

    def _expire_lost(self) -> None:
        """End attempts whose lease on a silent worker is surely over."""
        now = self.clock.now()
        for worker, lease_ends_at in self._watch.silent_workers():
            if now <= lease_ends_at:
                continue
            for flight in self.attempts_.on_worker(worker):
                if flight.stage is not FlightStage.APPENDING:
                    self._end(flight, TaskOutcome.LOST)

    def _retry_unkept(self) -> None:
        """Send again what the log has not kept, as far as it still matters."""
        for flight in self.attempts_:
            item = flight.intent
            if item is None or item.state is AppendState.WAITING:
                continue
            if item.state is AppendState.KEPT:
                continue
            if isinstance(item.body, TaskAssigned) and (
                item.state is AppendState.NOT_KEPT
            ):
                self._drop(flight.ref)
                self._queue_if_waiting(self._find_job(flight.ref.job))
                continue
            flight.intent = self.ports.append_work(self.group, item.body, 0)

    def _place(self) -> None:
        views = list(self.views_.values())
        now = self.clock.now()
        ready = sum(view.takes_work(now) for view in views)
        changed = self._is_dirty or ready != self._ready_workers
        if not changed and not self._allotments.is_pending:
            return
        self._is_dirty = False
        self._ready_workers = ready
        outcome = self._scheduler.run(views, now, self.clock.wall_ms())
        self._wanted = outcome.wanted
        self._commit(outcome)
        self._allotments.adjust(self._wanted, self.attempts_.used_)

    def _commit(self, outcome: PlacementPass) -> None:
        at = self.clock.wall_ms()
        for job, placements in outcome.placements:
            for placement in placements:
                attempt = job.tasks[placement.index].attempt + 1
                ref = TaskRef(job.id, placement.index, attempt)
                flight = self.attempts_.add(
                    ref, job, placement.worker, FlightStage.APPENDING
                )
                boot = self.views_[placement.worker].boot_
                record = TaskAssigned(
                    at, self.epoch, *ref, placement.worker, boot, placement.why
                )
                flight.intent = self.ports.append_work(
                    self.group, record, INTENT_LINGER_MS
                )
            self._check_limit(job.team)

    def _check_limit(self, team: TeamName) -> None:
        """Assert that no placement has gone beyond the group's allotment."""
        used = self.attempts_.used(team)
        usable = self._allotments.usable(team)
        if not used.fits_in(usable):
            raise InvariantError(f"{team} uses {used} of {usable} in {self.group}")

    def on_cell_record(self, applied: Applied) -> None:
        """React to a change of the cell's facts.

        Parameters
        ----------
        applied : Applied
            The record.
        """
        self._allotments.note_applied(applied)
        if not isinstance(applied.record, MemberRenewed):
            self._is_dirty = True

    def _find_job(self, job_id: JobId) -> Job:
        return self.fold_.state_.jobs[job_id]

    def _team_room(self, team: TeamName) -> TeamRoom:
        known = self.ports.cell().teams.get(team)
        used = self.attempts_.used(team)
        is_over = not self._allotments.excess(team).is_zero()
        allotment = used if is_over else self._allotments.usable(team)
        return TeamRoom(known.share if known else 1, used, allotment)

    # Non-idempotent requests.

    def claim_request(
        self, request: RequestId, team: TeamName, service: ServiceName
    ) -> Future:
        """Claim a request before it is sent.

        Parameters
        ----------
        request : RequestId
            The request.
        team : TeamName
            Who asks.
        service : ServiceName
            What is asked.

        Returns
        -------
        Future
            Ends with the number of the claim, 0 if the request had been
            claimed before and may have run.
        """
        record = RequestClaimed(
            self.clock.wall_ms(), self.epoch, request, team, service
        )
        item = self.ports.append_work(self.group, record, INTENT_LINGER_MS)
        return self._claims.add(request, item)

    def _settle_claim(self, applied: Applied) -> None:
        record = applied.record
        if isinstance(record, RequestClaimed):
            stored = self.fold_.state_.requests.get(record.request)
            self._claims.note(record, applied.seq, applied.refusal, stored)

    def end_request(
        self, request: RequestId, outcome: RequestOutcome, status: int
    ) -> None:
        """Note what became of a claimed request."""
        record = RequestEnded(
            self.clock.wall_ms(), self.epoch, request, outcome, status
        )
        self._appends.append(self.group, record, END_LINGER_MS)

    def describe_request(self, request: RequestId) -> StoredAnswer:
        """Return a non-idempotent request as shown to callers.

        Raises
        ------
        NotFoundError
            If the group does not know the request.
        """
        stored = self.fold_.state_.requests.get(request)
        return RequestClaims.describe(stored, request)

    # Questions.

    def describe(self, job_id: JobId) -> JobAnswer:
        """Return a job as shown to callers; see `GroupSurvey.job`."""
        return self._survey.job(self.fold_.state_, job_id)

    def jobs(self) -> list[JobAnswer]:
        """Return all jobs that this group has."""
        return self._survey.jobs(self.fold_.state_)

    def workers(self) -> list[WorkerAnswer]:
        """Return the workers of this group."""
        return self._survey.workers()

    def summary(self) -> GroupSummary:
        """Return what other entries need to know about this group."""
        return self._survey.summary()
