"""Callers that submit jobs, cancel some of them and poll the others."""

import asyncio
import random

import aiohttp

from ._cell import KEYS
from ._worker import STANDING_PAYLOAD

__all__ = ["Caller"]

MAX_ATTEMPTS = 8
RETRY_INTERVAL_S = 0.4
CANCEL_PROBABILITY = 0.1
REQUEST_TIMEOUT_S = 3.0
SUBMIT_TIMEOUT_S = 30.0
MAX_STANDING_PER_WORKER = 3
"""Standing tasks of one job per worker, so that they spread over the workers."""


class Caller:
    """Client that sends requests to randomly chosen entries.

    Parameters
    ----------
    cell : Cell
        Cell whose entries are called.
    rng : random.Random
        Generator of all random choices.
    """

    def __init__(self, cell, rng: random.Random):
        self.cell = cell
        self.rng = rng

    async def call(self, method, job, body=None):
        """Send a request to a random entry; return its status and body.

        The status is None if there was no response.
        """
        entry = self.rng.choice(self.cell.entries)
        url = f"{entry.front_url}/q/{job}"
        headers = {"Host": "h", "Key": KEYS["t"]}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self.cell.session.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as resp:
                return resp.status, await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None, b""

    async def submit(self):
        """Submit a job, retrying until it is accepted or attempts run out."""
        ledger = self.cell.ledger
        job = f"{self.rng.getrandbits(64):016x}"
        cpu = self.rng.choice((500, 1000, 2000))
        self.cell.cpu_by_job[job] = cpu
        steps = [{"Count": self.rng.randint(1, 4), "Cpu": cpu, "EstimateMs": 300}]
        if self.rng.random() < 0.3:
            steps.append({**steps[0], "DependsOn": [0]})
        for _ in range(MAX_ATTEMPTS):
            status, _ = await self.call("POST", job, {"Spec": job, "Steps": steps})
            if status == 200:
                ledger.accepted.add(job)
                break
            if status in (429, 503):
                ledger.rejected.add(job)
            else:
                ledger.uncertain.add(job)
            await asyncio.sleep(RETRY_INTERVAL_S)
        else:
            return
        if self.rng.random() < CANCEL_PROBABILITY:
            ledger.cancelled.add(job)
            await self.call("DELETE", job)

    async def submit_standing(self, job, count, cpu):
        """Submit a job whose tasks run until it is cancelled.

        Raises
        ------
        TimeoutError
            If it is not accepted in time.
        """
        ledger = self.cell.ledger
        self.cell.cpu_by_job[job] = cpu
        step = {"Count": count, "Cpu": cpu, "EstimateMs": 300}
        step |= {"LongRunning": True, "AntiAffinity": MAX_STANDING_PER_WORKER}
        body = {"Spec": STANDING_PAYLOAD, "Steps": [step]}
        ledger.uncertain.add(job)
        async with asyncio.timeout(SUBMIT_TIMEOUT_S):
            while (await self.call("POST", job, body))[0] != 200:
                await asyncio.sleep(RETRY_INTERVAL_S)
        ledger.standing_tasks.update(f"{job}.0.0.{index}" for index in range(count))

    async def is_completed(self, job):
        """Return whether an entry reports the job as completed."""
        status, body = await self.call("GET", job)
        if status == 410:
            self.cell.ledger.violations.append(f"LOST {job}: answered 410")
        return status == 200 and b"completed" in body
