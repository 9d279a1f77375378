"""State that the leader holds of unfinished jobs and their steps."""

import heapq
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec
from msgspec import UNSET

from ..catalog import Queue
from ..fleet import Attempt, WorkerInfo
from ..jobs import (
    Accepted,
    JobState,
    Progress,
    StepCrashes,
    StepKey,
    StepProgress,
    StepSpec,
    WorkerId,
)
from ..utils import Instant
from ._occurrence_set import OccurrenceSet

__all__ = ["JobRun", "StepRun", "Ticket"]

BITS_PER_BYTE = 8
STARVATION_MS = 1700
"""Milliseconds without a run after which a step may use workers that failed: runnable
work has to start within 3 s, and a ticket takes up to 1 s."""
MIN_CRASHES = 3
"""Crashed workers after which a task is given up."""
MIN_ISOLATED_CRASHES = 2
"""Crashes among them in which the run was isolated. A crash for another cause hits an
early isolated run by chance at times, but hardly twice."""

MAX_LISTED_BYTES = 40_000
"""Bytes of a progress record in which steps of done occurrences are listed one by one.
Each change writes the record anew, and the store takes 262,144 bytes."""
LISTED_STEP_BYTES = 10
"""Bytes of a done step in a progress record beside its bitmap."""


class Ticket:
    """Permission of the placement policy to run a step on a worker.

    Parameters
    ----------
    text : str
        Ticket as issued by the policy.
    valid_until : Instant
        Time from which the ticket is no longer valid.
    """

    __slots__ = ("text", "valid_until")

    def __init__(self, text: str, valid_until: Instant) -> None:
        self.text = text
        self.valid_until = valid_until


