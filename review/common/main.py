"""Entry point of the cases."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .cell import Cell

__all__ = ["run_case"]

TIME_LIMIT_S = 110
HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_case(
    folder: Path, case: Callable[[Cell, bool], Awaitable[list[str]]], entries: int = 3
) -> None:
    """Run a case and exit with its result.

    Parameters
    ----------
    folder : Path
        Folder that receives `record.txt`.
    case : callable
        Plays the case in a cell that has not been started, with or without the
        disruption, and returns the violations.
    entries : int, default=3
        Number of entry processes.
    """
    try:
        result = asyncio.run(_run(folder, case, entries))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        result = NOT_RUN
    sys.exit(result)


async def _run(folder: Path, case, entries: int) -> int:
    # A termination signal ends the processes of the cell as well.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    cell = Cell(folder / "record.txt", entries)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    keep_logs = bool(os.environ.get("KEEP_LOGS"))
    cell.record.write(f"disruption: {'yes' if has_trouble else 'no'}")
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            violations = await case(cell, has_trouble)
    except Exception as exc:
        traceback.print_exc()
        cell.record.close(f"NOT RUN: {type(exc).__name__}: {exc}")
        return NOT_RUN
    finally:
        await cell.stop(keep_logs)
        if keep_logs:
            sys.stdout.write(f"logs: {cell.folder}\n")
    for violation in violations:
        cell.record.write(violation)
        sys.stdout.write(violation + "\n")
    cell.record.close("BROKEN" if violations else "HELD")
    return BROKEN if violations else HELD
