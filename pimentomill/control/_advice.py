"""Asks which workers a queue's policy allows for a step."""

import asyncio
from typing import NamedTuple, Protocol

from ..dispatch import StepRun, Ticket
from ..exceptions import PimentomillError, TransportError
from ..fleet import Worker
from ..jobs import StepKey, WorkerId
from ..telemetry import PartLog
from ..utils import Clock, Instant

__all__ = ["AdviceDesk", "AdviceGiven", "AdvicePort"]

MAX_WORKERS = 100
"""Workers that one question may name, by the platform's contract."""
TIMEOUT_FACTOR = 4
"""Multiple of the expected time after which a question has failed."""
TIMEOUT_BASE_MS = 600
"""Milliseconds added to it: the way there and back, and one retry of a packet."""
REST_MS = 2000
"""Milliseconds for which an entry that did not answer is not asked again."""
MAX_BACKLOG_MS = 400
"""Backlog above which no tickets are renewed in advance."""

_log = PartLog("advice")


class AdviceGiven(NamedTuple):
    """Answer about a step: a ticket for each allowed worker, and their validity."""

    tickets: dict[WorkerId, str]
    valid_ms: int


class AdvicePort(Protocol):
    """One entry that can ask the policy; it answers one question at a time."""

    name: str

    async def ask(self, step: StepKey, workers: list[WorkerId]) -> AdviceGiven:
        """Return the allowed workers.

        Raises
        ------
        TransportError
            If no usable answer came.
        """


class AdviceDesk:
    """Spreads questions over the entries and keeps their answers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    margin_ms : int
        Milliseconds before its end at which a ticket is no longer used.

    Attributes
    ----------
    ports : dict of str to AdvicePort
        Entries that can ask, by name.
    """

    def __init__(self, clock: Clock, margin_ms: int) -> None:
        self.clock = clock
        self.margin_ms = margin_ms
        self.ports: dict[str, AdvicePort] = {}
        self._busy_until: dict[str, Instant] = {}
        self._rest_until: dict[str, Instant] = {}

    def backlog_ms(self) -> int:
        """Return how long a new question would wait."""
        port = self._choose()
        if port is None:
            return MAX_BACKLOG_MS
        return max(0, self._busy_until.get(port.name, 0) - self.clock.now())

    def is_idle_enough(self) -> bool:
        """Return whether tickets may be renewed in advance."""
        return self.backlog_ms() < MAX_BACKLOG_MS

    def _choose(self) -> AdvicePort | None:
        now = self.clock.now()
        able = [
            port
            for port in self.ports.values()
            if self._rest_until.get(port.name, now) <= now
        ]
        if not able:
            return None
        return min(able, key=lambda port: self._busy_until.get(port.name, 0))

    async def ask(self, step: StepRun, workers: list[Worker]) -> bool:
        """Ask about a step and keep the answer in it.

        Parameters
        ----------
        step : StepRun
            Step; its `question_open` is set while the question is under way.
        workers : list of Worker
            Workers to ask about.

        Returns
        -------
        bool
            Whether an answer came.
        """
        policy = step.job.queue.advice
        port = self._choose()
        if policy is None or port is None:
            return False
        names = [worker.info.worker for worker in workers[:MAX_WORKERS]]
        now = self.clock.now()
        takes = policy.duration_ms(len(names))
        start = max(now, self._busy_until.get(port.name, now))
        self._busy_until[port.name] = Instant(round(start + takes))
        limit = start - now + takes * TIMEOUT_FACTOR + TIMEOUT_BASE_MS
        step.question_open = True
        try:
            async with asyncio.timeout(limit / 1000):
                given = await port.ask(step.key, names)
        except (TimeoutError, PimentomillError) as exc:
            self._note_failure(port, step, exc)
            return False
        finally:
            step.question_open = False
        self._keep(step, names, given)
        return True

    def _note_failure(self, port: AdvicePort, step: StepRun, exc: Exception) -> None:
        now = self.clock.now()
        self._busy_until[port.name] = now
        unreachable = isinstance(exc, TimeoutError | TransportError)
        if unreachable and len(self.ports) > 1:
            self._rest_until[port.name] = Instant(now + REST_MS)
        why = str(exc) or type(exc).__name__
        _log.warning("No answer", step=step.key, entry=port.name, why=why)

    def _keep(self, step: StepRun, names: list[WorkerId], given: AdviceGiven) -> None:
        until = Instant(self.clock.now() + given.valid_ms - self.margin_ms)
        step.asked.update(names)
        for worker, text in given.tickets.items():
            step.allowed.add(worker)
            step.tickets[worker] = Ticket(text, until)
        _log.info("Answered", step=step.key, asked=len(names), good=len(given.tickets))