class StepRun:
    """State of the tasks of one step in one occurrence of its job.

    Parameters
    ----------
    job : JobRun
        Job that the step belongs to.
    key : StepKey
        Identifies the step.
    spec : StepSpec
        Specification of the step.
    first_run : int
        Number of a task's first run by this leader.

    Attributes
    ----------
    waiting : list of int
        Heap of the task indices that have no attempt and are not done.
    active : dict of int to Attempt
        Attempts by task index.
    done : set of int
        Indices of tasks that succeeded.
    failed_runs : dict of int to set of int
        Numbers of failed runs, by task index.
    crashed_runs, isolated_crashes : dict of int to set of int
        Numbers of the runs that were early on a worker when it crashed, and of those
        that were isolated there, by task index; a gang has the index 0.
    checkpoints : dict of int to str
        Latest checkpoints, by task index.
    ready_at : Instant or None
        Time at which the step became runnable, None before.
    released_at, ended_at : dict of int to Instant
        Times at which the last attempt of each task was released, and at which its last
        run ended, by task index. A start that was refused is no run.
    queried, allowed : set of WorkerId
        Workers that the placement policy was queried about, and those it allows.
    tickets : dict of WorkerId to Ticket
        Tickets by worker.
    unanswered_since : Instant or None
        Time since which all queries to the placement policy have failed.
    ordered_at : dict of WorkerId to Instant
        Time of the last start order of this leader, by worker.
    durations : list of int
        Milliseconds from order to end of tasks without a checkpoint.
    """

    def __init__(self, job: "JobRun", key: StepKey, spec: StepSpec, first_run: int):
        self.job = job
        self.key = key
        self.spec = spec
        self.first_run = first_run
        self.waiting = list(range(spec.count))
        self.active: dict[int, Attempt] = {}
        self.done: set[int] = set()
        self.failed_runs: dict[int, set[int]] = {}
        self.crashed_runs: dict[int, set[int]] = {}
        self.isolated_crashes: dict[int, set[int]] = {}
        self._suspected_since: dict[int, Instant] = {}
        self.checkpoints: dict[int, str] = {}
        self.next_run: dict[int, int] = {}
        self.ready_at: Instant | None = None
        self.released_at: dict[int, Instant] = {}
        self.ended_at: dict[int, Instant] = {}
        self.queried: set[WorkerId] = set()
        self.allowed: set[WorkerId] = set()
        self.tickets: dict[WorkerId, Ticket] = {}
        self.query_open = False
        self.unanswered_since: Instant | None = None
        self.durations: list[int] = []
        self.last_workers: dict[int, WorkerId] = {}
        self.ordered_at: dict[WorkerId, Instant] = {}

    @property
    def is_done(self) -> bool:
        """Whether every task succeeded."""
        return len(self.done) == self.spec.count

    @property
    def has_only_retries(self) -> bool:
        """Whether a run of every waiting task has failed."""
        if self.spec.gang:
            return bool(self.waiting and self.failed_runs)
        return bool(self.waiting) and all(
            index in self.failed_runs for index in self.waiting
        )

    def may_use(self, info: WorkerInfo) -> bool:
        """Return whether the required label and the placement policy admit a worker."""
        if not self.matches_label(info):
            return False
        return self.job.queue.placement_policy is None or info.worker in self.allowed

    def matches_label(self, info: WorkerInfo) -> bool:
        """Return whether a worker carries the label that the step requires, if any."""
        label = self.spec.required_label
        return not label or label in info.labels

    def is_starving(self, now: Instant) -> bool:
        """Return whether no task of the step has run for `STARVATION_MS`.

        Workers that failed recently are avoided for a while. A starving step may use
        them, as they may be the only workers that it can run on. Each task of a lasting
        step has to run, so one that has waited as long is enough.
        """
        return self._has_waited(self.released_at, now)

    def lacks_runs(self, now: Instant) -> bool:
        """Return whether a step starves even if refused starts are not counted.

        Refused starts keep a step from starving, so that it is not sent to the same
        worker again at once. They are no reason to keep it off others.
        """
        return self._has_waited(self.ended_at, now)

    def _has_waited(self, last_at: dict[int, Instant], now: Instant) -> bool:
        """Return whether a task has waited for `STARVATION_MS` since these times."""
        if self.ready_at is None:
            return False
        if self.spec.long_running:
            waits = (last_at.get(index, self.ready_at) for index in self.waiting)
            since = min(waits, default=now)
        elif self.active:
            return False
        else:
            since = max(last_at.values(), default=self.ready_at)
        return now - since >= STARVATION_MS

    # Crashes of workers

    def is_suspect(self, index: int) -> bool:
        """Return whether a task may have crashed a worker."""
        return self._crash_index(index) in self.crashed_runs

    def suspected_since(self, index: int) -> Instant:
        """Return since when a suspected task has been waiting for another run."""
        since = self._suspected_since.get(self._crash_index(index))
        return self.ready_at if since is None else since

    def record_crash(
        self, index: int, run: int, is_isolated: bool, now: Instant
    ) -> None:
        """Record that a worker crashed while a run of a task was early on it."""
        index = self._crash_index(index)
        self.crashed_runs.setdefault(index, set()).add(run)
        if is_isolated:
            self.isolated_crashes.setdefault(index, set()).add(run)
        self._suspected_since[index] = now

    def has_crash(self, index: int, run: int) -> bool:
        """Return whether a crash has been recorded for a run."""
        return run in self.crashed_runs.get(self._crash_index(index), ())

    def discard_crash(self, index: int, run: int) -> bool:
        """Drop the record of a run and return whether there was one."""
        if not self.has_crash(index, run):
            return False
        index = self._crash_index(index)
        self.isolated_crashes.get(index, set()).discard(run)
        self.crashed_runs[index].discard(run)
        if not self.crashed_runs[index]:
            self.clear_crashes(index)
        return True

    def clear_crashes(self, index: int) -> None:
        """Drop the suspicion against a task."""
        index = self._crash_index(index)
        self.crashed_runs.pop(index, None)
        self.isolated_crashes.pop(index, None)
        self._suspected_since.pop(index, None)

    def count_crashes(self, index: int) -> tuple[int, int]:
        """Return the numbers of crashes under a task, and of isolated ones."""
        index = self._crash_index(index)
        isolated = self.isolated_crashes.get(index, ())
        return len(self.crashed_runs.get(index, ())), len(isolated)

    def crashes_workers(self, index: int) -> bool:
        """Return whether there is enough evidence that a task crashes its workers."""
        crashes, isolated_crashes = self.count_crashes(index)
        return crashes >= MIN_CRASHES and isolated_crashes >= MIN_ISOLATED_CRASHES

    def _crash_index(self, index: int) -> int:
        return 0 if self.spec.gang else index

    def allocate_run(self, index: int) -> int:
        """Allocate and return the number of the next run of a task.

        All members of a gang share one number, the largest among them.
        """
        if self.spec.gang:
            index = 0
        run = self.next_run.get(index, self.first_run)
        self.next_run[index] = run + 1
        return run

    def observe_run(self, index: int, run: int) -> None:
        """Ensure that later runs are numbered above an observed one."""
        if self.spec.gang:
            index = 0
        if run >= self.next_run.get(index, self.first_run):
            self.next_run[index] = run + 1

    def requeue(self, index: int) -> None:
        """Add a task to the waiting tasks again unless it is done."""
        if index not in self.done and index not in self.waiting:
            heapq.heappush(self.waiting, index)

    def dequeue(self, index: int) -> None:
        """Remove a task from the waiting tasks."""
        if index in self.waiting:
            self.waiting.remove(index)
            heapq.heapify(self.waiting)

    def restore(self, progress: StepProgress) -> None:
        """Restore the state of the tasks from stored progress."""
        bits = int.from_bytes(progress.done_bitmap, "little")
        self.done = {index for index in range(self.spec.count) if bits >> index & 1}
        self.waiting = [i for i in range(self.spec.count) if i not in self.done]
        self.failed_runs = _to_sets(progress.failed_runs)
        self.checkpoints = dict(progress.checkpoints)

    def restore_crashes(self, crashes: StepCrashes) -> None:
        """Restore the stored crashes of workers."""
        self.crashed_runs = _to_sets(crashes.early_runs)
        self.isolated_crashes = _to_sets(crashes.isolated_runs)

    @property
    def is_waiting(self) -> bool:
        """Whether the step is ready and has tasks that wait for a start."""
        return self.ready_at is not None and bool(self.waiting)

    def crashes(self) -> StepCrashes | None:
        """Return the crashes of workers to store, None if there are none."""
        if not self.crashed_runs:
            return None
        return StepCrashes(
            self.key.occurrence,
            self.key.step,
            _to_tuples(self.crashed_runs),
            _to_tuples(self.isolated_crashes),
        )

    def progress(self) -> StepProgress | None:
        """Return the progress to store, None if there is none."""
        if not (self.done or self.failed_runs or self.checkpoints):
            return None
        return StepProgress(
            self.key.occurrence,
            self.key.step,
            self._done_bitmap(),
            _to_tuples(self.failed_runs),
            {i: text for i, text in self.checkpoints.items() if i not in self.done},
        )

    def done_progress(self) -> StepProgress:
        """Return the progress to store of a step whose occurrence is done."""
        bitmap = self._done_bitmap()
        return StepProgress(self.key.occurrence, self.key.step, bitmap, {}, {})

    def _done_bitmap(self) -> bytes:
        bits = 0
        for index in self.done:
            bits |= 1 << index
        size = (self.spec.count + BITS_PER_BYTE - 1) // BITS_PER_BYTE
        return bits.to_bytes(size, "little")


