"""Policy queries about few workers, given to the work that gains most from them."""

from collections import deque
from collections.abc import Callable

from ..dispatch import Plan, StepRun, is_in_time
from ..fleet import Worker
from ..jobs import StepKey
from ..telemetry import ComponentLogger
from ..utils import Instant
from ._answer_ledger import AnswerLedger
from ._leader_state import LeaderState
from ._policy_queries import (
    MAX_QUERY_WORKERS,
    SHORT_QUERY_MS,
    PolicyQuery,
    PolicyQueryDispatcher,
)
from ._query_choice import (
    MIN_QUERY_WORKERS,
    PoolView,
    QueryReason,
    choose_query,
    choose_refresh,
    choose_widening,
    deferred_steps,
    may_widen,
)
from ._query_scheduler import (
    REFRESH_MARGIN_MS,
    REFRESH_MIN_IDLE_ENTRIES,
    REFRESHED_STEPS,
    QueryScheduler,
)

__all__ = ["SelectiveQueryScheduler"]

DEFERRED_DIVISOR = 4
"""Part of the entries, a quarter, that may be busy with deferred work at a time; a
query takes up to 1 s, in which more valuable work may arrive."""

_log = ComponentLogger("advice")


class _Backlog:
    """Steps that may be queried until the next pass, in the order of their value.

    Steps with short and long queries are kept apart, since only some entries accept
    long ones.
    """

    def __init__(self, view: PoolView, plan: Plan) -> None:
        self.view = view
        self.wanted = {step.key: names for step, names in plan.missing_tickets}
        self._short: deque[tuple[int, StepRun]] = deque()
        self._long: deque[tuple[int, StepRun]] = deque()
        self.deferred: deque[StepRun] = deque()

    def add(self, number: int, step: StepRun) -> None:
        self._queue_of(step).append((number, step))

    def put_back(self, step: StepRun) -> None:
        """Let a step be queried next, as its query has failed."""
        self._queue_of(step).appendleft((-1, step))

    def _queue_of(self, step: StepRun) -> deque:
        policy = step.job.queue.placement_policy
        is_short = policy.query_duration_ms(MIN_QUERY_WORKERS) <= SHORT_QUERY_MS
        return self._short if is_short else self._long

    def pop(self, accepts_short: bool, accepts_long: bool) -> StepRun | None:
        """Remove and return the first step with an accepted kind of query."""
        queues = []
        if accepts_short and self._short:
            queues.append(self._short)
        if accepts_long and self._long:
            queues.append(self._long)
        if not queues:
            return None
        return min(queues, key=lambda queue: queue[0][0]).popleft()[1]


