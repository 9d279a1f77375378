"""One randomised run, and the command that plays many."""

import argparse
import asyncio
import random
import shutil
import tempfile
from pathlib import Path

from ._callers import Caller
from ._cell import Cell
from ._faults import Faults

__all__ = ["main", "play"]

JOBS_A_S = 4.0
FINISH_S = 90.0
"""Seconds after the last fault within which accepted jobs have to be completed."""


async def play(seed, folder, faults=6, gap_s=1.0):
    """Play one run.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    folder : Path
        Where logs are put.
    faults : int
        Number of faults.
    gap_s : float
        Seconds between two, on average.

    Returns
    -------
    list of str
        Broken promises, and jobs that were not completed in time.
    """
    rng = random.Random(seed)
    cell = Cell(folder, rng)
    caller = Caller(cell, random.Random(rng.random()))
    chaos = Faults(cell, random.Random(rng.random()))
    try:
        await cell.start()
        harm = asyncio.ensure_future(chaos.run(faults, gap_s))
        callers = []
        while not harm.done():
            callers.append(asyncio.ensure_future(caller.hand_in()))
            await asyncio.sleep(rng.expovariate(JOBS_A_S))
        await harm
        await asyncio.gather(*callers)
        await _finish(cell, caller)
    finally:
        await cell.stop()
    ledger = cell.ledger
    ledger.check_refused()
    if not ledger.accepted or not ledger.runs:
        ledger.broken.append("IDLE: no job was accepted and run")
    told = f"seed {seed} ({', '.join(chaos.done)})"
    return [f"{told}: {line}" for line in ledger.broken]


async def _finish(cell, caller):
    """Wait until all accepted jobs are completed."""
    ledger = cell.ledger
    open_jobs = ledger.accepted - ledger.cancelled
    try:
        async with asyncio.timeout(FINISH_S):
            while open_jobs:
                for job in sorted(open_jobs):
                    if await caller.is_completed(job):
                        open_jobs.discard(job)
                await asyncio.sleep(0.1)
    except TimeoutError:
        ledger.broken += [f"NOT COMPLETED {job}" for job in sorted(open_jobs)]


def main():
    """Play seeds one after the other; print what was broken."""
    parser = argparse.ArgumentParser(description="Fault soak with real processes.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="how many")
    parser.add_argument("--faults", type=int, default=8, help="faults a run")
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        broken = asyncio.run(play(seed, folder, args.faults))
        failed += bool(broken)
        if broken:
            print(f"  logs of the entries: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
        print(f"seed {seed}: {'ok' if not broken else 'BROKEN'}", flush=True)
        for line in broken:
            print(f"  {line}", flush=True)
    return 1 if failed else 0
