"""Job submissions of callers: services, batch jobs and gangs."""

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
    """Failure domain across which replicas of a service are spread first."""

    RACK = "rack"
    DATA_CENTRE = "data_centre"


class _Spec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, tag_field="kind"):
    """Fields common to all job specifications.

    Parameters
    ----------
    resources : Resources
        Resources required by one task.
    command : list of str
        Command that the worker runs; the scheduler does not interpret it.
    """

    resources: Resources
    command: Command = []


class ServiceSpec(_Spec, kw_only=True, tag="service"):
    """Long-running replicas that are restarted when they end.

    Parameters
    ----------
    replicas : int
        Number of replicas to keep running.
    spread : Spread, default=Spread.RACK
        Failure domain across which replicas are spread first.
    """

    replicas: TaskCount
    spread: Spread = Spread.RACK


class BatchSpec(_Spec, kw_only=True, tag="batch"):
    """Tasks that run to completion, each as soon as capacity is free.

    Parameters
    ----------
    tasks : int, default=1
        Number of tasks.
    estimate_ms : int, default=60000
        Declared run time, in milliseconds.
    max_attempts : int, default=3
        Failed or lost attempts after which a task is not retried.
    idempotent : bool, default=True
        Whether a task whose worker was lost may be retried.
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
        Number of tasks.
    estimate_ms : int, default=60000
        Declared run time, in milliseconds.
    max_attempts : int, default=3
        Failed or lost attempts after which the gang is not retried.
    idempotent : bool, default=True
        Whether a gang that lost a worker may be retried.
    """

    tasks: TaskCount
    estimate_ms: DurationMs = 60_000
    max_attempts: Attempts = 3
    idempotent: bool = True


JobSpec = ServiceSpec | BatchSpec | GangSpec


class Submission(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A request to run a job.

    Parameters
    ----------
    spec : ServiceSpec, BatchSpec or GangSpec
        Specification of the job.
    urgent : bool, default=False
        Whether the job takes precedence over jobs that are not urgent.
    queue : str, default=""
        Open queue to use; empty for the team's own queue.
    """

    spec: JobSpec
    urgent: bool = False
    queue: str = ""


@singledispatch
def count_tasks(spec: JobSpec) -> int:
    """Return the number of tasks of a job."""
    raise TypeError(f"spec must be a job spec, got {spec!r}")


@count_tasks.register
def _(spec: ServiceSpec) -> int:
    return spec.replicas


@count_tasks.register(BatchSpec)
@count_tasks.register(GangSpec)
def _(spec: BatchSpec | GangSpec) -> int:
    return spec.tasks


def check_submission(submission: Submission) -> Submission:
    """Validate constraints that the types can't express.

    Parameters
    ----------
    submission : Submission
        A decoded submission.

    Returns
    -------
    Submission
        The submission, unchanged.

    Raises
    ------
    ValidationError
        If an amount is negative or no processors are requested.
    """
    need = submission.spec.resources
    if min(need.cpu_milli, need.memory_mb, need.accelerators) < 0:
        raise ValidationError(f"spec.resources must not be negative, got {need}")
    if need.cpu_milli == 0:
        raise ValidationError("spec.resources must request processors, got 0")
    return submission
