"""A job must not be shown as failed because its executor goes down and up by turns."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "11"))

from cell import Cell, new_record, route, run_case, tenant  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXECUTORS = 30
FLAPPING = 3
PERIOD_S = 1.3
FLAP_S = 6.5
OFFSET_S = 0.4
TASK_S = 2.0
WATCH_S = 30.0
POLICY = {"DecideMs": 100.0, "EachMs": 1.0, "ValidMs": 1500}


async def flap(executor, after_s):
    """Let an executor go down and up by turns for a while."""
    loop = asyncio.get_running_loop()
    begun_at = loop.time() + after_s
    for number in range(int(FLAP_S / PERIOD_S) + 1):
        for change, share in ((executor.crash, 0.0), (executor.start, 0.5)):
            at = begun_at + (number + share) * PERIOD_S
            await asyncio.sleep(max(0.0, at - loop.time()))
            await change()


async def final_state(cell, job, deadline):
    """Return the state of a job once it is final, or the one it has at the end."""
    loop = asyncio.get_running_loop()
    state = ""
    while loop.time() < deadline and state not in ("completed", "failed", "cancelled"):
        await asyncio.sleep(0.5)
        state = await cell.state("q", "key-t", job)
    return state


async def play(record):
    """Run the case and return its exit code."""
    async with Cell(record, policy=POLICY, further=', "health"') as cell:
        for number in range(EXECUTORS):
            kind = f"k{number}" if number < FLAPPING else "a"
            rack = f"r1-{number // 5 + 1}"
            await cell.add_executor(f"i-{number:08x}", "svc", [kind, rack])
        cell.configure(
            [route("q", "svc", Advice=POLICY)], ["svc"], [tenant("t", "key-t")]
        )
        await cell.start_entries()
        await asyncio.sleep(2)
        troubles = []
        if TROUBLE:
            names = list(cell.executors)[:FLAPPING]
            troubles = [
                asyncio.ensure_future(flap(cell.executors[name], number * OFFSET_S))
                for number, name in enumerate(names)
            ]
        await asyncio.sleep(0.3)
        jobs = []
        for number in range(FLAPPING):
            step = {"Count": 1, "Cpu": 2000, "MemMb": 512, "EstimateMs": 2000}
            job = cell.job_id()
            cell.plan.durations_s[job] = TASK_S
            _, status = await cell.submit(
                "q", "key-t", [{**step, "Requires": f"k{number}"}], job
            )
            if status != 200:
                return 2
            jobs.append(job)
        await asyncio.gather(*troubles)
        deadline = asyncio.get_running_loop().time() + WATCH_S
        states = await asyncio.gather(
            *(final_state(cell, job, deadline) for job in jobs)
        )
    if TROUBLE and len(record.find("executor-crash")) < FLAPPING:
        return 2
    ended = [fields for _, fields in record.find("end")]
    is_broken = False
    for job, state in zip(jobs, states, strict=True):
        mine = [item for item in ended if item["task"].startswith(job)]
        failed = sum(item["how"] == "failed" for item in mine)
        record.add("verdict", job=job, state=state, runs=len(mine), failed_runs=failed)
        is_broken = is_broken or (state == "failed" and not failed)
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play, new_record(__file__)))