class JobRun:
    """State of an unfinished job.

    Parameters
    ----------
    accepted : Accepted
        Record of the accepted submission.
    first_run : int
        Number of a task's first run by this leader.
    seen_at : Instant
        Time at which the leader first saw the job.

    Attributes
    ----------
    queue : Queue
        Queue as last configured by operators.
    steps : dict of StepKey to StepRun
        Steps of the open occurrences: those that were opened and have an unfinished
        task or a run.
    next_occurrence : int
        First occurrence that is neither open nor done; the number of occurrences if
        there is none.
    stored_steps, stored_crashes : dict of tuple of int to StepProgress or StepCrashes
        Progress of the steps that are not open, by occurrence and step.
    waiting_share : int
        Multiple of the usual number of waiting occurrences that the job may have.
    led_since : Instant
        Time since which this leader has known the job.
    moved_at : Instant
        Time of the last start of a task, of the last occurrence that was opened, or of
        the last check of `waiting_share`.
    state : JobState
        State to store.
    remaining_path_ms : list of int
        Declared milliseconds from the start of each step to the end of the job, along
        the longest path of dependent steps.
    counts_failed_runs : bool
        Whether failed runs extend the objective.
    keeps_retries : bool
        Whether repeated runs of urgent tasks keep their place among waiting work.
    services : set of str
        Services to which the queue has sent the job: any leader may have started its
        tasks on their workers.
    is_service_stored : bool
        Whether the store names the present service of the queue, so that a successor
        knows that tasks may run there.
    """

    def __init__(self, accepted: Accepted, first_run: int, seen_at: Instant) -> None:
        self.accepted = accepted
        self.queue: Queue = accepted.queue
        self.services = {accepted.queue.service}
        self.is_service_stored = True
        self._stored_services = frozenset(self.services)
        self.first_run = first_run
        self.seen_at = seen_at
        self.steps: dict[StepKey, StepRun] = {}
        self.next_occurrence = 0
        self.state = JobState.QUEUED
        self.over_share = False
        self.counts_failed_runs = False
        self.keeps_retries = False
        self.remaining_path_ms = _remaining_path_ms(accepted.spec.steps)
        self.stored_steps: dict[tuple[int, int], StepProgress] = {}
        self.stored_crashes: dict[tuple[int, int], StepCrashes] = {}
        self._done_occurrences = OccurrenceSet()
        self._lists_done_steps = True
        self._listed_bytes = 0
        self.waiting_share = 1
        self.led_since = seen_at
        self.moved_at = seen_at

    @property
    def spec(self):
        """Specification of the job."""
        return self.accepted.spec

    def set_queue(self, queue: Queue) -> None:
        """Apply the queue as configured by operators, perhaps for another service."""
        self.queue = queue
        self.services.add(queue.service)
        self.is_service_stored = queue.service in self._stored_services

    def observe_stored(self, progress: Progress) -> None:
        """Record which services the store names by the newest progress record."""
        if progress.services is not UNSET:
            self._stored_services = frozenset(progress.services)
            self.services |= self._stored_services
            self.is_service_stored = self.queue.service in self._stored_services

    def failed_path_ms(self, occurrence: int) -> int:
        """Return by how much failed runs lengthen the critical path of an occurrence.

        Parameters
        ----------
        occurrence : int
            Number of the occurrence.

        Returns
        -------
        int
            Declared milliseconds. Of each step, the task with the most failed runs
            counts.
        """
        failed_runs = [0] * len(self.spec.steps)
        for step in self.steps_of(occurrence):
            if step.failed_runs:
                failed_runs[step.key.step] = max(map(len, step.failed_runs.values()))
        if not any(failed_runs):
            return 0
        lengthened = _remaining_path_ms(self.spec.steps, failed_runs)
        return max(lengthened) - max(self.remaining_path_ms)

    def restore(self, progress: Progress) -> None:
        """Restore the state from stored progress, before any occurrence is opened."""
        self.state = progress.state
        self.observe_stored(progress)
        if progress.done_occurrences is not UNSET:
            self._done_occurrences = OccurrenceSet(progress.done_occurrences)
            self._lists_done_steps = False
        done_steps: Counter[int] = Counter()
        for item in progress.steps:
            if not 0 <= item.step < len(self.spec.steps):
                continue
            self.stored_steps[item.occurrence, item.step] = item
            count = self.spec.steps[item.step].count
            if int.from_bytes(item.done_bitmap, "little") == (1 << count) - 1:
                done_steps[item.occurrence] += 1
                self._listed_bytes += LISTED_STEP_BYTES + len(item.done_bitmap)
        self.stored_crashes = {
            (item.occurrence, item.step): item for item in progress.crashes or ()
        }
        if self.spec.is_scheduled:
            step_count = len(self.spec.steps)
            for occurrence, number in done_steps.items():
                if number == step_count:
                    self._done_occurrences.add(occurrence)
            self._skip_settled()

    def _keys_of(self, occurrence: int) -> list[StepKey]:
        job = self.accepted.job
        return [StepKey(job, occurrence, step) for step in range(len(self.spec.steps))]

    def steps_of(self, occurrence: int) -> list[StepRun]:
        """Return the steps of an occurrence, none if it is not open."""
        keys = self._keys_of(occurrence)
        return [self.steps[key] for key in keys if key in self.steps]

    def is_settled(self, occurrence: int) -> bool:
        """Return whether an occurrence is open or done."""
        is_open = StepKey(self.accepted.job, occurrence, 0) in self.steps
        return is_open or occurrence in self._done_occurrences

    @property
    def has_done_occurrences(self) -> bool:
        """Whether any occurrence is done and closed."""
        return bool(self._done_occurrences)

    def _skip_settled(self) -> None:
        count = self.spec.occurrence_count
        while self.next_occurrence < count and self.is_settled(self.next_occurrence):
            self.next_occurrence += 1

    def count_waiting(self) -> tuple[int, int]:
        """Return how many occurrences, and how many tasks in them, wait for a start."""
        waiting = [step for step in self.steps.values() if step.is_waiting]
        occurrences = {step.key.occurrence for step in waiting}
        return len(occurrences), sum(len(step.waiting) for step in waiting)

    def open_occurrence(
        self, now: Instant, occurrence: int | None = None
    ) -> list[StepRun]:
        """Create the steps of an occurrence and return them.

        Parameters
        ----------
        now : Instant
            Current time.
        occurrence : int, default=None
            Number of an occurrence that is neither open nor done; the next one if None.
        """
        if occurrence is None:
            occurrence = self.next_occurrence
        opened = []
        for number, spec in enumerate(self.spec.steps):
            key = StepKey(self.accepted.job, occurrence, number)
            step = StepRun(self, key, spec, self.first_run)
            stored = self.stored_steps.pop((occurrence, number), None)
            if stored is not None:
                step.restore(stored)
            crashes = self.stored_crashes.pop((occurrence, number), None)
            if crashes is not None:
                step.restore_crashes(crashes)
            self.steps[key] = step
            opened.append(step)
        self._skip_settled()
        return opened

    def close_if_done(self, occurrence: int) -> None:
        """Keep only the progress of an occurrence that is done and has no run left."""
        steps = self.steps_of(occurrence)
        if not all(step.is_done and not step.active for step in steps):
            return
        for step in steps:
            del self.steps[step.key]
            if self._lists_done_steps:
                item = step.done_progress()
                self.stored_steps[occurrence, step.key.step] = item
                self._listed_bytes += LISTED_STEP_BYTES + len(item.done_bitmap)
        self._done_occurrences.add(occurrence)
        if self._lists_done_steps and self._listed_bytes > MAX_LISTED_BYTES:
            self._lists_done_steps = False
            self.stored_steps = {
                key: item
                for key, item in self.stored_steps.items()
                if key[0] not in self._done_occurrences
            }

    def is_ready(self, step: StepRun) -> bool:
        """Return whether all dependencies of a step are done."""
        key = step.key
        return all(
            self.steps[StepKey(key.job, key.occurrence, number)].is_done
            for number in step.spec.depends_on
        )

    def all_done(self) -> bool:
        """Return whether every task of every occurrence succeeded."""
        return self.next_occurrence >= self.spec.occurrence_count and all(
            step.is_done for step in self.steps.values()
        )

    def progress(self, at_ms: int) -> Progress:
        """Return the progress record to store."""
        accepted = self.accepted
        has_moved = self.services != {accepted.queue.service}
        services = tuple(sorted(self.services)) if has_moved else UNSET
        progress = Progress(accepted.job, self.state, at_ms, services=services)
        if self.state.is_final:
            return progress
        steps = (*self.stored_steps.values(), *self._collect(StepRun.progress))
        crashes = (*self.stored_crashes.values(), *self._collect(StepRun.crashes))
        done = UNSET if self._lists_done_steps else self._done_occurrences.ranges()
        return msgspec.structs.replace(
            progress, steps=steps, crashes=crashes or UNSET, done_occurrences=done
        )

    def _collect(self, read: Callable) -> tuple:
        found = (read(step) for step in self.steps.values())
        return tuple(item for item in found if item is not None)


def _to_sets(runs: dict[int, tuple[int, ...]]) -> dict[int, set[int]]:
    return {index: set(numbers) for index, numbers in runs.items()}


def _to_tuples(runs: dict[int, set[int]]) -> dict[int, tuple[int, ...]]:
    return {index: tuple(sorted(numbers)) for index, numbers in runs.items()}


def _remaining_path_ms(
    specs: tuple[StepSpec, ...], failed_runs: Sequence[int] | None = None
) -> list[int]:
    """Return the declared time from the start of each step to the end of the job.

    `failed_runs` holds how often each step runs beyond its first time, if any does.
    """
    downstream_ms = [0] * len(specs)
    remaining_ms = [0] * len(specs)
    for number in reversed(range(len(specs))):
        runs = 1 + (failed_runs[number] if failed_runs else 0)
        remaining_ms[number] = runs * specs[number].estimate_ms + downstream_ms[number]
        for earlier in specs[number].depends_on:
            downstream_ms[earlier] = max(downstream_ms[earlier], remaining_ms[number])
    return remaining_ms
