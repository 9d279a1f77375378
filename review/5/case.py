"""Jobs that have not begun are missing in a queue's count of waiting jobs."""

import asyncio
import json
from pathlib import Path

from review.common.cell import Cell, SetupError
from review.common.main import run_case

EXECUTORS = 10
UNHEALTHY_S = 6.5
JOBS = 10
TASK_MS = 1500
VISIBLE_S = 3.0
MARGIN_S = 2.0


async def case(cell: Cell, has_trouble: bool) -> list[str]:
    """Ask for the count of waiting jobs while an executor rejects starts."""
    await cell.start(
        [
            (f"i-{n}", "s-q", ["a" if n else "b", f"r1-{n // 5}"], 16000)
            for n in range(EXECUTORS)
        ]
    )
    executor = cell.executors["i-0"]
    # Four fit at once, so that some have to wait in any case.
    step = {"Count": 1, "Cpu": 4000, "MemMb": 100, "EstimateMs": TASK_MS}
    step["Requires"] = "b"
    executor.is_unhealthy = has_trouble
    begun_at = cell.record.now()
    accepted: dict[str, float] = {}
    for number in range(JOBS):
        job = f"{0xC0000 + number:016x}"
        if not await cell.submit(job, [step], json.dumps({"ms": TASK_MS})):
            raise SetupError(f"job {job} was not accepted")
        accepted[job] = cell.record.now()
    violations = []
    while cell.record.now() < begun_at + UNHEALTHY_S:
        for entry in cell.entries:
            violation = await _check_count(cell, entry, accepted)
            if violation:
                violations.append(violation)
        await asyncio.sleep(0.25)
    executor.is_unhealthy = False
    await asyncio.sleep(8)
    states = [await cell.state(job) for job in accepted]
    cell.record.write(f"states at the end: {states}")
    return violations[:6]


async def _check_count(cell: Cell, entry, accepted: dict[str, float]) -> str | None:
    """Compare a count with the jobs that were due to be counted all the while."""
    due_at = cell.record.now() - VISIBLE_S - MARGIN_S
    status, body = await cell.call(entry, "GET", "/q/")
    if status != 200:
        return None
    shown = json.loads(body)["Waiting"]
    begun = {
        run.task.split(".")[0]
        for executor in cell.executors.values()
        for run in executor.runs
    }
    waiting = [job for job, at in accepted.items() if at <= due_at and job not in begun]
    if 2 * shown < len(waiting):
        return (
            f"MIXED: edge-{entry.number} gives {shown} as Waiting; {len(waiting)} jobs "
            f"accepted over {VISIBLE_S + MARGIN_S:.0f} s before have not begun"
        )
    return None


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
