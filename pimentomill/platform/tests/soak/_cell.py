"""Entry processes together with stand-ins for the store and the workers."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

import aiohttp
import msgspec

from pimentomill.platform._daemon import METRICS_PORT
from pimentomill.replica import LEADER_KEY, LeaderRecord

from ._ledger import Ledger
from ._network import SWITCH_PORT_VARIABLE, Network
from ._proxy import NetworkFault, Proxy
from ._store import WireStore, decode_record
from ._worker import WireWorker

__all__ = ["DATA_CENTRES", "WORKER_CPU_MILLI", "Cell", "Entry"]

ROOT = Path(__file__).resolve().parents[4]
KEYS = {"t": "key-t", "u": "key-u"}
FRONT_PORT = 18686
SUBNET_COUNT = 250
MAX_ENTRIES = 8
"""Entries whose addresses have to be free in a range."""
WORKER_CPU_MILLI = 4000
DATA_CENTRES = ("z1", "z2")
CLOCK_RATES = (1.0, 0.98)
"""Rates of the workers' clocks, in turn; the platform's may be 2 % slow."""
EVACUATE_MS = 5000
"""Time from the acknowledgement of an evacuation after which no run may be started."""
COLD_LEFT_MS = 1000
"""Time for which workers stay slow after the return of their data centre."""
READY_TIMEOUT_S = 60.0
"""Limit for all entries to become ready, also on a loaded machine."""


def render_settings(name, ip, data_centre, store_port, ports, limits=""):
    front, ready, control = ports
    return f"""
