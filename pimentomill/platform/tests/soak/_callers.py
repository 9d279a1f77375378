"""Callers that hand jobs in, cancel some and ask for the rest."""

import asyncio
import random

import aiohttp

from ._cell import KEYS

__all__ = ["Caller"]

TRIES = 8
PAUSE_S = 0.4
CANCELLED_SHARE = 0.1
LIMIT_S = 3.0


class Caller:
    """Acts for both teams.

    Parameters
    ----------
    cell : Cell
        Whom to call.
    rng : random.Random
        Source of choices.
    """

    def __init__(self, cell, rng: random.Random):
        self.cell = cell
        self.rng = rng

    async def call(self, method, job, body=None):
        """Return the status at a random entry, None without an answer."""
        entry = self.rng.choice(self.cell.entries)
        url = f"{entry.front}/q/{job}"
        headers = {"Host": "h", "Key": KEYS["t"]}
        limit = aiohttp.ClientTimeout(total=LIMIT_S)
        try:
            async with self.cell.session.request(
                method, url, json=body, headers=headers, timeout=limit
            ) as resp:
                return resp.status, await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None, b""

    async def hand_in(self):
        """Hand a job in until it is accepted or the tries are used up."""
        ledger = self.cell.ledger
        job = f"{self.rng.getrandbits(64):016x}"
        cost = self.rng.choice((500, 1000, 2000))
        self.cell.costs[job] = cost
        steps = [{"Count": self.rng.randint(1, 4), "Cpu": cost, "EstimateMs": 300}]
        if self.rng.random() < 0.3:
            steps.append({**steps[0], "DependsOn": [0]})
        for _ in range(TRIES):
            status, _ = await self.call("POST", job, {"Spec": job, "Steps": steps})
            if status == 200:
                ledger.accepted.add(job)
                break
            if status in (429, 503):
                ledger.refused.add(job)
            else:
                ledger.uncertain.add(job)
            await asyncio.sleep(PAUSE_S)
        else:
            return
        if self.rng.random() < CANCELLED_SHARE:
            ledger.cancelled.add(job)
            await self.call("DELETE", job)

    async def is_completed(self, job):
        """Return whether a job is shown as completed."""
        status, body = await self.call("GET", job)
        if status == 410:
            self.cell.ledger.broken.append(f"LOST {job}: answered 410")
        return status == 200 and b"completed" in body
