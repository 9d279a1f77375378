"""Start and stop orders to workers."""

import asyncio

from ..dispatch import Placement
from ..exceptions import ConflictError, FencedError, TransportError
from ..fleet import (
    Attempt,
    AttemptPhase,
    StartAnswer,
    StartOrder,
    StartOutcome,
    Worker,
)
from ..telemetry import ComponentLogger
from ..utils import Instant
from ._context import ControlContext
from ._leader_state import StopOrder

__all__ = ["OrderSender"]

UNHEALTHY_BACKOFF_MS = 700
"""Backoff of a worker that rejects a start, about the length of a short task."""
MAX_STOP_ATTEMPTS = 40
"""Attempts to send a stop order for a run that holds no capacity of the worker."""

_log = ComponentLogger("orders")


class OrderSender:
    """Sends the start and stop orders of the leader.

    Parameters
    ----------
    context : ControlContext
        Objects shared by the components of the leader.
    """

    def __init__(self, context: ControlContext) -> None:
        self.context = context
        self._tasks: set[asyncio.Task] = set()
        self._starts: set[asyncio.Task] = set()

    def start_all(self, placements: list[Placement]) -> None:
        """Send the start orders of a plan."""
        gang_runs: dict = {}
        for placement in placements:
            step = placement.step
            if step.spec.gang:
                run = gang_runs.get(step.key)
                if run is None:
                    run = gang_runs[step.key] = step.allocate_run(0)
            else:
                run = step.allocate_run(placement.index)
            attempt = self.context.state.begin_attempt(
                step, placement.index, placement.worker, run
            )
            attempt.is_backfill = placement.is_backfill
            task = self._spawn(self._start(attempt, placement))
            self._starts.add(task)
            task.add_done_callback(self._starts.discard)

    def stop_all(self, stops: list[StopOrder]) -> None:
        """Send stop orders."""
        for stop in stops:
            self._spawn(self._stop(stop))

    async def wait_started(self, limit_ms: int) -> None:
        """Wait until all start orders have been answered, up to a limit."""
        if self._starts:
            await asyncio.wait(self._starts, timeout=limit_ms / 1000)

    def close(self) -> None:
        """Cancel all orders in flight."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coro) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start(self, attempt: Attempt, placement: Placement) -> None:
        step, worker = placement.step, placement.worker
        if attempt.phase is AttemptPhase.STOPPING:
            # Another member of the gang has been withdrawn; the stop is on its way.
            attempt.is_start_open = attempt.is_start_unconfirmed = False
            return
        # Read before the check: the process may pause after it.
        now = self.context.clock.now()
        refusal = self.context.refuse_start(worker)
        if refusal is not None:
            self._withdraw_start(attempt, refusal)
            return
        order = StartOrder(
            attempt.task,
            attempt.run,
            step.job.spec.payload,
            worker.extend_lease(now, self.context.cfg.lease_ms) or 0,
            self.context.state.epoch,
            self.context.state.checkpoint_of(step, attempt.task.index),
            placement.ticket,
        )
        answer = await self._send_start(worker, order)
        now = self.context.clock.now()
        waited_ms = now - step.job.seen_at
        _log.info(
            "Start order finished",
            task=attempt.task,
            run=attempt.run,
            worker=worker.info.worker,
            outcome=answer.outcome.value,
            is_backfill=attempt.is_backfill,
            slowness=round(worker.slowness, 2),
            waited_ms=waited_ms,
            token=self.context.state.epoch,
        )
        self.context.state.metrics.record_run_start(answer.outcome.value, waited_ms)
        if answer.clock_ms is None:
            worker.record_doubt()
        elif worker.has_clock_gone_back(answer.clock_ms, now):
            worker.record_doubt()
            worker.record_restart(now, self.context.cfg.max_lease_ms)
        if answer.clock_ms is not None:
            worker.update_clock(answer.clock_ms, now)
        self._apply_start_answer(attempt, placement, answer)
        self.context.on_change()

    def _withdraw_start(self, attempt: Attempt, reason: str) -> None:
        """Release a run whose start order has not been sent."""
        _log.info(
            "Start order withdrawn",
            task=attempt.task,
            run=attempt.run,
            worker=attempt.worker.info.worker,
            why=reason,
        )
        self.context.state.metrics.record_withdrawn_start(reason)
        self.context.state.release(attempt)
        self.context.on_change()

    async def _send_start(self, worker: Worker, order: StartOrder) -> StartAnswer:
        """Send a start order; after an unexpected error its outcome is unknown."""
        try:
            return await self.context.port.start(worker.info, order)
        except Exception as exc:
            _log.warning(
                "Start order failed",
                task=order.task,
                worker=worker.info.worker,
                why=f"{type(exc).__name__}: {exc}",
            )
            return StartAnswer(StartOutcome.UNKNOWN, None)

    def _apply_start_answer(
        self, attempt: Attempt, placement: Placement, answer: StartAnswer
    ) -> None:
        now = self.context.clock.now()
        outcome = answer.outcome
        if outcome is StartOutcome.UNKNOWN:
            worker = attempt.worker.info.worker
            self.context.state.late_starts.add(worker, attempt.task, attempt.run)
        if outcome is StartOutcome.STARTED:
            self.context.state.record_begun(placement.step)
        if attempt.phase is AttemptPhase.STOPPING:
            if outcome is not StartOutcome.UNKNOWN:
                attempt.is_start_open = attempt.is_start_unconfirmed = False
                attempt.last_answer_at = now
            return
        if outcome is StartOutcome.STARTED:
            attempt.phase = AttemptPhase.RUNNING
            attempt.last_answer_at = now
            attempt.confirmed_at = now
            attempt.last_progress_at = now
        elif outcome is StartOutcome.UNKNOWN:
            self._stop_unanswered_start(attempt)
        elif outcome is StartOutcome.FENCED:
            name = attempt.worker.info.worker
            self.context.on_fenced(
                f"start: the worker has seen a higher token ({name})"
            )
        else:
            self._apply_rejection(attempt, placement, outcome, now)

    def _apply_rejection(
        self, attempt: Attempt, placement: Placement, outcome: StartOutcome, now
    ) -> None:
        if outcome is StartOutcome.NO_TICKET:
            placement.step.tickets.pop(placement.worker.info.worker, None)
        elif outcome is not StartOutcome.STALE_RUN:
            avoid_until = Instant(now + UNHEALTHY_BACKOFF_MS)
            placement.worker.avoid_until = max(
                placement.worker.avoid_until, avoid_until
            )
        self.context.state.release(attempt)

    def _stop_unanswered_start(self, attempt: Attempt) -> None:
        """Stop a run whose start order got no answer and may still be carried out.

        The stop prevents a later start of that run. Once the stop is answered, a
        later report shows whether the run exists.
        """
        attempt.is_start_unconfirmed = True
        attempt.worker.is_reachable = False
        self.context.state.crashes.record_silence(attempt.worker, attempt.started_at)
        self.context.state.order_stop(attempt, "start order got no answer")
        self.stop_all(self.context.state.pop_stop_orders())

    async def _stop(self, stop: StopOrder) -> None:
        """Send a stop order until it is answered or the run is known to have ended.

        A worker may reject orders for a long time while it renews its lease, so that
        the run neither stops nor expires.
        """
        attempts = 0
        while attempts < MAX_STOP_ATTEMPTS or self._held_attempt(stop) is not None:
            attempts += 1
            incarnation_ms = stop.worker.incarnation_ms
            try:
                await self.context.port.stop(
                    stop.worker.info, stop.task, stop.run, self.context.state.epoch
                )
                break
            except FencedError as exc:
                self.context.on_fenced(f"{exc} ({stop.worker.info.worker})")
                return
            except (ConflictError, TransportError) as exc:
                if isinstance(exc, TransportError):
                    stop.worker.record_doubt()
                elif self._held_attempt(stop) is None:
                    return
                _log.warning(
                    "Stop order got no answer; retrying",
                    task=stop.task,
                    run=stop.run,
                    worker=stop.worker.info.worker,
                    why=str(exc),
                )
                await asyncio.sleep(self.context.cfg.retry_ms / 1000)
        _log.info(
            "Stop order finished",
            task=stop.task,
            run=stop.run,
            worker=stop.worker.info.worker,
            why=stop.reason,
            attempts=attempts,
            token=self.context.state.epoch,
        )
        attempt = self._held_attempt(stop)
        # A new incarnation knows nothing of a stop that the one before has answered.
        if attempt is not None and stop.worker.incarnation_ms == incarnation_ms:
            attempt.is_start_open = False
            attempt.last_answer_at = self.context.clock.now()

    @staticmethod
    def _held_attempt(stop: StopOrder) -> Attempt | None:
        """Return the attempt that a stop order is for, None if it has been released."""
        attempt = stop.worker.attempts.get(stop.task)
        return attempt if attempt is not None and attempt.run == stop.run else None
