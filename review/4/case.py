"""A job runs although its cancelling was answered with 410 before."""

import asyncio
import json
import signal
from pathlib import Path

from review.common.cell import Cell, Entry, SetupError
from review.common.main import run_case

EXECUTORS = 10
FROZEN_S = 4.0
LEFT_AFTER_S = 0.4
CANCEL_S = 3.0
JOBS = 5
OTHER_JOBS = 15
TASK_MS = 500


async def case(cell: Cell, has_trouble: bool) -> list[str]:
    """Cancel jobs whose submission got no answer from a frozen machine."""
    await cell.start(
        [(f"i-{n}", "s-q", ["a", f"r1-{n // 5}"], 16000) for n in range(EXECUTORS)]
    )
    leader = cell.leader()
    frozen = next(entry for entry in cell.entries if entry is not leader)
    if has_trouble:
        frozen.send(signal.SIGSTOP)
        cell.record.write(f"edge-{frozen.number} is frozen; edge-{leader.number} leads")
    frozen_at = cell.record.now()
    others = [
        asyncio.ensure_future(submit_and_stay(cell, leader, f"{0xE1000 + number:016x}"))
        for number in range(OTHER_JOBS)
    ]
    cancelled = dict(
        await asyncio.gather(
            *(
                submit_and_cancel(cell, frozen, leader, f"{0xE0000 + number:016x}")
                for number in range(JOBS)
            )
        )
    )
    await asyncio.gather(*others)
    await asyncio.sleep(max(0.0, frozen_at + FROZEN_S - cell.record.now()))
    if has_trouble:
        frozen.send(signal.SIGCONT)
        cell.record.write(f"edge-{frozen.number} runs again")
    await asyncio.sleep(6)
    return find_late_starts(cell, cancelled)


async def submit_and_stay(cell: Cell, entry: Entry, job: str) -> None:
    """Submit a job and keep it, as most clients do."""
    step = {"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimateMs": TASK_MS}
    message = {"Spec": json.dumps({"ms": TASK_MS}), "Steps": [step]}
    await cell.call(entry, "POST", f"/q/{job}", message)


async def submit_and_cancel(
    cell: Cell, first: Entry, second: Entry, job: str
) -> tuple[str, float]:
    """Submit a job at one entry, leave, and cancel it at another one.

    Returns the job and the time at which its cancelling was acknowledged.
    """
    step = {"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimateMs": TASK_MS}
    message = {"Spec": json.dumps({"ms": TASK_MS}), "Steps": [step]}
    await cell.call(first, "POST", f"/q/{job}", message, timeout_s=LEFT_AFTER_S)
    for _ in range(5):
        status, _ = await cell.call(second, "DELETE", f"/q/{job}")
        if status in (200, 410):
            return job, cell.record.now()
    raise SetupError(f"the cancelling of {job} got no answer")


def find_late_starts(cell: Cell, cancelled: dict[str, float]) -> list[str]:
    """Return the starts that come too late after a cancelling."""
    violations = []
    for executor in cell.executors.values():
        for run in executor.runs:
            acknowledged_at = cancelled.get(run.task.split(".")[0])
            if acknowledged_at is None:
                continue
            late_s = run.started_at - acknowledged_at
            if late_s > CANCEL_S:
                violations.append(
                    f"UNASKED: {run.task} starts {late_s:.2f} s after the cancelling "
                    "of its job was acknowledged"
                )
    return violations


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
