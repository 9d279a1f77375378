"""One randomized soak run, and the command that runs many seeds."""

import argparse
import asyncio
import random
import shutil
import tempfile
from pathlib import Path

from ._callers import Caller
from ._cell import Cell
from ._faults import FaultInjector

__all__ = ["main", "run_seed"]

JOBS_PER_S = 4.0
STANDING_JOB = "5" * 16
STANDING_TASKS = 6
STANDING_CPU_MILLI = 500
COMPLETION_TIMEOUT_S = 90.0
"""Limit for accepted jobs to complete after the last fault."""


async def run_seed(seed, folder, fault_count=6, mean_interval_s=1.0):
    """Run the soak with one seed.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    folder : Path
        Directory for settings and log files.
    fault_count : int, default=6
        Number of faults.
    mean_interval_s : float, default=1.0
        Mean time between the starts of two faults, in seconds.

    Returns
    -------
    list of str
        Violated guarantees, and jobs that did not complete in time.
    """
    rng = random.Random(seed)
    cell = Cell(folder, rng)
    caller = Caller(cell, random.Random(rng.random()))
    injector = FaultInjector(
        cell,
        random.Random(rng.random()),
        random.Random(f"evacuation {seed}"),
        random.Random(f"cut {seed}"),
    )
    try:
        await cell.start()
        await caller.submit_standing(STANDING_JOB, STANDING_TASKS, STANDING_CPU_MILLI)
        injection = asyncio.ensure_future(injector.run(fault_count, mean_interval_s))
        submissions = []
        while not injection.done():
            submissions.append(asyncio.ensure_future(caller.submit()))
            await asyncio.sleep(rng.expovariate(JOBS_PER_S))
        await injection
        await asyncio.gather(*submissions)
        await _wait_until_completed(cell, caller)
    finally:
        await cell.stop()
    ledger = cell.ledger
    ledger.check_rejected()
    for line in ledger.late_acknowledgements:
        print(f"seed {seed}: {line}", flush=True)
    if not ledger.accepted or not ledger.runs:
        ledger.violations.append("IDLE: no job was accepted and run")
    label = f"seed {seed} ({', '.join(injector.injected)})"
    return [f"{label}: {line}" for line in ledger.violations]


async def _wait_until_completed(cell, caller):
    """Wait until accepted jobs are completed and standing tasks run again.

    Cancelled jobs are left out.
    """
    ledger = cell.ledger
    pending_jobs = ledger.accepted - ledger.cancelled
    try:
        async with asyncio.timeout(COMPLETION_TIMEOUT_S):
            while pending_jobs or ledger.stopped_standing_tasks():
                for job in sorted(pending_jobs):
                    if await caller.is_completed(job):
                        pending_jobs.discard(job)
                await asyncio.sleep(0.1)
    except TimeoutError:
        ledger.violations += [f"NOT COMPLETED {job}" for job in sorted(pending_jobs)]
        ledger.violations += [
            f"NOT RUNNING {task}" for task in ledger.stopped_standing_tasks()
        ]


def main():
    """Run seeds one after another and print the violations."""
    parser = argparse.ArgumentParser(description="Fault soak with real processes.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--faults", type=int, default=8, help="faults per run")
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = asyncio.run(run_seed(seed, folder, args.faults))
        failed += bool(violations)
        if violations:
            print(f"  logs of the entries: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
        print(f"seed {seed}: {'ok' if not violations else 'BROKEN'}", flush=True)
        for line in violations:
            print(f"  {line}", flush=True)
    return 1 if failed else 0