class SelectiveQueryScheduler(QueryScheduler):
    """Queries about the workers that a step is likely to use.

    The first query about a step names about as many workers as its tasks need, those
    with free capacity first. Further workers are added while tasks wait for which they
    have room. Work that is too late or beyond its team's share gets idle entries only.

    An entry whose query has ended gets the next one at once: a pass over thousands of
    waiting tasks takes longer than a short query.

    Parameters
    ----------
    state : LeaderState
        State of the leader.
    policy_queries : PolicyQueryDispatcher
        Sends the queries.
    request_plan : callable
        Called when a query has ended.
    """

    def __init__(
        self,
        state: LeaderState,
        policy_queries: PolicyQueryDispatcher,
        request_plan: Callable[[], None],
    ) -> None:
        super().__init__(state, policy_queries, request_plan)
        self._backlog: _Backlog | None = None
        self._deferred_open: set[StepKey] = set()
        self.answers = AnswerLedger(policy_queries.metrics, state.clock.now())

    def send(self, steps: list[StepRun], plan: Plan, now: Instant) -> None:
        """Send queries while entries are idle; see `QueryScheduler`."""
        self.answers.review(now)
        view = PoolView(self.state.workers.values(), plan, now)
        steps = [step for step in steps if step.waiting]
        deferred = deferred_steps(steps, view, self.state.quotas, now)
        steps = [s for s in steps if s.job.queue.placement_policy is not None]
        backlog = self._backlog = _Backlog(view, plan)
        for number, step in enumerate(steps):
            if step in deferred:
                backlog.deferred.append(step)
            else:
                backlog.add(number, step)
        self._fill()
        if self._has_spare_entries():
            valued = [step for step in steps if step not in deferred]
            self._refresh_tickets(valued, now)
            self._query_upcoming_steps()
            self._query_waiting_steps(valued, now)

    def close(self) -> None:
        """Cancel all open queries and send no more."""
        self._backlog = None
        super().close()

    def _has_spare_entries(self) -> bool:
        """Return whether entries are left for queries that can wait."""
        queries = self.policy_queries
        needed = min(REFRESH_MIN_IDLE_ENTRIES, len(queries.ports))
        return queries.idle_count() >= max(1, needed)

    def _fill(self) -> None:
        """Give queries to idle entries in the order of the last pass."""
        backlog = self._backlog
        if backlog is None:
            return
        queries = self.policy_queries
        is_sent = True
        while True:
            if is_sent:
                accepts_short = queries.can_accept_short()
                accepts_long = queries.idle_count() > 0 and queries.can_accept_long()
            step = backlog.pop(accepts_short, accepts_long)
            if step is None:
                break
            is_sent = self._query_chosen(step, backlog)
        limit = max(1, len(self.policy_queries.ports) // DEFERRED_DIVISOR)
        while (
            backlog.deferred
            and len(self._deferred_open) < limit
            and self._has_spare_entries()
        ):
            step = backlog.deferred.popleft()
            if self._query_chosen(step, backlog):
                self._deferred_open.add(step.key)

    def _query_chosen(self, step: StepRun, backlog: _Backlog) -> bool:
        """Query a step about the workers that it needs; return whether one is sent."""
        if not step.waiting or step.query_open or step.job.state.is_final:
            return False
        now = self.state.clock.now()
        wanted = backlog.wanted.get(step.key, [])
        choice = choose_query(step, backlog.view, wanted, now)
        if choice is None:
            return False
        return self._query_logged(step, choice.workers, choice.reason)

    def _query_logged(
        self, step: StepRun, workers: list[Worker], reason: QueryReason
    ) -> bool:
        """Query a step, in parallel if the workers are too many for one query."""
        count = -(-len(workers) // MAX_QUERY_WORKERS)
        queries = [
            self.policy_queries.reserve(step, workers[number::count], reason.value)
            for number in range(count)
        ]
        queries = [query for query in queries if query is not None]
        if not queries:
            return False
        for query in queries:
            self._start(query)
        now = self.state.clock.now()
        _log.info(
            "Policy query sent",
            step=step.key,
            why=reason.value,
            asked=sum(len(query.workers) for query in queries),
            waiting=len(step.waiting),
            queried=len(step.queried),
            allowed=len(step.allowed),
            waited_ms=None if step.ready_at is None else now - step.ready_at,
            idle_entries=self.policy_queries.idle_count(),
        )
        return True

    async def _run_query(self, query: PolicyQuery) -> None:
        try:
            is_answered = await self.policy_queries.send(query)
        finally:
            self._deferred_open.discard(query.step.key)
        if is_answered:
            step = query.step
            allowed = [name for name in query.workers if name in step.allowed]
            reason = QueryReason(query.reason)
            self.answers.record(step, reason, allowed, self.state.clock.now())
        elif self._backlog is not None:
            self._backlog.put_back(query.step)
        self._fill()
        self.request_plan()

    def _query_waiting_steps(self, steps: list[StepRun], now: Instant) -> None:
        """Query steps that have waited long about workers without free capacity."""
        view = self._backlog.view
        for step in steps:
            if step.query_open or not may_widen(step, now):
                continue
            if not self._has_spare_entries():
                return
            choice = choose_widening(step, view)
            if choice is not None:
                self._query_logged(step, choice.workers, choice.reason)

    def _refresh_tickets(self, steps: list[StepRun], now: Instant) -> None:
        """Refresh the tickets that the next steps will use."""
        for step in steps[:REFRESHED_STEPS]:
            if step.query_open or not self._has_spare_entries():
                continue
            policy = step.job.queue.placement_policy
            query_ms = policy.query_duration_ms(len(step.waiting))
            needed_until = Instant(now + round(query_ms) + REFRESH_MARGIN_MS)
            workers = choose_refresh(step, self._backlog.view, needed_until)
            if workers:
                self._query_logged(step, workers, QueryReason.REFRESH)

    def _query_upcoming_steps(self) -> None:
        """Query steps whose predecessors have all been started, if they can be in time.

        The allowed workers do not change, so that at most a ticket is missing later.
        """
        now = self.state.clock.now()
        for step in self.state.upcoming_steps():
            if not self._has_spare_entries():
                return
            job = step.job
            is_worth = not job.over_share and is_in_time(step, now)
            if job.queue.placement_policy is None or step.query_open or not is_worth:
                continue
            choice = choose_query(step, self._backlog.view, [], now)
            if choice is not None:
                self._query_logged(step, choice.workers, QueryReason.UPCOMING)
