"""All unfinished work and all workers, in the leader's memory."""

import statistics
from collections.abc import Callable, Iterator
from typing import NamedTuple

from ..catalog import Catalog
from ..dispatch import JobRun, QuotaBook, ShareMeter, StepRun, objective_ms
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
from ..jobs import JobEntry, JobState, Progress, StepKey, TaskKey, WorkerId
from ..telemetry import CellMetrics, PartLog
from ..utils import Clock, Epoch, Instant, JobId
from ._relocation import is_straggler, is_stuck, must_leave

__all__ = ["CellBook", "EndMark", "StopOrder"]

RUNS_PER_TERM = 100_000
"""Runs that a leader numbers at most for one task before its successor's begin."""
DUE_MARGIN_MS = 20
"""Milliseconds after the due time at which an occurrence starts: clocks differ."""
EARLY_FAIL_LIMIT = 2
"""Failures in a row after which a worker is given no work for a while."""
AVOID_BASE_MS = 1000
"""First pause of a worker that fails what it starts; it doubles with each failure."""
AVOID_MAX_MS = 2000
"""Longest such pause: it may be the only worker that a step is allowed to use, and work
that could run must not wait for 3 s."""
MIN_COMPARED = 2
"""Tasks of a step that must be done before another is compared with them."""
SLOW_PAUSE_MS = 2000
"""Pause of a worker on which a run went slowly; others are tried meanwhile."""

_log = PartLog("cell")


class EndMark(NamedTuple):
    """An end that may be acknowledged once it is in the store."""

    worker: Worker
    born_ms: int
    number: int


class StopOrder(NamedTuple):
    """A run on a worker that has to be stopped."""

    worker: Worker
    task: TaskKey
    run: int
    why: str


