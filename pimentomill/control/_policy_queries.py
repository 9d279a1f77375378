"""Queries to placement policies: which workers a queue allows for a step."""

import asyncio
from collections import Counter
from typing import NamedTuple, Protocol

from ..dispatch import StepRun, Ticket
from ..exceptions import PimentomillError
from ..fleet import Worker
from ..jobs import StepKey, WorkerId
from ..telemetry import CellMetrics, ComponentLogger
from ..utils import Clock, Instant
from ._entry_backoff import EntryBackoff

__all__ = [
    "MAX_QUERY_WORKERS",
    "SHORT_QUERY_MS",
    "PolicyPort",
    "PolicyQuery",
    "PolicyQueryDispatcher",
    "PolicyTickets",
]

MAX_QUERY_WORKERS = 100
"""Limit of workers in one query, set by the contract of the platform."""
TIMEOUT_FACTOR = 3
"""Multiple of the expected duration after which a query has failed."""
TIMEOUT_BASE_MS = 250
"""Time added to it for the round trip and one retransmission of a packet."""
SHORT_QUERY_MS = 100
"""Expected duration up to which a query is short: queries of the most urgent queues
take 20 ms, all others 150 to 900 ms."""
ENTRIES_PER_RESERVED = 4
"""Usable entries for each entry that is reserved for short queries."""

_log = ComponentLogger("advice")


class PolicyTickets(NamedTuple):
    """Answer of a policy: a ticket for each allowed worker, and their validity."""

    tickets: dict[WorkerId, str]
    valid_ms: int


class PolicyPort(Protocol):
    """Entry that can query the policy, one query at a time."""

    name: str

    async def ask(self, step: StepKey, workers: list[WorkerId]) -> PolicyTickets:
        """Return tickets for the allowed workers.

        Raises
        ------
        TransportError
            If no usable answer was received.
        """


class PolicyQuery(NamedTuple):
    """Policy query and the entry that is reserved for it.

    Parameters
    ----------
    step : StepRun
        Step that is queried.
    workers : list of WorkerId
        Workers that are queried.
    port : PolicyPort
        Entry that sends the query.
    expected_ms : float
        Milliseconds that the policy is expected to take.
    reason : str, default=""
        Reason of the query, for metrics.
    """

    step: StepRun
    workers: list[WorkerId]
    port: PolicyPort
    expected_ms: float
    reason: str = ""


