"""A small deployment: entry processes with stand-ins of everything around them."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
import traceback
from pathlib import Path

import aiohttp
from standins import Executor, Plan, PolicyPort, Record, Store, StorePort, now

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
FRONT, READY, CONTROL = 8686, 8689, 8688
HOST = "queues.example"
READY_TIMEOUT_S = 25.0
RETRIES = 4
CASE_TIMEOUT_S = 110.0
DEADLINE_S = 3.0

ADVICE = {"DecideMs": 272.0, "EachMs": 2.4, "ValidMs": 1500}
"""Figures of one of the queues that the bench shows as an example."""

SETTINGS = """
NodeName = "{name}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge", "control"]
Ip = "{ip}"
Zone = "z1"
Region = "r1"
InternalPortRange = [7180, 7195]
Seeds = [{seeds}]
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1500
Contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants",
    "quota", "platform", "advice", "upkeep", "sharing"]
ControlMode = "rpc"
Advice = "{advice}"
[Zones]
z1 = "r1"
[ListenAddrs]
Front = "{ip}:8686"
Ready = "{ip}:8689"
Control = "{ip}:8688"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
StrictRevoke = true
RevokeMs = 5000
QuotaWindowS = 5
QuotaOverrun = 0.1
QuotaSlack = 20
RecoveryS = 12
HoldMaxMs = 6000
StopMs = 200
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
FarX = 1.5
CheckpointS = 1
RestoreMs = {restore_ms}
NoticeMs = 4500
MoveS = 1.5
UpkeepS = 2
RequireFence = false
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
HarmMs = 4000
[platform]
Address = "{store}"
form = "log"
WritesPerS = 600
ReadsPerS = 2000
parts = 32
AppendMs = 2.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 20
PartMb = 200
TtlMinMs = 1000
[CloudApi]
Address = "127.0.0.1:9"
RatePerS = 60.0
Duties = []
DutyPerS = 60.0
"""


def free_subnet():
    """Return a range of loopback addresses whose fixed ports are free."""
    for _ in range(200):
        subnet = random.SystemRandom().randrange(2, 250)
        try:
            for number in range(1, 9):
                for port in (METRICS_PORT, FRONT):
                    with socket.socket() as probe:
                        probe.bind((f"127.77.{subnet}.{number}", port))
        except OSError:
            continue
        return subnet
    raise OSError("no free range of loopback addresses")


def route(name, service, **fields):
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": "mutating",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 3000,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 3,
        "Stretch": 4.0,
        "Public": False,
        **fields,
    }


def service(name):
    """Return a service of the configuration."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConns": 64,
        "Protocol": "h1",
        "Tls": False,
        "RejectsOverload": False,
        "Standby": False,
    }


def tenant(name, key, **limits):
    """Return a tenant of the configuration."""
    limits = {"Cpu": 0, "MemMb": 0, "Gpu": 0, **limits}
    return {
        "Name": name,
        "ApiKeys": [key],
        "Priority": 1,
        "Weight": 6,
        "MaxCount": limits,
    }


class Entry:
    """An entry process with its own port of the store and of the policy service."""

    def __init__(self, number, subnet, store_port, policy_port):
        self.name = f"edge-z1-{number}"
        self.ip = f"127.77.{subnet}.{number}"
        self.store_port = store_port
        self.policy_port = policy_port
        self.process = None
        self.is_frozen = False

    @property
    def url(self):
        """Address for clients."""
        return f"http://{self.ip}:{FRONT}"


