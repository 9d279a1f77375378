"""Stand-in of an executor."""

import asyncio
import contextlib
import json
import random
import time

from aiohttp import web

from .record import Record
from .store import Store

__all__ = ["Executor", "Run"]

HEARTBEAT_S = 1.5
TICK_S = 0.02
LASTING_STARTUP_S = 0.3
MAX_ENDS = 500
SILENCE_S = 60.0
IDLE_CONNECTION_S = 3.0
"""Time after which an executor closes a connection without calls."""


class Run:
    """One run of a task, as seen by its executor.

    Attributes
    ----------
    started_at, ended_at : float
        Seconds of the record; `ended_at` is None while it runs.
    how : str
        How it ended; "crashed" if it was lost with its executor.
    noted_at : float or None
        When `AckedThrough` reached its end.
    """

    def __init__(self, task: str, number: int, executor: str, now: float) -> None:
        self.task = task
        self.number = number
        self.executor = executor
        self.started_at = now
        self.ended_at: float | None = None
        self.how = ""
        self.noted_at: float | None = None


class _Life:
    """State of one incarnation."""

    def __init__(self) -> None:
        self.born_ms = time.time_ns() // 1_000_000
        self.started = time.monotonic()
        self.token = 0
        self.lease_until_ms = 0.0
        self.running: dict[str, tuple[Run, float | None]] = {}
        self.finished: list[tuple[int, Run]] = []
        self.highest_ended: dict[str, int] = {}
        self.end_count = 0
        self.has_ended = asyncio.Event()
        self.is_over = False

    def clock_ms(self) -> int:
        """Return the reading of the executor's steady clock, which starts anew."""
        return 1000 + round((time.monotonic() - self.started) * 1000)


