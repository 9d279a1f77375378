"""In-memory state of the leader: unfinished jobs, their attempts, workers."""

import statistics
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from ..catalog import Catalog
from ..dispatch import JobRun, QuotaBook, StepRun, objective_ms
from ..fleet import (
    Attempt,
    AttemptPhase,
    EndKind,
    RunEnd,
    RunStatus,
    Worker,
    WorkerInfo,
    WorkerReport,
)
from ..jobs import (
    Accepted,
    JobEntry,
    JobState,
    Progress,
    StepKey,
    TaskKey,
    WorkerId,
)
from ..overload import ShareLedger
from ..replica import MAX_APPEND_SILENCE_MS
from ..telemetry import CellMetrics, ComponentLogger
from ..usage import UsageLedger
from ..utils import ZERO, Clock, Epoch, Instant, JobId
from ._crashes import CrashTracker
from ._inheritance import Inheritance
from ._late_starts import LateStarts
from ._occurrences import OccurrenceOpener
from ._relocation import is_straggler, is_stuck, must_evacuate
from ._scheduling import Features
from ._share_tracker import ShareTracker
from ._stragglers import StragglerPolicy

__all__ = ["LeaderState", "PendingAck", "StopOrder"]

RUNS_PER_EPOCH = 100_000
"""Size of the range of run numbers of one task that belongs to one epoch."""
CONSECUTIVE_FAILURE_LIMIT = 2
"""Consecutive failures after which a worker backs off."""
WORKER_BACKOFF_MS = 1000
"""First backoff of a worker with repeated failures; doubles with each failure."""
MAX_WORKER_BACKOFF_MS = 2000
"""Upper bound of that backoff. The worker may be the only one that a step is allowed to
use, and work that could run must not wait for 3 s."""
MIN_FINISHED_TASKS = 2
"""Finished tasks of a step that are needed before another is compared with them."""
SLOW_WORKER_BACKOFF_MS = 2000
"""Backoff of a worker on which a run was slow; other workers are tried meanwhile."""
MAX_LOGGED_RUNS = 20
"""Runs named in one log line; bounds its length."""
MAX_REMNANT_AGE_MS = MAX_APPEND_SILENCE_MS + 10_000
"""Age in milliseconds of the end of a job above which no run of it is left. A leader
may renew leases without knowing of the end for as long as it acts without the store;
then the run is stopped, or its lease expires."""

_log = ComponentLogger("cell")


WAITING_HOLD_MS = 2100
"""Milliseconds for which a worker may keep a hold of the previous leader waiting after
it has seen the token of its successor."""


class PendingAck(NamedTuple):
    """End of a run that may be acknowledged to the worker once it is durable."""

    worker: Worker
    incarnation_ms: int
    number: int


class StopOrder(NamedTuple):
    """Order to stop a run on a worker."""

    worker: Worker
    task: TaskKey
    run: int
    reason: str


