"""Jobs and steps that are not finished, as the leader sees them."""

import heapq

from ..catalog import Queue
from ..fleet import Attempt, WorkerInfo
from ..jobs import (
    Accepted,
    JobState,
    Progress,
    StepKey,
    StepProgress,
    StepSpec,
    WorkerId,
)
from ..utils import Instant

__all__ = ["JobRun", "StepRun", "Ticket"]

BITS_PER_BYTE = 8
STARVATION_MS = 1700
"""Milliseconds without a run after which workers that failed are used again: work that
could run has to do so within 3 s, and a ticket takes up to 1 s."""


class Ticket:
    """Leave to run a step on a worker.

    Parameters
    ----------
    text : str
        Ticket as the policy gave it.
    valid_until : Instant
        When it can no longer be used.
    """

    __slots__ = ("text", "valid_until")

    def __init__(self, text: str, valid_until: Instant) -> None:
        self.text = text
        self.valid_until = valid_until


class StepRun:
    """Tasks of one step of one occurrence.

    Parameters
    ----------
    job : JobRun
        Job.
    key : StepKey
        Which step.
    spec : StepSpec
        What to run.
    first_run : int
        Number of a task's first run by this leader.

    Attributes
    ----------
    waiting : list of int
        Heap of the indices that have no attempt and are not done.
    active : dict of int to Attempt
        Attempts by index.
    done : set of int
        Indices that ended well.
    failed_runs : dict of int to set of int
        Runs that failed, by index.
    saved : dict of int to str
        Newest checkpoints, by index.
    ready_at : Instant or None
        When the step could first run; None before.
    idle_since : Instant or None
        When a run of the step ended last.
    asked, allowed : set of WorkerId
        Workers that the queue's policy was asked about, and those it allows.
    tickets : dict of WorkerId to Ticket
        Tickets.
    durations : list of int
        Milliseconds that tasks without a checkpoint took from order to end.
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
        self.checkpoints: dict[int, str] = {}
        self.next_run: dict[int, int] = {}
        self.ready_at: Instant | None = None
        self.idle_since: Instant | None = None
        self.queried: set[WorkerId] = set()
        self.allowed: set[WorkerId] = set()
        self.tickets: dict[WorkerId, Ticket] = {}
        self.query_open = False
        self.durations: list[int] = []
        self.last_workers: dict[int, WorkerId] = {}

    @property
    def is_done(self) -> bool:
        """Whether every task ended well."""
        return len(self.done) == self.spec.count

    def may_use(self, info: WorkerInfo) -> bool:
        """Return whether its labels and the queue's policy admit a worker."""
        label = self.spec.required_label
        if label and label not in info.labels:
            return False
        return self.job.queue.advice is None or info.worker in self.allowed

    def is_starving(self, now: Instant) -> bool:
        """Return whether nothing of the step has run for long, so any worker will do.

        Workers that failed lately are left alone for a while. Where a step may use no
        other, that must not keep it from running for good.
        """
        if self.active or self.ready_at is None:
            return False
        return now - (self.idle_since or self.ready_at) >= STARVATION_MS

    def allocate_run(self, index: int) -> int:
        """Return the number of the next run of a task.

        All members of a gang share one number, which is the largest of theirs.
        """
        if self.spec.gang:
            index = 0
        run = self.next_run.get(index, self.first_run)
        self.next_run[index] = run + 1
        return run

    def observe_run(self, index: int, run: int) -> None:
        """Let later runs have higher numbers than one that was seen."""
        if self.spec.gang:
            index = 0
        if run >= self.next_run.get(index, self.first_run):
            self.next_run[index] = run + 1

    def requeue(self, index: int) -> None:
        """Let a task wait for a start again."""
        if index not in self.done and index not in self.waiting:
            heapq.heappush(self.waiting, index)

    def dequeue(self, index: int) -> None:
        """Let a task no longer wait for a start."""
        if index in self.waiting:
            self.waiting.remove(index)
            heapq.heapify(self.waiting)

    def restore(self, progress: StepProgress) -> None:
        """Take over what the store says."""
        bits = int.from_bytes(progress.done, "little")
        self.done = {index for index in range(self.spec.count) if bits >> index & 1}
        self.waiting = [i for i in range(self.spec.count) if i not in self.done]
        self.failed_runs = {
            index: set(runs) for index, runs in progress.failed_runs.items()
        }
        self.checkpoints = dict(progress.saved)

    def progress(self) -> StepProgress | None:
        """Return what has to be stored, None if nothing."""
        if not (self.done or self.failed_runs or self.checkpoints):
            return None
        bits = 0
        for index in self.done:
            bits |= 1 << index
        size = (self.spec.count + BITS_PER_BYTE - 1) // BITS_PER_BYTE
        return StepProgress(
            self.key.occurrence,
            self.key.step,
            bits.to_bytes(size, "little"),
            {index: tuple(sorted(runs)) for index, runs in self.failed_runs.items()},
            {i: saved for i, saved in self.checkpoints.items() if i not in self.done},
        )


