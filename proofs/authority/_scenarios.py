"""Scripted cuts around one change of the leader, each aimed at one rule."""

import asyncio
from collections.abc import Awaitable, Callable

from ._cell import Cell, CellShape, SimulatedEntry
from ._network import Cut, LinkKind, NetworkPlan

__all__ = ["SCENARIOS", "SCENARIO_SHAPE"]

SCENARIO_SHAPE = CellShape(
    entries=3,
    chains=0,
    mean_run_s=100.0,
    plan=NetworkPlan(late_ratio=0.0, lost_answer_ratio=0.0),
)
"""Small cell without random faults, whose runs hardly end by themselves."""
STEP_S = 0.01
CLAIM_TIMEOUT_S = 40.0
EXCLUSIVE = ("w1", "w2")
"""Workers that only the replaced leader reaches."""
JOINING = "e4"
"""Entry that joins."""
SHARED = "w3"
"""Worker that all entries reach."""


class _Script:
    """Steps that scenarios share."""

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.rng = cell.rng
        self.first = cell.leaders()[-1]
        self.others = [
            entry for entry in cell.entries.values() if entry is not self.first
        ]

    def cut(self, side, *kinds: LinkKind, exempt=()) -> Cut:
        """Separate machines from all others that are not exempt."""
        cut = Cut(frozenset(side), frozenset(kinds), frozenset(exempt))
        self.cell.network.cuts.append(cut)
        self.cell.note("FAULT", f"cut {sorted(side)} {sorted(k.value for k in kinds)}")
        return cut

    def heal(self, cut: Cut) -> None:
        """End a cut."""
        self.cell.network.cuts.remove(cut)

    def keep_workers(self, names=EXCLUSIVE) -> None:
        """Let only the first leader reach some workers, and no others."""
        for name in self.cell.workers:
            if name in names:
                self.cut({name}, LinkKind.WORKER, exempt={self.first.name})
            else:
                self.lose_worker(name)

    def lose_worker(self, name: str) -> None:
        """Cut a worker from the first leader."""
        exempt = {*self.cell.entries, JOINING} - {self.first.name}
        self.cut({name}, LinkKind.WORKER, exempt=exempt)

    async def successor(self, after_epoch: int) -> SimulatedEntry | None:
        """Wait for a leader of a later epoch."""
        end = self.cell.loop.time() + CLAIM_TIMEOUT_S
        while self.cell.loop.time() < end and not self.cell.failures_:
            leaders = self.cell.leaders()
            if leaders and leaders[-1].leader.record.epoch > after_epoch:
                return leaders[-1]
            await asyncio.sleep(STEP_S)
        return None

    def epoch(self) -> int:
        """Return the epoch of the first leader."""
        return self.first.leader.record.epoch


async def cut_leader_off(cell: Cell) -> None:
    """Leave a leader alone with some workers."""
    script = _Script(cell)
    script.keep_workers()
    script.cut({script.first.name}, LinkKind.STORE, LinkKind.ENTRY)
    await asyncio.sleep(10.0)


async def cut_store_off(cell: Cell) -> None:
    """Cut a leader and another entry from the store, but not from its successor."""
    script = _Script(cell)
    script.keep_workers()
    granting = script.rng.choice(script.others)
    script.cut({script.first.name, granting.name}, LinkKind.STORE)
    await asyncio.sleep(10.0)


async def lose_leader_behind_claimant(cell: Cell) -> None:
    """End the entry that replaces a leader; one that has joined follows."""
    script = _Script(cell)
    epoch, first = script.epoch(), script.first
    granting = script.rng.choice(script.others)
    script.keep_workers()
    script.cut({first.name, granting.name}, LinkKind.STORE)
    script.cut({JOINING}, LinkKind.ENTRY, exempt=_names(script.others))
    cell.add_entry(JOINING)
    claimant = await script.successor(epoch)
    if claimant is None:
        return
    await asyncio.sleep(script.rng.uniform(0.0, 0.3))
    claimant.kill()
    await script.successor(epoch + 1)
    await asyncio.sleep(8.0)


