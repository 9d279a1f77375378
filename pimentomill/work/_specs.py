"""What callers hand in: services, batch runs and gangs."""

from enum import Enum
from functools import singledispatch
from typing import Annotated

import msgspec
from msgspec import Meta

from ..exceptions import ValidationError
from ..utils import Resources

__all__ = [
    "BatchSpec",
    "GangSpec",
    "JobSpec",
    "ServiceSpec",
    "Spread",
    "Submission",
    "check_submission",
    "count_tasks",
]

MAX_TASKS = 2_000
TaskCount = Annotated[int, Meta(ge=1, le=MAX_TASKS)]
Attempts = Annotated[int, Meta(ge=1, le=100)]
DurationMs = Annotated[int, Meta(ge=1, le=30 * 86_400_000)]
Command = Annotated[list[Annotated[str, Meta(max_length=1024)]], Meta(max_length=64)]


class Spread(Enum):
    """Over what the replicas of a service are spread first."""

    RACK = "rack"
    DATA_CENTRE = "data_centre"


class _Spec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, tag_field="kind"):
    """What every kind of work states.

    Parameters
    ----------
    resources : Resources
        Need of one task.
    command : list of str
        What the worker runs; the system does not read it.
    """

    resources: Resources
    command: Command = []


class ServiceSpec(_Spec, kw_only=True, tag="service"):
    """Long-running replicas that are started again when they end.

    Parameters
    ----------
    replicas : int
        How many run.
    spread : Spread, default=Spread.RACK
        Over what they are spread first.
    """

    replicas: TaskCount
    spread: Spread = Spread.RACK


class BatchSpec(_Spec, kw_only=True, tag="batch"):
    """Tasks that run to their end, each when there is room.

    Parameters
    ----------
    tasks : int, default=1
        How many.
    estimate_ms : int, default=60000
        Declared run time.
    max_attempts : int, default=3
        Tries of a task that fails.
    idempotent : bool, default=True
        Whether a task whose worker was lost may be run again.
    """

    tasks: TaskCount = 1
    estimate_ms: DurationMs = 60_000
    max_attempts: Attempts = 3
    idempotent: bool = True


class GangSpec(_Spec, kw_only=True, tag="gang"):
    """Tasks that start together or not at all.

    Parameters
    ----------
    tasks : int
        How many.
    estimate_ms : int, default=60000
        Declared run time.
    max_attempts : int, default=3
        Tries of the whole gang.
    idempotent : bool, default=True
        Whether a gang that lost a worker may be run again.
    """

    tasks: TaskCount
    estimate_ms: DurationMs = 60_000
    max_attempts: Attempts = 3
    idempotent: bool = True


JobSpec = ServiceSpec | BatchSpec | GangSpec


class Submission(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A hand-in.

    Parameters
    ----------
    spec : ServiceSpec, BatchSpec or GangSpec
        The work.
    urgent : bool, default=False
        Whether it goes ahead of work that is not urgent.
    queue : str, default=""
        Open queue to use; empty for the team's own.
    """

    spec: JobSpec
    urgent: bool = False
    queue: str = ""


@singledispatch
def count_tasks(spec: JobSpec) -> int:
    """Return how many tasks a job has."""
    raise TypeError(f"spec must be a job spec, got {spec!r}")


@count_tasks.register
def _(spec: ServiceSpec) -> int:
    return spec.replicas


@count_tasks.register(BatchSpec)
@count_tasks.register(GangSpec)
def _(spec: BatchSpec | GangSpec) -> int:
    return spec.tasks


def check_submission(submission: Submission) -> Submission:
    """Check what the types can't express.

    Parameters
    ----------
    submission : Submission
        A decoded hand-in.

    Returns
    -------
    Submission
        The same.

    Raises
    ------
    ValidationError
        If an amount is negative or no processor is asked for.
    """
    need = submission.spec.resources
    if min(need.cpu_milli, need.memory_mb, need.accelerators) < 0:
        raise ValidationError(f"spec.resources must not be negative, got {need}")
    if need.cpu_milli == 0:
        raise ValidationError("spec.resources must ask for processors, got 0")
    return submission
