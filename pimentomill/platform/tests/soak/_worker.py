"""Stand-in of a worker, in the wire's form."""

import asyncio

from aiohttp import web

from pimentomill.platform.tests.fake_wire import LoopbackServer

__all__ = ["WireWorker"]

LONGEST_LEASE_S = 6.0


class WireWorker(LoopbackServer):
    """Runs tasks for a while, under a lease and a fencing token.

    Parameters
    ----------
    name : str
        Name of this life.
    ledger : Ledger
        Where runs are noted.
    seconds : callable
        Returns how long the next task takes.
    capacity : int
        Processor in thousandths of a core.
    costs : dict of str to int
        Processor of a task by job.
    """

    def __init__(self, name, ledger, seconds, capacity, costs):
        super().__init__()
        self.name = name
        self.ledger = ledger
        self.seconds = seconds
        self.capacity = capacity
        self.costs = costs
        self.running = {}
        self.highest = {}
        self.ends = []
        self.numbered = 0
        self.token = 0
        self.lease_until = 0.0
        self.ended = asyncio.Event()

    def now(self):
        return asyncio.get_running_loop().time()

    async def crash(self):
        """End this life with all that runs."""
        for task in list(self.running):
            self._end(task, "lapsed", listed=False)
        await self.stop()

    def _check_lease(self):
        if self.running and self.now() > self.lease_until:
            for task in list(self.running):
                self._end(task, "lapsed")

    def _end(self, task, how, listed=True):
        number, run, timer = self.running.pop(task)
        timer.cancel()
        self.ledger.note_end(run, how == "done", self.now())
        if listed:
            self.numbered += 1
            self.ends.append((self.numbered, task, number, how, run))
            self.ended.set()
            self.ended = asyncio.Event()

    def _extend(self, until_ms):
        if until_ms is not None:
            longest = self.now() + LONGEST_LEASE_S
            self.lease_until = max(self.lease_until, min(until_ms / 1000, longest))

    async def _handle(self, req):
        if req.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421)
        order = await req.json()
        self._check_lease()
        if order["FencingToken"] < self.token:
            return self._refuse("fence")
        self.token = order["FencingToken"]
        if req.path == "/run-start":
            return self._start(order)
        if req.path == "/run-stop":
            return self._stop(order)
        return await self._hold(order)

    def _answer(self, status=200, **fields):
        clock = round(self.now() * 1000)
        return web.json_response({"ClockMs": clock, "born": 1, **fields}, status=status)

    def _refuse(self, reason):
        return self._answer(409, Reason=reason)

    def _start(self, order):
        task, number = order["Task"], order["RunId"]
        if task in self.running and self.running[task][0] == number:
            self._extend(order["ExpiresMs"])
            return self._answer()
        if order["ExpiresMs"] / 1000 <= self.now():
            return self._refuse("late")
        if number <= self.highest.get(task, 0):
            return self._refuse("old")
        self._extend(order["ExpiresMs"])
        self.highest[task] = number
        run = self.ledger.note_start(task, self, self.now())
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self.seconds(), self._finish, task)
        self.running[task] = (number, run, timer)
        used = sum(self.costs[name.split(".")[0]] for name in self.running)
        self.ledger.check_room(self, used)
        return self._answer()

    def _finish(self, task):
        self._check_lease()
        if task in self.running:
            self._end(task, "done")

    def _stop(self, order):
        task, number = order["Task"], order["RunId"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        if task in self.running and self.running[task][0] == number:
            self._end(task, "stopped")
        return self._answer()

    async def _hold(self, order):
        self._extend(order.get("ExpiresMs"))
        through = order["AckedThrough"]
        for number, task, _, _, run in self.ends:
            if number <= through:
                self.ledger.note_acknowledged(task, run)
        self.ends = [end for end in self.ends if end[0] > through]
        if not self.ends and order.get("WaitMs"):
            ended = self.ended
            try:
                async with asyncio.timeout(order["WaitMs"] / 1000):
                    await ended.wait()
            except TimeoutError:
                self._check_lease()
        running = [[task, item[0], "", 50, 0] for task, item in self.running.items()]
        ends = [[*end[:4], ""] for end in self.ends]
        return self._answer(Running=running, Finished=ends)