async def claim_after_grant(cell: Cell) -> None:
    """Let an entry reach the store after a grant, and end it after its claim."""
    script = _Script(cell)
    epoch, first = script.epoch(), script.first
    granting, claimant = script.rng.sample(script.others, 2)
    script.keep_workers()
    script.cut({first.name, granting.name}, LinkKind.STORE)
    alone = script.cut({claimant.name}, LinkKind.STORE)
    script.cut({JOINING}, LinkKind.ENTRY, exempt=_names(script.others))
    cell.add_entry(JOINING)
    await asyncio.sleep(script.rng.uniform(3.0, 6.0))
    script.heal(alone)
    if await script.successor(epoch) is not claimant:
        return
    claimant.kill()
    await script.successor(epoch + 1)
    await asyncio.sleep(8.0)


async def join_beside_outage(cell: Cell) -> None:
    """Start an entry that reaches the store but none of the others."""
    script = _Script(cell)
    epoch = script.epoch()
    script.keep_workers()
    script.cut(set(cell.entries), LinkKind.STORE)
    script.cut({JOINING}, LinkKind.ENTRY)
    await asyncio.sleep(script.rng.uniform(0.5, 3.0))
    cell.add_entry(JOINING)
    await script.successor(epoch)
    await asyncio.sleep(8.0)


async def lead_after_restart(cell: Cell) -> None:
    """Restart an entry that has granted; it replaces the leader unseen, and ends."""
    script = _Script(cell)
    epoch, first = script.epoch(), script.first
    restarted, granting = script.rng.sample(script.others, 2)
    script.cut({first.name, granting.name}, LinkKind.STORE)
    alone = script.cut({restarted.name}, LinkKind.STORE)
    await asyncio.sleep(script.rng.uniform(1.5, 3.0))
    restarted.kill()
    script.heal(alone)
    # The leader finds that the entry has ended.
    await asyncio.sleep(script.rng.uniform(1.2, 2.0))
    unseen = script.cut({restarted.name}, LinkKind.ENTRY)
    script.keep_workers()
    restarted.boot()
    if await script.successor(epoch) is not restarted:
        return
    await asyncio.sleep(script.rng.uniform(0.3, 1.0))
    restarted.kill()
    script.heal(unseen)
    await asyncio.sleep(8.0)


async def claim_after_restart(cell: Cell) -> None:
    """Restart an entry that has granted, and end it again once it leads."""
    script = _Script(cell)
    epoch, first = script.epoch(), script.first
    restarted, granting = script.rng.sample(script.others, 2)
    script.keep_workers()
    script.cut({first.name, granting.name}, LinkKind.STORE)
    alone = script.cut({restarted.name}, LinkKind.STORE)
    await asyncio.sleep(script.rng.uniform(1.8, 2.6))
    restarted.kill()
    script.heal(alone)
    unseen = script.cut({restarted.name}, LinkKind.ENTRY)
    restarted.boot()
    if await script.successor(epoch) is not restarted:
        return
    await asyncio.sleep(script.rng.uniform(0.1, 0.4))
    restarted.kill()
    script.heal(unseen)
    await asyncio.sleep(1.0)
    restarted.boot()
    await asyncio.sleep(8.0)


async def lose_worker_before_store(cell: Cell) -> None:
    """Cut a leader from workers, then from the store; its successor has them."""
    script = _Script(cell)
    for name in EXCLUSIVE:
        script.cut({name}, LinkKind.WORKER, exempt={script.first.name})
    for name in sorted(set(cell.workers) - set(EXCLUSIVE)):
        script.lose_worker(name)
    await asyncio.sleep(script.rng.uniform(0.9, 1.8))
    script.cut({script.first.name}, LinkKind.STORE, LinkKind.ENTRY)
    await asyncio.sleep(9.0)


async def end_runs_beside_claim(cell: Cell) -> None:
    """Report ends to a leader and to its successor, which miss different workers."""
    script = _Script(cell)
    epoch = script.epoch()
    for name in EXCLUSIVE:
        script.cut({name}, LinkKind.WORKER, exempt={script.first.name})
    await _claim_beside(script, epoch)
    await _end_runs(script)


