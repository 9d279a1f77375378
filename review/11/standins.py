"""Stand-ins of the platform for the cases of this review.

Every address is a loopback address and every clock is the real one. The stand-ins
behave like the pages say of a sound store, executor and policy service; a case brings
its disruption about by the attributes that are listed as such.
"""

import asyncio
import base64
import hashlib
import json
import random
import struct
import time

from aiohttp import web

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
KEEP_S = 20.0
ANSWER_S = 0.004
APPEND_S = 0.002
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
HOLD_MAX_MS = 6000
GANG_S = 3.0
RESTORE_S = 0.1
CHECKPOINT_S = 1.0
MAX_ENDS = 500
MAX_WAITING_QUERIES = 32


def now() -> float:
    """Return the steady time in seconds."""
    return time.monotonic()


class Record:
    """Events of one run of a case, also written to a file.

    Parameters
    ----------
    path : Path or None
        File that receives one line for each event.
    """

    def __init__(self, path=None):
        self.begun_at = now()
        self.rows = []
        self.file = path.open("w") if path is not None else None

    def add(self, kind, **fields):
        """Add an event."""
        at = now()
        self.rows.append((at, kind, fields))
        if self.file is not None:
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self.file.write(f"{at - self.begun_at:9.3f} {kind} {text}\n")
            self.file.flush()

    def find(self, kind, **wanted):
        """Return the times and fields of the events of a kind."""
        return [
            (at, fields)
            for at, name, fields in self.rows
            if name == kind
            and all(fields.get(key) == value for key, value in wanted.items())
        ]


class Server:
    """HTTP server on a free loopback port."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self._runner = None
        self._site = None
        self._cleanup = None

    @property
    def address(self):
        """IP address and port."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen; a second start uses the port of the first."""
        self._transports = set()
        self._runner = web.ServerRunner(
            web.Server(self._receive), shutdown_timeout=0.01
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, self.host, self.port)
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self):
        """Close the port and all connections."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await self._site.stop()
            for transport in self._transports:
                transport.abort()
            self._cleanup = asyncio.ensure_future(runner.cleanup())

    async def _receive(self, req):
        if req.transport is not None:
            self._transports.add(req.transport)
        return await self.answer(req)

    async def answer(self, req):
        """Answer a request."""
        raise NotImplementedError


def drop(req):
    """Break the connection of a request off without an answer."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=500)


async def hang():
    """Wait until the other side closes the connection."""
    await asyncio.sleep(3600)


# The store


class Partition:
    """Records of one keyed topic, and the state of its producers."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.times = []
        self.newest = {}
        self.producers = {}
        self.appended = asyncio.Event()
        self.lock = asyncio.Lock()

    @property
    def end(self):
        """Offset after the last record."""
        return self.first + len(self.records)

    def append(self, contents):
        """Append records and return the answer to the call."""
        offset = self.end
        for content in contents:
            size = content[0]
            key, value = content[1 : 1 + size], content[1 + size :]
            self.records.append(content)
            self.times.append(now())
            if value:
                self.newest[key] = (value, self.end - 1)
            else:
                self.newest.pop(key, None)
        self.appended.set()
        self.appended = asyncio.Event()
        return {"Offset": offset, "End": self.end}

    def expire(self):
        """Drop the records that are older than the store keeps."""
        oldest = now() - KEEP_S
        count = 0
        while count < len(self.times) and self.times[count] < oldest:
            count += 1
        if count:
            self.first += count
            del self.records[:count], self.times[:count]


def split_records(body):
    """Return the contents of the records of a call."""
    contents, position = [], 0
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        contents.append(body[position : position + size])
        position += size
    return contents


def keyed(key, value):
    """Return the content of a keyed record."""
    name = key.encode()
    return bytes([len(name)]) + name + value


class Store:
    """The platform's log; each entry gets a port of its own."""

    def __init__(self):
        self.topics = {}

    def topic(self, name):
        """Return the partition of a topic, created on first use."""
        return self.topics.setdefault(name, Partition())

    def put(self, topic, key, message):
        """Write a record as operators and executors do; None drops the key."""
        value = b"" if message is None else json.dumps(message).encode()
        return self.topic(topic).append([keyed(key, value)])

    def read_key(self, topic, key):
        """Return the newest value of a key, None if there is none."""
        found = self.topic(topic).newest.get(key.encode())
        return found[0] if found else None


