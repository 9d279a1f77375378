"""A task must not run twice when its queue has moved to another service."""

import asyncio
import os
import signal
import sys

from cell import Cell, new_record, route, run_case, tenant

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_S = 5.5
STOP_AFTER_S = 0.3
TASK_S = 14.0


def find_overlaps(record):
    """Return the pairs of runs of one task that ran at the same time."""
    ends = {
        (f["task"], f["run"], f["at"], f["born"]): at for at, f in record.find("end")
    }
    runs = [
        (at, ends.get((f["task"], f["run"], f["at"], f["born"]), float("inf")), f)
        for at, f in record.find("start")
    ]
    return [
        (one, other)
        for one in runs
        for other in runs
        if one[2]["task"] == other[2]["task"] and one[0] < other[0] < one[1]
    ]


async def move_queue(cell, tenants):
    """Remove the queue, and add it again for the other service."""
    other = route("other", "svc-a")
    services = ["svc-a", "svc-b"]
    cell.configure([other], services, tenants)
    await asyncio.sleep(3)
    cell.configure([other, route("q", "svc-b")], services, tenants)
    await asyncio.sleep(3)


async def disrupt(cell, executor):
    """Cut an executor off, and stop the leader's process gracefully meanwhile."""
    leader = cell.leader()
    executor.is_cut = True
    cell.record.add("cut", id=executor.name, for_s=CUT_S)
    await asyncio.sleep(STOP_AFTER_S)
    cell.signal(leader, signal.SIGTERM)
    await asyncio.sleep(CUT_S - STOP_AFTER_S)
    executor.is_cut = False
    cell.record.add("healed", id=executor.name)


async def play(record):
    """Run the case and return its exit code."""
    async with Cell(record, entries=4) as cell:
        for number in range(6):
            await cell.add_executor(f"i-a{number:07x}", "svc-a", ["a", "r1-1"])
            await cell.add_executor(f"i-b{number:07x}", "svc-b", ["a", "r1-2"])
        tenants = [tenant("t", "key-t")]
        first = [route("other", "svc-a"), route("q", "svc-a")]
        cell.configure(first, ["svc-a", "svc-b"], tenants)
        await cell.start_entries()
        await asyncio.sleep(4)
        job = cell.job_id()
        cell.plan.durations_s[job] = TASK_S
        step = {"Count": 1, "Cpu": 2000, "MemMb": 512, "EstimateMs": 14000}
        _, status = await cell.submit("q", "key-t", [step], job)
        if status != 200:
            return 2
        await asyncio.sleep(1.5)
        await move_queue(cell, tenants)
        starts, ends = record.find("start"), record.find("end")
        if len(starts) != 1 or ends or cell.leader() is None:
            return 2
        if TROUBLE:
            await disrupt(cell, cell.executors[starts[0][1]["at"]])
        await asyncio.sleep(6)
        overlaps = find_overlaps(record)
        for one, other in overlaps:
            record.add("overlap", first=one[2]["run"], second=other[2]["run"])
    return 1 if overlaps else 0


if __name__ == "__main__":
    sys.exit(run_case(play, new_record(__file__)))
