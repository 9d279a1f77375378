"""Faults from outside, in series and overlapping."""

import asyncio
import signal

from ._cell import KEYS
from ._proxy import Harm

__all__ = ["Faults"]

HARMS = (Harm.DELAY, Harm.RESET, Harm.SILENT, Harm.ANSWERS_LOST, Harm.SMALL_LINK)


class Faults:
    """Draws faults and carries them out.

    Parameters
    ----------
    cell : Cell
        What is harmed.
    rng : random.Random
        Source of choices.
    """

    def __init__(self, cell, rng):
        self.cell = cell
        self.rng = rng
        self.done = []

    async def run(self, count, gap_s):
        """Start so many faults, each before the last ones have ended."""
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
        )
        tasks = []
        for _ in range(count):
            await asyncio.sleep(self.rng.uniform(0, 2 * gap_s))
            kind = self.rng.choice(kinds)
            self.done.append(kind.__name__)
            tasks.append(asyncio.ensure_future(kind()))
        await asyncio.gather(*tasks)

    def entry(self):
        return self.rng.choice(self.cell.entries)

    async def _restart(self, entry, number):
        process = entry.process
        entry.send(signal.SIGCONT)
        entry.send(number)
        await process.wait()
        await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        if entry.process is process:
            await entry.start()

    async def kill(self):
        await self._restart(self.entry(), signal.SIGKILL)

    async def terminate(self):
        await self._restart(self.entry(), signal.SIGTERM)

    async def kill_all(self):
        await asyncio.gather(
            *(self._restart(entry, signal.SIGKILL) for entry in self.cell.entries)
        )

    async def pause(self):
        entry = self.entry()
        process = entry.process
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _harm(self, proxy):
        proxy.set(self.rng.choice(HARMS))
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        # Connections that fell silent stay so; a new one works.
        proxy.set(Harm.RESET)
        proxy.set(Harm.NONE)

    async def harm_store_way(self):
        await self._harm(self.entry().proxy)

    async def harm_worker_way(self):
        await self._harm(self.rng.choice(list(self.cell.proxies.values())))

    async def store_down(self):
        self.cell.store.is_down = True
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.cell.store.is_down = False

    async def replace_worker(self):
        await self.cell.remove_worker(self.rng.choice(list(self.cell.workers)))
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await self.cell.add_worker()

    async def change_settings(self):
        self.cell.configure({"t": KEYS["t"]})
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self.cell.configure()