class StorePort(Server):
    """Port of the store for one entry.

    Attributes
    ----------
    mode : str
        Disruption: "", "busy" (503), "reset" or "silent".
    delay_s : float
        Disruption: further time of each answer.
    lost_share : float
        Disruption: share of the appends that are done and not answered.
    late : bool
        Whether such appends are done 1 to 6 s later.
    """

    def __init__(self, store, host="127.0.0.1"):
        super().__init__(host)
        self.store = store
        self.mode = ""
        self.delay_s = 0.0
        self.lost_share = 0.0
        self.late = False
        self.rng = random.Random(1)
        self._tasks = set()

    async def answer(self, req):
        """Answer a call, or not, as the disruption says."""
        body = await req.read()
        if self.mode == "busy":
            return web.Response(status=503)
        if self.mode == "reset":
            return drop(req)
        if self.mode == "silent":
            await hang()
        await asyncio.sleep(ANSWER_S + self.delay_s)
        partition = self.store.topic(req.query["Topic"])
        partition.expire()
        if req.path == "/log-append":
            return await self._append(req, partition, body)
        if req.path == "/log-newest":
            return self._newest(partition, req.query.get("DependsOn", ""))
        return await self._read(partition, req.query)

    async def _append(self, req, partition, body):
        is_lost = self.rng.random() < self.lost_share
        if is_lost and self.late:
            self._later(partition, req.query, body)
        else:
            answer = await self._apply(partition, req.query, body)
        if is_lost:
            await hang()
        return answer

    def _later(self, partition, query, body):
        async def run():
            await asyncio.sleep(self.rng.uniform(1, 6))
            await self._apply(partition, query, body)

        task = asyncio.ensure_future(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _apply(self, partition, query, body):
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            return self._apply_now(partition, query, split_records(body))

    @staticmethod
    def _apply_now(partition, query, contents):
        name = query.get("Producer")
        if name is None:
            return web.json_response(partition.append(contents))
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        last_epoch, last, answers = partition.producers.get(name, (-1, -1, {}))
        if epoch < last_epoch:
            return web.json_response({"Reason": "fenced"}, status=409)
        if epoch > last_epoch:
            answers = {}
        elif sequence in answers:
            return web.json_response(answers[sequence])
        elif sequence != last + 1:
            reason = {"Reason": "seq", "Sequence": last + 1}
            return web.json_response(reason, status=409)
        answer = partition.append(contents)
        kept = dict(list(answers.items())[-4:])
        partition.producers[name] = (epoch, sequence, {**kept, sequence: answer})
        return web.json_response(answer)

    async def _read(self, partition, query):
        start = int(query["From"])
        if start < partition.first:
            return web.json_response({"First": partition.first}, status=410)
        if start >= partition.end:
            appended = partition.appended
            try:
                async with asyncio.timeout(int(query.get("WaitMs", 0)) / 1000):
                    await appended.wait()
            except TimeoutError:
                pass
        if self.mode:
            await hang()
        body = bytearray(HEADER.pack(partition.end, partition.first))
        limit = int(query.get("MaxKb", 1024)) * 1024
        for content in partition.records[max(0, start - partition.first) :]:
            if len(body) > HEADER.size and len(body) + len(content) > limit:
                break
            body += LENGTH.pack(len(content)) + content
        return web.Response(body=bytes(body))

    @staticmethod
    def _newest(partition, after):
        rows, size, more = [], 0, False
        for key in sorted(partition.newest):
            if key <= after.encode():
                continue
            value, offset = partition.newest[key]
            if len(rows) == PAGE_ITEMS or size + len(value) > PAGE_BYTES:
                more = True
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            rows.append({"Key": key.decode(), "Value": text, "Offset": offset})
        answer = {"items": rows, "HasMore": more, "End": partition.end}
        return web.json_response(answer)


# Executors


class Run:
    """A run of a task on an executor."""

    def __init__(self, task, run_id, executor, checkpoint, token):
        self.task = task
        self.run_id = run_id
        self.executor = executor
        self.token = token
        self.born = executor.born
        self.started_at = now()
        self.saved = checkpoint
        self.worked_s = 0.0
        self.goal_s = 0.0
        self.how = "done"
        self.is_stopping = False
        self.timer = None
        self.key = (task, run_id)

    @property
    def group(self):
        """Step and run number that the members of a gang share."""
        return self.task.rpartition(".")[0], self.run_id


class Executor(Server):
    """An executor with its runs.

    Parameters
    ----------
    name : str
        Id.
    plan : Plan
        What each task does.
    store : Store
        Store that it registers in.
    record : Record
        Receives what it is told and what it runs.
    service, labels, capacity
        As registered.

    Attributes
    ----------
    is_cut : bool
        Disruption: no call arrives and no answer leaves; what runs works on.
    reaches_store : bool
        Whether its heartbeats arrive at the store.
    """

    def __init__(self, name, plan, store, record, service, labels, capacity):
        super().__init__()
        self.name = name
        self.plan = plan
        self.store = store
        self.record = record
        self.service = service
        self.labels = labels
        self.capacity = capacity
        self.is_up = False
        self.is_cut = False
        self.reaches_store = True
        self.is_draining = False
        self.clock_rate = 1.0
        self.late_share = 0.0
        self.grey = ""
        self.rng = random.Random(name)
        self.born = 0
        self.sequence = 0
        self.uncut = asyncio.Event()
        self._tasks = set()
        self._beat = None

    def _begin_life(self):
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.clock_origin = now() - self.rng.uniform(1, 400)
        self.runs = {}
        self.barred = {}
        self.ends = []
        self.end_number = 0
        self.token = 0
        self.lease_until = 0.0
        self.has_lapsed = True
        self.lapse_timer = None
        self.ended = asyncio.Event()
        self.sequence = 0

    async def start(self):
        """Begin a life: listen and register."""
        self._begin_life()
        self.is_up = True
        await super().start()
        self.record.add("executor-up", id=self.name, born=self.born)
        self._beat = asyncio.ensure_future(self._beats())

    async def crash(self):
        """End this life at once."""
        self.record.add("executor-crash", id=self.name, runs=len(self.runs))
        self.is_up = False
        self._beat.cancel()
        if self.lapse_timer is not None:
            self.lapse_timer.cancel()
        for run in list(self.runs.values()):
            self._end(run, "lost", is_listed=False)
        await self.stop()

    async def _beats(self):
        while self.is_up:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        """Write the report about itself to the store."""
        if not self.reaches_store:
            return
        self.sequence += 1
        self.store.put(
            "keyed.servers",
            self.name,
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": "z1",
                "Version": "v1",
                "Slots": 8,
                "State": "draining" if self.is_draining else "ready",
                "ColdLeftMs": 0,
                "Capacity": self.capacity,
                "Labels": self.labels,
                "ClockMs": self.clock_ms(),
                "born": self.born,
                "Sequence": self.sequence,
            },
        )

    def clock_ms(self):
        """Return its own steady clock in milliseconds."""
        return round((now() - self.clock_origin) * 1000 * self.clock_rate)

    # Calls

    async def answer(self, req):
        """Carry a call out and answer it, as far as the disruption lets it."""
        body = await req.read()
        if self.is_cut:
            await hang()
        if not self.is_up:
            return drop(req)
        if self.grey == "busy" and self.rng.random() < 0.6:
            return web.Response(status=503)
        if self.grey == "hang" and self.rng.random() < 0.4:
            await hang()
        order = json.loads(body)
        born = self.born
        if "Task" in order and self.rng.random() < self.late_share:
            self._later(req.path, req.headers.get("Expect-Instance"), order)
            await hang()
        resp = await self._carry_out(req.path, req.headers, order)
        if self.is_cut:
            await hang()
        if born != self.born or not self.is_up:
            return drop(req)
        if self.grey == "mute" and self.rng.random() < 0.4:
            await hang()
        return resp

    def _later(self, path, name, order):
        async def run():
            await asyncio.sleep(self.rng.uniform(2, 12))
            if self.is_up:
                await self._carry_out(path, {"Expect-Instance": name}, order, True)

        task = asyncio.ensure_future(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(self, path, headers, order, is_late=False):
        if headers.get("Expect-Instance", self.name) != self.name:
            return web.Response(status=421)
        token = order.get("FencingToken", 0)
        self.check_lease()
        if token < self.token:
            return self._say(409, Reason="fence")
        self.token = token
        if path == "/hold":
            return await self._hold(order)
        if path == "/run-start":
            return self._start(order, is_late)
        return self._stop(order) if path == "/run-stop" else self._say()

    def _say(self, status=200, **fields):
        message = {"ClockMs": self.clock_ms(), "born": self.born, **fields}
        return web.json_response(message, status=status)

    def _extend(self, expires_ms):
        if expires_ms is None:
            return
        until_ms = min(expires_ms, self.clock_ms() + HOLD_MAX_MS)
        until = self.clock_origin + until_ms / 1000 / self.clock_rate
        self.lease_until = max(self.lease_until, until)
        self.has_lapsed = self.lease_until <= now()
        if self.lapse_timer is not None:
            self.lapse_timer.cancel()
        self.lapse_timer = asyncio.get_running_loop().call_later(
            max(0.0, self.lease_until - now()), self.check_lease
        )

    def check_lease(self):
        """Kill everything if the lease has expired."""
        if now() < self.lease_until:
            return
        if not self.has_lapsed:
            self.has_lapsed = True
            self.record.add("lapse", id=self.name)
        for run in list(self.runs.values()):
            self._end(run, "lapsed")

    def _start(self, order, is_late):
        task, run_id = order["Task"], order["RunId"]
        known = self.runs.get(task)
        if known is not None and known.run_id == run_id:
            self._extend(order["ExpiresMs"])
            return self._say()
        if order["ExpiresMs"] <= self.clock_ms():
            return self._say(409, Reason="late")
        if run_id <= self.barred.get(task, 0):
            self._extend(order["ExpiresMs"])
            return self._say(409, Reason="old")
        if not self.plan.is_permitted(task, self, order.get("Ticket", "")):
            return self._say(409, Reason="ticket")
        self._extend(order["ExpiresMs"])
        run = Run(task, run_id, self, order.get("Checkpoint", ""), self.token)
        self.runs[task] = run
        self.record.add(
            "start",
            task=task,
            run=run_id,
            at=self.name,
            born=self.born,
            token=self.token,
            late=is_late,
            checkpoint=order.get("Checkpoint", ""),
            payload=order["Spec"][:40],
        )
        self.plan.begin(run)
        return self._say()

    def _stop(self, order):
        task, run_id = order["Task"], order["RunId"]
        self.barred[task] = max(run_id, self.barred.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.run_id == run_id and not run.is_stopping:
            run.is_stopping = True
            self.record.add("stop-order", task=task, run=run_id, at=self.name)
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(0.01, 0.1), self._finish_stop, run)
        return self._say()

    def _finish_stop(self, run):
        if self.runs.get(run.task) is run:
            self.plan.save(run)
            self._end(run, "stopped")

    async def _hold(self, order):
        self._extend(order.get("ExpiresMs"))
        acked = order.get("AckedThrough", 0)
        for end in self.ends:
            if end[0] <= acked:
                self.record.add("acked", task=end[1], run=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > acked]
        if not self.ends and order.get("WaitMs"):
            ended = self.ended
            try:
                async with asyncio.timeout(order["WaitMs"] / 1000):
                    await ended.wait()
            except TimeoutError:
                self.check_lease()
        rows = [
            [run.task, run.run_id, run.saved, self.plan.percent(run), 0]
            for run in self.runs.values()
        ]
        return self._say(Running=rows, Finished=self.ends[:MAX_ENDS])

    def finish(self, run, how):
        """End a run by itself."""
        if self.runs.get(run.task) is run:
            self.check_lease()
        if self.runs.get(run.task) is run:
            self._end(run, how)

    def _end(self, run, how, is_listed=True):
        if self.runs.get(run.task) is not run:
            # Another member of its gang has ended it already.
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.barred[run.task] = max(run.run_id, self.barred.get(run.task, 0))
        self.record.add(
            "end", task=run.task, run=run.run_id, at=self.name, born=self.born, how=how
        )
        if is_listed:
            self.end_number += 1
            self.ends.append([self.end_number, run.task, run.run_id, how, run.saved])
            self.ended.set()
            self.ended = asyncio.Event()
        self.plan.ended(run, how)


class Plan:
    """What the tasks of each job do.

    Attributes
    ----------
    jobs : dict of str to dict
        Submitted jobs, by id.
    durations_s : dict of str to float
        Time that each task of a job works; 2 s if a job is not named.
    fail_share : float
        Share of the runs that fail through their own fault.
    """

    def __init__(self, rng):
        self.rng = rng
        self.jobs = {}
        self.durations_s = {}
        self.fail_share = 0.0
        self.gangs = {}
        self.issued = {}
        self.advised = set()
        self.tickets = {}

    def is_permitted(self, task, executor, ticket):
        """Return whether a start carries the ticket that its queue demands."""
        if task.split(".")[0] not in self.advised:
            return True
        step, name, born, until = self.tickets.get(ticket, ("", "", 0, 0.0))
        is_for_task = step == task.rpartition(".")[0]
        is_for_life = (name, born) == (executor.name, executor.born)
        return is_for_task and is_for_life and now() < until

    def issue_ticket(self, step, executor, valid_ms):
        """Return a ticket for a step on the present life of an executor."""
        text = f"t{len(self.tickets):x}-{executor.name}"
        until = now() + valid_ms / 1000
        self.tickets[text] = (step, executor.name, executor.born, until)
        return text

    def step(self, task):
        """Return the step of a task, empty if nobody submitted it."""
        job, _, number, _ = task.split(".")
        spec = self.jobs.get(job)
        steps = spec["Steps"] if spec else []
        return steps[int(number)] if int(number) < len(steps) else {}

    def begin(self, run):
        """Let a run begin its work."""
        step = self.step(run.task)
        run.goal_s = self.durations_s.get(run.task.split(".")[0], 2.0)
        run.goal_s *= self.rng.uniform(0.9, 1.1)
        if run.saved:
            run.worked_s = self.issued.get(run.saved, (0, 0.0))[1]
        if self.rng.random() < self.fail_share:
            run.how = "failed"
            run.goal_s = run.worked_s + (run.goal_s - run.worked_s) * 0.5
        loop = asyncio.get_running_loop()
        if step.get("Gang"):
            self._join(run, step, loop)
        else:
            self._work(run, step, loop)

    def _work(self, run, step, loop):
        run.begun_at = now() + (RESTORE_S if run.saved else 0)
        if step.get("LongRunning"):
            return
        left = run.begun_at - now() + max(0.01, run.goal_s - run.worked_s)
        run.timer = loop.call_later(left, self._finish, run)

    def _join(self, run, step, loop):
        members = self.gangs.setdefault(run.group, [])
        members.append(run)
        if len(members) < step.get("Count", 1):
            run.timer = loop.call_later(GANG_S, run.executor.finish, run, "alone")
            return
        for member in members:
            if member.timer is not None:
                member.timer.cancel()
            member.goal_s = members[0].goal_s
            member.how = members[0].how
            member.begun_at = now() + (RESTORE_S if member.saved else 0)
        left = max(0.01, members[0].goal_s - members[0].worked_s)
        run.timer = loop.call_later(left, self._finish_gang, run.group)

    def _finish_gang(self, group):
        members = self.gangs.get(group, [])
        for position, run in enumerate(list(members)):
            if run.executor.runs.get(run.task) is not run:
                continue
            how = members[0].how
            if how == "failed" and position:
                how = "broken"
            run.executor.finish(run, how)

    def _finish(self, run):
        run.executor.finish(run, run.how)

    def ended(self, run, how):
        """Break the other members of a gang off if one has ended otherwise."""
        members = self.gangs.get(run.group)
        if members is None or run not in members:
            return
        members.remove(run)
        if how == "done":
            return
        for other in list(members):
            if hasattr(other, "begun_at"):
                other.executor.finish(other, "broken")

    def percent(self, run):
        """Return how far a run is; also saves its progress."""
        begun_at = getattr(run, "begun_at", None)
        if begun_at is None or now() < begun_at:
            return 0
        step = self.step(run.task)
        if step.get("LongRunning"):
            return 100 if now() - begun_at > 0.3 else 50
        self.save(run)
        done_s = run.worked_s + now() - begun_at
        return max(0, min(99, int(100 * done_s / max(0.01, run.goal_s))))

    def save(self, run):
        """Produce a checkpoint for each second of work."""
        begun_at = getattr(run, "begun_at", None)
        if begun_at is None or not self.step(run.task).get("Checkpointed"):
            return
        done_s = run.worked_s + max(0.0, now() - begun_at)
        done_s = int(done_s / CHECKPOINT_S) * CHECKPOINT_S
        known_s = self.issued.get(run.saved, ("", 0.0))[1] if run.saved else 0.0
        if done_s > known_s:
            unit = run.group[0] if self.step(run.task).get("Gang") else run.task
            text = hashlib.sha256(f"{unit}/{done_s}".encode()).hexdigest()[:16]
            self.issued[text] = (unit, done_s)
            run.saved = text


# The policy service


class PolicyPort(Server):
    """The policy service as one entry reaches it.

    Parameters
    ----------
    plan : Plan
        Issues the tickets.
    executors : dict of str to Executor
        All executors.
    allows : callable
        Returns whether an executor may run a step.
    """

    def __init__(self, plan, executors, allows, decide_ms, each_ms, valid_ms):
        super().__init__()
        self.plan = plan
        self.executors = executors
        self.allows = allows
        self.decide_ms = decide_ms
        self.each_ms = each_ms
        self.valid_ms = valid_ms
        self.lock = asyncio.Lock()
        self.waiting = 0

    async def answer(self, req):
        """Answer a query, one at a time."""
        query = json.loads(await req.read())
        if self.waiting >= MAX_WAITING_QUERIES:
            return web.Response(status=429)
        self.waiting += 1
        try:
            async with self.lock:
                wait_ms = self.decide_ms + self.each_ms * len(query["Workers"])
                await asyncio.sleep(wait_ms / 1000)
        finally:
            self.waiting -= 1
        step = query["Step"]
        good = [
            [name, self.plan.issue_ticket(step, self.executors[name], self.valid_ms)]
            for name in query["Workers"]
            if name in self.executors and self.allows(step, name)
        ]
        return web.json_response({"Good": good, "ValidMs": self.valid_ms})
