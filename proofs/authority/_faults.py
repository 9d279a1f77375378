"""Faults of a simulated cell, at random times and for random durations."""

import asyncio
from collections import Counter

from ._cell import NO_TASK_TWICE, STORE, Cell, SimulatedEntry
from ._network import Cut, LinkKind

__all__ = ["Faults"]

MAX_CUTS = 3
FAULT_INTERVAL_S = (0.3, 4.0)
DURATION_S = (0.4, 14.0)
MAX_PAUSE_S = 9.0
MAX_ENTRIES = 6
CHAIN_INTERVAL_S = 4.0


class Faults:
    """Injects faults into a cell.

    Parameters
    ----------
    cell : Cell
        Cell.

    Attributes
    ----------
    counts : Counter
        Injected faults, by kind.
    """

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.rng = cell.rng
        self.counts: Counter = Counter()
        self._tasks: set[asyncio.Task] = set()
        self._kinds = {
            self._cut_with_leader: 10,
            self._take_store_down: 2,
            self._pause_leader: 2,
            self._pause_entry: 1,
            self._kill_leader: 3,
            self._kill_entry: 2,
            self._resign: 1,
            self._add_entry: 1,
            self._crash_worker: 5,
        }

    async def run(self, duration_s: float) -> None:
        """Inject faults for a time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        next_chain_at = loop.time()
        while loop.time() < end and NO_TASK_TWICE not in self.cell.failures_:
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
            if loop.time() >= next_chain_at:
                next_chain_at = loop.time() + CHAIN_INTERVAL_S
                self.cell.submit_chain()
            [kind] = self.rng.choices(
                list(self._kinds), weights=list(self._kinds.values())
            )
            kind()

    def _count(self, kind: str, detail: str) -> None:
        self.counts[kind] += 1
        self.cell.note("FAULT", f"{kind} {detail}")

    def _later(self, delay_s: float, callback, *args) -> None:
        self.cell.network.after(delay_s, callback, *args)

    def _duration_s(self) -> float:
        return self.rng.uniform(*DURATION_S)

    def _leader(self) -> SimulatedEntry | None:
        """Return a leader: mostly the latest, at times one that it has replaced."""
        leaders = self.cell.leaders()
        if not leaders:
            return None
        return leaders[-1] if self.rng.random() < 0.8 else self.rng.choice(leaders)

    # Kinds

    def _cut_with_leader(self) -> None:
        leader = self._leader()
        if leader is None or len(self.cell.network.cuts) >= MAX_CUTS:
            return
        ratio = self.rng.choice([0.0, 0.3, 0.6])
        machines = [*self.cell.entries, *self.cell.workers]
        side = {name for name in machines if self.rng.random() < ratio}
        side.add(leader.name)
        kinds = self.rng.choice(
            [
                {LinkKind.STORE},
                {LinkKind.STORE, LinkKind.WORKER},
                {LinkKind.ENTRY, LinkKind.WORKER},
                set(LinkKind),
                set(LinkKind),
                set(LinkKind),
            ]
        )
        cut = Cut(frozenset(side), frozenset(kinds))
        self._count("cut", f"{sorted(side)} {sorted(kind.value for kind in kinds)}")
        self.cell.network.cuts.append(cut)
        self._later(self._duration_s(), self._heal, cut)

    def _heal(self, cut: Cut) -> None:
        self.cell.network.cuts.remove(cut)
        self.cell.note("FAULT", f"healed {sorted(cut.side)}")

    def _take_store_down(self) -> None:
        if self.cell.memory.is_down:
            return
        duration_s = self._duration_s()
        self._count("store down", f"{duration_s:.1f}")
        self.cell.memory.is_down = True
        self._later(duration_s, self._bring_store_up)

    def _bring_store_up(self) -> None:
        self.cell.memory.is_down = False
        self.cell.note("FAULT", f"{STORE} up")

    def _pause_leader(self) -> None:
        self._pause(self._leader())

    def _pause_entry(self) -> None:
        self._pause(self.rng.choice(list(self.cell.entries.values())))

    def _pause(self, entry: SimulatedEntry | None) -> None:
        if entry is None or entry.process is None:
            return
        duration_s = self.rng.uniform(0.1, MAX_PAUSE_S)
        self._count("pause", f"{entry.name} {duration_s:.1f}")
        entry.process.paused_until = self.cell.loop.time() + duration_s

    def _kill_leader(self) -> None:
        self._kill(self._leader())

    def _kill_entry(self) -> None:
        self._kill(self.rng.choice(list(self.cell.entries.values())))

    def _kill(self, entry: SimulatedEntry | None) -> None:
        alive = [other for other in self.cell.entries.values() if other.process]
        if entry is None or entry.process is None or len(alive) < 3:
            return
        self._count("kill", entry.name)
        entry.kill()
        self._later(self.rng.uniform(0.3, 8.0), self._boot_entry, entry)

    def _boot_entry(self, entry: SimulatedEntry) -> None:
        self.cell.note("FAULT", f"boots {entry.name}")
        entry.boot()

    def _resign(self) -> None:
        entry = self._leader()
        if entry is None:
            return
        self._count("resign", entry.name)
        task = entry.process.spawn(entry.node.stop())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._later(1.0, self._restart_after_stop, entry, entry.process)

    def _restart_after_stop(self, entry: SimulatedEntry, process) -> None:
        if entry.process is process:
            entry.kill()
            self._later(self.rng.uniform(0.3, 3.0), self._boot_entry, entry)

    def _add_entry(self) -> None:
        if len(self.cell.entries) >= MAX_ENTRIES:
            return
        name = f"e{len(self.cell.entries) + 1}"
        self._count("join", name)
        self.cell.add_entry(name)

    def _crash_worker(self) -> None:
        worker = self.rng.choice(list(self.cell.workers.values()))
        if worker.process is None:
            return
        self._count("worker crash", worker.name)
        worker.crash()
        self._later(self.rng.uniform(0.1, 3.0), self._boot_worker, worker)

    def _boot_worker(self, worker) -> None:
        self.cell.note("FAULT", f"boots {worker.name}")
        self.cell.boot_worker(worker)