async def restart_worker_beside_claim(cell: Cell) -> None:
    """Restart a worker that has answered a successor, and cut it from that one."""
    script = _Script(cell)
    name, epoch = EXCLUSIVE[0], script.epoch()
    script.lose_worker(EXCLUSIVE[1])
    await _claim_beside(script, epoch)
    script.cut({name}, LinkKind.WORKER, exempt={script.first.name})
    cell.workers[name].crash()
    await asyncio.sleep(script.rng.uniform(0.01, 0.1))
    cell.boot_worker(cell.workers[name])
    await asyncio.sleep(script.rng.uniform(0.2, 0.4))
    await _end_runs(script)


async def _claim_beside(script: _Script, epoch: int) -> None:
    """Cut a leader from the store and wait until a successor knows the workers.

    The leader shares one worker with it, so that it learns little of the successor.
    """
    for name in script.cell.workers:
        if name not in (*EXCLUSIVE, SHARED):
            script.lose_worker(name)
    script.cut({script.first.name}, LinkKind.STORE, LinkKind.ENTRY)
    await script.successor(epoch)
    await asyncio.sleep(script.rng.uniform(0.05, 0.2))


async def _end_runs(script: _Script) -> None:
    """End the runs of the worker that both leaders hold; they restart elsewhere."""
    shared = script.cell.workers[SHARED]
    shared.is_unhealthy = True
    shared.end_runs()
    await asyncio.sleep(8.0)


async def pause_after_append(cell: Cell) -> None:
    """Pause a leader between an append and its answer."""
    script = _Script(cell)
    epoch, first = script.epoch(), script.first
    script.keep_workers()
    await _wait_for_append(cell, epoch)
    first.process.paused_until = cell.loop.time() + script.rng.uniform(2.0, 4.0)
    script.cut({first.name}, LinkKind.STORE, LinkKind.ENTRY)
    await asyncio.sleep(10.0)


async def _wait_for_append(cell: Cell, epoch: int) -> None:
    """Wait until an append of an epoch has been carried out."""
    stored = asyncio.Event()
    append = cell.memory.append

    async def observed(stream, records, writer=None):
        done = await append(stream, records, writer)
        if writer is not None and writer.epoch == epoch:
            stored.set()
        return done

    cell.memory.append = observed
    await stored.wait()
    cell.memory.append = append


async def cut_claimant_off(cell: Cell) -> None:
    """Leave a leader alone with some workers before any entry has enrolled.

    An entry that its claim has named replaces it, in half of the cases after a restart.
    """
    script = _Script(cell)
    epoch = script.epoch()
    script.first.kill()
    claimant = await script.successor(epoch)
    if claimant is None:
        return
    await asyncio.sleep(script.rng.uniform(0.0, 0.1))
    script.first = claimant
    script.keep_workers()
    script.cut({claimant.name}, LinkKind.STORE, LinkKind.ENTRY)
    named = next(e for e in script.others if e is not claimant)
    if script.rng.random() < 0.5:
        await asyncio.sleep(script.rng.uniform(0.0, 0.5))
        named.kill()
        named.boot()
    await script.successor(epoch + 1)
    await asyncio.sleep(8.0)


def _names(entries: list[SimulatedEntry]) -> set[str]:
    return {entry.name for entry in entries}


SCENARIOS: dict[str, Callable[[Cell], Awaitable[None]]] = {
    "leader alone": cut_leader_off,
    "store lost": cut_store_off,
    "claimant ends": lose_leader_behind_claimant,
    "claim after grant": claim_after_grant,
    "join beside outage": join_beside_outage,
    "leads after restart": lead_after_restart,
    "claim after restart": claim_after_restart,
    "worker lost first": lose_worker_before_store,
    "ends beside claim": end_runs_beside_claim,
    "restart beside claim": restart_worker_beside_claim,
    "pause after append": pause_after_append,
    "claimant alone": cut_claimant_off,
}
