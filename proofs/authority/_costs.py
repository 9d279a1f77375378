"""What the bound on authority costs in outages, as the model shows it."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from ._cell import Cell, CellShape, SimulatedEntry
from ._network import Cut, LinkKind, NetworkPlan
from ._run import WARM_UP_S, close

__all__ = ["COSTS", "Cost", "measure"]

SAMPLE_S = 0.05
CLAIM_CHECK_S = 0.005
AFTER_S = 15.0
OUTAGE_S = 20.0
LONG_CUT_S = 180.0
POWER_LOSS_S = 3.0
RESTART_S = 1.0
SHAPE = CellShape(chains=0, mean_run_s=4.0, plan=NetworkPlan(0.0, 0.0))


class Cost(msgspec.Struct):
    """Cost of an outage.

    Parameters
    ----------
    name : str
        Outage.
    seed : int
        Seed of the run.
    without_leader_s, longest_without_leader_s : float
        Seconds in which no leader could act, in all and at a stretch.
    longest_wait_s : float
        Longest time in seconds in which a standing task did not run.
    starts : int
        Runs started.
    failures : dict
        First violation of each invariant.
    """

    name: str
    seed: int
    without_leader_s: float = 0.0
    longest_without_leader_s: float = 0.0
    longest_wait_s: float = 0.0
    starts: int = 0
    failures: dict[str, str] = {}


def _can_act(cell: Cell) -> bool:
    return any(
        entry.leader.authority.is_valid(entry.clock.now()) for entry in cell.leaders()
    )


def _cut(cell: Cell, side: set[str], *kinds: LinkKind) -> None:
    cell.network.cuts.append(Cut(frozenset(side), frozenset(kinds)))


async def _lose_store(cell: Cell) -> None:
    cell.memory.is_down = True
    await asyncio.sleep(OUTAGE_S)
    cell.memory.is_down = False


async def _lose_store_and_entry(cell: Cell) -> None:
    silent = next(e for e in cell.entries.values() if e is not cell.leaders()[-1])
    _cut(cell, {silent.name}, LinkKind.ENTRY)
    await _lose_store(cell)


async def _lose_store_and_restart_entry(cell: Cell) -> None:
    restarted = next(e for e in cell.entries.values() if e is not cell.leaders()[-1])
    cell.network.after(OUTAGE_S / 2, restarted.kill)
    cell.network.after(OUTAGE_S / 2 + RESTART_S, restarted.boot)
    await _lose_store(cell)


async def _kill_leader_beside_silent_worker(cell: Cell) -> None:
    _cut(cell, {"w1"}, LinkKind.WORKER)
    cell.leaders()[-1].kill()
    await asyncio.sleep(OUTAGE_S)


async def _cut_data_centre(cell: Cell) -> None:
    leader = cell.leaders()[-1]
    other = next(e for e in cell.entries.values() if e is not leader)
    _cut(cell, {leader.name, other.name, "w1", "w2"}, *LinkKind)
    await asyncio.sleep(LONG_CUT_S)


async def _cut_other_data_centre(cell: Cell) -> None:
    leader = cell.leaders()[-1]
    other = next(e for e in cell.entries.values() if e is not leader)
    _cut(cell, {other.name, "w1", "w2"}, *LinkKind)
    await asyncio.sleep(LONG_CUT_S)


async def _lose_leader(cell: Cell) -> SimulatedEntry:
    """End the leader and return its successor as soon as that one leads."""
    lost = cell.leaders()[-1]
    lost.kill()
    while not cell.leaders():
        await asyncio.sleep(CLAIM_CHECK_S)
    return cell.leaders()[-1]


async def _lose_store_after_claim(cell: Cell) -> None:
    await _lose_leader(cell)
    await _lose_store(cell)


async def _lose_power_after_claim(cell: Cell) -> None:
    await _lose_leader(cell)
    await _lose_power(cell)


async def _lose_power(cell: Cell) -> None:
    lost = cell.leaders()[-1]
    others = [entry for entry in cell.entries.values() if entry is not lost]
    _cut(cell, {lost.name}, *LinkKind)
    for entry in cell.entries.values():
        if entry.process is not None:
            entry.kill()
    await asyncio.sleep(POWER_LOSS_S)
    for entry in others:
        entry.boot()
    await asyncio.sleep(OUTAGE_S)


COSTS: dict[str, Callable[[Cell], Awaitable[None]]] = {
    "store down for 20 s": _lose_store,
    "store down for 20 s, one entry silent": _lose_store_and_entry,
    "store down for 20 s, one entry restarts": _lose_store_and_restart_entry,
    "leader killed beside a silent worker": _kill_leader_beside_silent_worker,
    "data centre of the leader cut off for 180 s": _cut_data_centre,
    "another data centre cut off for 180 s": _cut_other_data_centre,
    "power loss of all entries, the leader never returns": _lose_power,
    "power loss of all entries right after a change of the leader": (
        _lose_power_after_claim
    ),
    "store down for 20 s right after a change of the leader": _lose_store_after_claim,
}


def measure(name: str, seed: int) -> Cost:
    """Play an outage and return its cost."""
    cell = Cell(seed, SHAPE)
    cost = Cost(name, seed)

    async def sample() -> None:
        stretch_s = 0.0
        missing_s: dict = {}
        while True:
            await asyncio.sleep(SAMPLE_S)
            stretch_s = 0.0 if _can_act(cell) else stretch_s + SAMPLE_S
            cost.without_leader_s += SAMPLE_S if stretch_s else 0.0
            cost.longest_without_leader_s = max(
                cost.longest_without_leader_s, stretch_s
            )
            running = {task for w in cell.workers.values() for task in w.running()}
            for task in cell.standing_tasks():
                waited_s = 0.0 if task in running else missing_s.get(task, 0) + SAMPLE_S
                missing_s[task] = waited_s
                cost.longest_wait_s = max(cost.longest_wait_s, waited_s)

    async def run() -> None:
        cell.boot()
        await asyncio.sleep(WARM_UP_S)
        starts = cell.starts_
        sampling = asyncio.ensure_future(sample())
        await COSTS[name](cell)
        cell.network.cuts.clear()
        await asyncio.sleep(AFTER_S)
        sampling.cancel()
        cost.starts = cell.starts_ - starts
        await close(cell)

    with cell.patched():
        cell.loop.run_until_complete(run())
        cell.loop.close()
    cost.failures = cell.failures_
    return cost