class CellBook:
    """State of the cell under one leader, without any network.

    Parameters
    ----------
    epoch : Epoch
        Fencing token of this leader.
    clock : Clock
        Source of time.
    find_job : callable
        Returns what the store says of a job, None if it is unknown.
    metrics : CellMetrics, default=None
        Where ends and jobs are counted; of its own if None.

    Attributes
    ----------
    jobs : dict of JobId to JobRun
        Unfinished jobs, and finished ones that still have attempts.
    workers : dict of WorkerId to Worker
        Workers.
    quotas : QuotaBook
        What teams have running.
    withheld : set of JobId
        Jobs of which an earlier leader may have started tasks that are not known.
    withheld_until : dict of str to Instant
        Until when such jobs wait, by pool.
    dirty : set of JobId
        Jobs to be stored soon.
    begun : set of JobId
        Jobs of which it is to be stored that they have begun, with the next batch.
    """

    def __init__(
        self,
        epoch: Epoch,
        clock: Clock,
        find_job: Callable[[JobId], JobEntry | None] = lambda job: None,
        metrics: CellMetrics | None = None,
    ) -> None:
        self.epoch = epoch
        self.clock = clock
        self.find_job = find_job
        self.metrics = metrics or CellMetrics()
        self.jobs: dict[JobId, JobRun] = {}
        self.workers: dict[WorkerId, Worker] = {}
        self.quotas = QuotaBook()
        self.shares = ShareMeter()
        self.catalog: Catalog | None = None
        self.open_steps: dict[StepKey, StepRun] = {}
        self.scheduled: dict[JobId, JobRun] = {}
        self.stops: list[StopOrder] = []
        self.dirty: set[JobId] = set()
        self.begun: set[JobId] = set()
        self.marks: list[EndMark] = []
        self.finished: set[JobId] = set()
        self.withheld_until: dict[str, Instant] = {}
        self.withheld: set[JobId] = set()

    # Jobs

    def set_catalog(self, catalog: Catalog) -> None:
        """Take in what operators have set."""
        self.catalog = catalog
        self.quotas.teams = catalog.teams
        for job in self.jobs.values():
            job.queue = catalog.queues.get(job.accepted.queue.name, job.queue)

    def sync_job(self, job_id: JobId, entry: JobEntry | None, inherited: bool) -> None:
        """Take in what the store says of a job.

        Parameters
        ----------
        job_id : JobId
            Job.
        entry : JobEntry or None
            Its records, None if it is unknown.
        inherited : bool
            Whether an earlier leader may have started tasks of it.
        """
        if entry is None or entry.accepted_ is None:
            # Its records have been dropped, long after its end.
            self.finished.discard(job_id)
            return
        if job_id in self.finished:
            return
        job = self.jobs.get(job_id)
        if job is None:
            if entry.state.is_final:
                return
            job = self._add_job(entry, inherited)
        if entry.state is JobState.CANCELLED and not job.state.is_final:
            self._finish(job, JobState.CANCELLED, "cancelled by a caller")

    def _add_job(self, entry: JobEntry, inherited: bool) -> JobRun:
        now = self.clock.now()
        accepted = entry.accepted_
        first_run = self.epoch * RUNS_PER_TERM if inherited else 1
        waited = max(0, self.clock.wall_ms() - accepted.at_ms) if inherited else 0
        job = JobRun(accepted, first_run, Instant(now - waited))
        if self.catalog is not None:
            job.queue = self.catalog.queues.get(accepted.queue.name, job.queue)
            team = self.catalog.teams.get(accepted.team)
            job.over_share = not inherited and self.shares.exceeds_share(team, now)
        if entry.progress_ is not None:
            job.state = entry.progress_.state
            job.stored_steps = {
                (item.occurrence, item.step): item for item in entry.progress_.steps
            }
        self.jobs[accepted.job] = job
        if job.spec.is_scheduled:
            self.scheduled[accepted.job] = job
        else:
            self._open_occurrence(job)
        if inherited:
            self.withheld.add(accepted.job)
        return job

    def open_due(self) -> Instant | None:
        """Open occurrences that are due and return when to look again."""
        wall = self.clock.wall_ms()
        nearest = None
        for job_id, job in list(self.scheduled.items()):
            while job.next_occurrence < job.spec.occurrence_count:
                due = job.spec.due_ms(job.next_occurrence) + DUE_MARGIN_MS
                if due > wall:
                    nearest = due if nearest is None else min(nearest, due)
                    break
                self._open_occurrence(job)
            else:
                del self.scheduled[job_id]
        if nearest is None:
            return None
        return Instant(self.clock.now() + nearest - wall)

    def _open_occurrence(self, job: JobRun) -> None:
        for step in job.open_occurrence(self.clock.now()):
            if step.waiting:
                self.open_steps[step.key] = step
        self._note_ready(job)
        self._complete_if_done(job)

    def _note_ready(self, job: JobRun) -> None:
        now = self.clock.now()
        for step in job.steps.values():
            if step.ready_at is None and job.is_ready(step):
                step.ready_at = now

    def _complete_if_done(self, job: JobRun) -> None:
        if not job.state.is_final and job.all_done():
            self._finish(job, JobState.COMPLETED, "all tasks done")

    def _finish(self, job: JobRun, state: JobState, why: str) -> None:
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
            why=why,
            took_ms=took_ms,
            objective_ms=objective,
        )
        self.metrics.note_job(
            job.queue.name,
            job.accepted.team,
            state.value,
            took_ms <= objective,
            took_ms,
        )
        self.dirty.add(job_id)
        self.scheduled.pop(job_id, None)
        for step in job.steps.values():
            self.open_steps.pop(step.key, None)
            for attempt in list(step.active.values()):
                self.order_stop(attempt, f"job {state.value}")
        self._forget_if_quiet(job)

    def _forget_if_quiet(self, job: JobRun) -> None:
        """Drop a finished job that has no attempts left."""
        if not job.state.is_final or job.accepted.job in self.dirty:
            return
        if any(step.active for step in job.steps.values()):
            return
        self.jobs.pop(job.accepted.job, None)
        self.finished.add(job.accepted.job)

    def ready_steps(self) -> Iterator[StepRun]:
        """Yield steps with tasks that may start."""
        now = self.clock.now()
        for step in self.open_steps.values():
            if step.ready_at is None or not step.waiting:
                continue
            until = self.withheld_until.get(step.job.queue.service, now)
            if now < until and step.key.job in self.withheld:
                continue
            yield step

    def next_steps(self) -> Iterator[StepRun]:
        """Yield steps that only wait for tasks that have been started."""
        for step in self.open_steps.values():
            if step.ready_at is not None or step.queried:
                continue
            key = step.key
            before = [
                step.job.steps[StepKey(key.job, key.occurrence, number)]
                for number in step.spec.depends_on
            ]
            if all(not other.waiting for other in before):
                yield step

    # Attempts

    def step_of(self, task: TaskKey) -> StepRun | None:
        """Return the step of a task, None if the job is not known."""
        job = self.jobs.get(task.job)
        return job.steps.get(task.step_key) if job is not None else None

    def begin(self, step: StepRun, index: int, worker: Worker, run: int) -> Attempt:
        """Take room for a run that is about to be ordered."""
        key = step.key
        task = TaskKey(key.job, key.occurrence, key.step, index)
        attempt = Attempt(task, run, worker, step.spec.reserved, self.clock.now())
        attempt.is_resumed = bool(self.saved_for(step, index))
        step.dequeue(index)
        self._occupy(step, attempt)
        return attempt

    def _occupy(self, step: StepRun, attempt: Attempt) -> None:
        step.active[attempt.task.index] = attempt
        step.last_workers[attempt.task.index] = attempt.worker.info.worker
        attempt.worker.add_attempt(attempt)
        self.quotas.add(step.job.accepted.team, step.spec.need)
        if step.job.state is JobState.QUEUED:
            step.job.state = JobState.RUNNING
            self.begun.add(step.key.job)

    def release(self, attempt: Attempt, put_back: bool = True) -> None:
        """Free what an attempt takes.

        Parameters
        ----------
        attempt : Attempt
            Attempt that certainly does not run any more.
        put_back : bool
            Whether the task has to run again.
        """
        attempt.worker.remove_attempt(attempt)
        step = self.step_of(attempt.task)
        index = attempt.task.index
        if step is None or step.active.get(index) is not attempt:
            return
        del step.active[index]
        step.idle_since = self.clock.now()
        self.quotas.remove(step.job.accepted.team, step.spec.need)
        if attempt.checkpoint:
            self._note_saved(step, index, attempt.checkpoint)
        if step.job.state.is_final:
            self._forget_if_quiet(step.job)
            return
        if put_back and index not in step.done:
            step.requeue(index)
            self.open_steps[step.key] = step
        if step.spec.gang and put_back and not step.is_done:
            self._break_gang(step, attempt.run)

    def _break_gang(self, step: StepRun, run: int) -> None:
        """Stop the other members: they cannot go on without the one that ended."""
        for other in list(step.active.values()):
            if other.run == run:
                self.order_stop(other, "a member of the gang ended")

    @staticmethod
    def _note_saved(step: StepRun, index: int, saved: str) -> None:
        step.checkpoints[0 if step.spec.gang else index] = saved

    def saved_for(self, step: StepRun, index: int) -> str:
        """Return the checkpoint from which a task has to start."""
        return step.checkpoints.get(0 if step.spec.gang else index, "")

    def order_stop(self, attempt: Attempt, why: str) -> None:
        """Have a run stopped; its room stays taken until it has ended."""
        if attempt.phase is not AttemptPhase.STOPPING:
            self._stop_again(attempt, why)

    def _stop_again(self, attempt: Attempt, why: str) -> None:
        """Have a run stopped, also if that was ordered before."""
        attempt.phase = AttemptPhase.STOPPING
        self.stops.append(StopOrder(attempt.worker, attempt.task, attempt.run, why))

    def lose_all(self, worker: Worker, why: str) -> None:
        """Give up all attempts on a worker that certainly runs nothing."""
        lost = list(worker.attempts.values())
        if lost:
            _log.warning(
                "Runs lost", worker=worker.info.worker, count=len(lost), why=why
            )
        for attempt in lost:
            self.release(attempt)

    # Workers

    def sync_worker(self, info: WorkerInfo) -> Worker:
        """Take in what the platform says of a worker."""
        worker = self.workers.get(info.worker)
        if worker is None:
            worker = Worker(info, self.clock.now())
            self.workers[info.worker] = worker
        worker.info = info
        worker.is_listed = True
        if not info.is_draining:
            worker.earliest_leave_at = None
        elif worker.earliest_leave_at is None:
            worker.earliest_leave_at = Instant(self.clock.now() + info.min_remaining_ms)
        return worker

    def note_life(self, worker: Worker, born_ms: int) -> None:
        """Take in which life of a worker answered."""
        if not born_ms or born_ms == worker.incarnation_ms:
            return
        earlier = worker.incarnation_ms
        worker.begin_incarnation(born_ms)
        if not earlier:
            return
        _log.warning("Worker started anew", worker=worker.info.worker, born_ms=born_ms)
        for attempt in list(worker.attempts.values()):
            # An order without an answer may still be carried out by the new life.
            if attempt.phase is AttemptPhase.STARTING or attempt.is_start_unconfirmed:
                self._stop_again(attempt, "worker started anew")
            else:
                self.release(attempt)

    def take_report(
        self, worker: Worker, report: WorkerReport, asked_at: Instant
    ) -> None:
        """Take in a worker's answer to a hold.

        Parameters
        ----------
        worker : Worker
            Worker.
        report : WorkerReport
            Its answer.
        asked_at : Instant
            When the hold was sent.
        """
        now = self.clock.now()
        self.note_life(worker, report.incarnation_ms)
        worker.update_clock(report.clock_ms, now)
        worker.is_reachable = True
        worker.has_answered = True
        for end in report.ended:
            if worker.record_end(end.number):
                self._take_end(worker, end)
                self.marks.append(EndMark(worker, worker.incarnation_ms, end.number))
        listed = set()
        for status in report.running:
            listed.add((status.task, status.run))
            self._take_status(worker, status, now)
        if report.is_complete:
            self._drop_absent(worker, listed, asked_at)

    def _drop_absent(self, worker: Worker, listed: set, asked_at: Instant) -> None:
        for attempt in list(worker.attempts.values()):
            if (attempt.task, attempt.run) in listed:
                continue
            settled = attempt.phase in (AttemptPhase.RUNNING, AttemptPhase.STOPPING)
            if settled and attempt.last_answer_at < asked_at:
                _log.info(
                    "Run is not there",
                    task=attempt.task,
                    run=attempt.run,
                    worker=worker.info.worker,
                    phase=attempt.phase.value,
                )
                self.release(attempt)

    def _take_status(self, worker: Worker, status: RunStatus, now: Instant) -> None:
        attempt = worker.attempts.get(status.task)
        if attempt is None or attempt.run != status.run:
            attempt = self._adopt(worker, status)
            if attempt is None:
                return
        if attempt.phase is AttemptPhase.STARTING:
            attempt.phase = AttemptPhase.RUNNING
            attempt.last_answer_at = now
        if status.checkpoint:
            attempt.checkpoint = status.checkpoint
        attempt.load = status.load
        if attempt.update_progress(status.percent, now):
            self._check_straggler(attempt, now)
        elif is_stuck(attempt, self.step_of(attempt.task), now):
            worker.is_stalled = True
            worker.record_failure(attempt.task.job, now)
            worker.avoid_until = Instant(now + AVOID_MAX_MS)
            self.order_stop(attempt, "no progress")

    def _check_straggler(self, attempt: Attempt, now: Instant) -> None:
        """Stop a run that would be done sooner if it began anew elsewhere."""
        step = self.step_of(attempt.task)
        if step is None or not is_straggler(attempt, step, now):
            return
        worker = attempt.worker
        worker.avoid_until = Instant(max(worker.avoid_until, now + SLOW_PAUSE_MS))
        self.order_stop(attempt, "slow here")

    def _adopt(self, worker: Worker, status: RunStatus) -> Attempt | None:
        """Take over a run that this leader has not ordered, or have it stopped."""
        task = status.task
        step = self.step_of(task)
        wanted = (
            step is not None
            and not step.job.state.is_final
            and 0 <= task.index < step.spec.count
            and task.index not in step.done
            and task.index not in step.active
            and task not in worker.attempts
        )
        if step is not None:
            step.observe_run(task.index, status.run)
        if not wanted:
            self._stop_stray(worker, status, step)
            return None
        attempt = Attempt(
            task, status.run, worker, step.spec.reserved, self.clock.now()
        )
        attempt.phase = AttemptPhase.RUNNING
        attempt.is_resumed = True
        step.dequeue(task.index)
        self._occupy(step, attempt)
        _log.info("Run adopted", task=task, run=status.run, worker=worker.info.worker)
        return attempt

    def _stop_stray(
        self, worker: Worker, status: RunStatus, step: StepRun | None
    ) -> None:
        """Stop a run that nobody waits for; it takes room until it has ended."""
        task = status.task
        self.stops.append(StopOrder(worker, task, status.run, "not wanted here"))
        if task in worker.attempts:
            return
        reserved = worker.free if step is None else step.spec.reserved
        entry = self.find_job(task.job)
        if step is None and entry is not None:
            steps = entry.accepted_.spec.steps
            if task.step < len(steps):
                reserved = steps[task.step].reserved
        stray = Attempt(task, status.run, worker, reserved, self.clock.now())
        stray.phase = AttemptPhase.STOPPING
        worker.add_attempt(stray)

    def evacuate(self) -> None:
        """Stop runs on leaving workers that would not be done in time."""
        now = self.clock.now()
        for worker in self.workers.values():
            if worker.earliest_leave_at is None:
                continue
            for attempt in list(worker.attempts.values()):
                step = self.step_of(attempt.task)
                if step is not None and must_leave(attempt, step, now):
                    self.order_stop(attempt, "the worker leaves")

    # Ends

    def _take_end(self, worker: Worker, end: RunEnd) -> None:
        attempt = worker.attempts.get(end.task)
        if attempt is not None and attempt.run != end.run:
            attempt = None
        step = self.step_of(end.task)
        _log.info(
            "Run ended",
            task=end.task,
            run=end.run,
            worker=worker.info.worker,
            how=end.kind.value,
            known=attempt is not None,
        )
        self.metrics.note_end(end.kind.value)
        if step is not None:
            step.observe_run(end.task.index, end.run)
        if end.kind is EndKind.DONE:
            self._take_done(worker, step, attempt, end)
        elif end.kind is EndKind.FAILED:
            self._take_failed(worker, step, attempt, end)
        elif attempt is not None:
            attempt.checkpoint = end.checkpoint or attempt.checkpoint
            self.release(attempt)

    def _take_done(self, worker, step: StepRun | None, attempt, end: RunEnd) -> None:
        worker.record_success()
        if step is not None and attempt is not None and not attempt.is_resumed:
            self._note_duration(worker, step, self.clock.now() - attempt.started_at)
        lasts = step is not None and step.spec.long_running
        if attempt is not None:
            self.release(attempt, put_back=lasts)
        if step is None or lasts or step.job.state.is_final:
            return
        indices = range(step.spec.count) if step.spec.gang else [end.task.index]
        for index in indices:
            step.done.add(index)
            step.dequeue(index)
            other = step.active.get(index)
            if other is not None and not step.spec.gang:
                self.order_stop(other, "another run is done")
        self.dirty.add(end.task.job)
        if step.is_done:
            self.open_steps.pop(step.key, None)
            self._note_ready(step.job)
            self._complete_if_done(step.job)

    @staticmethod
    def _note_duration(worker: Worker, step: StepRun, took_ms: int) -> None:
        """Learn how fast a worker is, compared with others on the same step."""
        if len(step.durations) >= MIN_COMPARED and not step.spec.uses_idle_cpu:
            usual = statistics.median(step.durations)
            worker.update_slowness(took_ms / max(1.0, usual))
        step.durations.append(took_ms)

    def _take_failed(self, worker, step: StepRun | None, attempt, end: RunEnd) -> None:
        self._note_failure(worker, end.task.job)
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

    def _note_failure(self, worker: Worker, job: JobId) -> None:
        is_new = job not in worker.failed_jobs
        worker.record_failure(job, self.clock.now())
        if is_new and worker.consecutive_failed_jobs >= EARLY_FAIL_LIMIT:
            self._avoid(worker)

    def _avoid(self, worker: Worker) -> None:
        doublings = max(0, worker.consecutive_failed_jobs - EARLY_FAIL_LIMIT)
        pause = min(AVOID_MAX_MS, AVOID_BASE_MS << min(doublings, 8))
        worker.avoid_until = Instant(self.clock.now() + pause)

    # Records

    def take_dirty(self) -> tuple[list[Progress], list[EndMark]]:
        """Return what has to be stored, and the ends that it covers."""
        wall = self.clock.wall_ms()
        records = []
        for job_id in self.dirty | self.begun:
            job = self.jobs.get(job_id)
            if job is not None:
                records.append(job.progress(wall))
        marks, self.marks = self.marks, []
        done = [self.jobs[r.job] for r in records if r.state.is_final]
        self.dirty = set()
        self.begun = set()
        for job in done:
            self._forget_if_quiet(job)
        return records, marks

    def take_stops(self) -> list[StopOrder]:
        """Return the stops to order."""
        stops, self.stops = self.stops, []
        return stops
