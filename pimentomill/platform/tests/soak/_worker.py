"""Stand-in for a worker that speaks the platform's wire protocol."""

import asyncio

from aiohttp import web

from pimentomill.platform.tests.fake_wire import LoopbackServer

__all__ = ["STANDING_PAYLOAD", "WireWorker"]

MAX_LEASE_MS = 6000
INITIAL_CLOCK_S = 1.0
"""Reading of the clock of a worker that has restarted."""
STANDING_PAYLOAD = "standing"
"""Payload of tasks that run until they are stopped."""


class WireWorker(LoopbackServer):
    """Run tasks for a random time, guarded by a lease and a fencing token.

    Parameters
    ----------
    name : str
        Name, which it keeps over restarts.
    ledger : Ledger
        Ledger that records all runs.
    draw_duration_s : callable
        Returns the duration of the next task in seconds.
    capacity : int
        CPU capacity in thousandths of a core.
    cpu_by_job : dict of str to int
        CPU demand of each task, in thousandths of a core, by job.
    data_centre : str, default=""
        Name of its data centre.
    clock_rate : float, default=1.0
        Rate of its clock.

    Attributes
    ----------
    born : int
        Time of the start of its present life, as registered.
    is_up : bool
        Whether it answers.
    delays_s : dict of (str, str) to float
        Time in seconds that the orders of one path for one job take on their way.
    sent, arrived : set of (str, str)
        Path and job of the orders that were sent, and of those that are not on their
        way any more.
    """

    def __init__(
        self,
        name,
        ledger,
        draw_duration_s,
        capacity,
        cpu_by_job,
        data_centre="",
        clock_rate=1.0,
    ):
        super().__init__()
        self.name = name
        self.ledger = ledger
        self.draw_duration_s = draw_duration_s
        self.capacity = capacity
        self.cpu_by_job = cpu_by_job
        self.data_centre = data_centre
        self.clock_rate = clock_rate
        self.born = 1
        self.is_up = True
        self.delays_s = {}
        self.sent = set()
        self.arrived = set()
        self.end_recorded = asyncio.Event()
        self._begin_life(clock_origin=0.0)

    def _begin_life(self, clock_origin):
        self.clock_origin = clock_origin
        self.running = {}
        self.highest_run_ids = {}
        self.pending_ends = []
        self.end_count = 0
        self.token = 0
        self.lease_expires_at = 0.0
        self.has_lease = False
        self.lapses = []

    def now(self):
        return asyncio.get_running_loop().time()

    async def crash(self):
        """End this incarnation and all its runs without reporting their ends."""
        self.lose_life()
        await self.stop()

    def lose_life(self):
        """End all runs without reporting their ends, and answer no more."""
        self.is_up = False
        for task in list(self.running):
            self._end(task, "lapsed", is_reported=False)

    def restart(self):
        """Begin a new life, which knows nothing of the one before."""
        self.born += 1
        self._begin_life(self.now() - INITIAL_CLOCK_S)
        self.is_up = True

    def check_lease(self):
        """End all runs if the lease has lapsed, which no timer does."""
        if self.now() <= self.lease_expires_at:
            return
        for task in list(self.running):
            self._end(task, "lapsed")
        if self.has_lease:
            self.lapses.append(self.lease_expires_at)
        self.has_lease = False

    def _end(self, task, outcome, is_reported=True):
        run_id, run, timer = self.running.pop(task)
        if timer is not None:
            timer.cancel()
        self.ledger.record_end(run, outcome == "done", self.now())
        if is_reported:
            self.end_count += 1
            self.pending_ends.append((self.end_count, task, run_id, outcome, run))
            self.end_recorded.set()
            self.end_recorded = asyncio.Event()

    def _extend_lease(self, until_ms):
        if until_ms is not None:
            latest_ms = self._clock_ms() + MAX_LEASE_MS
            until = self._to_time(min(until_ms, latest_ms))
            self.lease_expires_at = max(self.lease_expires_at, until)
            self.has_lease = self.lease_expires_at > self.now()

    def _clock_ms(self):
        return (self.now() - self.clock_origin) * 1000 * self.clock_rate

    def _to_time(self, clock_ms):
        return self.clock_origin + clock_ms / 1000 / self.clock_rate

    async def _delay(self, path, job):
        self.sent.add((path, job))
        if (path, job) in self.delays_s:
            await asyncio.sleep(self.delays_s[path, job])
        self.arrived.add((path, job))

    async def _handle(self, req):
        if not self.is_up:
            return self._abort(req)
        if req.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421)
        order = await req.json()
        if "Task" in order:
            await self._delay(req.path, order["Task"].split(".")[0])
        self.check_lease()
        if order["FencingToken"] < self.token:
            return self._reject("fence")
        self.token = order["FencingToken"]
        if req.path == "/run-start":
            return self._start(order)
        if req.path == "/run-stop":
            return self._stop(order)
        born = self.born
        answer = await self._hold(order)
        return answer if born == self.born and self.is_up else self._abort(req)

    @staticmethod
    def _abort(req):
        if req.transport is not None:
            req.transport.abort()
        return web.Response(status=503)

    def _answer(self, status=200, **fields):
        message = {"ClockMs": round(self._clock_ms()), "born": self.born, **fields}
        return web.json_response(message, status=status)

    def _reject(self, reason):
        return self._answer(409, Reason=reason)

    def _start(self, order):
        task, run_id = order["Task"], order["RunId"]
        if task in self.running and self.running[task][0] == run_id:
            self._extend_lease(order["ExpiresMs"])
            return self._answer()
        if self._to_time(order["ExpiresMs"]) <= self.now():
            return self._reject("late")
        if run_id <= self.highest_run_ids.get(task, 0):
            return self._reject("old")
        self._extend_lease(order["ExpiresMs"])
        self.highest_run_ids[task] = run_id
        self.ledger.check_evacuation(task, self)
        run = self.ledger.record_start(task, self, self.now())
        timer = None
        if order["Spec"] != STANDING_PAYLOAD:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(self.draw_duration_s(), self._finish, task)
        self.running[task] = (run_id, run, timer)
        used = sum(self.cpu_by_job[name.split(".")[0]] for name in self.running)
        self.ledger.check_capacity(self, used)
        return self._answer()

    def _finish(self, task):
        self.check_lease()
        if task in self.running:
            self._end(task, "done")

    def _stop(self, order):
        task, run_id = order["Task"], order["RunId"]
        self.highest_run_ids[task] = max(run_id, self.highest_run_ids.get(task, 0))
        if task in self.running and self.running[task][0] == run_id:
            self._end(task, "stopped")
        return self._answer()

    async def _hold(self, order):
        self._extend_lease(order.get("ExpiresMs"))
        acked_through = order["AckedThrough"]
        for number, task, _, _, run in self.pending_ends:
            if number <= acked_through:
                lapsed_at = next((at for at in self.lapses if at > run.ended_at), None)
                self.ledger.record_acknowledged(task, run, lapsed_at)
        self.pending_ends = [end for end in self.pending_ends if end[0] > acked_through]
        if not self.pending_ends and order.get("WaitMs"):
            end_recorded = self.end_recorded
            try:
                async with asyncio.timeout(order["WaitMs"] / 1000):
                    await end_recorded.wait()
            except TimeoutError:
                self.check_lease()
        running = [
            [task, run_id, "", 100 if timer is None else 50, 0]
            for task, (run_id, _, timer) in self.running.items()
        ]
        ends = [[*end[:4], ""] for end in self.pending_ends]
        return self._answer(Running=running, Finished=ends)