class Cell:
    """Entries, store, executors, policy service and clients.

    Parameters
    ----------
    record : Record
        Receives all events.
    entries : int
        Number of entries.
    allows : callable
        Returns whether the policy lets an executor run a step.
    policy : dict
        Duration of a query to the policy service, and validity of its tickets.
    settings
        Figures of the settings file that differ from those of `SETTINGS`.
    """

    def __init__(
        self,
        record,
        entries=3,
        allows=lambda step, name: True,
        policy=ADVICE,
        **settings,
    ):
        self.record = record
        self.policy = policy
        self.rng = random.Random(7)
        self.plan = Plan(self.rng)
        self.store = Store()
        self.settings = {"restore_ms": 100, **settings}
        self.executors = {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        subnet = free_subnet()
        self.entries = [
            Entry(number, subnet, StorePort(self.store), self._policy_port(allows))
            for number in range(1, entries + 1)
        ]
        self.version = 0
        self.config = {}
        self.session = None
        self._janitor = None

    def _policy_port(self, allows):
        policy = self.policy
        return PolicyPort(
            self.plan,
            self.executors,
            allows,
            policy["DecideMs"],
            policy["EachMs"],
            policy["ValidMs"],
        )

    # Start and end

    async def __aenter__(self):
        """Start the connections of the clients."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self._janitor = asyncio.ensure_future(self._drop_silent())
        return self

    async def __aexit__(self, *exc):
        """End all processes and ports."""
        self._janitor.cancel()
        for entry in self.entries:
            self.kill(entry)
        for entry in self.entries:
            if entry.process is not None:
                await entry.process.wait()
        for executor in self.executors.values():
            if executor.is_up:
                executor.is_up = False
                executor._beat.cancel()
                await executor.stop()
        for entry in self.entries:
            await entry.store_port.stop()
            await entry.policy_port.stop()
        await self.session.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _drop_silent(self):
        """Drop the entries of executors that were silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.25)
            partition = self.store.topic("keyed.servers")
            seen = {}
            for content, at in zip(partition.records, partition.times, strict=True):
                seen[content[1 : 1 + content[0]]] = at
            for key, at in seen.items():
                if key in partition.newest and now() - at > 4.5:
                    self.store.put("keyed.servers", key.decode(), None)
                    self.record.add("entry-expired", id=key.decode())

    def configure(self, routes, services, tenants):
        """Let the operator write a new version of the configuration."""
        self.version += 3
        self.config = {
            "Version": self.version,
            "Routes": routes,
            "Services": [service(name) for name in services],
            "Limits": {
                "HeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": tenants,
        }
        self.store.put("keyed.op", "config", self.config)
        moves = ",".join(f"{item['Name']}>{item['Service']}" for item in routes)
        self.record.add("config-acknowledged", version=self.version, routes=moves)

    async def add_executor(self, name, service_name, labels, **capacity):
        """Start an executor."""
        amounts = {"Cpu": 16000, "MemMb": 32768, "Gpu": 0, **capacity}
        executor = Executor(
            name, self.plan, self.store, self.record, service_name, labels, amounts
        )
        self.executors[name] = executor
        await executor.start()
        return executor

    async def start_entries(self):
        """Start all entries and wait until they are ready."""
        for entry in self.entries:
            await entry.store_port.start()
            await entry.policy_port.start()
            await self.spawn(entry)
        await self.wait_ready(self.entries)

    async def spawn(self, entry):
        """Start the process of an entry with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        path = self.folder / f"{entry.name}.toml"
        seeds = ", ".join(f'"{item.ip}:{CONTROL}"' for item in self.entries[:3])
        path.write_text(
            SETTINGS.format(
                name=entry.name,
                ip=entry.ip,
                seeds=seeds,
                advice=entry.policy_port.address,
                store=entry.store_port.address,
                **self.settings,
            )
        )
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PIMENTOMILL_NODE_FILE": str(path),
            **role.get("env", {}),
        }
        program, *words = role["run"].split()
        program = sys.executable if program == "python3" else program
        with (self.folder / f"{entry.name}.log").open("ab") as log:
            entry.process = await asyncio.create_subprocess_exec(
                program, *words, stdout=log, stderr=log, env=env, cwd=ROOT
            )
        entry.is_frozen = False
        self.record.add("entry-started", entry=entry.name)

    async def wait_ready(self, entries):
        """Wait until entries answer that they are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for entry in entries:
                while not await self.is_ready(entry):
                    await asyncio.sleep(0.1)

    async def is_ready(self, entry):
        """Return what the platform's check of an entry sees."""
        url = f"http://{entry.ip}:{READY}/ready"
        try:
            async with self.session.get(
                url, timeout=aiohttp.ClientTimeout(total=1)
            ) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    # Signals

    def signal(self, entry, signum):
        """Send a signal to the process of an entry, if it runs."""
        if entry.process is not None and entry.process.returncode is None:
            entry.process.send_signal(signum)
            self.record.add(
                "signal", entry=entry.name, signal=signal.Signals(signum).name
            )

    def kill(self, entry):
        """Kill the process of an entry."""
        self.signal(entry, signal.SIGKILL)

    def leader(self):
        """Return the entry that the newest leader record names, as it writes it."""
        value = self.store.read_key("keyed.work", "leader")
        for entry in self.entries:
            if value is not None and entry.name.encode() in value:
                return entry
        return None

    # Clients

    async def call(self, method, path, key="", body=None, entry=None, timeout_s=3.0):
        """Send one request and return its status and body; status 0 is no answer."""
        entry = entry or self.rng.choice(self.entries)
        headers = {"Host": HOST, "Content-Type": "application/json"}
        if key:
            headers["Key"] = key
        headers["Deadline-Ms"] = str(round(timeout_s * 1000))
        data = None if body is None else json.dumps(body)
        sent_at = now()
        try:
            async with self.session.request(
                method,
                entry.url + path,
                headers=headers,
                data=data,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as resp:
                text = await resp.text()
                status = resp.status
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            status, text = 0, type(exc).__name__
        self.record.add(
            "call",
            method=method,
            path=path,
            entry=entry.name,
            status=status,
            answer=text[:60],
            ms=round((now() - sent_at) * 1000),
        )
        return status, text

    def job_id(self):
        """Return a new name of a job."""
        return f"{self.rng.getrandbits(64):016x}"

    async def submit(self, queue, key, steps, job=None, **fields):
        """Submit a job as a client with retries; return its id and last status."""
        job = job or self.job_id()
        if any(r["Name"] == queue and "Advice" in r for r in self.config["Routes"]):
            self.plan.advised.add(job)
        body = {"Spec": f"payload {job}", "Steps": steps, **fields}
        self.plan.jobs[job] = body
        status = 0
        for _ in range(1 + RETRIES):
            status, _ = await self.call("POST", f"/{queue}/{job}", key, body)
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return job, status

    async def state(self, queue, key, job, within_s=6.0):
        """Ask for the state of a job until it is answered; return 'none' otherwise."""
        deadline = now() + within_s
        while now() < deadline:
            status, text = await self.call("GET", f"/{queue}/{job}", key)
            if status == 200:
                return json.loads(text)["State"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.2)
        return "none"


def run_case(play, record):
    """Run a case and return its exit code, 2 if it could not run."""

    async def bounded():
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await play(record)

    try:
        code = asyncio.run(bounded())
    except Exception as exc:
        traceback.print_exc()
        record.add("not-run", why=f"{type(exc).__name__}: {exc}")
        return 2
    record.add("exit", code=code)
    return code


def new_record(case):
    """Return the record of a case in its folder."""
    return Record(Path(case).resolve().parent / "record.txt")
