"""Data model of jobs, their steps and their tasks."""

from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from ..utils import JobId, Resources

__all__ = [
    "MAX_STEPS",
    "MAX_TASKS",
    "JobSpec",
    "JobState",
    "StepKey",
    "StepSpec",
    "TaskKey",
    "WorkerId",
]

MAX_STEPS = 256
"""Maximum steps of a job; far above what callers use."""
MAX_TASKS = 10_000
"""Maximum tasks of a step; far above what callers use."""

WorkerId = NewType("WorkerId", str)
"""Name under which a worker is registered."""


class JobState(Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state is final and never changes again."""
        return self in FINAL_STATES


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """One task of a step."""

    job: JobId
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """Step that the task belongs to."""
        return StepKey(self.job, self.occurrence, self.step)


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specification of identical tasks that become ready together.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources required by one task.
    estimate_ms : int
        Declared estimate of a task's run time, in milliseconds.
    depends_on : tuple of int
        Zero-based indices of earlier steps that must complete first.
    checkpointed : bool
        Whether the tasks save checkpoints.
    gang : bool
        Whether all tasks must start together and end as one unit.
    rack_sensitive : bool
        Whether the tasks run slower when spread across racks.
    required_label : str
        Label that a worker must carry, empty for any.
    data_rack : str
        Rack that holds the input data, empty for none.
    max_per_worker : int
        Maximum number of tasks of one occurrence on one worker, 0 for no limit.
    speculative : bool
        Whether speculative copies of a task may run in parallel.
    long_running : bool
        Whether tasks run until the job is cancelled and restart on any end.
    image : str
        Image that the tasks run.
    tail_target_ms : int
        Upper bound on tail latency in milliseconds, 0 for none.
    uses_idle_cpu : bool
        Whether the tasks use only CPU time left idle by other tasks.
    max_unavailable : int
        Maximum number of tasks that planned work may make unavailable at a time.
    """

    count: int
    need: Resources
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointed: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: int = 0
    uses_idle_cpu: bool = msgspec.field(name="fills", default=False)
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Resources that one task reserves on a worker."""
        if not self.uses_idle_cpu:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specification of a job as submitted by a caller.

    Parameters
    ----------
    payload : str
        Text passed to each task.
    steps : tuple of StepSpec
        Steps in order; a step depends only on earlier steps.
    occurrences : int
        Number of times the steps run; 0 to run once, immediately.
    first_due_ms : int
        Wall-clock time of the first occurrence, in milliseconds since 1970.
    interval_ms : int
        Time between the due times of consecutive occurrences, in milliseconds.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def is_scheduled(self) -> bool:
        """Whether the job runs at scheduled times."""
        return self.occurrences > 0

    @property
    def occurrence_count(self) -> int:
        """Number of times the steps run, at least 1."""
        return max(1, self.occurrences)

    def check(self) -> None:
        """Check the limits that the scheduler relies on.

        Raises
        ------
        ValueError
            If the job can't be run; the message names the field and its value.
        """
        if not 1 <= len(self.steps) <= MAX_STEPS:
            raise ValueError(f"steps: {len(self.steps)} is not 1 to {MAX_STEPS}")
        for index, step in enumerate(self.steps):
            if not 1 <= step.count <= MAX_TASKS:
                raise ValueError(f"steps[{index}].count: {step.count} is out of range")
            need = step.need
            if min(need.cpu_milli, need.memory_mb, need.accelerators) < 0:
                raise ValueError(f"steps[{index}].need: {need} is negative")
            if any(not 0 <= earlier < index for earlier in step.depends_on):
                raise ValueError(f"steps[{index}].depends_on: {step.depends_on}")

    def critical_path_ms(self) -> int:
        """Return the declared duration of the longest chain of dependent steps."""
        ends_ms: list[int] = []
        for step in self.steps:
            ready_ms = max((ends_ms[item] for item in step.depends_on), default=0)
            ends_ms.append(ready_ms + step.estimate_ms)
        return max(ends_ms, default=0)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since 1970."""
        return self.first_due_ms + occurrence * self.interval_ms