class PolicyQueryDispatcher:
    """Sends each entry one policy query at a time and stores the answers.

    An answer takes up to a second, so queries are not queued at an entry: the most
    urgent one goes to the next idle entry. Some entries are reserved for short
    queries, which long ones would delay.

    Parameters
    ----------
    clock : Clock
        Source of time.
    margin_ms : int
        Milliseconds before its expiry at which a ticket is no longer used.
    metrics : CellMetrics, default=None
        Metrics for queries; a new instance is created if None.
    notices_restarts : bool, default=False
        Whether entries get queries again as soon as they have restarted.

    Attributes
    ----------
    ports : dict of str to PolicyPort
        Entries that can query the policy, by name.
    """

    def __init__(
        self,
        clock: Clock,
        margin_ms: int,
        metrics: CellMetrics | None = None,
        notices_restarts: bool = False,
    ) -> None:
        self.clock = clock
        self.margin_ms = margin_ms
        self.metrics = metrics or CellMetrics()
        self.ports: dict[str, PolicyPort] = {}
        self._busy: dict[str, bool] = {}
        self._open: Counter[StepKey] = Counter()
        self._backoff = EntryBackoff(clock, notices_restarts)

    def set_ports(self, ports: dict[str, PolicyPort]) -> None:
        """Replace the entries; a new port of a known entry ends its backoff.

        Parameters
        ----------
        ports : dict of str to PolicyPort
            Entries that can query the policy, by name.
        """
        if self._backoff.notices_restarts:
            for name, port in ports.items():
                if self.ports.get(name) is not port:
                    self._backoff.reset(name)
        self.ports = ports

    def idle_count(self) -> int:
        """Return the number of entries that could accept a query now."""
        return sum(1 for _ in self._idle())

    def _idle(self):
        is_any_sound = self._is_any_sound()
        return (
            port
            for name, port in self.ports.items()
            if name not in self._busy and self._backoff.is_over(name, is_any_sound)
        )

    def _is_any_sound(self) -> bool:
        """Return whether the last query of some entry did not fail."""
        return any(self._backoff.is_sound(name) for name in self.ports)

    def _choose(self, is_short: bool) -> PolicyPort | None:
        """Return an idle entry.

        One whose last query was not answered gets no short query while another is
        sound.
        """
        must_be_sound = is_short and self._is_any_sound()
        idle = [
            port
            for port in self._idle()
            if not (must_be_sound and self._backoff.may_hang(port.name))
        ]
        return min(idle, key=lambda port: self._backoff.rank(port.name), default=None)

    def can_accept(self, step: StepRun, workers: int) -> bool:
        """Return whether a query for so many workers could be sent now."""
        return self._find_entry(step, workers) is not None

    def _find_entry(self, step: StepRun, workers: int) -> PolicyPort | None:
        """Return an entry that could accept a query for so many workers now."""
        policy = step.job.queue.placement_policy
        if policy is None:
            return None
        is_short = policy.query_duration_ms(workers) <= SHORT_QUERY_MS
        port = self._choose(is_short)
        if port is None or is_short or self.can_accept_long():
            return port
        return None

    def can_accept_short(self) -> bool:
        """Return whether some entry accepts a short query now."""
        return self._choose(is_short=True) is not None

    def can_accept_long(self) -> bool:
        """Return whether a further long query leaves an entry for short ones.

        Entries in backoff after a failure accept no query and are not counted.
        """
        usable = len(self._busy) + self.idle_count()
        reserved = max(1, usable // ENTRIES_PER_RESERVED)
        return usable == 1 or sum(self._busy.values()) < usable - reserved

    def reserve(
        self, step: StepRun, workers: list[Worker], reason: str = ""
    ) -> PolicyQuery | None:
        """Reserve an entry for a query, which must then be passed to `send`.

        Parameters
        ----------
        step : StepRun
            Step; its `query_open` is set until the query has ended.
        workers : list of Worker
            Workers to query.
        reason : str, default=""
            Reason of the query, for metrics.

        Returns
        -------
        PolicyQuery or None
            None if no entry can accept the query.
        """
        names = [worker.info.worker for worker in workers[:MAX_QUERY_WORKERS]]
        port = self._find_entry(step, len(names))
        if port is None:
            return None
        expected_ms = step.job.queue.placement_policy.query_duration_ms(len(names))
        self._busy[port.name] = expected_ms > SHORT_QUERY_MS
        step.query_open = True
        self._open[step.key] += 1
        return PolicyQuery(step, names, port, expected_ms, reason)

    async def send(self, query: PolicyQuery) -> bool:
        """Send a query and store the answer in its step.

        Returns
        -------
        bool
            Whether an answer was received.
        """
        step, names, port, expected_ms, reason = query
        started_at = self.clock.now()
        try:
            timeout_ms = expected_ms * TIMEOUT_FACTOR + TIMEOUT_BASE_MS
            async with asyncio.timeout(timeout_ms / 1000):
                answer = await port.ask(step.key, names)
        except (TimeoutError, PimentomillError) as exc:
            self._record_failure(port, step, exc)
            took_ms = self.clock.now() - started_at
            self.metrics.record_policy_query("failed", took_ms, reason)
            return False
        finally:
            self._open[step.key] -= 1
            if not self._open[step.key]:
                del self._open[step.key]
                step.query_open = False
            self._busy.pop(port.name, None)
        took_ms = self.clock.now() - started_at
        self.metrics.record_policy_query("answered", took_ms, reason)
        self._backoff.record_answer(port.name)
        self._store_answer(step, names, answer)
        return True

    def _record_failure(self, port: PolicyPort, step: StepRun, exc: Exception) -> None:
        if step.unanswered_since is None:
            step.unanswered_since = self.clock.now()
        backoff_ms = self._backoff.record_failure(port.name, exc, len(self.ports) <= 1)
        _log.warning(
            "Policy query failed",
            step=step.key,
            entry=port.name,
            why=str(exc) or type(exc).__name__,
            backoff_ms=backoff_ms,
        )

    def _store_answer(
        self, step: StepRun, names: list[WorkerId], answer: PolicyTickets
    ) -> None:
        valid_until = Instant(self.clock.now() + answer.valid_ms - self.margin_ms)
        step.unanswered_since = None
        step.queried.update(names)
        for worker, text in answer.tickets.items():
            step.allowed.add(worker)
            step.tickets[worker] = Ticket(text, valid_until)
        _log.info(
            "Policy query answered",
            step=step.key,
            asked=len(names),
            good=len(answer.tickets),
        )
