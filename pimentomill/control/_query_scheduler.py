"""Choice of the policy queries to send after a pass of the planner."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from ..dispatch import Plan, StepRun
from ..fleet import Worker
from ..jobs import WorkerId
from ..utils import Instant
from ._leader_state import LeaderState
from ._policy_queries import PolicyQuery, PolicyQueryDispatcher

__all__ = ["REFRESH_MIN_IDLE_ENTRIES", "REFRESHED_STEPS", "QueryScheduler"]

REFRESHED_STEPS = 2
"""Waiting steps whose tickets are refreshed in advance in one pass."""
REFRESH_MIN_IDLE_ENTRIES = 4
"""Idle entries needed to refresh tickets in advance; first queries take precedence."""
REFRESH_MARGIN_MS = 80
"""Validity that a ticket must have beyond the duration of a query."""


class QueryScheduler:
    """Queries about all workers of a pool, for the most urgent steps first.

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
        self.state = state
        self.policy_queries = policy_queries
        self.request_plan = request_plan
        self._query_tasks: set[asyncio.Task] = set()

    def close(self) -> None:
        """Cancel all open queries."""
        for task in self._query_tasks:
            task.cancel()

    def send(self, steps: list[StepRun], plan: Plan, now: Instant) -> None:
        """Send queries while entries are idle.

        Parameters
        ----------
        steps : list of StepRun
            Steps with tasks ready to start, the most urgent first.
        plan : Plan
            Result of the planner's pass over these steps.
        now : Instant
            Current time.
        """
        self._query_ready_steps(steps, plan)
        if self.policy_queries.idle_count() >= REFRESH_MIN_IDLE_ENTRIES:
            self._refresh_tickets(steps, now)
            self._query_upcoming_steps()

    def _query_ready_steps(self, steps: list[StepRun], plan: Plan) -> None:
        """Query the policies of the most urgent steps while entries are idle."""
        idle_count = self.policy_queries.idle_count()
        wanted = {step.key: names for step, names in plan.missing_tickets}
        queryable = self._queryable_workers()
        for step in steps:
            if step.job.queue.placement_policy is None or step.query_open:
                continue
            if idle_count <= 0:
                return
            workers = self._unqueried_workers(step, queryable)
            if not workers:
                names = wanted.get(step.key, ())
                workers = [self.state.workers[name] for name in names]
            idle_count -= self._query(step, workers)

    def _query_upcoming_steps(self) -> None:
        """Query the policies of steps whose predecessors have all been started.

        The allowed workers do not change, so that at most a ticket is missing later.
        """
        queryable = self._queryable_workers()
        for step in self.state.upcoming_steps():
            if step.job.queue.placement_policy is not None and not step.query_open:
                self._query(step, self._unqueried_workers(step, queryable))

    def _queryable_workers(self) -> dict[str, dict[WorkerId, Worker]]:
        """Return the workers that a policy may be queried about, by pool."""
        queryable: defaultdict[str, dict[WorkerId, Worker]] = defaultdict(dict)
        for name, worker in self.state.workers.items():
            if worker.may_get_runs:
                queryable[worker.info.service][name] = worker
        return queryable

    @staticmethod
    def _unqueried_workers(
        step: StepRun, queryable: dict[str, dict[WorkerId, Worker]]
    ) -> list[Worker]:
        """Return workers that could run a step and that no query has covered."""
        pool = queryable.get(step.job.queue.service, {})
        if pool.keys() <= step.queried:
            return []
        return [
            worker
            for name, worker in pool.items()
            if name not in step.queried
            and step.spec.reserved.fits_in(worker.info.capacity)
        ]

    def _refresh_tickets(self, steps: list[StepRun], now: Instant) -> None:
        """Refresh tickets of the next steps, so that capacity does not sit idle."""
        refreshed = 0
        for step in steps:
            policy = step.job.queue.placement_policy
            if policy is None or not step.waiting or step.query_open:
                continue
            if refreshed >= REFRESHED_STEPS:
                return
            refreshed += 1
            needed_until = (
                now + policy.query_duration_ms(len(step.allowed)) + REFRESH_MARGIN_MS
            )
            stale = [
                self.state.workers[name]
                for name in step.allowed
                if name in self.state.workers
                and self.state.workers[name].can_start(now)
                and (
                    name not in step.tickets
                    or step.tickets[name].valid_until < needed_until
                )
            ]
            if stale:
                self._query(step, stale)

    def _query(self, step: StepRun, workers: list[Worker]) -> bool:
        """Send a query if an entry can accept it; return whether one is sent."""
        if step.query_open or not workers:
            return False
        query = self.policy_queries.reserve(step, workers)
        if query is None:
            return False
        self._start(query)
        return True

    def _start(self, query: PolicyQuery) -> None:
        task = asyncio.get_running_loop().create_task(self._run_query(query))
        self._query_tasks.add(task)
        task.add_done_callback(self._query_tasks.discard)

    async def _run_query(self, query: PolicyQuery) -> None:
        await self.policy_queries.send(query)
        self.request_plan()