NodeName = "{name}"
Zone = "{data_centre}"
Ip = "{ip}"
[ListenAddrs]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[Bounds]
GraceS = 6
EvacuateMs = {EVACUATE_MS}
[platform]
Address = "127.0.0.1:{store_port}"
{limits}"""


def reserve_subnet():
    """Reserve a range of loopback addresses.

    Returns
    -------
    int
        Second number of the addresses.
    socket.socket
        Socket that keeps the range from other soaks until it is closed.

    Raises
    ------
    OSError
        If none is free.
    """
    for attempt in range(SUBNET_COUNT):
        subnet = 1 + (os.getpid() + attempt) % SUBNET_COUNT
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{subnet}.255.254", FRONT_PORT))
            for number in range(MAX_ENTRIES):
                with socket.socket() as probe:
                    probe.bind((f"127.{subnet}.0.{number + 1}", METRICS_PORT))
        except OSError:
            reservation.close()
            continue
        return subnet, reservation
    raise OSError(f"none of {SUBNET_COUNT} ranges of loopback addresses is free")


class Entry:
    """An entry process and its proxy to the store."""

    def __init__(self, number, folder, subnet):
        self.number = number
        self.name = f"n{number}"
        # Each entry has its own loopback address, so that the fixed ports do not clash.
        self.ip = f"127.{subnet}.0.{number + 1}"
        self.ports = (FRONT_PORT, 18689, 18688)
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.proxy = Proxy()
        self.switch = None
        self.path = folder / f"n{number}.toml"
        self.log = folder / f"n{number}.log"
        self.process = None
        self._restart_lock = asyncio.Lock()

    @property
    def front_url(self):
        return f"http://{self.ip}:{self.ports[0]}"

    async def start(self):
        env = {
            "PATH": os.environ["PATH"],
            "PIMENTOMILL_NODE_FILE": str(self.path),
            "PYTHONPATH": str(ROOT),
            SWITCH_PORT_VARIABLE: str(self.switch.port),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pimentomill.platform.tests.soak._entry_process",
                stdout=log,
                stderr=log,
                env=env,
                cwd=ROOT,
            )

    async def start_again(self, ended_process):
        """Start a process in place of one that has ended, unless that was done."""
        async with self._restart_lock:
            if self.process is ended_process:
                await self.start()

    def send_signal(self, signum):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def stop(self, signum=signal.SIGKILL):
        self.send_signal(signum)
        await self.process.wait()


class Cell:
    """Store, workers and entries of one soak run.

    Parameters
    ----------
    folder : Path
        Directory for settings and log files.
    rng : random.Random
        Generator of all random choices.
    entries, workers : int
        Number of entries and of workers.
    limits : str, default=""
        Section of the entries' settings with the limits of their instances.
    """

    def __init__(self, folder, rng, entries=3, workers=4, limits=""):
        self.rng = rng
        self.limits = limits
        self.ledger = Ledger()
        self.store = WireStore()
        self.network = Network()
        self.cpu_by_job = {}
        self.incarnation_count = 0
        self.settings_version = 0
        self.folder = folder
        self.subnet, self._reservation = reserve_subnet()
        self.entries = [Entry(number, folder, self.subnet) for number in range(entries)]
        self.worker_count = workers
        self.workers = {}
        self.registered_cpu_milli = {}
        self.proxies = {}
        self.session = None

    async def start(self):
        self.session = aiohttp.ClientSession()
        await self.store.start()
        await self.network.start()
        self.publish_settings()
        for _ in range(self.worker_count):
            await self.add_worker()
        for entry in self.entries:
            await self._start_entry(entry)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for entry in self.entries:
                while not await self.is_ready(entry):
                    if entry.process.returncode is not None:
                        raise RuntimeError(f"{entry.name} has ended: see {entry.log}")
                    await asyncio.sleep(0.1)

    async def _start_entry(self, entry):
        await entry.proxy.start(("127.0.0.1", self.store.port))
        entry.switch = await self.network.add_switch(entry.data_centre)
        self.network.store_addresses.add(("127.0.0.1", entry.proxy.port))
        self.network.entries[entry.ip, entry.ports[2]] = entry.data_centre
        text = render_settings(
            entry.name,
            entry.ip,
            entry.data_centre,
            entry.proxy.port,
            entry.ports,
            self.limits,
        )
        entry.path.write_text(text)
        await entry.start()

    async def add_entry(self):
        """Start another entry, which is not waited for."""
        entry = Entry(len(self.entries), self.folder, self.subnet)
        await self._start_entry(entry)
        self.entries.append(entry)

    async def stop(self):
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            if entry.process is not None:
                await entry.stop()
            entry.proxy.stop()
        for name in list(self.workers):
            await self.remove_worker(name)
        await self.session.close()
        await self.network.stop()
        await self.store.stop()
        self._reservation.close()

    def is_store_down(self):
        """Return whether no entry reaches the store."""
        is_reachable = self.network.store_fault is NetworkFault.NONE
        return self.store.is_down or not is_reachable

    def leader(self):
        """Return the entry that leads according to the store, or None."""
        for content in reversed(self.store.topic("keyed.work").records):
            key, value = decode_record(content)
            if key == LEADER_KEY and value:
                record = msgspec.msgpack.decode(value, type=LeaderRecord)
                return next(item for item in self.entries if item.name == record.node)
        return None

    async def is_ready(self, entry):
        url = f"http://{entry.ip}:{entry.ports[1]}/ready"
        try:
            async with self.session.get(url) as resp:
                return resp.status == 200
        except aiohttp.ClientError:
            return False

    def publish_settings(self, keys=KEYS):
        """Publish the next version of the operator settings."""
        self.settings_version += 1
        route = {"Name": "q", "Host": "h", "PathPrefix": "/q/", "Service": "s"}
        teams = [{"Name": name, "ApiKeys": [key]} for name, key in keys.items()]
        message = {
            "Version": self.settings_version,
            "Routes": [{**route, "MaxAttempts": 3, "Stretch": 2.0}],
            "Services": [{"Name": "s"}],
            "Tenants": teams,
        }
        self.store.put("keyed.op", "config", message)

    async def add_worker(self):
        """Start a worker under a new name and register it."""
        self.incarnation_count += 1
        name = f"w{self.incarnation_count}"
        worker = WireWorker(
            name,
            self.ledger,
            lambda: self.rng.uniform(0.05, 0.6),
            WORKER_CPU_MILLI,
            self.cpu_by_job,
            DATA_CENTRES[self.incarnation_count % len(DATA_CENTRES)],
            CLOCK_RATES[self.incarnation_count // 2 % len(CLOCK_RATES)],
        )
        await worker.start()
        proxy = Proxy()
        await proxy.start(("127.0.0.1", worker.port))
        self.network.workers["127.0.0.1", proxy.port] = worker.data_centre
        self.workers[name] = worker
        self.proxies[name] = proxy
        self.register_worker(name, WORKER_CPU_MILLI)

    def evacuate(self, data_centre):
        """Publish the evacuation of a data centre."""
        self.store.put("keyed.op", f"evacuate/{data_centre}", {})

    def return_data_centre(self, data_centre):
        """Publish the end of an evacuation; the workers there are cold."""
        self.store.put("keyed.op", f"evacuate/{data_centre}", None)
        for name, worker in self.workers.items():
            if worker.data_centre == data_centre:
                cpu_milli = self.registered_cpu_milli[name]
                self.register_worker(name, cpu_milli, COLD_LEFT_MS)

    def register_worker(self, name, cpu_milli, cold_left_ms=0):
        """Publish the registration of a worker with a CPU capacity."""
        self.registered_cpu_milli[name] = cpu_milli
        registration = {
            "Service": "s",
            "Address": f"127.0.0.1:{self.proxies[name].port}",
            "State": "ready",
            "Zone": self.workers[name].data_centre,
            "ColdLeftMs": cold_left_ms,
            "Capacity": {"Cpu": cpu_milli, "MemMb": 1000},
            "Labels": ["kind", "r1"],
            "born": self.workers[name].born,
        }
        self.store.put("keyed.servers", name, registration)

    async def restart_worker(self, name, pause_s):
        """Restart a worker under its name, after a pause."""
        worker = self.workers[name]
        worker.lose_life()
        self.proxies[name].abort_connections()
        await asyncio.sleep(pause_s)
        if self.workers.get(name) is worker:
            worker.restart()
            self.register_worker(name, self.registered_cpu_milli[name])

    async def remove_worker(self, name):
        """Crash a worker and remove its registration."""
        worker = self.workers.pop(name)
        self.proxies.pop(name).stop()
        await worker.crash()
        self.store.put("keyed.servers", name, None)
