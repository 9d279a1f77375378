"""Event loop in simulated time, whose processes can be paused and killed."""

import asyncio
import contextvars
import itertools

from pimentomill.utils import Instant

__all__ = ["PROCESS", "LoopClock", "Process", "SimulatedLoop"]

MS_PER_S = 1000
RESUME_GAP_S = 1e-9
"""Seconds between callbacks that were due during a pause, which keeps their order."""


class Process:
    """A simulated process; its tasks run in a context that carries it.

    Parameters
    ----------
    name : str
        Name of the machine on which it runs.

    Attributes
    ----------
    has_ended : bool
        Whether it has been killed.
    paused_until : float
        Time in seconds until which none of its callbacks run.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.has_ended = False
        self.paused_until = 0.0
        self.context = contextvars.copy_context()
        self.context.run(PROCESS.set, self)
        self._tasks: dict[asyncio.Task, None] = {}

    def spawn(self, coro) -> asyncio.Task:
        """Run a coroutine in this process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coro, context=self.context.copy())

    def add_task(self, task: asyncio.Task) -> None:
        """Add a task that ends with the process."""
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    def kill(self) -> None:
        """End the process: its tasks are cancelled, and it calls nothing any more."""
        self.has_ended = True
        self.paused_until = 0.0
        for task in list(self._tasks):
            task.cancel()


PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar(
    "process", default=None
)


class _Deferrable:
    """Callback of a process, which runs late if it is due during a pause."""

    __slots__ = ("args", "callback", "handle", "process")

    def __init__(self, process: Process, callback, args) -> None:
        self.process = process
        self.callback = callback
        self.args = args
        self.handle: asyncio.Handle | None = None


class _SimulatedSelector:
    """Advances the time of a loop instead of waiting."""

    def __init__(self, loop: "SimulatedLoop") -> None:
        self.loop = loop

    def select(self, timeout: float | None) -> list:
        if timeout is None:
            raise RuntimeError("all simulated tasks wait for each other")
        self.loop.elapsed_s_ += max(0.0, timeout)
        return []


class SimulatedLoop(asyncio.BaseEventLoop):
    """Event loop that advances its time to the next callback.

    Attributes
    ----------
    elapsed_s_ : float
        Simulated time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s_ = 0.0
        self._selector = _SimulatedSelector(self)
        self._order = itertools.count(1)
        self.set_task_factory(_create_task)
        self.set_exception_handler(lambda loop, context: None)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.elapsed_s_

    def _process_events(self, event_list) -> None:
        """Do nothing: there is no input or output."""

    def _write_to_self(self) -> None:
        """Do nothing: the loop waits for no other thread."""

    def call_soon(self, callback, *args, context=None) -> asyncio.Handle:
        """Schedule a callback; it waits while its process is paused."""
        context = context if context is not None else contextvars.copy_context()
        process = context.get(PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        item = _Deferrable(process, callback, args)
        item.handle = super().call_soon(self._run_or_defer, item, context=context)
        return item.handle

    def call_at(self, when, callback, *args, context=None) -> asyncio.TimerHandle:
        """Schedule a callback; it waits while its process is paused."""
        context = context if context is not None else contextvars.copy_context()
        process = context.get(PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        item = _Deferrable(process, callback, args)
        item.handle = super().call_at(when, self._run_or_defer, item, context=context)
        return item.handle

    def _run_or_defer(self, item: _Deferrable) -> None:
        if item.handle.cancelled():
            return
        if item.process.paused_until > self.elapsed_s_:
            when = item.process.paused_until + next(self._order) * RESUME_GAP_S
            super().call_at(when, self._run_or_defer, item)
            return
        item.callback(*item.args)


def _create_task(loop, coro, context=None) -> asyncio.Task:
    context = context if context is not None else contextvars.copy_context()
    task = asyncio.Task(coro, loop=loop, context=context)
    process = context.get(PROCESS)
    if process is not None:
        process.add_task(task)
    return task


class LoopClock:
    """Clock that shows the time of a simulated loop."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self.loop = loop

    def now(self) -> Instant:
        """Return the simulated time in milliseconds."""
        return Instant(int(self.loop.elapsed_s_ * MS_PER_S + RESUME_GAP_S))

    def wall_ms(self) -> int:
        """Return the same reading as `now`."""
        return self.now()
