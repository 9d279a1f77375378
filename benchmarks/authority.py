"""Seconds in which lasting tasks do not run, by kind of failure around the leader."""

import asyncio
import random
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from benchmarks.measure import report
from pimentomill.platform.tests.soak._callers import Caller
from pimentomill.platform.tests.soak._cell import Cell
from pimentomill.platform.tests.soak._network import Cut
from pimentomill.platform.tests.soak._proxy import NetworkFault

__all__ = ["run"]

SEED = 1
ENTRIES = 5
WORKERS = 6
TASKS = 9
CPU_MILLI = 500
START_TIMEOUT_S = 60.0
SETTLED_S = 4.0
OUTAGE_S = 20.0
CUT_S = 60.0
OBSERVATION_S = 15.0
SAMPLE_INTERVAL_S = 0.02

Fault = Callable[[Cell], Awaitable[None]]


class Observer:
    """Samples which lasting tasks run.

    Attributes
    ----------
    stopped_s : dict of str to float
        Longest time in seconds without a run, by task.
    """

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.stopped_s: dict[str, float] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        loop = asyncio.get_running_loop()
        since: dict[str, float] = {}
        while True:
            now = loop.time()
            stopped = self.cell.ledger.stopped_standing_tasks()
            for task in stopped:
                lasted_s = now - since.setdefault(task, now)
                self.stopped_s[task] = max(lasted_s, self.stopped_s.get(task, 0.0))
            since = {task: at for task, at in since.items() if task in stopped}
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def outage(cell: Cell) -> None:
    """Take the store down for all entries."""
    cell.store.is_down = True
    await asyncio.sleep(OUTAGE_S)
    cell.store.is_down = False


async def outage_beside_silent_entry(cell: Cell) -> None:
    """Take the store down while one entry that does not lead is stopped."""
    leader = cell.leader()
    other = next(entry for entry in cell.entries if entry is not leader)
    other.send_signal(signal.SIGSTOP)
    await outage(cell)
    other.send_signal(signal.SIGCONT)


async def outage_beside_killed_entry(cell: Cell) -> None:
    """Kill an entry that does not lead in the middle of an outage of the store."""
    leader = cell.leader()
    other = next(entry for entry in cell.entries if entry is not leader)
    cell.store.is_down = True
    await asyncio.sleep(OUTAGE_S / 2)
    await other.stop()
    await asyncio.sleep(OUTAGE_S / 2)
    cell.store.is_down = False


def occupied_proxy(cell: Cell):
    """Return the proxy of a worker that runs a task."""
    name = next(name for name, worker in cell.workers.items() if worker.running)
    return cell.proxies[name]


async def killed_leader_beside_silent_worker(cell: Cell) -> None:
    """Kill the leader while a worker falls silent for good."""
    occupied_proxy(cell).set_fault(NetworkFault.BLACKHOLE)
    await cell.leader().stop()


async def silent_leader_beside_silent_worker(cell: Cell) -> None:
    """Stop the leader while a worker falls silent for good."""
    occupied_proxy(cell).set_fault(NetworkFault.BLACKHOLE)
    cell.leader().send_signal(signal.SIGSTOP)


async def silent_worker(cell: Cell) -> None:
    """Let a worker fall silent for good."""
    occupied_proxy(cell).set_fault(NetworkFault.BLACKHOLE)


async def cut(cell: Cell) -> None:
    """Cut off the data centre of the leader."""
    inside = cell.leader().data_centre
    cell.network.start_cut(
        Cut(inside, NetworkFault.REJECT, NetworkFault.BLACKHOLE, True)
    )
    await asyncio.sleep(CUT_S)
    cell.network.end_cut()


FAULTS: tuple[Fault, ...] = (
    outage,
    outage_beside_killed_entry,
    outage_beside_silent_entry,
    silent_worker,
    killed_leader_beside_silent_worker,
    silent_leader_beside_silent_worker,
    cut,
)


async def measure(fault: Fault, folder: Path) -> tuple[dict[str, float], int]:
    """Return the longest stops of tasks and the number of double runs."""
    cell = Cell(folder, random.Random(SEED), ENTRIES, WORKERS)
    caller = Caller(cell, random.Random(SEED))
    observer = Observer(cell)
    try:
        await cell.start()
        await caller.submit_standing("a" * 16, TASKS, CPU_MILLI)
        async with asyncio.timeout(START_TIMEOUT_S):
            while cell.ledger.stopped_standing_tasks():
                await asyncio.sleep(SAMPLE_INTERVAL_S)
        await asyncio.sleep(SETTLED_S)
        sampling = asyncio.ensure_future(observer.run())
        await fault(cell)
        await asyncio.sleep(OBSERVATION_S)
        sampling.cancel()
    finally:
        await cell.stop()
    doubles = sum(line.startswith("TWICE") for line in cell.ledger.violations)
    return observer.stopped_s, doubles


def run() -> None:
    """Print for each failure how many tasks stop, how long, and the double runs."""
    for fault in FAULTS:
        with tempfile.TemporaryDirectory() as name:
            stopped_s, doubles = asyncio.run(measure(fault, Path(name)))
        label = fault.__name__
        report(f"{label}: tasks stopped of {TASKS}", len(stopped_s), "tasks")
        report(f"{label}: longest stop", max(stopped_s.values(), default=0.0), "s")
        report(f"{label}: double runs", doubles, "runs", 0)
