"""Faults of a simulated cell, at random times and for random durations."""

import asyncio
from collections import Counter

from ._cell import NO_TASK_TWICE, Cell, SimulatedEntry
from ._network import Cut, LinkKind

__all__ = ["Faults"]

GAP_S = (0.5, 3.0)
"""Pause between two episodes, in seconds."""
CUT_S = (1.5, 12.0)
LONG_CUT_S = (20.0, 32.0)
"""Duration of a cut that outlasts a leader without appends, in seconds."""
MAX_LEAD_S = 4.0
"""Longest time in seconds by which workers are cut off before the store."""
MAX_PAUSE_S = 9.0
MAX_ENTRIES = 6
MIN_ENTRIES_UP = 3


class Faults:
    """Injects faults into a cell.

    An episode separates a leader and some other machines from the store, some workers
    from all but that leader, and others from it, one after the other. Meanwhile
    processes pause, end and start. Episodes overlap.

    Parameters
    ----------
    cell : Cell
        Cell.
    stops_at_any : bool
        Whether to stop at a violation of any invariant, not only of the main one.

    Attributes
    ----------
    counts : Counter
        Injected faults, by kind.
    """

    def __init__(self, cell: Cell, stops_at_any: bool) -> None:
        self.cell = cell
        self.stops_at_any = stops_at_any
        self.rng = cell.rng
        self.counts: Counter = Counter()
        self._tasks: set[asyncio.Task] = set()
        self._kills_claimants = False
        cell.on_leader = self._on_leader

    async def run(self, duration_s: float) -> None:
        """Inject faults for a time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end and not self._has_failed():
            await asyncio.sleep(self.rng.uniform(*GAP_S))
            self.cell.submit_chain()
            episode_s = self._begin_episode()
            await asyncio.sleep(episode_s * self.rng.uniform(0.3, 1.1))

    def _has_failed(self) -> bool:
        failures = self.cell.failures_
        return bool(failures) if self.stops_at_any else NO_TASK_TWICE in failures

    def _happens(self, probability: float) -> bool:
        return self.rng.random() < probability

    def _count(self, kind: str, detail: str) -> None:
        self.counts[kind] += 1
        self.cell.note("FAULT", f"{kind} {detail}")

    def _later(self, delay_s: float, callback, *args) -> None:
        self.cell.network.after(max(0.0, delay_s), callback, *args)

    # Episodes

    def _begin_episode(self) -> float:
        """Plan the faults of an episode and return its duration in seconds."""
        leaders = self.cell.leaders()
        if not leaders:
            return 1.0
        leader = leaders[-1]
        rng = self.rng
        store_cut_s = rng.uniform(0.0, MAX_LEAD_S)
        self._kills_claimants = self._happens(0.4)
        plans = {
            self._plan_cut: 5,
            self._plan_staggered_cuts: 4,
            self._plan_long_cut: 1,
            self._plan_outage: 1,
        }
        [plan] = rng.choices(list(plans), weights=list(plans.values()))
        duration_s = plan(leader, store_cut_s)
        episode_s = store_cut_s + duration_s
        if self._happens(0.25):
            self._later(store_cut_s - 1.0, self._slow_store, rng.uniform(1.0, 4.0))
        self._plan_worker_cuts(leader, store_cut_s, episode_s)
        if self._happens(0.25):
            pause_s = rng.uniform(0.1, MAX_PAUSE_S)
            at_s = store_cut_s + rng.uniform(-0.3, 2.0)
            self._later(at_s, self._pause, leader, pause_s)
        for _ in range(rng.choice([0, 0, 1, 2, 4])):
            self._later(rng.uniform(0.0, episode_s), self._crash_worker)
        for probability, fault in (
            (0.15, self._kill_leader),
            (0.3, self._kill_entry),
            (0.1, self._restart_others),
            (0.1, self._pause_entry),
            (0.15, self._resign),
            (0.2, self._add_entry),
        ):
            if self._happens(probability):
                self._later(rng.uniform(0.0, episode_s), fault)
        return episode_s

    def _plan_cut(self, leader: SimulatedEntry, after_s: float) -> float:
        """Cut a leader and some entries from the store, and perhaps from the others."""
        duration_s = self.rng.uniform(*CUT_S)
        ratio = self.rng.choice([0.0, 0.4, 0.8])
        side = {name for name in self.cell.entries if self._happens(ratio)}
        side.add(leader.name)
        kinds = {LinkKind.STORE}
        if self._happens(0.5):
            kinds.add(LinkKind.ENTRY)
        if self._happens(0.3):
            kinds.add(LinkKind.WORKER)
            side |= {name for name in self.cell.workers if self._happens(0.5)}
        self._later(after_s, self._cut, side, kinds, set(), duration_s)
        return duration_s

    def _plan_staggered_cuts(self, leader: SimulatedEntry, after_s: float) -> float:
        """Cut entries from the store that reach it again one after the other."""
        duration_s = self.rng.uniform(*CUT_S)
        for name in self.cell.entries:
            share = 1.0 if name == leader.name else self.rng.uniform(0.0, 1.2)
            args = ({name}, {LinkKind.STORE}, set(), share * duration_s)
            self._later(after_s, self._cut, *args)
        return duration_s

    def _plan_long_cut(self, leader: SimulatedEntry, after_s: float) -> float:
        """Cut all entries from the store and from one that joins."""
        duration_s = self.rng.uniform(*LONG_CUT_S)
        kinds = {LinkKind.STORE, LinkKind.ENTRY}
        side = set(self.cell.entries)
        self._later(after_s, self._cut, side, kinds, set(), duration_s)
        self._later(after_s + self.rng.uniform(0.5, 4.0), self._add_entry)
        return duration_s

    def _plan_outage(self, leader: SimulatedEntry, after_s: float) -> float:
        """Take the store down for all."""
        duration_s = self.rng.uniform(*CUT_S)
        self._later(after_s, self._take_store_down, duration_s)
        return duration_s

    def _plan_worker_cuts(
        self, leader: SimulatedEntry, store_cut_s: float, episode_s: float
    ) -> None:
        """Cut workers from a leader, or from all other entries."""
        exclusive_ratio = self.rng.choice([0.0, 0.3, 0.5])
        lost_ratio = self.rng.choice([0.0, 0.3, 0.5])
        exempt = {leader.name}
        everyone = set(self.cell.entries) - exempt
        kinds = {LinkKind.WORKER}
        for name in self.cell.workers:
            after_s = self.rng.uniform(0.0, 2 * MAX_LEAD_S)
            if self._happens(0.6):
                after_s = store_cut_s - self.rng.uniform(0.0, MAX_LEAD_S)
            duration_s = self.rng.uniform(0.3, 1.0) * episode_s
            draw = self.rng.random()
            if draw < exclusive_ratio:
                self._later(after_s, self._cut, {name}, kinds, exempt, duration_s)
            elif draw < exclusive_ratio + lost_ratio:
                self._later(after_s, self._cut, {name}, kinds, everyone, duration_s)

    # Faults

    def _cut(
        self,
        side: set[str],
        kinds: set[LinkKind],
        exempt: set[str],
        duration_s: float,
    ) -> None:
        cut = Cut(frozenset(side), frozenset(kinds), frozenset(exempt))
        names = sorted(kind.value for kind in kinds)
        self._count("cut", f"{sorted(side)} {names} except {sorted(exempt)}")
        self.cell.network.cuts.append(cut)
        self._later(duration_s, self._heal, cut)

    def _heal(self, cut: Cut) -> None:
        self.cell.network.cuts.remove(cut)
        self.cell.note("FAULT", f"healed {sorted(cut.side)}")

    def _slow_store(self, duration_s: float) -> None:
        self._count("slow store", f"{duration_s:.1f}")
        self.cell.network.store_delay_s = self.rng.uniform(0.2, 0.65)
        self._later(duration_s, self._speed_up_store)

    def _speed_up_store(self) -> None:
        self.cell.network.store_delay_s = 0.0

    def _take_store_down(self, duration_s: float) -> None:
        self._count("store down", f"{duration_s:.1f}")
        self.cell.memory.is_down = True
        self._later(duration_s, self._bring_store_up)

    def _bring_store_up(self) -> None:
        self.cell.memory.is_down = False
        self.cell.note("FAULT", "store up")

    def _on_leader(self, entry: SimulatedEntry) -> None:
        if self._kills_claimants and self._happens(0.5):
            self._later(self.rng.uniform(0.02, 0.8), self._kill, entry, entry.process)

    def _pick_leader(self) -> SimulatedEntry | None:
        leaders = self.cell.leaders()
        return self.rng.choice(leaders) if leaders else None

    def _pick_entry(self) -> SimulatedEntry:
        return self.rng.choice(list(self.cell.entries.values()))

    def _pause_entry(self) -> None:
        self._pause(self._pick_entry(), self.rng.uniform(0.1, MAX_PAUSE_S))

    def _pause(self, entry: SimulatedEntry, duration_s: float) -> None:
        if entry.process is not None:
            self._count("pause", f"{entry.name} {duration_s:.1f}")
            entry.process.paused_until = self.cell.loop.time() + duration_s

    def _kill_leader(self) -> None:
        entry = self._pick_leader()
        if entry is not None:
            self._kill(entry, entry.process)

    def _kill_entry(self) -> None:
        entry = self._pick_entry()
        self._kill(entry, entry.process)

    def _kill(self, entry: SimulatedEntry, process) -> None:
        up = sum(other.process is not None for other in self.cell.entries.values())
        if process is None or entry.process is not process or up < MIN_ENTRIES_UP:
            return
        self._count("kill", entry.name)
        entry.kill()
        self._later(self.rng.uniform(0.1, 8.0), self._boot_entry, entry)

    def _restart_others(self) -> None:
        """End all entries but one that leads, which each start again."""
        leader = self._pick_leader()
        for entry in self.cell.entries.values():
            if entry is not leader and entry.process is not None:
                self._count("restart", entry.name)
                entry.kill()
                self._later(self.rng.uniform(0.1, 3.0), self._boot_entry, entry)

    def _boot_entry(self, entry: SimulatedEntry) -> None:
        self.cell.note("FAULT", f"boots {entry.name}")
        entry.boot()

    def _resign(self) -> None:
        entry = self._pick_leader()
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
        self._later(self.rng.uniform(0.1, 2.0), self._boot_worker, worker)

    def _boot_worker(self, worker) -> None:
        self.cell.note("FAULT", f"boots {worker.name}")
        self.cell.boot_worker(worker)
