"""A small deployment: entries as processes, stand-ins around them."""

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import tempfile
import tomllib
from pathlib import Path

import aiohttp

from .executor import Executor
from .record import Record
from .store import Store

__all__ = ["KEY", "ROOT", "Cell", "Entry", "SetupError"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "queue.example"
KEY = "key-of-team"
ZONES = ("sohar-yard", "nizwa-yard", "ibri-store")
READY_TIMEOUT_S = 40.0
CLIENT_TIMEOUT_S = 3.0
METRICS_PORT = 9464

SETTINGS = """
NodeName = "edge-{number}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge", "control"]
Ip = "{ip}"
Zone = "{zone}"
Region = "al-batinah"
HeartbeatMs = 1500
ControlMode = "rpc"
Advice = "127.0.0.1:9"
[ListenAddrs]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
StrictRevoke = true
RevokeMs = 5000
QuotaWindowS = 5
QuotaOverrun = 0.1
QuotaSlack = 20
HoldMaxMs = 6000
StopMs = 900
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
status_s = 120
FarX = 3
CheckpointS = 1
RestoreMs = 100
[platform]
Address = "127.0.0.1:{store}"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
"""


class SetupError(Exception):
    """The case can't run."""


class Entry:
    """One entry process."""

    def __init__(self, number: int, ip: str, folder: Path, store_port: int) -> None:
        self.number = number
        self.ip = ip
        self.folder = folder
        self.ports = _free_ports(ip, 3)
        self.store_port = store_port
        self.process: asyncio.subprocess.Process | None = None
        front, ready, control = self.ports
        self.settings = folder / f"edge-{number}.toml"
        self.settings.write_text(
            SETTINGS.format(
                number=number,
                ip=ip,
                zone=ZONES[number % len(ZONES)],
                front=front,
                ready=ready,
                control=control,
                store=store_port,
            )
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= role.get("env", {})
        env["PIMENTOMILL_NODE_FILE"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"edge-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), stdout=log, stderr=log, env=env, cwd=ROOT
            )

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signum)


def _free_ports(ip: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = []
        for _ in range(count):
            item = stack.enter_context(socket.socket())
            item.bind((ip, 0))
            sockets.append(item)
        return [item.getsockname()[1] for item in sockets]


def _free_subnet() -> int:
    """Return a part of the loopback range whose metrics port is free."""
    for attempt in range(200):
        subnet = 1 + (os.getpid() + attempt) % 250
        with socket.socket() as item, contextlib.suppress(OSError):
            item.bind((f"127.{subnet}.0.1", METRICS_PORT))
            return subnet
    raise SetupError("no free loopback addresses")


class Cell:
    """Store, executors, entries and a client.

    Parameters
    ----------
    record_path : Path
        File of the record.
    entries : int, default=3
        Number of entry processes.
    """

    def __init__(self, record_path: Path, entries: int = 3) -> None:
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.entry_count = entries
        self.entries: list[Entry] = []
        self.executors: dict[str, Executor] = {}
        self.version = 0
        self.session: aiohttp.ClientSession | None = None
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self, executors: list[tuple[str, str, list[str], int]]) -> None:
        """Start everything; executors are given as name, service, labels and CPU."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        await self.store.start()
        self.configure()
        for number, (name, service, labels, cpu) in enumerate(executors):
            zone = ZONES[number % len(ZONES)]
            executor = Executor(
                name, service, zone, labels, cpu, self.store, self.record
            )
            self.executors[name] = executor
            await executor.start()
        subnet = _free_subnet()
        for number in range(self.entry_count):
            ip = f"127.{subnet}.0.{number + 1}"
            store_port = await self.store.open_port()
            entry = Entry(number, ip, self.folder, store_port)
            self.entries.append(entry)
            await entry.start()
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for entry in self.entries:
                    while not await self.is_ready(entry):
                        await asyncio.sleep(0.1)
        except TimeoutError as exc:
            raise SetupError("an entry did not become ready") from exc
        # Every node is in touch, and the leader has seen its executors.
        await asyncio.sleep(3.5)
        self.record.write("all entries are ready")

    async def stop(self, keep_logs: bool = False) -> None:
        """End everything that was started."""
        for entry in self.entries:
            await entry.end()
        for executor in self.executors.values():
            await executor.stop()
        await self.store.stop()
        if self.session is not None:
            await self.session.close()
        if not keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, queues: tuple[str, ...] = ("q",), **fields) -> None:
        """Write the next version of the configuration; queue X uses service X."""
        self.version += 1
        routes = [
            {
                "Name": f"r-{name}",
                "Host": HOST,
                "PathPrefix": f"/{name}/",
                "Kind": "mutating",
                "Service": f"s-{name}",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 3000,
                "Priority": 1,
                "MaxAttempts": 4,
                "Stretch": 4.0,
                "Public": False,
                **fields,
            }
            for name in queues
        ]
        config = {
            "Version": self.version,
            "Routes": routes,
            "Services": [
                {"Name": f"s-{name}", "RejectsOverload": False} for name in queues
            ],
            "Tenants": [
                {
                    "Name": "team",
                    "ApiKeys": [KEY],
                    "Weight": 50,
                    "MaxCount": {"Cpu": 0, "MemMb": 0, "Gpu": 0},
                }
            ],
            "Limits": {},
        }
        self.store.put("keyed.op", "config", config)

    async def is_ready(self, entry: Entry) -> bool:
        """Return whether an entry reports itself ready."""
        url = f"http://{entry.ip}:{entry.ports[1]}/ready"
        try:
            async with self.session.get(url) as resp:
                return resp.status == 200
        except aiohttp.ClientError:
            return False

    def leader(self) -> Entry:
        """Return the entry that leads according to the store."""
        name = self.store.leader().get("node", "")
        for entry in self.entries:
            if name == f"edge-{entry.number}":
                return entry
        raise SetupError("no entry leads")

    # Client

    async def call(
        self,
        entry: Entry,
        method: str,
        path: str,
        message: dict | None = None,
        timeout_s: float = CLIENT_TIMEOUT_S,
    ) -> tuple[int | None, bytes]:
        """Send a request; the status is None if there was no answer."""
        url = f"http://{entry.ip}:{entry.ports[0]}{path}"
        headers = {"Host": HOST, "Key": KEY, "Deadline-Ms": "3000"}
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.request(
                method, url, json=message, headers=headers, timeout=timeout
            ) as resp:
                status, body = resp.status, await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            status, body = None, type(exc).__name__.encode()
        text = body[:60].decode(errors="replace")
        self.record.write(
            f"client: {method} {path} at edge-{entry.number} -> {status} {text}"
        )
        return status, body

    async def submit(
        self, job: str, steps: list[dict], spec: str, queue: str = "q"
    ) -> bool:
        """Submit a job, with up to four retries at other entries."""
        message = {"Spec": spec, "Steps": steps}
        first = int(job, 16) % len(self.entries)
        for attempt in range(5):
            entry = self.entries[(first + attempt) % len(self.entries)]
            status, _ = await self.call(entry, "POST", f"/{queue}/{job}", message)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job: str, queue: str = "q") -> str | None:
        """Return the state of a job, None if no entry tells it."""
        for entry in self.entries:
            status, body = await self.call(entry, "GET", f"/{queue}/{job}")
            if status == 200:
                return body.decode().split('"')[3]
        return None
