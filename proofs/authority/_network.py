"""Network between simulated processes: latency, losses, late calls and cuts."""

import asyncio
import contextvars
import random
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, NamedTuple

from ._loop import PROCESS, Process, SimulatedLoop

__all__ = [
    "Cut",
    "Endpoint",
    "LinkKind",
    "LostError",
    "Network",
    "NetworkPlan",
    "RefusedError",
]


class LinkKind(Enum):
    """What a call is sent to."""

    STORE = "store"
    ENTRY = "entry"
    WORKER = "worker"


class LostError(Exception):
    """The call or its answer was lost."""


class RefusedError(Exception):
    """Nothing listens at the address, or the connection was broken.

    Parameters
    ----------
    was_sent : bool
        Whether the call may have been carried out.
    """

    def __init__(self, was_sent: bool) -> None:
        super().__init__("refused")
        self.was_sent = was_sent


class NetworkPlan(NamedTuple):
    """Faults of single calls.

    Parameters
    ----------
    late_ratio, lost_answer_ratio : float
        Fraction of the calls that are carried out late without an answer, and of those
        whose answer is lost.
    max_late_ms : int
        Longest delay of a late call in milliseconds.
    is_late_across_lives : bool
        Whether a late call may reach a later process at the same address.
    """

    late_ratio: float = 0.02
    lost_answer_ratio: float = 0.02
    max_late_ms: int = 9000
    is_late_across_lives: bool = False


class Cut(NamedTuple):
    """Separates one side from all others.

    Parameters
    ----------
    side : frozenset of str
        Names of the machines on one side; the store is named ``store``.
    kinds : frozenset of LinkKind
        What can't be called across the cut.
    exempt : frozenset of str
        Machines on the other side that are not separated.
    """

    side: frozenset[str]
    kinds: frozenset[LinkKind]
    exempt: frozenset[str] = frozenset()

    def separates(self, kind: LinkKind, first: str, second: str) -> bool:
        """Return whether the cut separates two machines for one kind of calls."""
        if kind not in self.kinds or (first in self.side) == (second in self.side):
            return False
        outside = second if first in self.side else first
        return outside not in self.exempt


class Endpoint:
    """Address that a process listens at.

    Parameters
    ----------
    name : str
        Name of the machine.

    Attributes
    ----------
    process : Process or None
        Process that listens; None while there is none.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.process: Process | None = None


class Network:
    """Carries calls between processes.

    Parameters
    ----------
    loop : SimulatedLoop
        Event loop.
    rng : random.Random
        Source of the latencies and faults.
    plan : NetworkPlan
        Faults of single calls.

    Attributes
    ----------
    cuts : list of Cut
        Cuts in force.
    store_delay_s : float
        Further delay in seconds of the answers of the store.
    """

    def __init__(
        self, loop: SimulatedLoop, rng: random.Random, plan: NetworkPlan
    ) -> None:
        self.loop = loop
        self.rng = rng
        self.plan = plan
        self.cuts: list[Cut] = []
        self.store_delay_s = 0.0
        self._nowhere = contextvars.Context()

    def is_cut(self, kind: LinkKind, first: str, second: str) -> bool:
        """Return whether a cut separates two machines for one kind of calls."""
        return any(cut.separates(kind, first, second) for cut in self.cuts)

    def latency_s(self) -> float:
        """Return the latency of one message in seconds."""
        draw = self.rng.random()
        if draw < 0.02:
            return self.rng.uniform(0.02, 0.3)
        return 0.0005 + 0.004 * draw

    def after(self, delay_s: float, callback: Callable, *args: Any) -> None:
        """Schedule a callback that belongs to no process."""
        self.loop.call_later(delay_s, callback, *args, context=self._nowhere)

    async def request(
        self,
        target: Endpoint,
        kind: LinkKind,
        handle: Callable[[], Awaitable[Any]],
        timeout_ms: float,
    ) -> Any:
        """Call a process and return its answer.

        Raises
        ------
        LostError
            If no answer arrived in time.
        RefusedError
            If nothing listens there, or the process has ended meanwhile.
        """
        caller = PROCESS.get()
        if caller.has_ended:
            raise asyncio.CancelledError
        answer = self.loop.create_future()
        self._send(caller.name, target, kind, handle, answer)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await answer
        except TimeoutError:
            raise LostError(f"no answer from {target.name}") from None

    def _send(self, caller: str, target: Endpoint, kind, handle, answer) -> None:
        if self.rng.random() < self.plan.late_ratio:
            delay_s = self.rng.uniform(0.2, self.plan.max_late_ms / 1000)
            args = (target, target.process, handle)
            self.after(delay_s, self._deliver_late, *args)
            return
        if self.is_cut(kind, caller, target.name):
            return
        args = (caller, target, target.process, kind, handle, answer)
        self.after(self.latency_s(), self._deliver, *args)

    def _deliver_late(self, target: Endpoint, process: Process | None, handle) -> None:
        receiver = target.process
        if receiver is None:
            return
        if receiver is process or self.plan.is_late_across_lives:
            receiver.spawn(_ignore_errors(handle))

    def _deliver(self, caller, target, process, kind, handle, answer) -> None:
        receiver = target.process
        # A connection ends with the process that it was opened to.
        if receiver is None or process not in (None, receiver):
            was_sent = receiver is not None
            self.after(self.latency_s(), self._refuse, answer, was_sent)
            return
        self.spawn_serving(receiver, handle, caller, target.name, kind, answer)

    def spawn_serving(self, process, handle, caller, name, kind, answer) -> None:
        """Carry out a call in a process and send its answer."""

        def is_answer_lost() -> bool:
            is_lost = self.rng.random() < self.plan.lost_answer_ratio
            return is_lost or self.is_cut(kind, caller, name)

        def delay_s() -> float:
            is_store = kind is LinkKind.STORE
            return self.latency_s() + (self.store_delay_s if is_store else 0.0)

        async def serve() -> None:
            try:
                result = await handle()
            except asyncio.CancelledError:
                if not self.is_cut(kind, caller, name):
                    self.after(0.001, self._refuse, answer, True)
                raise
            except Exception as exc:
                if not is_answer_lost():
                    self.after(delay_s(), _set_exception, answer, exc)
                return
            if not is_answer_lost():
                self.after(delay_s(), _set_result, answer, result)

        process.spawn(serve())

    @staticmethod
    def _refuse(answer: asyncio.Future, was_sent: bool) -> None:
        _set_exception(answer, RefusedError(was_sent))


async def _ignore_errors(handle: Callable[[], Awaitable[Any]]) -> None:
    try:
        await handle()
    except Exception:  # noqa: BLE001 (nobody receives the answer of a late call)
        return


def _set_result(answer: asyncio.Future, result: Any) -> None:
    if not answer.done():
        answer.set_result(result)


def _set_exception(answer: asyncio.Future, exc: Exception) -> None:
    if not answer.done():
        answer.set_exception(exc)