class JobRun:
    """A job that is not finished.

    Parameters
    ----------
    accepted : Accepted
        Acceptance.
    first_run : int
        Number of a task's first run by this leader.
    seen_at : Instant
        When the leader first saw it.

    Attributes
    ----------
    queue : Queue
        Queue as operators have set it last.
    steps : dict of StepKey to StepRun
        Steps of the occurrences that are due.
    state : JobState
        State to be stored.
    tails_ms : list of int
        Declared milliseconds from the start of each step to the end of its job, by
        the longest chain of steps that depend on it.
    """

    def __init__(self, accepted: Accepted, first_run: int, seen_at: Instant) -> None:
        self.accepted = accepted
        self.queue: Queue = accepted.queue
        self.first_run = first_run
        self.seen_at = seen_at
        self.steps: dict[StepKey, StepRun] = {}
        self.next_occurrence = 0
        self.state = JobState.QUEUED
        self.over_share = False
        self.remaining_path_ms = _remaining_path_ms(accepted.spec.steps)
        self.stored_steps: dict[tuple[int, int], StepProgress] = {}

    @property
    def spec(self):
        """What to run."""
        return self.accepted.spec

    def open_occurrence(self, now: Instant) -> list[StepRun]:
        """Create the steps of the next occurrence and return them."""
        occurrence = self.next_occurrence
        self.next_occurrence += 1
        opened = []
        for number, spec in enumerate(self.spec.steps):
            key = StepKey(self.accepted.job, occurrence, number)
            step = StepRun(self, key, spec, self.first_run)
            stored = self.stored_steps.get((occurrence, number))
            if stored is not None:
                step.restore(stored)
            self.steps[key] = step
            opened.append(step)
        return opened

    def is_ready(self, step: StepRun) -> bool:
        """Return whether all that a step depends on is done."""
        key = step.key
        return all(
            self.steps[StepKey(key.job, key.occurrence, number)].is_done
            for number in step.spec.depends_on
        )

    def all_done(self) -> bool:
        """Return whether every task of every occurrence ended well."""
        return self.next_occurrence >= self.spec.occurrence_count and all(
            step.is_done for step in self.steps.values()
        )

    def progress(self, at_ms: int) -> Progress:
        """Return what has to be stored."""
        steps = () if self.state.is_final else self._step_progress()
        return Progress(self.accepted.job, self.state, at_ms, steps)

    def _step_progress(self) -> tuple[StepProgress, ...]:
        found = (step.progress() for step in self.steps.values())
        return tuple(item for item in found if item is not None)


def _remaining_path_ms(specs: tuple[StepSpec, ...]) -> list[int]:
    """Return the declared time from each step's start to the end of the job."""
    downstream_ms = [0] * len(specs)
    remaining_ms = [0] * len(specs)
    for number in reversed(range(len(specs))):
        remaining_ms[number] = specs[number].estimate_ms + downstream_ms[number]
        for earlier in specs[number].depends_on:
            downstream_ms[earlier] = max(downstream_ms[earlier], remaining_ms[number])
    return remaining_ms
