"""Jobs made of steps, steps made of tasks."""

from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from ..utils import JobId, Resources

__all__ = [
    "JobSpec",
    "JobState",
    "StepKey",
    "StepSpec",
    "TaskKey",
    "WorkerId",
]

WorkerId = NewType("WorkerId", str)
"""Name of one worker, as it registers itself."""


class JobState(Enum):
    """What a caller is told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
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
    """Tasks that are alike and become ready together.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Resources
        What one task needs.
    estimate_ms : int
        Rough run time of a task in milliseconds, as declared.
    depends_on : tuple of int
        Earlier steps, counted from 0, whose tasks must all be done first.
    checkpointed : bool
        Whether a task saves its progress.
    gang : bool
        Whether all tasks must start together and end as one.
    rack_sensitive : bool
        Whether the tasks run slower when spread over racks.
    required_label : str
        Label that a worker must carry, empty for any.
    data_rack : str
        Rack that holds the data, empty for none.
    max_per_worker : int
        Most tasks of one occurrence on one worker, 0 for any number.
    speculative : bool
        Whether copies of a task may run in parallel.
    long_running : bool
        Whether tasks run until the job is cancelled and restart on any end.
    image : str
        What the tasks run.
    tail_target_ms : int
        Bound on the tail of response times, 0 for none.
    uses_idle_cpu : bool
        Whether the tasks use only processor time that others leave.
    max_unavailable : int
        Most tasks that planned work may keep from running at a time.
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
        """What one task takes from a worker's capacity."""
        if not self.uses_idle_cpu:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller hands in.

    Parameters
    ----------
    payload : str
        Text passed to every task.
    steps : tuple of StepSpec
        Steps in order; a step depends only on earlier ones.
    occurrences : int
        How often the steps run, 0 for once and at once.
    first_due_ms : int
        Time of day of the first occurrence, in milliseconds since 1970.
    interval_ms : int
        Milliseconds between the due times of two occurrences.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def is_scheduled(self) -> bool:
        """Whether the job runs at given times."""
        return self.occurrences > 0

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.occurrences)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since 1970."""
        return self.first_due_ms + occurrence * self.interval_ms
