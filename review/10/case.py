"""After a change of the leader, a tenant's limit is exceeded beside cancelled work."""

import asyncio
import secrets
import signal
from pathlib import Path

from harness import main

ENTRIES = 8
STOP_MS = 900
"""`StopMs` of batinah-roast."""
LIMIT_CPU = 16000
OVERRUN = 0.1
TASK_CPU = 1000
TASKS = 16
FREEZE_S = 4.0
CANCEL_AFTER_S = 0.2
TERM_AFTER_S = 0.3
SUBMIT_AFTER_S = 1.4
CUT_S = 5.5
KEY = "key-of-tenant"
PREFIX = "/queue/"


def job(spec):
    """Return the body of a job with one step that fills the tenant's limit."""
    step = {"Count": TASKS, "Cpu": TASK_CPU, "MemMb": 256, "EstimateMs": 8000}
    return {"Spec": spec, "Steps": [step]}


class Limit:
    """Check of the tenant's limit at each start."""

    def __init__(self, cell):
        self.cell = cell
        self.phase = "leader frozen"
        self.violations = []

    def check(self, run):
        """Compare what runs after a start with the limit."""
        used = sum(other.cpu for other in self.cell.runs)
        stopping = sum(other.cpu for other in self.cell.runs if other.is_stopping)
        allowed = LIMIT_CPU * (1 + OVERRUN) + TASK_CPU
        if used > allowed:
            self.violations.append(
                f"QUOTA ({self.phase}): start of {run.task} brings it to {used} "
                f"({stopping} of it being stopped), allowed {allowed:.0f}"
            )


class Phase:
    """A job that fills the tenant's limit, and one that waits for it."""

    def __init__(self, cell):
        self.cell = cell
        self.first = secrets.token_hex(8)
        self.second = secrets.token_hex(8)

    async def begin(self):
        """Hand the first job in and return the leader and another entry."""
        cell = self.cell
        await cell.submit(cell.entries, PREFIX, self.first, KEY, job("60"))
        await asyncio.sleep(2)
        if len(cell.running_of(self.first)) != TASKS:
            raise RuntimeError("the first job does not fill the limit")
        leader = await cell.leader()
        return leader, next(entry for entry in cell.entries if entry is not leader)

    async def submit_second(self, entry):
        """Hand the second job in."""
        if not await self.cell.submit([entry], PREFIX, self.second, KEY, job("1.5")):
            raise RuntimeError("the second job is not accepted")

    async def cancel(self, entry):
        """Cancel the first job."""
        await self.cell.call(entry, "DELETE", PREFIX, self.first, KEY)

    async def finish(self, entry):
        """Wait until the second job is completed."""
        for _ in range(30):
            await asyncio.sleep(0.5)
            state = await self.cell.state([entry], PREFIX, self.second, KEY)
            if state == "completed":
                return
        raise RuntimeError("the second job is not completed")


async def freeze_leader(cell, has_trouble):
    """Cancel the job while the leader stands still."""
    phase = Phase(cell)
    leader, other = await phase.begin()
    await phase.submit_second(other)
    await asyncio.sleep(1)
    if has_trouble:
        leader.send(signal.SIGSTOP)
        await asyncio.sleep(CANCEL_AFTER_S)
    await phase.cancel(other)
    if has_trouble:
        await asyncio.sleep(FREEZE_S - CANCEL_AFTER_S)
        leader.send(signal.SIGCONT)
    await phase.finish(other)
    await asyncio.sleep(1)


async def cut_executor(cell, has_trouble):
    """Cancel the job while an executor is cut off; then stop the leader's machine."""
    phase = Phase(cell)
    leader, other = await phase.begin()
    busiest = max(cell.executors, key=lambda executor: len(executor.running))
    busiest.is_cut = has_trouble
    cell.record.add(f"{busiest.name}: cut off is {has_trouble}")
    await asyncio.sleep(CANCEL_AFTER_S)
    await phase.cancel(other)
    await asyncio.sleep(TERM_AFTER_S)
    if has_trouble:
        leader.send(signal.SIGTERM)
    await asyncio.sleep(SUBMIT_AFTER_S)
    await phase.submit_second(other)
    await asyncio.sleep(CUT_S - CANCEL_AFTER_S - TERM_AFTER_S - SUBMIT_AFTER_S)
    busiest.is_cut = False
    await phase.finish(other)


async def case(cell, has_trouble):
    """Cancel jobs of a tenant at its limit around two changes of the leader."""
    route = {"Name": "queue", "PathPrefix": PREFIX, "Service": "svc"}
    route |= {"Priority": 0, "MaxAttempts": 4, "Stretch": 4.0, "TargetLatencyMs": 3000}
    limit = {"Cpu": LIMIT_CPU, "MemMb": 0, "Gpu": 0}
    tenant = {"Name": "tenant", "ApiKeys": [KEY], "Weight": 7, "MaxCount": limit}
    cell.configure([route], [tenant])
    for number in range(6):
        await cell.add_executor(f"i-{number}", 16000, ["a", f"r1-{number // 3}"])
    await cell.start_entries()
    check = Limit(cell)
    cell.on_start.append(check.check)
    await freeze_leader(cell, has_trouble)
    cell.record.add("second phase")
    check.phase = "executor cut off, leader stopped"
    await cut_executor(cell, has_trouble)
    return check.violations


if __name__ == "__main__":
    main(case, ENTRIES, Path(__file__).resolve().parent, STOP_MS)
