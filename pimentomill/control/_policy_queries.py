"""Asks which workers a queue's policy allows for a step."""

import asyncio
from typing import NamedTuple, Protocol

from ..dispatch import StepRun, Ticket
from ..exceptions import PimentomillError, TransportError
from ..fleet import Worker
from ..jobs import StepKey, WorkerId
from ..telemetry import CellMetrics, PartLog
from ..utils import Clock, Instant

__all__ = ["PolicyPort", "PolicyQuery", "PolicyQueryDispatcher", "PolicyTickets"]

MAX_QUERY_WORKERS = 100
"""Workers that one question may name, by the platform's contract."""
TIMEOUT_FACTOR = 3
"""Multiple of the expected time after which a question has failed."""
TIMEOUT_BASE_MS = 250
"""Milliseconds added to it: the way there and back, and one retry of a packet."""
REJECTED_BACKOFF_MS = 150
"""Milliseconds for which an entry whose question was refused is not asked again."""
BACKOFF_MS = 2000
"""Milliseconds for which an entry that did not answer is not asked again; they double
with each failure in a row."""
MAX_BACKOFF_MS = 16000
"""Longest such rest."""
SHORT_QUERY_MS = 100
"""Milliseconds up to which a question is short: those of the most urgent queues take
20, all others 150 to 900."""
ENTRIES_PER_RESERVED = 4
"""One entry of so many is left for short questions."""

_log = PartLog("advice")


class PolicyTickets(NamedTuple):
    """Answer about a step: a ticket for each allowed worker, and their validity."""

    tickets: dict[WorkerId, str]
    valid_ms: int


class PolicyPort(Protocol):
    """One entry that can ask the policy; it answers one question at a time."""

    name: str

    async def ask(self, step: StepKey, workers: list[WorkerId]) -> PolicyTickets:
        """Return the allowed workers.

        Raises
        ------
        TransportError
            If no usable answer came.
        """


class PolicyQuery(NamedTuple):
    """A question and the entry that is kept for it.

    Parameters
    ----------
    step : StepRun
        Step that is asked about.
    workers : list of WorkerId
        Workers that are asked about.
    port : AdvicePort
        Entry that asks.
    expected_ms : float
        Milliseconds that the policy takes to answer.
    """

    step: StepRun
    workers: list[WorkerId]
    port: PolicyPort
    expected_ms: float


