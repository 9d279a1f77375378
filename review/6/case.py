"""After a power loss of all machines, one of which never returns, nothing starts."""

import asyncio
import secrets
from pathlib import Path

from harness import main

ENTRIES = 7
POWER_OFF_S = 3.0
CALM_BEFORE_S = 4.0
CONTACT_S = 3.0
IDLE_S = 3.0
OBSERVED_S = 24.0
POLL_S = 0.1
KEY = "key-of-tenant"
PREFIX = "/queue/"


def new_id():
    """Return an ID as a client chooses it."""
    return secrets.token_hex(8)


def job(spec, count, **fields):
    """Return the body of a job with one step."""
    step = {"Count": count, "Cpu": 1000, "MemMb": 256, "EstimateMs": 700, **fields}
    return {"Spec": spec, "Steps": [step]}


async def cause_power_loss(cell):
    """Cut the power of all machines; all but the one that leads get it back."""
    lost = await cell.leader()
    await asyncio.gather(*(entry.kill() for entry in cell.entries))
    await lost.lose_power()
    await asyncio.sleep(POWER_OFF_S)
    await cell.start_entries([entry for entry in cell.entries if entry is not lost])


async def case(cell, has_trouble):
    """Look for accepted work that has nothing running for 3 s in a calm time."""
    route = {"Name": "queue", "PathPrefix": PREFIX, "Service": "svc"}
    route |= {"Priority": 0, "MaxAttempts": 4, "Stretch": 1.5, "TargetLatencyMs": 250}
    tenant = {"Name": "tenant", "ApiKeys": [KEY], "Weight": 7, "MaxCount": {}}
    cell.configure([route], [tenant])
    for number in range(6):
        await cell.add_executor(f"i-{number}", 16000, ["a", f"r1-{number // 3}"])
    await cell.start_entries()
    lasting = new_id()
    await cell.submit(
        cell.entries, PREFIX, lasting, KEY, job("lasts", 4, LongRunning=True)
    )
    await asyncio.sleep(4)
    if len(cell.running_of(lasting)) != 4:
        raise RuntimeError("the lasting job does not run before the disruption")
    if has_trouble:
        await cause_power_loss(cell)
    alive = [entry for entry in cell.entries if entry.is_alive]
    batch = new_id()
    if not await cell.submit(alive, PREFIX, batch, KEY, job("0.7", 6)):
        raise RuntimeError("no entry accepts a job")
    back_at = cell.record.now()
    calm_at = back_at + CONTACT_S + CALM_BEFORE_S
    violations = await observe(cell, (lasting, batch), calm_at, back_at + OBSERVED_S)
    for name in (lasting, batch):
        await cell.state(alive, PREFIX, name, KEY)
    return violations


async def observe(cell, jobs, calm_at, until):
    """Return the jobs of which nothing ran for 3 s after a calm time began."""
    idle_since = {}
    violations = {}
    while cell.record.now() < until:
        await asyncio.sleep(POLL_S)
        now = cell.record.now()
        for name in jobs:
            is_done = cell.jobs[name]["Spec"] != "lasts" and cell.started[name] >= 6
            if now < calm_at or is_done or cell.running_of(name):
                idle_since.pop(name, None)
                continue
            idle_s = now - idle_since.setdefault(name, now)
            if idle_s > IDLE_S:
                violations[name] = (
                    f"LOST: accepted job {name} ({cell.jobs[name]['Spec']}) had "
                    f"nothing running for {idle_s:.1f} s with all executors free"
                )
    return list(violations.values())


if __name__ == "__main__":
    main(case, ENTRIES, Path(__file__).resolve().parent)