class LeaderState:
    """State of the cell under one leader; performs no network calls.

    Parameters
    ----------
    epoch : Epoch
        Fencing token of this leader.
    clock : Clock
        Source of time.
    find_job : callable
        Returns the stored records of a job, None if it is unknown.
    metrics : CellMetrics, default=None
        Metrics for jobs and ends of runs; a new instance is created if None.
    features : Features, default=None
        Optional features of scheduling; all are off if None.
    usage : UsageLedger, default=None
        Usage of the teams; a disabled ledger is created if None.
    is_covered : callable, optional
        Returns whether no later leader acted up to a time.

    Attributes
    ----------
    jobs : dict of JobId to JobRun
        Unfinished jobs, and finished jobs that still have attempts.
    workers : dict of WorkerId to Worker
        Known workers.
    quotas : QuotaBook
        Resources that teams use.
    shares : ShareTracker
        Finds the jobs beyond their team's share.
    inheritance : Inheritance
        Tasks that a previous leader may have started, unknown to this one.
    crashes : CrashTracker
        Crashes of workers and the tasks that may have caused them.
    late_starts : LateStarts
        Start orders without an answer.
    dirty : set of JobId
        Jobs whose progress has to be stored soon.
    stopping : set of JobId
        Cancelled jobs of which runs may be left. Their end is stored after that of the
        last run, which shows a successor that nothing of them is left. Callers see the
        cancellation by its own record.
    newly_started : set of JobId
        Jobs that have just begun to run; stored with the next batch.
    pending_acks : list of PendingAck
        Ends to acknowledge after the next batch.
    stragglers : StragglerPolicy or None
        Judges slow runs by the learned speed of workers; None compares them with
        their siblings.
    """

    def __init__(
        self,
        epoch: Epoch,
        clock: Clock,
        find_job: Callable[[JobId], JobEntry | None] = lambda job: None,
        metrics: CellMetrics | None = None,
        features: Features | None = None,
        usage: UsageLedger | None = None,
        is_covered: Callable[[Instant], bool] = lambda at: True,
    ) -> None:
        self.epoch = epoch
        self.features = features or Features()
        self.clock = clock
        self.find_job = find_job
        self.metrics = metrics or CellMetrics()
        self.usage = usage or UsageLedger()
        self.jobs: dict[JobId, JobRun] = {}
        self.workers: dict[WorkerId, Worker] = {}
        self.quotas = QuotaBook()
        ledger = ShareLedger(
            self.features.share_burst_s, self.features.share_burst_jobs
        )
        self.shares = ShareTracker(clock, self.features.admission, ledger)
        self.catalog: Catalog | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.open_steps: dict[StepKey, StepRun] = {}
        self.occurrences = OccurrenceOpener(
            clock, self._open_occurrence, self._has_room
        )
        self.stop_orders: list[StopOrder] = []
        self.dirty: set[JobId] = set()
        self.stopping: set[JobId] = set()
        self._run_counts: Counter[JobId] = Counter()
        self.newly_started: set[JobId] = set()
        self.pending_acks: list[PendingAck] = []
        self.finished: set[JobId] = set()
        self.is_covered = is_covered
        self.inheritance = Inheritance(clock, is_covered)
        self.crashes = CrashTracker(clock, self.step_of, self.dirty)
        self.late_starts = LateStarts(clock)
        self.stragglers: StragglerPolicy | None = None

    # Jobs

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply the catalog that operators have configured."""
        self.catalog = catalog
        self.quotas.teams = catalog.teams
        self.usage.teams = catalog.teams
        moved: Counter[tuple[str, str, str]] = Counter()
        for job in self.jobs.values():
            before = job.queue.service
            self._apply_queue(job)
            if job.queue.service != before:
                moved[job.queue.name, before, job.queue.service] += 1
        for (queue, before, service), count in moved.items():
            _log.info(
                "Queue moved to another service",
                queue=queue,
                before=before,
                service=service,
                jobs=count,
                version=catalog.version,
            )

    def _apply_queue(self, job: JobRun) -> None:
        """Apply the configured queue of a job, and have a new service of it stored."""
        if self.catalog is not None:
            job.set_queue(self.catalog.queues.get(job.queue.name, job.queue))
        if not job.is_service_stored and not job.state.is_final:
            self.dirty.add(job.accepted.job)

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Apply the data centres that operators have evacuated.

        Runs there continue: a stop would discard their work and frees no capacity that
        other work may use.
        """
        self.evacuated = data_centres
        for worker in self.workers.values():
            worker.is_evacuated = worker.info.zone in data_centres

    def replay_shares(self, entries: Iterable[JobEntry]) -> None:
        """Count the submissions that previous leaders have seen."""
        if self.catalog is not None:
            accepted = [entry.accepted_ for entry in entries if entry.accepted_]
            self.shares.replay(accepted, self.catalog.teams)

    def sync_job(self, job_id: JobId, entry: JobEntry | None, inherited: bool) -> None:
        """Apply the stored records of a job.

        Parameters
        ----------
        job_id : JobId
            Job.
        entry : JobEntry or None
            Records of the job, None if it is unknown.
        inherited : bool
            Whether a previous leader may have started tasks of the job.
        """
        if entry is None or entry.accepted_ is None:
            # The records of a finished job are dropped long after its end.
            self.finished.discard(job_id)
            return
        if job_id in self.finished:
            return
        job = self.jobs.get(job_id)
        if job is None:
            if entry.state.is_final:
                if inherited:
                    self._inherit_ended_job(entry)
                return
            job = self._add_job(entry, inherited)
        if entry.progress_ is not None:
            job.observe_stored(entry.progress_)
        if entry.state is JobState.CANCELLED and not job.state.is_final:
            self._finish(job, JobState.CANCELLED, "cancelled by a caller")

    def _inherit_ended_job(self, entry: JobEntry) -> None:
        """Account for what may be left of a job that was cancelled or has failed.

        Of a job that is completed, each task has ended. So has each run of a cancelled
        job of which a leader has stored the end.
        """
        stored = entry.progress_
        may_run = entry.state is JobState.FAILED or (
            entry.state is JobState.CANCELLED
            and not (stored is not None and stored.state.is_final)
        )
        age_ms = self.clock.wall_ms() - entry.changed_ms
        if not may_run or age_ms > MAX_REMNANT_AGE_MS:
            return
        job = JobRun(entry.accepted_, 1, self.clock.now())
        if stored is not None:
            job.restore(stored)
        job.state = entry.state
        self._apply_queue(job)
        for occurrence in self.occurrences.latest_due(job):
            job.open_occurrence(self.clock.now(), occurrence)
        self.inheritance.add_ended_job(job)
        if entry.state is JobState.CANCELLED:
            # Its end remains to be stored.
            self.jobs[entry.accepted_.job] = job
            self.stopping.add(entry.accepted_.job)

    def _add_job(self, entry: JobEntry, inherited: bool) -> JobRun:
        now = self.clock.now()
        accepted = entry.accepted_
        first_run = self.epoch * RUNS_PER_EPOCH if inherited else 1
        waited_ms = max(0, self.clock.wall_ms() - accepted.at_ms) if inherited else 0
        job = JobRun(accepted, first_run, Instant(now - waited_ms))
        job.led_since = now
        job.counts_failed_runs = self.features.admission
        job.keeps_retries = self.features.policy_reuse
        if entry.progress_ is not None:
            job.restore(entry.progress_)
        self._apply_queue(job)
        self.jobs[accepted.job] = job
        if self.catalog is not None:
            team = self.catalog.teams.get(accepted.team)
            self.shares.add(job, team, inherited, self.jobs)
        if inherited:
            self.inheritance.add_job(accepted.job)
        if job.spec.is_scheduled:
            self.occurrences.add(job)
            self._complete_if_done(job)
        else:
            self._open_occurrence(job)
        return job

    def open_due_occurrences(self) -> Instant | None:
        """Open due occurrences and return when to continue, None if none is left."""
        return self.occurrences.open_due()

    def _has_room(self, job: JobRun) -> bool:
        """Return whether a worker has room for a task that starts an occurrence."""
        specs = [spec for spec in job.spec.steps if not spec.depends_on]
        return any(
            worker.accepts_runs()
            and worker.info.service == job.queue.service
            and any(
                spec.reserved.fits_in(worker.free)
                and (
                    not spec.required_label or spec.required_label in worker.info.labels
                )
                for spec in specs
            )
            for worker in self.workers.values()
        )

    def _open_occurrence(self, job: JobRun, occurrence: int | None = None) -> None:
        ready_at = self.clock.now()
        if job.spec.is_scheduled:
            # It may have been due for long, beside others of the job.
            number = job.next_occurrence if occurrence is None else occurrence
            ready_at = self.occurrences.due_since(job, number)
        steps = job.open_occurrence(self.clock.now(), occurrence)
        self.inheritance.add_steps(steps)
        for step in steps:
            if step.waiting:
                self.open_steps[step.key] = step
        self._mark_ready(steps, ready_at)
        self._complete_if_done(job)

    @staticmethod
    def _mark_ready(steps: list[StepRun], at: Instant) -> None:
        """Mark the steps of one occurrence that depend on no unfinished one."""
        for step in steps:
            if step.ready_at is None and step.job.is_ready(step):
                step.ready_at = at

    def _complete_if_done(self, job: JobRun) -> None:
        if not job.state.is_final and job.all_done():
            self._finish(job, JobState.COMPLETED, "all tasks done")

    def _finish(self, job: JobRun, state: JobState, reason: str) -> None:
        job.state = state
        job_id = job.accepted.job
        took_ms = self.clock.now() - job.seen_at
        objective = round(objective_ms(job))
        _log.info(
            "Job finished",
            job=job_id,
            queue=job.queue.name,
            over_share=job.over_share,
            state=state.value,
            why=reason,
            took_ms=took_ms,
            objective_ms=objective,
        )
        self.metrics.record_job(
            job.queue.name,
            job.accepted.team,
            state.value,
            took_ms <= objective,
            took_ms,
        )
        self.dirty.add(job_id)
        if state is JobState.CANCELLED:
            self.stopping.add(job_id)
        self.occurrences.discard(job_id)
        for step in job.steps.values():
            self.open_steps.pop(step.key, None)
            for attempt in list(step.active.values()):
                self.order_stop(attempt, f"job {state.value}")
        self._drop_if_idle(job)

    def _drop_if_idle(self, job: JobRun) -> None:
        """Remove a finished job that is stored and has no attempts left."""
        job_id = job.accepted.job
        if not job.state.is_final or job_id in self.dirty or job_id in self.stopping:
            return
        if any(step.active for step in job.steps.values()):
            return
        self.jobs.pop(job.accepted.job, None)
        self.finished.add(job.accepted.job)

    def ready_steps(self) -> Iterator[StepRun]:
        """Yield steps that have tasks ready to start."""
        self.quotas.withheld = self.inheritance.withheld_by_team()
        for step in self.open_steps.values():
            if step.ready_at is None or not step.waiting:
                continue
            if not step.job.is_service_stored:
                # Without a record, a successor would not look for runs there.
                continue
            if not self.inheritance.is_withheld(step):
                yield step

    def upcoming_steps(self) -> Iterator[StepRun]:
        """Yield unqueried steps whose predecessors have no waiting tasks."""
        for step in self.open_steps.values():
            if step.ready_at is not None or step.queried:
                continue
            key = step.key
            predecessors = [
                step.job.steps[StepKey(key.job, key.occurrence, number)]
                for number in step.spec.depends_on
            ]
            if all(not other.waiting for other in predecessors):
                yield step

    # Attempts

    def step_of(self, task: TaskKey) -> StepRun | None:
        """Return the step of a task, None if it is unknown."""
        job = self.jobs.get(task.job)
        return job.steps.get(task.step_key) if job is not None else None

    def _open_step_of(self, task: TaskKey) -> StepRun | None:
        """Return the step of a task that a worker reports, None if it is not needed.

        A previous leader may have opened its occurrence, which this one has not come
        to yet.
        """
        job = self.jobs.get(task.job)
        if job is None:
            return None
        is_unopened = (
            not job.state.is_final
            and 0 <= task.occurrence < job.spec.occurrence_count
            and not job.is_settled(task.occurrence)
            and self.occurrences.is_due(job, task.occurrence)
        )
        if is_unopened:
            self._open_occurrence(job, task.occurrence)
        return job.steps.get(task.step_key)

    def begin_attempt(
        self, step: StepRun, index: int, worker: Worker, run: int
    ) -> Attempt:
        """Reserve resources for a run that is about to be ordered."""
        key = step.key
        task = TaskKey(key.job, key.occurrence, key.step, index)
        attempt = self._make_attempt(task, run, worker, step.job.accepted)
        attempt.is_resumed = bool(self.checkpoint_of(step, index))
        if step.is_suspect(index):
            worker.close(self.clock.now())
        step.dequeue(index)
        step.ordered_at[worker.info.worker] = attempt.started_at
        self._add_attempt(step, attempt)
        return attempt

    def _add_attempt(self, step: StepRun, attempt: Attempt) -> None:
        attempt.is_long_running = step.spec.long_running
        step.active[attempt.task.index] = attempt
        step.last_workers[attempt.task.index] = attempt.worker.info.worker
        step.job.moved_at = self.clock.now()
        self._count(attempt)

    def _make_attempt(
        self, task: TaskKey, run: int, worker: Worker, accepted: Accepted | None
    ) -> Attempt:
        """Return an attempt, of unknown size if its job has no such step."""
        now = self.clock.now()
        steps = accepted.spec.steps if accepted is not None else ()
        if not 0 <= task.step < len(steps):
            attempt = Attempt(task, run, worker, ZERO, now)
            attempt.is_size_unknown = True
            return attempt
        spec = steps[task.step]
        return Attempt(task, run, worker, spec.reserved, now, accepted.team, spec.need)

    def _count(self, attempt: Attempt) -> None:
        """Count a run on its worker, and for the limit and the share of its team."""
        replaced = attempt.worker.attempts.get(attempt.task)
        if replaced is not None:
            self._discount(replaced)
        attempt.worker.add_attempt(attempt)
        self._run_counts[attempt.task.job] += 1
        self.quotas.add(attempt.team, attempt.need)
        if not attempt.is_size_unknown:
            self.usage.add(attempt.team, attempt.reserved, self.clock.now())

    def _discount(self, attempt: Attempt) -> None:
        """Count a run no longer; ignored if it is not counted."""
        if not attempt.worker.remove_attempt(attempt):
            return
        job_id = attempt.task.job
        self._run_counts[job_id] -= 1
        if not self._run_counts[job_id]:
            del self._run_counts[job_id]
        self.quotas.remove(attempt.team, attempt.need)
        if not attempt.is_size_unknown:
            self.usage.remove(attempt.team, attempt.reserved, self.clock.now())

    def record_begun(self, step: StepRun | None) -> None:
        """Record that a worker has accepted, or reported, a run of a step.

        An order alone does not begin a job: it may be rejected or lost.
        """
        if step is not None and step.job.state is JobState.QUEUED:
            step.job.state = JobState.RUNNING
            self.newly_started.add(step.key.job)

    def release(self, attempt: Attempt, requeue: bool = True) -> None:
        """Release the resources of an attempt.

        Parameters
        ----------
        attempt : Attempt
            Attempt that is certain not to run any more.
        requeue : bool
            Whether the task has to run again.
        """
        self._discount(attempt)
        step = self.step_of(attempt.task)
        index = attempt.task.index
        if step is None or step.active.get(index) is not attempt:
            return
        del step.active[index]
        now = self.clock.now()
        step.released_at[index] = now
        if attempt.phase is not AttemptPhase.STARTING:
            step.ended_at[index] = now
        if attempt.checkpoint:
            self._record_checkpoint(step, index, attempt.checkpoint)
        if step.job.state.is_final:
            self._drop_if_idle(step.job)
            return
        if requeue and index not in step.done:
            step.requeue(index)
            self.open_steps[step.key] = step
        if step.spec.gang and requeue and not step.is_done:
            self._stop_gang(step, attempt.run)
        self._close_if_done(step)

    def _close_if_done(self, step: StepRun) -> None:
        """Drop the steps of a scheduled job's occurrence once nothing of it is left."""
        if step.is_done and step.job.spec.is_scheduled:
            step.job.close_if_done(step.key.occurrence)

    def _stop_gang(self, step: StepRun, run: int) -> None:
        """Stop the other members, which cannot continue without the one that ended."""
        for other in list(step.active.values()):
            if other.run == run:
                self.order_stop(other, "a member of the gang ended")

    def stop_partial_gangs(self, steps: Iterable[StepRun]) -> None:
        """Stop inherited gangs of which only some members have been started.

        They would wait for the others until the worker gives them up, and only then
        could the gang start as a whole.

        Parameters
        ----------
        steps : iterable of StepRun
            Steps that have tasks ready to start.
        """
        for step in steps:
            if step.spec.gang and step.active:
                for attempt in list(step.active.values()):
                    self.order_stop(attempt, "the gang was started in part")

    @staticmethod
    def _record_checkpoint(step: StepRun, index: int, checkpoint: str) -> None:
        step.checkpoints[0 if step.spec.gang else index] = checkpoint

    def checkpoint_of(self, step: StepRun, index: int) -> str:
        """Return the checkpoint from which a task starts, empty if it has none."""
        return step.checkpoints.get(0 if step.spec.gang else index, "")

    def order_stop(self, attempt: Attempt, reason: str) -> None:
        """Order the stop of a run; its resources stay reserved until it has ended."""
        if attempt.phase is not AttemptPhase.STOPPING:
            self._append_stop(attempt, reason)

    def _append_stop(self, attempt: Attempt, reason: str) -> None:
        """Order the stop of a run even if one was ordered before."""
        if attempt.phase is AttemptPhase.STARTING:
            attempt.is_start_unconfirmed = True
        attempt.is_start_open = attempt.is_start_unconfirmed
        attempt.phase = AttemptPhase.STOPPING
        self.stop_orders.append(
            StopOrder(attempt.worker, attempt.task, attempt.run, reason)
        )

    def release_lost(
        self, worker: Worker, reason: str, has_ended: bool = False
    ) -> None:
        """Release all attempts of a worker that is certain to run nothing.

        Parameters
        ----------
        worker : Worker
            Worker.
        reason : str
            How this became known.
        has_ended : bool
            Whether the worker itself is known to have ended.
        """
        if has_ended:
            self._apply_crash(worker, reason)
        else:
            self.crashes.record_release(worker)
        lost = list(worker.attempts.values())
        if lost:
            now = self.clock.now()
            silent_since = worker.silent_since
            _log.warning(
                "Runs lost",
                worker=worker.info.worker,
                count=len(lost),
                runs={str(a.task): a.run for a in lost[:MAX_LOGGED_RUNS]},
                why=reason,
                token=self.epoch,
                lease_left_ms=worker.lease_until - now,
                silent_ms=None if silent_since is None else now - silent_since,
            )
        for attempt in lost:
            self.release(attempt)
            self._observe_inherited_end(attempt.task)

    def _apply_crash(self, worker: Worker, reason: str) -> None:
        """Give up the tasks that have crashed enough workers, this one included."""
        for step in self.crashes.confirm(worker, reason):
            if not step.job.state.is_final:
                self._finish(step.job, JobState.FAILED, "workers crashed under a task")

    # Workers

    def remove_worker(self, worker: Worker) -> None:
        """Remove a worker that is gone for good."""
        self.workers.pop(worker.info.worker, None)
        if self.stragglers is not None:
            self.stragglers.forget(worker.info.worker)
        self._apply_crash(worker, "worker is gone")

    def sync_worker(self, info: WorkerInfo, cold_left_ms: int = 0) -> Worker:
        """Apply the worker record of the platform."""
        worker = self.workers.get(info.worker)
        if worker is None:
            worker = Worker(info, self.clock.now())
            self.workers[info.worker] = worker
        elif info.capacity != worker.info.capacity:
            _log.info(
                "Worker capacity changed",
                worker=info.worker,
                old=worker.info.capacity.describe(),
                new=info.capacity.describe(),
                used=worker.used.describe(),
                is_over=not worker.used.fits_in(info.capacity),
            )
        worker.register(info)
        worker.update_cold(cold_left_ms, self.clock.now())
        worker.is_evacuated = info.zone in self.evacuated
        if self.stragglers is not None:
            self.stragglers.model.register(info)
            worker.slowness = self.stragglers.model.factor(info.worker)
        worker.is_listed = True
        if not info.is_draining:
            worker.earliest_leave_at = None
        elif worker.earliest_leave_at is None:
            worker.earliest_leave_at = Instant(self.clock.now() + info.min_remaining_ms)
        return worker

    def confirm_workers(self) -> bool:
        """Confirm the workers that answered before the latest proof of authority.

        Returns
        -------
        bool
            Whether all are confirmed.
        """
        unconfirmed = [w for w in self.workers.values() if not w.is_confirmed]
        for worker in unconfirmed:
            worker.confirm(self.is_covered)
        return all(worker.is_confirmed for worker in unconfirmed)

    def observe_incarnation(
        self, worker: Worker, incarnation_ms: int, sent_at: Instant
    ) -> None:
        """Apply the incarnation of a worker that answered a hold sent at a time."""
        if not incarnation_ms or incarnation_ms == worker.incarnation_ms:
            return
        previous_incarnation_ms = worker.incarnation_ms
        worker.begin_incarnation(incarnation_ms)
        worker.require_confirmation(self.clock.now())
        self._bar_late_starts(worker)
        if not previous_incarnation_ms:
            return
        _log.warning(
            "Worker restarted", worker=worker.info.worker, born_ms=incarnation_ms
        )
        self._apply_crash(worker, "worker restarted")
        for attempt in list(worker.attempts.values()):
            # The new incarnation may still carry out an unanswered order, and may
            # have carried out one that was answered after the hold was sent.
            is_lost = (
                attempt.phase is not AttemptPhase.STARTING
                and not attempt.is_start_unconfirmed
                and attempt.last_answer_at <= sent_at
            )
            if not is_lost:
                self._append_stop(attempt, "worker restarted")
            else:
                self.release(attempt)
                self._observe_inherited_end(attempt.task)

    def _bar_late_starts(self, worker: Worker) -> None:
        """Stop runs that a new incarnation may start by an order to the one before."""
        for task, run in self.late_starts.of(worker.info.worker):
            attempt = worker.attempts.get(task)
            if attempt is None or attempt.run != run:
                reason = "an unanswered start may be carried out late"
                self.stop_orders.append(StopOrder(worker, task, run, reason))

    def _observe_inherited_end(self, task: TaskKey) -> None:
        """Record an end of which a previous leader may know as well."""
        job = self.jobs.get(task.job)
        if job is not None:
            self.inheritance.observe_end(job)

    @staticmethod
    def _may_predecessor_know(worker: Worker) -> bool:
        """Return whether a previous leader may have read what a worker reports now.

        The worker obeys no lower token any more, but it may have answered a hold of the
        previous leader that was waiting. So what happened since its report before this
        one may be known there, unless that was late enough.
        """
        answered_at, requested_at = worker.answered_at, worker.requested_at
        if answered_at is None or requested_at is None:
            return True
        return requested_at < answered_at + WAITING_HOLD_MS

    def apply_report(
        self, worker: Worker, report: WorkerReport, sent_at: Instant
    ) -> None:
        """Apply a worker's answer to a hold.

        Parameters
        ----------
        worker : Worker
            Worker.
        report : WorkerReport
            Answer of the worker.
        sent_at : Instant
            When the hold was sent.
        """
        now = self.clock.now()
        self.observe_incarnation(worker, report.incarnation_ms, sent_at)
        self.crashes.record_answer(worker)
        worker.update_clock(report.clock_ms, now)
        if self.stragglers is not None:
            self.stragglers.begin_report(worker, report.clock_ms, now)
        worker.is_reachable = True
        for end in report.ended:
            if worker.record_end(end.number):
                self._apply_end(worker, end)
                self.pending_acks.append(
                    PendingAck(worker, worker.incarnation_ms, end.number)
                )
        reported = set()
        for status in report.running:
            reported.add((status.task, status.run))
            self._apply_status(worker, status, now)
        if self.stragglers is not None:
            self._stop_stragglers(worker, now)
        if report.is_complete:
            self._release_missing(worker, reported, sent_at)
        worker.record_answer(sent_at, now)
        worker.confirm(self.is_covered)

    def _release_missing(self, worker: Worker, reported: set, sent_at: Instant) -> None:
        for attempt in list(worker.attempts.values()):
            if (attempt.task, attempt.run) in reported:
                continue
            is_past_start = attempt.phase in (
                AttemptPhase.RUNNING,
                AttemptPhase.STOPPING,
            )
            may_start = not is_past_start or attempt.is_start_open
            if not may_start and attempt.last_answer_at < sent_at:
                _log.info(
                    "Run is missing from the worker's report",
                    task=attempt.task,
                    run=attempt.run,
                    worker=worker.info.worker,
                    phase=attempt.phase.value,
                    is_start_unconfirmed=attempt.is_start_unconfirmed,
                    age_ms=self.clock.now() - attempt.started_at,
                    token=self.epoch,
                )
                self.release(attempt)
                if self._may_predecessor_know(worker):
                    self._observe_inherited_end(attempt.task)

    def _apply_status(self, worker: Worker, status: RunStatus, now: Instant) -> None:
        attempt = worker.attempts.get(status.task)
        if attempt is None or attempt.run != status.run:
            attempt = self._adopt(worker, status)
            if attempt is None:
                return
        attempt.is_start_open = False
        self.record_begun(self.step_of(attempt.task))
        if attempt.phase is AttemptPhase.STARTING:
            attempt.phase = AttemptPhase.RUNNING
            attempt.last_answer_at = now
        if status.checkpoint:
            attempt.checkpoint = status.checkpoint
        attempt.load = status.load
        if not attempt.is_settled and not attempt.is_early(now):
            self.crashes.record_settled(attempt)
        if attempt.update_progress(status.percent, now):
            self._check_straggler(attempt, now)
        elif is_stuck(attempt, self.step_of(attempt.task), now):
            worker.is_stalled = True
            worker.record_failure(attempt.task.job, now)
            worker.avoid_until = Instant(now + MAX_WORKER_BACKOFF_MS)
            self.order_stop(attempt, "no progress")

    def _stop_stragglers(self, worker: Worker, now: Instant) -> None:
        """Stop the runs of a slow worker that would finish sooner elsewhere."""
        slow_runs = self.stragglers.find(
            worker, self.workers.values(), self.step_of, now
        )
        for attempt in slow_runs:
            until = Instant(now + SLOW_WORKER_BACKOFF_MS)
            worker.avoid_until = max(worker.avoid_until, until)
            self.order_stop(attempt, "the worker has become slow")

    def _check_straggler(self, attempt: Attempt, now: Instant) -> None:
        """Stop a run that would finish sooner if it restarted elsewhere."""
        if self.stragglers is not None:
            return
        step = self.step_of(attempt.task)
        if step is None or not is_straggler(attempt, step, now):
            return
        worker = attempt.worker
        worker.avoid_until = Instant(
            max(worker.avoid_until, now + SLOW_WORKER_BACKOFF_MS)
        )
        self.order_stop(attempt, "slower than its siblings")

    def _adopt(self, worker: Worker, status: RunStatus) -> Attempt | None:
        """Adopt a run that this leader did not order; stop it if it is not needed."""
        task = status.task
        step = self._open_step_of(task)
        is_needed = (
            step is not None
            and not step.job.state.is_final
            and 0 <= task.index < step.spec.count
            and task.index not in step.done
            and task.index not in step.active
            and task not in worker.attempts
        )
        if step is not None:
            step.observe_run(task.index, status.run)
            self.crashes.observe_run(step, task.index, status.run)
        if not is_needed:
            self._stop_orphan(worker, status, step)
            return None
        attempt = self._make_attempt(task, status.run, worker, step.job.accepted)
        attempt.phase = AttemptPhase.RUNNING
        attempt.is_resumed = True
        attempt.is_pace_known = False
        attempt.is_settled = not step.is_suspect(task.index)
        step.dequeue(task.index)
        self._add_attempt(step, attempt)
        self.inheritance.observe_run(step.job, step, task.index, status.run)
        _log.info("Run adopted", task=task, run=status.run, worker=worker.info.worker)
        return attempt

    def _stop_orphan(
        self, worker: Worker, status: RunStatus, step: StepRun | None
    ) -> None:
        """Stop a run that is not needed; it uses resources until it has ended."""
        task = status.task
        self.stop_orders.append(
            StopOrder(worker, task, status.run, "run is not needed")
        )
        self.inheritance.observe_run_of_ended_job(task)
        if task in worker.attempts:
            return
        entry = self.find_job(task.job) if step is None else None
        accepted = step.job.accepted if step is not None else entry and entry.accepted_
        orphan = self._make_attempt(task, status.run, worker, accepted)
        orphan.phase = AttemptPhase.STOPPING
        self._count(orphan)

    def evacuate(self) -> None:
        """Stop runs on draining workers that must move to another worker."""
        now = self.clock.now()
        for worker in self.workers.values():
            if worker.earliest_leave_at is None:
                continue
            for attempt in list(worker.attempts.values()):
                step = self.step_of(attempt.task)
                if step is not None and must_evacuate(attempt, step, now):
                    self.order_stop(attempt, "worker is draining")

    # Ends

    def _apply_end(self, worker: Worker, end: RunEnd) -> None:
        attempt = worker.attempts.get(end.task)
        if attempt is not None and attempt.run != end.run:
            attempt = None
        step = self._open_step_of(end.task)
        _log.info(
            "Run ended",
            task=end.task,
            run=end.run,
            worker=worker.info.worker,
            how=end.kind.value,
            known=attempt is not None,
        )
        self.metrics.record_run_end(end.kind.value)
        self.record_begun(step)
        if step is not None:
            step.observe_run(end.task.index, end.run)
            self.crashes.observe_run(step, end.task.index, end.run)
        if end.kind is EndKind.DONE:
            self._apply_success(worker, step, attempt, end)
        elif end.kind is EndKind.FAILED:
            self._apply_failure(worker, step, attempt, end)
        elif attempt is not None:
            attempt.checkpoint = end.checkpoint or attempt.checkpoint
            self.release(attempt)
        if end.kind in (EndKind.DONE, EndKind.STOPPED):
            # After another end, a previous leader may have started the task again.
            self.inheritance.observe_run_of_ended_job(end.task)
        if self._may_predecessor_know(worker):
            self._observe_inherited_end(end.task)

    def _apply_success(
        self, worker, step: StepRun | None, attempt, end: RunEnd
    ) -> None:
        worker.record_success()
        is_comparable = (
            step is not None
            and attempt is not None
            and not worker.is_cold(attempt.started_at)
        )
        if is_comparable:
            self._learn_speed(attempt, step)
        if is_comparable and not attempt.is_resumed:
            self._record_duration(worker, step, self.clock.now() - attempt.started_at)
        restarts = step is not None and step.spec.long_running
        if attempt is not None:
            self.release(attempt, requeue=restarts)
        if step is None or restarts or step.job.state.is_final:
            return
        indices = range(step.spec.count) if step.spec.gang else [end.task.index]
        for index in indices:
            step.done.add(index)
            step.clear_crashes(index)
            step.dequeue(index)
            other = step.active.get(index)
            if other is not None and not step.spec.gang:
                self.order_stop(other, "another run of the task finished")
        self.dirty.add(end.task.job)
        if step.is_done:
            self.open_steps.pop(step.key, None)
            if self.stragglers is not None:
                self.stragglers.model.forget_step(step.key)
            siblings = step.job.steps_of(step.key.occurrence)
            self._mark_ready(siblings, self.clock.now())
            self._complete_if_done(step.job)
            self._close_if_done(step)

    def _learn_speed(self, attempt: Attempt, step: StepRun) -> None:
        """Learn from a run that succeeded; an error in it is logged.

        An error must not keep the end from being applied: the task would run again
        although it is done.
        """
        if self.stragglers is None:
            return
        try:
            self.stragglers.record_success(attempt, step)
            worker = attempt.worker
            worker.slowness = self.stragglers.model.factor(worker.info.worker)
        except Exception as exc:
            _log.warning(
                "Speed not learned from a run",
                task=attempt.task,
                why=f"{type(exc).__name__}: {exc}",
            )

    def _record_duration(self, worker: Worker, step: StepRun, took_ms: int) -> None:
        """Update the relative speed of a worker from a task of the step."""
        if len(step.durations) >= MIN_FINISHED_TASKS and not step.spec.uses_idle_cpu:
            median_ms = statistics.median(step.durations)
            if self.stragglers is None:
                worker.update_slowness(took_ms / max(1.0, median_ms))
        step.durations.append(took_ms)

    def _apply_failure(
        self, worker, step: StepRun | None, attempt, end: RunEnd
    ) -> None:
        self._record_failure(worker, end.task.job)
        if attempt is not None:
            attempt.checkpoint = end.checkpoint or attempt.checkpoint
            self.release(attempt)
        if step is None or step.spec.long_running or step.job.state.is_final:
            return
        index = 0 if step.spec.gang else end.task.index
        runs = step.failed_runs.setdefault(index, set())
        runs.add(end.run)
        self.dirty.add(end.task.job)
        if len(runs) >= step.job.queue.max_attempts:
            self._finish(step.job, JobState.FAILED, f"a task failed {len(runs)} times")

    def _record_failure(self, worker: Worker, job: JobId) -> None:
        is_new = job not in worker.failed_jobs
        worker.record_failure(job, self.clock.now())
        if is_new and worker.consecutive_failed_jobs >= CONSECUTIVE_FAILURE_LIMIT:
            self._back_off(worker)

    def _back_off(self, worker: Worker) -> None:
        doublings = max(0, worker.consecutive_failed_jobs - CONSECUTIVE_FAILURE_LIMIT)
        backoff_ms = min(MAX_WORKER_BACKOFF_MS, WORKER_BACKOFF_MS << min(doublings, 8))
        worker.avoid_until = Instant(self.clock.now() + backoff_ms)

    # Records

    def pop_changes(self) -> tuple[list[Progress], list[PendingAck]]:
        """Return the progress to store and the ends that it makes durable."""
        wall_ms = self.clock.wall_ms()
        stopped = {job for job in self.stopping if not self._may_run(job)}
        self.stopping -= stopped
        changed = (self.dirty | self.newly_started | stopped) - self.stopping
        records = []
        for job_id in changed:
            job = self.jobs.get(job_id)
            if job is not None:
                records.append(job.progress(wall_ms))
        acks, self.pending_acks = self.pending_acks, []
        finished = [self.jobs[r.job] for r in records if r.state.is_final]
        self.dirty.clear()
        self.newly_started = set()
        for job in finished:
            self._drop_if_idle(job)
        return records, acks

    def _may_run(self, job: JobId) -> bool:
        """Return whether a run of a job may be left on any worker."""
        return job in self._run_counts or self.inheritance.tracks(job)

    def pop_stop_orders(self) -> list[StopOrder]:
        """Return and clear the stop orders to send."""
        stops, self.stop_orders = self.stop_orders, []
        return stops
