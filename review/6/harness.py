"""Stand-ins of the platform's store and of executors, and real entry processes.

The stand-ins follow the users' pages. All of it runs on loopback addresses and the
real clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections import Counter, defaultdict
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
"""Port of the metrics of an entry, as in the deploy file."""
HEARTBEAT_S = 1.5
ENTRY_EXPIRY_BEATS = 3
PAGE_ITEMS = 500
APPEND_S = 0.002
ANSWER_S = 0.004
KEPT_ANSWERS = 5
STOP_FRACTION = 0.7
"""Part of `StopMs` that a stop takes."""
STARTUP_S = 0.1
"""Time after which a lasting task is at work."""
HOLD_MAX_MS = 6000
READY_TIMEOUT_S = 40.0
CLIENT_TIMEOUT_S = 3.0
MAX_CASE_S = 100.0
RETRY_S = 0.4
HOST = "host.example"
LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")
BOUNDS = """
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
StopMs = {stop_ms}
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
FarX = 1.5
CheckpointS = 1
RestoreMs = 100
NoticeMs = 4500
MoveS = 1.5
UpkeepS = 2
RequireFence = false
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
HarmMs = 4000
"""
"""Bounds of the small deployments medano-sched and batinah-roast, which differ in
`StopMs`."""


class Record:
    """Log of what was sent, answered and run.

    Parameters
    ----------
    path : Path
        File that is written.
    """

    def __init__(self, path):
        self.started_at = time.monotonic()
        self._file = path.open("w")

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.started_at

    def add(self, text):
        """Write a line with the present time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Server:
    """HTTP server on a loopback address that can be cut off."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._runner = None
        self._site = None

    async def start(self):
        """Listen on a free port."""
        self._server = web.Server(self.handle)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, "127.0.0.1", self.port)
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self):
        """Stop listening and reset all connections, as the end of a process does."""
        if self._runner is None:
            return
        runner, self._runner = self._runner, None
        await self._site.stop()
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    @property
    def address(self):
        """Address of the server."""
        return f"127.0.0.1:{self.port}"

    async def handle(self, req):
        """Answer a request."""
        raise NotImplementedError


class Partition:
    """Records of a topic's only partition, and its writers."""

    def __init__(self):
        self.records = []
        self.writers = {}
        self.lock = asyncio.Lock()
        self.appended = asyncio.Event()

    def append(self, records):
        """Append raw records and return the answer."""
        first = len(self.records)
        self.records += records
        self.appended.set()
        self.appended = asyncio.Event()
        return {"Offset": first, "End": len(self.records)}

    def newest(self):
        """Return the newest value and offset of each key that is not dropped."""
        newest = {}
        for offset, content in enumerate(self.records):
            size = content[0]
            newest[content[1 : 1 + size].decode()] = content[1 + size :], offset
        return {key: found for key, found in sorted(newest.items()) if found[0]}


