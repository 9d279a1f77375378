"""Names of tasks and steps on the wire."""

from ..jobs import StepKey, TaskKey
from ..utils import JobId

__all__ = ["format_step", "format_task", "parse_task"]

TASK_PARTS = 4


def format_task(task: TaskKey) -> str:
    """Format the wire name of a task.

    Examples
    --------
    >>> format_task(TaskKey("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def format_step(step: StepKey) -> str:
    """Format the wire name of a step."""
    return f"{step.job}.{step.occurrence}.{step.step}"


def parse_task(name: str) -> TaskKey:
    """Parse the wire name of a task.

    Raises
    ------
    ValueError
        If the name does not have the form of a task name.
    """
    parts = name.split(".")
    if len(parts) != TASK_PARTS:
        raise ValueError(f"{name!r} is not a task name")
    return TaskKey(JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3]))