class Executor:
    """Serve the orders of the system and run tasks for a given time.

    The payload of a job is JSON with the duration of its tasks, `{"ms": 300}`.

    Parameters
    ----------
    name, service, zone : str
        Id, service and zone.
    labels : list of str
        Kind and rack.
    cpu : int
        Capacity in thousandths of a core.
    store : Store
        Store to register in.
    record : Record
        Record of the run.
    hold_max_ms : int
        Longest lease.

    Attributes
    ----------
    runs : list of Run
        All runs that were started.
    is_unhealthy : bool
        Whether starts are rejected with 503.
    held_at : float
        Seconds of the record at which the last hold arrived.
    max_token : int or None
        Calls with a higher token get no answer and have no effect: the path to the
        entry that leads with it is cut. With None, no path is cut.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        labels: list[str],
        cpu: int,
        store: Store,
        record: Record,
        hold_max_ms: int = 6000,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.store = store
        self.record = record
        self.hold_max_ms = hold_max_ms
        self.runs: list[Run] = []
        self.starts_refused = 0
        self.is_unhealthy = False
        self.is_up = False
        self.port = 0
        self.max_token: int | None = None
        self.held_at = 0.0
        self._sequence = 0
        self._life = _Life()
        self._server: web.Server | None = None
        self._site: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []

    # Lifecycle

    async def start(self, register: bool = True) -> None:
        """Begin a life: serve and register."""
        life = self._life = _Life()
        self._server = web.Server(
            lambda req: self._handle(req, life),
            access_log=None,
            keepalive_timeout=IDLE_CONNECTION_S,
        )
        loop = asyncio.get_running_loop()
        self._site = await loop.create_server(
            self._server, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self._site.sockets[0].getsockname()[1]
        self.is_up = True
        self.record.write(f"executor {self.name}: up, born {life.born_ms}")
        if register:
            self._register()
        if not self._tasks:
            self._tasks = [
                loop.create_task(self._beat()),
                loop.create_task(self._tick()),
            ]

    async def stop(self) -> None:
        """End for good, at the end of the script."""
        for task in self._tasks:
            task.cancel()
        if self.is_up:
            self.kill()

    def kill(self) -> None:
        """End the life: connections are reset, and the address refuses new ones."""
        self._end_life()
        self._site.close()
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def lose_power(self) -> None:
        """End the life silently: connections stay open without an answer."""
        self._end_life()

    async def restart_after_power_loss(self, register: bool = True) -> None:
        """Begin a new life at the same address; old connections stay silent.

        Without `register`, the entry in the store changes with the next heartbeat.
        """
        self._site.close()
        await asyncio.sleep(0)
        await self.start(register)

    def _end_life(self) -> None:
        self.is_up = False
        life = self._life
        life.is_over = True
        for run, _ in life.running.values():
            run.ended_at = self.record.now()
            run.how = "crashed"
        lost = [f"{run.task}/{run.number}" for run, _ in life.running.values()]
        self.record.write(f"executor {self.name}: down, lost {lost}")
        life.running.clear()

    # Registration

    def _register(self) -> None:
        self._sequence += 1
        life = self._life
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 64000, "Gpu": 0},
            "Labels": self.labels,
            "ClockMs": life.clock_ms(),
            "born": life.born_ms,
            "Sequence": self._sequence,
        }
        self.store.put("keyed.servers", self.name, entry)

    async def _beat(self) -> None:
        # Executors do not write at the same moments.
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                self._register()

    # Runs

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._update()

    def _update(self) -> None:
        """End the runs that are done, and all runs once the lease has lapsed."""
        life = self._life
        now = time.monotonic()
        for task, (_, done_at) in list(life.running.items()):
            if done_at is not None and now >= done_at:
                self._end(task, "done")
        if life.running and life.clock_ms() >= life.lease_until_ms:
            for task in list(life.running):
                self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        life = self._life
        run, _ = life.running.pop(task)
        run.ended_at = self.record.now()
        run.how = how
        life.highest_ended[task] = max(run.number, life.highest_ended.get(task, 0))
        life.end_count += 1
        life.finished.append((life.end_count, run))
        life.has_ended.set()
        life.has_ended = asyncio.Event()
        self.record.write(f"executor {self.name}: {task}/{run.number} ended {how}")

    # Orders

    async def _handle(self, req: web.BaseRequest, life: _Life) -> web.Response:
        body = await req.read()
        if life.is_over:
            return await self._ignore(req, life)
        if req.path == "/health":
            return web.Response(status=503 if self.is_unhealthy else 200)
        if req.headers.get("Expect-Instance", self.name) != self.name:
            return web.Response(status=421)
        order = json.loads(body)
        if self.max_token is not None and order["FencingToken"] > self.max_token:
            return await self._ignore(req, life)
        self._update()
        return await self._obey(req, order, life)

    async def _obey(
        self, req: web.BaseRequest, order: dict, life: _Life
    ) -> web.Response:
        """Carry out an order unless a higher token has been seen."""
        token = order["FencingToken"]
        if token < life.token:
            self.record.write(
                f"executor {self.name}: {req.path} with token {token} rejected, "
                f"seen {life.token}"
            )
            return self._answer(409, Reason="fence")
        life.token = token
        if req.path == "/run-start":
            return self._start(order, life)
        if req.path == "/run-stop":
            return self._stop(order, life)
        if req.path == "/hold":
            return await self._hold(req, order, life)
        return self._answer(200)

    async def _ignore(self, req: web.BaseRequest, life: _Life) -> web.Response:
        """Leave a request unanswered.

        A machine that is back resets the connections that it does not know.
        """
        while life is self._life and not self.is_up:
            await asyncio.sleep(TICK_S)
        if life is not self._life and req.transport is not None:
            req.transport.abort()
        elif req.transport is not None:
            await asyncio.sleep(SILENCE_S)
        return web.Response(status=503)

    def _answer(self, status: int, **fields) -> web.Response:
        life = self._life
        message = {"ClockMs": life.clock_ms(), "born": life.born_ms, **fields}
        return web.json_response(message, status=status)

    def _start(self, order: dict, life: _Life) -> web.Response:
        task, number = order["Task"], order["RunId"]
        if self.is_unhealthy:
            self.starts_refused += 1
            self.record.write(f"executor {self.name}: start {task}/{number} -> 503")
            return web.Response(status=503)
        running = life.running.get(task)
        if running is not None and running[0].number == number:
            return self._answer(200)
        if order["ExpiresMs"] <= life.clock_ms():
            return self._answer(409, Reason="late")
        self._extend_lease(order["ExpiresMs"], life)
        highest = life.highest_ended.get(task, 0)
        if running is not None or number <= highest:
            return self._answer(409, Reason="old")
        run = Run(task, number, self.name, self.record.now())
        self.runs.append(run)
        work_ms = json.loads(order["Spec"]).get("ms")
        done_at = None if work_ms is None else time.monotonic() + work_ms / 1000
        life.running[task] = (run, done_at)
        self.record.write(
            f"executor {self.name}: start {task}/{number} token "
            f"{order['FencingToken']} -> 200"
        )
        return self._answer(200)

    def _stop(self, order: dict, life: _Life) -> web.Response:
        task, number = order["Task"], order["RunId"]
        self.record.write(f"executor {self.name}: stop {task}/{number}")
        life.highest_ended[task] = max(number, life.highest_ended.get(task, 0))
        running = life.running.get(task)
        if running is not None and running[0].number == number:
            self._end(task, "stopped")
        return self._answer(200)

    def _extend_lease(self, until_ms: int | None, life: _Life) -> None:
        if until_ms is not None:
            limit = life.clock_ms() + self.hold_max_ms
            life.lease_until_ms = max(life.lease_until_ms, min(until_ms, limit))

    async def _hold(
        self, req: web.BaseRequest, order: dict, life: _Life
    ) -> web.Response:
        self.held_at = self.record.now()
        self._extend_lease(order.get("ExpiresMs"), life)
        self._note_ends(order["AckedThrough"], life)
        wait_s = order.get("WaitMs", 0) / 1000
        if wait_s and not life.finished:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(life.has_ended.wait(), wait_s)
        if life.is_over:
            # The answer is lost with the machine; nothing resets the connection.
            await asyncio.sleep(SILENCE_S)
        self._update()
        running = [self._running_row(*item) for item in life.running.values()]
        finished = [
            [number, run.task, run.number, run.how, ""]
            for number, run in life.finished[:MAX_ENDS]
        ]
        return self._answer(200, Running=running, Finished=finished)

    def _note_ends(self, acked_through: int, life: _Life) -> None:
        for number, run in life.finished:
            if number <= acked_through:
                run.noted_at = self.record.now()
                self.record.write(
                    f"executor {self.name}: end {number} of {run.task}/{run.number} "
                    f"({run.how}) forgotten, AckedThrough {acked_through}"
                )
        life.finished = [item for item in life.finished if item[0] > acked_through]

    def _running_row(self, run: Run, done_at: float | None) -> list:
        elapsed_s = self.record.now() - run.started_at
        if done_at is None:
            percent = min(100, round(100 * elapsed_s / LASTING_STARTUP_S))
        else:
            left_s = max(0.0, done_at - time.monotonic())
            percent = min(99, round(100 * elapsed_s / (elapsed_s + left_s + 1e-9)))
        return [run.task, run.number, "", percent, 0]