class Store(Server):
    """The platform's store in the form of a log.

    Parameters
    ----------
    record : Record
        Log of the script.
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.topics = {}

    def topic(self, name):
        """Return the partition of a topic."""
        return self.topics.setdefault(name, Partition())

    def put(self, topic, key, message):
        """Write a record as the operator or an executor does."""
        name = key.encode()
        value = json.dumps(message).encode() if message is not None else b""
        self.topic(topic).append([bytes([len(name)]) + name + value])

    async def handle(self, req):
        """Answer a call of an entry."""
        body = await req.read()
        await asyncio.sleep(ANSWER_S)
        name = req.query["Topic"]
        partition = self.topic(name)
        if req.path == "/log-append":
            if name in ("keyed.op", "keyed.servers"):
                return web.Response(status=403)
            async with partition.lock:
                await asyncio.sleep(APPEND_S)
                return self._append(partition, req.query, _split(body))
        if req.path == "/log-newest":
            return self._newest(partition, req.query.get("DependsOn", ""))
        if req.path == "/log-read":
            return await self._read(partition, req.query)
        return web.Response(status=404)

    def _append(self, partition, query, records):
        producer = query.get("Producer")
        if producer is None:
            return web.json_response(partition.append(records))
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        last_epoch, last, answers = partition.writers.get(producer, (-1, -1, {}))
        if epoch < last_epoch:
            return web.json_response({"Reason": "fenced"}, status=409)
        if epoch > last_epoch:
            self.record.add(f"store: writer {producer} begins epoch {epoch}")
            answers = {}
        elif sequence in answers:
            return web.json_response(answers[sequence])
        elif sequence != last + 1:
            rejection = {"Reason": "seq", "Sequence": last + 1}
            return web.json_response(rejection, status=409)
        answer = partition.append(records)
        answers = dict([*answers.items(), (sequence, answer)][-KEPT_ANSWERS:])
        partition.writers[producer] = (epoch, sequence, answers)
        return web.json_response(answer)

    @staticmethod
    async def _read(partition, query):
        start = int(query["From"])
        wait_s = int(query.get("WaitMs", 0)) / 1000
        if start >= len(partition.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await partition.appended.wait()
        body = bytearray(HEADER.pack(len(partition.records), 0))
        limit = int(query.get("MaxKb", 1024)) * 1024
        for content in partition.records[start:]:
            if len(body) > limit:
                break
            body += LENGTH.pack(len(content)) + content
        return web.Response(body=bytes(body))

    @staticmethod
    def _newest(partition, after):
        rows = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (value, offset) in partition.newest().items()
            if key > after
        ]
        page = rows[:PAGE_ITEMS]
        has_more = len(rows) > len(page)
        answer = {"items": page, "HasMore": has_more, "End": len(partition.records)}
        return web.json_response(answer)


def _split(body):
    records, offset = [], 0
    while offset < len(body):
        (size,) = LENGTH.unpack_from(body, offset)
        offset += LENGTH.size
        records.append(body[offset : offset + size])
        offset += size
    return records


class Run:
    """A run of a task on an executor."""

    def __init__(self, task, number, executor, duration_s, cpu):
        self.task = task
        self.number = number
        self.executor = executor
        self.duration_s = duration_s
        self.cpu = cpu
        self.started_at = time.monotonic()
        self.is_stopping = False
        self.timers = []

    @property
    def job(self):
        """ID of the job."""
        return self.task.split(".")[0]

    @property
    def percent(self):
        """Progress in percent."""
        elapsed_s = time.monotonic() - self.started_at
        whole_s = STARTUP_S if self.duration_s is None else self.duration_s
        return min(100, int(100 * elapsed_s / whole_s))


class Executor(Server):
    """An executor that starts whatever it is told to.

    The payload of a job is the duration of a task in seconds, or ``lasts``.

    Parameters
    ----------
    cell : Cell
        Cell that it belongs to.
    name : str
        Id under which it registers.
    capacity : dict
        Its capacity as registered.
    labels : list of str
        Its kind and rack, and further labels.
    service : str
        Service that it belongs to.
    """

    def __init__(self, cell, name, capacity, labels, service):
        super().__init__()
        self.cell = cell
        self.name = name
        self.capacity = capacity
        self.labels = labels
        self.service = service
        self.zone = "zone-a"
        self.is_up = False
        self.is_cut = False
        self._beats = None

    async def begin_life(self):
        """Start a life that knows nothing of the one before."""
        self.born = round(time.time() * 1000)
        self.clock_origin = time.monotonic() - 1.0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.end_count = 0
        self.token = 0
        self.lease_until = 0.0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.life_over = asyncio.Event()
        self.is_up = True
        await self.start()
        self._beats = asyncio.ensure_future(self._beat())
        self.cell.record.add(f"executor {self.name}: up, born {self.born}")

    async def crash(self):
        """End at once, with all that runs; nothing is reported."""
        self.is_up = False
        self.life_over.set()
        self._beats.cancel()
        for run in list(self.running.values()):
            self._drop(run, "crash")
        await self.stop()
        self.cell.record.add(f"executor {self.name}: crashed")

    async def _beat(self):
        while True:
            self.sequence += 1
            registration = {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Capacity": self.capacity,
                "Labels": self.labels,
                "ClockMs": self.clock_ms(),
                "Sequence": self.sequence,
                "born": self.born,
            }
            self.cell.store.put("keyed.servers", self.name, registration)
            self._check_lease()
            await asyncio.sleep(HEARTBEAT_S)

    def clock_ms(self):
        """Return the reading of the executor's steady clock."""
        return round((time.monotonic() - self.clock_origin) * 1000)

    def _drop(self, run, how):
        del self.running[run.task]
        for timer in run.timers:
            timer.cancel()
        self.cell.on_end(run, how)

    def _end(self, run, how):
        if self.running.get(run.task) is not run or not self.is_up:
            return
        self._drop(run, how)
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.changed.set()
        self.changed = asyncio.Event()

    def _check_lease(self):
        if self.running and self.clock_ms() > self.lease_until:
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    def _extend(self, until_ms):
        if until_ms is not None:
            longest = self.clock_ms() + HOLD_MAX_MS
            self.lease_until = max(self.lease_until, min(until_ms, longest))
            delay_s = max(0, self.lease_until - self.clock_ms() + 1) / 1000
            asyncio.get_running_loop().call_later(delay_s, self._check_lease)

    def _answer(self, status=200, **fields):
        message = {"ClockMs": self.clock_ms(), "born": self.born, **fields}
        return web.json_response(message, status=status)

    async def handle(self, req):
        """Answer an order."""
        if req.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421)
        order = await req.json()
        if self.is_cut:
            return await self._lose()
        self._check_lease()
        if order.get("FencingToken", 0) < self.token:
            return self._answer(409, Reason="fence")
        self.token = order.get("FencingToken", 0)
        if req.path == "/hold":
            return await self._hold(order)
        if req.path == "/pace":
            return self._answer()
        orders = {"/run-start": self._start, "/run-stop": self._stop}
        return orders[req.path](order)

    async def _lose(self):
        """Give no answer: the packet is lost on the path that is cut."""
        await self.life_over.wait()
        return web.Response(status=503)

    def _start(self, order):
        task, number = order["Task"], order["RunId"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            self._extend(order["ExpiresMs"])
            return self._answer()
        if order["ExpiresMs"] <= self.clock_ms():
            return self._answer(409, Reason="late")
        if number <= self.highest.get(task, 0) or known is not None:
            self._extend(order["ExpiresMs"])
            return self._answer(409, Reason="old")
        self._extend(order["ExpiresMs"])
        spec = order["Spec"]
        duration_s = None if spec == "lasts" else float(spec)
        run = Run(task, number, self, duration_s, self.cell.cpu_of(task))
        self.running[task] = run
        if duration_s is not None:
            loop = asyncio.get_running_loop()
            run.timers.append(loop.call_later(duration_s, self._end, run, "done"))
        self.cell.on_run(run, order["FencingToken"])
        return self._answer()

    def _stop(self, order):
        task, number = order["Task"], order["RunId"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number == number and not run.is_stopping:
            run.is_stopping = True
            self.cell.record.add(f"{self.name}: stop of {task} run {number}")
            loop = asyncio.get_running_loop()
            run.timers.append(
                loop.call_later(self.cell.stop_s, self._end, run, "stopped")
            )
        return self._answer()

    async def _hold(self, order):
        self._extend(order.get("ExpiresMs"))
        acked = order.get("AckedThrough", 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        wait_s = min(2000, order.get("WaitMs", 0)) / 1000
        if not self.ends and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
        if self.is_cut:
            return await self._lose()
        self._check_lease()
        running = [
            [run.task, run.number, "", run.percent, 0] for run in self.running.values()
        ]
        return self._answer(Running=running, Finished=self.ends[:500])


class DarkMachine:
    """Address of a machine without power: connections to it hang.

    The queue of a listening socket is full, so that the kernel drops what arrives.

    Parameters
    ----------
    addresses : list of tuple of str and int
        Addresses that shall not answer.
    """

    def __init__(self, addresses):
        self._sockets = []
        for address in addresses:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(0)
            self._sockets.append(listener)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(address)
                self._sockets.append(filler)

    def close(self):
        """Free the addresses."""
        for item in self._sockets:
            item.close()


class Entry:
    """A machine with an entry process.

    Parameters
    ----------
    cell : Cell
        Cell that it belongs to.
    number : int
        Number of the machine.
    """

    def __init__(self, cell, number):
        self.cell = cell
        self.name = f"edge-{number}"
        self.ip = f"127.{cell.subnet}.0.{number + 1}"
        self.ports = [_free_port(self.ip) for _ in range(3)]
        self.path = cell.folder / f"{self.name}.toml"
        self.log = cell.folder / f"{self.name}.log"
        self.process = None
        self.dark = None

    @property
    def url(self):
        """Address for clients."""
        return f"http://{self.ip}:{self.ports[0]}"

    def write_settings(self):
        """Write the settings file as the platform does."""
        front, ready, control = self.ports
        zone = f"zone-{'abc'[int(self.name[5:]) % 3]}"
        self.path.write_text(
            f"""
NodeName = "{self.name}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "{self.ip}"
Zone = "{zone}"
Region = "region"
InternalPortRange = [7180,7195]
Seeds = []
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1500
ControlMode = "rpc"
Advice = "127.0.0.1:9"
[Zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[ListenAddrs]
Front = "{self.ip}:{front}"
Ready = "{self.ip}:{ready}"
Control = "{self.ip}:{control}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
{BOUNDS.format(stop_ms=self.cell.stop_ms)}
[platform]
Address = "{self.cell.store.address}"
form = "log"
WritesPerS = 600
ReadsPerS = 2000
"""
        )

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.cell.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PIMENTOMILL_NODE_FILE": str(self.path),
            **role.get("env", {}),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), stdout=log, stderr=log, env=env, cwd=ROOT
            )
        self.cell.record.add(f"{self.name}: process started")

    @property
    def is_alive(self):
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, signum):
        """Send a signal to the process."""
        if self.is_alive:
            self.process.send_signal(signum)
            self.cell.record.add(f"{self.name}: {signal.Signals(signum).name}")

    async def kill(self):
        """Kill the process."""
        if self.is_alive:
            self.send(signal.SIGKILL)
            await self.process.wait()

    async def lose_power(self):
        """End the process; its addresses answer no more."""
        await self.kill()
        self.dark = DarkMachine([(self.ip, port) for port in self.ports])
        self.cell.record.add(f"{self.name}: no power")

    async def is_ready(self):
        """Return whether the readiness check succeeds."""
        url = f"http://{self.ip}:{self.ports[1]}/ready"
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with self.cell.session.get(url, timeout=timeout) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


