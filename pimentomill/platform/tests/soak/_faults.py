"""Injection of faults that may overlap in time."""

import asyncio
import signal

from ._cell import DATA_CENTRES, EVACUATE_MS, KEYS, WORKER_CPU_MILLI
from ._network import Cut
from ._proxy import NetworkFault

__all__ = ["FaultInjector"]

NETWORK_FAULTS = (
    NetworkFault.DELAY,
    NetworkFault.RESET,
    NetworkFault.BLACKHOLE,
    NetworkFault.ANSWERS_LOST,
    NetworkFault.LOW_BANDWIDTH,
)
CUT_STORE_FAULTS = (
    NetworkFault.REJECT,
    NetworkFault.RESET,
    NetworkFault.BLACKHOLE,
    NetworkFault.HELD,
)
CUT_PATH_FAULTS = (
    NetworkFault.BLACKHOLE,
    NetworkFault.BLACKHOLE,
    NetworkFault.HELD,
    NetworkFault.NONE,
)
CUT_LINKS_PROBABILITY = 0.75

SHRUNK_CAPACITY_COUNTS_S = 4.5
"""Time from a record with a smaller capacity until starts have to respect it: the
platform's `ContactMs` and one heartbeat."""


class FaultInjector:
    """Inject randomly chosen faults.

    Parameters
    ----------
    cell : Cell
        Cell to inject faults into.
    rng : random.Random
        Generator of all random choices but those of the evacuation and the cuts.
    evacuation_rng, cut_rng : random.Random
        Generators of these. They are separate so that the other faults of a seed, among
        them those listed for CI, are the same as without evacuations and cuts.

    Attributes
    ----------
    injected : list of str
        Method names of the faults started so far, in order.
    """

    def __init__(self, cell, rng, evacuation_rng, cut_rng):
        self.cell = cell
        self.rng = rng
        self.evacuation_rng = evacuation_rng
        self.cut_rng = cut_rng
        self.injected = []
        self._resizing = set()
        self._entries = tuple(cell.entries)

    async def run(self, count, mean_interval_s):
        """Inject `count` faults, an evacuation and cuts, which may overlap."""
        kinds = (
            self.kill,
            self.terminate,
            self.pause,
            self.harm_store_way,
            self.harm_worker_way,
            self.store_down,
            self.kill_all,
            self.replace_worker,
            self.change_settings,
            self.resize_worker,
        )
        tasks = [
            asyncio.ensure_future(self.evacuate()),
            asyncio.ensure_future(self.cut_data_centres()),
        ]
        for _ in range(count):
            await asyncio.sleep(self.rng.uniform(0, 2 * mean_interval_s))
            kind = self.rng.choice(kinds)
            self.injected.append(kind.__name__)
            tasks.append(asyncio.ensure_future(kind()))
        await asyncio.gather(*tasks)

    def choose_entry(self):
        return self.rng.choice(self._entries)

    async def _restart(self, entry, signum):
        process = entry.process
        entry.send_signal(signal.SIGCONT)
        entry.send_signal(signum)
        await process.wait()
        await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        await entry.start_again(process)

    async def kill(self):
        await self._restart(self.choose_entry(), signal.SIGKILL)

    async def terminate(self):
        await self._restart(self.choose_entry(), signal.SIGTERM)

    async def kill_all(self):
        await asyncio.gather(
            *(self._restart(entry, signal.SIGKILL) for entry in self._entries)
        )

    async def pause(self):
        entry = self.choose_entry()
        process = entry.process
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _inject_network_fault(self, proxy):
        proxy.set_fault(self.rng.choice(NETWORK_FAULTS))
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        # A connection that has lost bytes cannot recover, so all are aborted and
        # only new connections work.
        proxy.set_fault(NetworkFault.RESET)
        proxy.set_fault(NetworkFault.NONE)

    async def harm_store_way(self):
        await self._inject_network_fault(self.choose_entry().proxy)

    async def harm_worker_way(self):
        await self._inject_network_fault(
            self.rng.choice(list(self.cell.proxies.values()))
        )

    async def store_down(self):
        self.cell.store.is_down = True
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.cell.store.is_down = False

    async def replace_worker(self):
        await self.cell.remove_worker(self.rng.choice(list(self.cell.workers)))
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await self.cell.add_worker()

    async def change_settings(self):
        self.cell.publish_settings({"t": KEYS["t"]})
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self.cell.publish_settings()

    async def resize_worker(self):
        """Shrink the capacity of a worker for a while."""
        name, worker = self.rng.choice(list(self.cell.workers.items()))
        if name in self._resizing:
            return
        self._resizing.add(name)
        cpu_milli = self.rng.choice((0, 1000, 2000))
        lasts_s = self.rng.uniform(0.5, 4.0)
        self.cell.register_worker(name, cpu_milli)
        await self._sleep_while_store_is_up(SHRUNK_CAPACITY_COUNTS_S)
        worker.capacity = cpu_milli
        await asyncio.sleep(lasts_s)
        worker.capacity = WORKER_CPU_MILLI
        if name in self.cell.workers:
            self.cell.register_worker(name, WORKER_CPU_MILLI)
        self._resizing.discard(name)

    async def evacuate(self):
        """Evacuate one data centre or all, and return them."""
        rng = self.evacuation_rng
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        count = rng.randint(1, len(DATA_CENTRES))
        data_centres = rng.sample(DATA_CENTRES, count)
        # A store that is down acknowledges nothing.
        await self._sleep_while_store_is_up(0.1)
        for data_centre in data_centres:
            self.cell.evacuate(data_centre)
        await self._sleep_while_store_is_up(EVACUATE_MS / 1000)
        closed = self.cell.ledger.closed_data_centres
        closed.update(data_centres)
        await asyncio.sleep(rng.uniform(1.0, 4.0))
        closed.difference_update(data_centres)
        for data_centre in data_centres:
            self.cell.return_data_centre(data_centre)

    async def cut_data_centres(self):
        """Cut off the data centre of the leader, once or twice."""
        rng = self.cut_rng
        for _ in range(rng.randint(1, 2)):
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            leader = self.cell.leader()
            cut = Cut(
                rng.choice(DATA_CENTRES) if leader is None else leader.data_centre,
                rng.choice(CUT_STORE_FAULTS),
                rng.choice(CUT_PATH_FAULTS),
                rng.random() < CUT_LINKS_PROBABILITY,
            )
            lasts_s = rng.uniform(3.0, 12.0)
            kinds = rng.sample(
                (
                    self.restart_worker,
                    self.restart_leader,
                    self.restart_follower,
                    self.add_entry,
                    self.pause_leader,
                    self.take_store_down,
                ),
                2,
            )
            names = ", ".join(kind.__name__ for kind in kinds)
            self.injected.append(f"cut {cut}, {lasts_s:.1f} s, {names}")
            await asyncio.gather(
                self.cut(cut, lasts_s),
                *(kind(leader, rng.uniform(0.2, 1.0) * lasts_s) for kind in kinds),
            )

    async def cut(self, cut, lasts_s):
        """Cut off a data centre for a time."""
        self.cell.network.start_cut(cut)
        await asyncio.sleep(lasts_s)
        self.cell.network.end_cut()

    # Faults during a cut, which begin or end some seconds after it began; `replaced` is
    # the leader that has been cut off, or None.

    async def restart_worker(self, replaced, after_s):
        await asyncio.sleep(after_s)
        name = self.cut_rng.choice(list(self.cell.workers))
        await self.cell.restart_worker(name, self.cut_rng.uniform(0.1, 2.0))

    async def restart_leader(self, replaced, after_s):
        await asyncio.sleep(after_s)
        await self._kill_and_start(self.cell.leader())

    async def restart_follower(self, replaced, after_s):
        await asyncio.sleep(after_s)
        leaders = (replaced, self.cell.leader())
        followers = [entry for entry in self._entries if entry not in leaders]
        await self._kill_and_start(self.cut_rng.choice(followers))

    async def _kill_and_start(self, entry):
        if entry is None:
            return
        process = entry.process
        entry.send_signal(signal.SIGCONT)
        entry.send_signal(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(self.cut_rng.uniform(0.1, 2.0))
        await entry.start_again(process)

    async def add_entry(self, replaced, after_s):
        await asyncio.sleep(after_s)
        await self.cell.add_entry()

    async def take_store_down(self, replaced, until_s):
        network = self.cell.network
        network.set_store_fault(self.cut_rng.choice(CUT_STORE_FAULTS))
        await asyncio.sleep(until_s)
        network.set_store_fault(NetworkFault.NONE)

    async def pause_leader(self, replaced, until_s):
        if replaced is None:
            return
        process = replaced.process
        replaced.send_signal(signal.SIGSTOP)
        await asyncio.sleep(until_s)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _sleep_while_store_is_up(self, duration_s):
        """Sleep until the store has been up for so long at a stretch."""
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        while loop.time() < until:
            if self.cell.is_store_down():
                until = loop.time() + duration_s
            await asyncio.sleep(0.05)
