"""Background tasks that outlive unexpected errors."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from typing import Protocol

__all__ = ["supervise"]

RESTART_DELAY_S = 0.5
"""Pause before a failed task starts again, so that a persistent error costs little."""


class Logger(Protocol):
    """Logger of the component that owns the task."""

    def warning(self, text: str, **fields: object) -> None:
        """Log a message about a failure."""


async def supervise(
    name: str,
    run: Callable[[], Awaitable[object]],
    log: Logger,
    passed_on: tuple[type[Exception], ...] = (),
) -> object:
    """Run a background task and start it again after an unexpected error.

    Without this, one message that a task cannot handle would end the process, and then
    each process that receives the same message.

    Parameters
    ----------
    name : str
        Name of the task, for the log.
    run : callable
        Starts the task; called again after each error.
    log : Logger
        Logger for the errors.
    passed_on : tuple of exception types, default=()
        Errors that are raised to the caller.

    Returns
    -------
    object
        Result of the task, once it ends without an error.
    """
    while True:
        try:
            return await run()
        except passed_on:
            raise
        except Exception as exc:
            log.warning(
                "Task failed; starting it again",
                task_name=name,
                why=f"{type(exc).__name__}: {exc}",
                trace=traceback.format_exc(limit=-6),
            )
        await asyncio.sleep(RESTART_DELAY_S)