def _free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def _free_subnet(entries):
    for attempt in range(200):
        subnet = 20 + (os.getpid() + attempt) % 200
        try:
            for number in range(entries):
                with socket.socket() as probe:
                    probe.bind((f"127.{subnet}.0.{number + 1}", METRICS_PORT))
        except OSError:
            continue
        return subnet
    raise OSError("no free range of loopback addresses")


class Cell:
    """Store, executors and entries of a case.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    record : Record
        Log of the script.
    entries : int
        Number of machines.
    stop_ms : int
        The deployment's `StopMs`.
    """

    def __init__(self, folder, record, entries, stop_ms):
        self.stop_ms = stop_ms
        self.stop_s = STOP_FRACTION * stop_ms / 1000
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.subnet = _free_subnet(entries)
        self.entries = [Entry(self, number) for number in range(entries)]
        self.executors = []
        self.session = None
        self.jobs = {}
        self.runs = set()
        self.started = Counter()
        self.ends = defaultdict(Counter)
        self.on_start = []
        self.version = 0
        self.config = {}

    def configure(self, routes, tenants):
        """Write the next configuration as the operator does."""
        self.version += 1
        services = sorted({route["Service"] for route in routes})
        defaults = {"Host": HOST, "Kind": "mutating", "TimeoutMs": 3000}
        message = {
            "Version": self.version,
            "Routes": [{**defaults, **route} for route in routes],
            "Services": [
                {"Name": name, "RejectsOverload": False, "Standby": False}
                for name in services
            ],
            "Limits": {
                "HeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": tenants,
        }
        self.store.put("keyed.op", "config", message)
        self.record.add(f"operator: configuration {self.version} acknowledged")

    async def add_executor(self, name, cpu, labels, service="svc"):
        """Start an executor."""
        capacity = {"Cpu": cpu, "MemMb": 32768, "Gpu": 0}
        executor = Executor(self, name, capacity, labels, service)
        self.executors.append(executor)
        await executor.begin_life()
        return executor

    async def start(self):
        """Start the store and all entries, and wait until these are ready."""
        self.session = aiohttp.ClientSession()
        await self.store.start()
        for entry in self.entries:
            entry.write_settings()

    async def start_entries(self, entries=None):
        """Start entry processes and wait until they are ready."""
        entries = self.entries if entries is None else entries
        for entry in entries:
            await entry.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            for entry in entries:
                while not await entry.is_ready():
                    if not entry.is_alive:
                        raise RuntimeError(f"{entry.name} has ended")
                    await asyncio.sleep(0.05)
        self.record.add(f"ready: {', '.join(entry.name for entry in entries)}")

    async def stop(self):
        """End all processes and servers."""
        for entry in self.entries:
            if entry.is_alive:
                entry.process.send_signal(signal.SIGCONT)
            await entry.kill()
            if entry.dark is not None:
                entry.dark.close()
        for executor in self.executors:
            if executor.is_up:
                await executor.crash()
        await self.store.stop()
        await self.session.close()

    async def leader(self):
        """Return the entry that last gave an order, by its own metrics page.

        The store's newest record under a writer's name tells which one writes.
        """
        partition = self.store.topic("keyed.work")
        for key, (value, _) in partition.newest().items():
            if key == "leader":
                for entry in self.entries:
                    if entry.name.encode() in value:
                        return entry
        return None

    # Runs

    def cpu_of(self, task):
        """Return the `Cpu` of a task."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["Steps"][int(step)]["Cpu"]

    def on_run(self, run, token):
        """Record a start."""
        self.runs.add(run)
        self.started[run.job] += 1
        self.record.add(
            f"{run.executor.name}: starts {run.task} run {run.number} token {token}"
        )
        for hook in self.on_start:
            hook(run)

    def on_end(self, run, how):
        """Record an end."""
        self.runs.discard(run)
        self.ends[run.job][how] += 1
        self.record.add(f"{run.executor.name}: {run.task} run {run.number} ends {how}")

    def running_of(self, job):
        """Return the runs of a job that have not ended."""
        return [run for run in self.runs if run.job == job]

    # Clients

    async def call(self, entry, method, prefix, job, key, body=None):
        """Send a client's request to an entry and return status and body.

        The status is None if there was no answer.
        """
        headers = {"Host": HOST, "Key": key, "Deadline-Ms": "3000"}
        timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
        status, content = None, b""
        try:
            async with self.session.request(
                method,
                f"{entry.url}{prefix}{job}",
                json=body,
                headers=headers,
                timeout=timeout,
            ) as resp:
                status, content = resp.status, await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self.record.add(f"client: no answer, {type(exc).__name__}")
        self.record.add(f"client: {method} {prefix}{job} at {entry.name}: {status}")
        return status, content

    async def submit(self, entries, prefix, job, key, body, attempts=8):
        """Hand a job in, at other entries if need be; return whether accepted."""
        self.jobs[job] = body
        for number in range(attempts):
            entry = entries[number % len(entries)]
            status, _ = await self.call(entry, "POST", prefix, job, key, body)
            if status == 200:
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def state(self, entries, prefix, job, key):
        """Return the state of a job as an entry shows it, None without an answer."""
        for entry in entries:
            status, content = await self.call(entry, "GET", prefix, job, key)
            if status == 200:
                state = json.loads(content)["State"]
                self.record.add(f"client: {job} is {state}")
                return state
            if status == 410:
                return "410"
        return None


def main(case, entries, folder, stop_ms=200):
    """Run a case and exit with 0 if the rule held, 1 if not, 2 if it could not run.

    Parameters
    ----------
    case : callable
        Coroutine function of the cell and of whether the disruption takes place;
        returns the violations.
    entries : int
        Number of machines.
    folder : Path
        Folder of the case, for the record.
    stop_ms : int, default=200
        The deployment's `StopMs`.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            cell = Cell(Path(temporary), record, entries, stop_ms)
            try:
                await cell.start()
                async with asyncio.timeout(MAX_CASE_S):
                    return await case(cell, has_trouble)
            finally:
                await cell.stop()
                if os.environ.get("KEEP_LOGS"):
                    for entry in cell.entries:
                        kept = Path(os.environ["KEEP_LOGS"]) / entry.log.name
                        kept.write_bytes(entry.log.read_bytes())

    try:
        violations = asyncio.run(run())
    except Exception:
        record.add("the case could not run:\n" + traceback.format_exc())
        sys.exit(2)
    for line in violations:
        record.add(f"BROKEN {line}")
        print(line)
    record.add("rule broken" if violations else "rule held")
    sys.exit(1 if violations else 0)