class PolicyQueryDispatcher:
    """Gives each entry one question at a time and keeps the answers.

    An entry that has a question waits up to a second for its answer, so questions
    are not queued there: the most urgent one goes to the next entry that is idle.
    Some entries are left for short questions, which long ones would hold up.

    Parameters
    ----------
    clock : Clock
        Source of time.
    margin_ms : int
        Milliseconds before its end at which a ticket is no longer used.
    metrics : CellMetrics, default=None
        Where questions are counted; of its own if None.

    Attributes
    ----------
    ports : dict of str to AdvicePort
        Entries that can ask, by name.
    """

    def __init__(
        self, clock: Clock, margin_ms: int, metrics: CellMetrics | None = None
    ) -> None:
        self.clock = clock
        self.margin_ms = margin_ms
        self.metrics = metrics or CellMetrics()
        self.ports: dict[str, PolicyPort] = {}
        self._busy: dict[str, bool] = {}
        self._backoff_until: dict[str, Instant] = {}
        self._failures: dict[str, int] = {}

    def idle_count(self) -> int:
        """Return how many entries could take a question now."""
        return sum(1 for _ in self._idle())

    def _idle(self):
        now = self.clock.now()
        return (
            port
            for name, port in self.ports.items()
            if name not in self._busy and self._backoff_until.get(name, now) <= now
        )

    def _choose(self, is_short: bool) -> PolicyPort | None:
        """Return an idle entry; one that failed last gets no short question."""
        idle = [
            port
            for port in self._idle()
            if not (is_short and self._failures.get(port.name, 0))
        ]
        return min(
            idle, key=lambda port: self._failures.get(port.name, 0), default=None
        )

    def can_accept(self, step: StepRun, workers: int) -> bool:
        """Return whether a question of this length could be asked now."""
        return self._find_entry(step, workers) is not None

    def _find_entry(self, step: StepRun, workers: int) -> PolicyPort | None:
        """Return an entry that could take a question of this length now."""
        policy = step.job.queue.advice
        if policy is None:
            return None
        is_short = policy.duration_ms(workers) <= SHORT_QUERY_MS
        port = self._choose(is_short)
        if port is None or is_short or self._can_accept_long():
            return port
        return None

    def _can_accept_long(self) -> bool:
        """Return whether a long question leaves an entry for short ones.

        Entries that rest after a failure answer nobody and are not counted.
        """
        usable = len(self._busy) + self.idle_count()
        reserved = max(1, usable // ENTRIES_PER_RESERVED)
        return usable == 1 or sum(self._busy.values()) < usable - reserved

    def reserve(self, step: StepRun, workers: list[Worker]) -> PolicyQuery | None:
        """Keep an entry for a question, which has to be asked then.

        Parameters
        ----------
        step : StepRun
            Step; its `question_open` is set until the question is answered.
        workers : list of Worker
            Workers to ask about.

        Returns
        -------
        Question or None
            None if no entry is idle.
        """
        names = [worker.info.worker for worker in workers[:MAX_QUERY_WORKERS]]
        port = self._find_entry(step, len(names))
        if port is None:
            return None
        expected_ms = step.job.queue.advice.duration_ms(len(names))
        self._busy[port.name] = expected_ms > SHORT_QUERY_MS
        step.question_open = True
        return PolicyQuery(step, names, port, expected_ms)

    async def ask(self, query: PolicyQuery) -> bool:
        """Ask a question and keep the answer in its step.

        Returns
        -------
        bool
            Whether an answer came.
        """
        step, names, port, expected_ms = query
        started_at = self.clock.now()
        try:
            timeout_ms = expected_ms * TIMEOUT_FACTOR + TIMEOUT_BASE_MS
            async with asyncio.timeout(timeout_ms / 1000):
                answer = await port.ask(step.key, names)
        except (TimeoutError, PimentomillError) as exc:
            self._note_failure(port, step, exc)
            self.metrics.note_question("failed", self.clock.now() - started_at)
            return False
        finally:
            step.question_open = False
            self._busy.pop(port.name, None)
        self.metrics.note_question("answered", self.clock.now() - started_at)
        self._failures.pop(port.name, None)
        self._store_answer(step, names, answer)
        return True

    def _note_failure(self, port: PolicyPort, step: StepRun, exc: Exception) -> None:
        unreachable = isinstance(exc, TimeoutError | TransportError)
        if unreachable and len(self.ports) > 1:
            failures = self._failures.get(port.name, 0)
            backoff_ms = min(MAX_BACKOFF_MS, BACKOFF_MS << failures)
            self._failures[port.name] = failures + 1
            self._backoff_until[port.name] = Instant(self.clock.now() + backoff_ms)
        else:
            backoff_until = Instant(self.clock.now() + REJECTED_BACKOFF_MS)
            self._backoff_until[port.name] = backoff_until
        reason = str(exc) or type(exc).__name__
        _log.warning("No answer", step=step.key, entry=port.name, why=reason)

    def _store_answer(
        self, step: StepRun, names: list[WorkerId], answer: PolicyTickets
    ) -> None:
        valid_until = Instant(self.clock.now() + answer.valid_ms - self.margin_ms)
        step.asked.update(names)
        for worker, text in answer.tickets.items():
            step.allowed.add(worker)
            step.tickets[worker] = Ticket(text, valid_until)
        _log.info("Answered", step=step.key, asked=len(names), good=len(answer.tickets))
