"""Names of tasks and steps as the platform writes them."""

from ..jobs import StepKey, TaskKey
from ..utils import JobId

__all__ = ["format_step", "format_task", "parse_task"]

TASK_PARTS = 4


def format_task(task: TaskKey) -> str:
    """Return a task's name.

    Examples
    --------
    >>> format_task(TaskKey("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def format_step(step: StepKey) -> str:
    """Return a step's name."""
    return f"{step.job}.{step.occurrence}.{step.step}"


def parse_task(name: str) -> TaskKey:
    """Return the task that a name stands for.

    Raises
    ------
    ValueError
        If the name is not of the platform's form.
    """
    parts = name.split(".")
    if len(parts) != TASK_PARTS:
        raise ValueError(f"{name!r} does not name a task")
    return TaskKey(JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3]))
