"""Starts and stops runs on workers."""

import asyncio

from ..dispatch import Placement
from ..exceptions import ConflictError, FencedError, TransportError
from ..fleet import (
    Attempt,
    AttemptPhase,
    StartAnswer,
    StartOrder,
    StartOutcome,
)
from ..telemetry import PartLog
from ..utils import Instant
from ._book import StopOrder
from ._drive import Drive

__all__ = ["Orders"]

UNHEALTHY_PAUSE_MS = 700
"""Pause of a worker that rejects a start, about as long as a short task."""
STOP_TRIES = 40
"""Repeats of a stop without an answer; the lease has lapsed long before."""

_log = PartLog("orders")


class Orders:
    """Carries out what the planner decides.

    Parameters
    ----------
    drive : Drive
        What the leader shares with it.
    """

    def __init__(self, drive: Drive) -> None:
        self.drive = drive
        self._tasks: set[asyncio.Task] = set()

    def start_all(self, placements: list[Placement]) -> None:
        """Order all starts of a plan."""
        gang_runs: dict = {}
        for placement in placements:
            step = placement.step
            if step.spec.gang:
                run = gang_runs.get(step.key)
                if run is None:
                    run = gang_runs[step.key] = step.allocate_run(0)
            else:
                run = step.allocate_run(placement.index)
            attempt = self.drive.book.begin(
                step, placement.index, placement.worker, run
            )
            self._spawn(self._start(attempt, placement))

    def stop_all(self, stops: list[StopOrder]) -> None:
        """Order all stops."""
        for stop in stops:
            self._spawn(self._stop(stop))

    def close(self) -> None:
        """Give up all orders under way."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coro) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self, attempt: Attempt, placement: Placement) -> None:
        step, worker = placement.step, placement.worker
        now = self.drive.clock.now()
        order = StartOrder(
            attempt.task,
            attempt.run,
            step.job.spec.payload,
            worker.extend_lease(now, self.drive.cfg.lease_ms) or 0,
            self.drive.book.epoch,
            self.drive.book.saved_for(step, attempt.task.index),
            placement.ticket,
        )
        answer = await self.drive.port.start(worker.info, order)
        now = self.drive.clock.now()
        waited_ms = now - step.job.seen_at
        _log.info(
            "Start",
            task=attempt.task,
            run=attempt.run,
            worker=worker.info.worker,
            outcome=answer.outcome.value,
            waited_ms=waited_ms,
            token=self.drive.book.epoch,
        )
        self.drive.book.metrics.note_start(answer.outcome.value, waited_ms)
        if answer.clock_ms is not None:
            worker.update_clock(answer.clock_ms, now)
        self._settle_start(attempt, placement, answer)
        self.drive.changed()

    def _settle_start(
        self, attempt: Attempt, placement: Placement, answer: StartAnswer
    ) -> None:
        now = self.drive.clock.now()
        outcome = answer.outcome
        if attempt.phase is AttemptPhase.STOPPING:
            attempt.last_answer_at = now
            return
        if outcome is StartOutcome.STARTED:
            attempt.phase = AttemptPhase.RUNNING
            attempt.last_answer_at = now
            attempt.last_progress_at = now
        elif outcome is StartOutcome.UNKNOWN:
            self._doubt(attempt)
        elif outcome is StartOutcome.FENCED:
            self.drive.fenced("a worker has seen a higher token")
        else:
            self._take_rejection(attempt, placement, outcome, now)

    def _take_rejection(
        self, attempt: Attempt, placement: Placement, outcome: StartOutcome, now
    ) -> None:
        if outcome is StartOutcome.NO_TICKET:
            placement.step.tickets.pop(placement.worker.info.worker, None)
        elif outcome is not StartOutcome.STALE_RUN:
            pause = Instant(now + UNHEALTHY_PAUSE_MS)
            placement.worker.avoid_until = max(placement.worker.avoid_until, pause)
        self.drive.book.release(attempt)

    def _doubt(self, attempt: Attempt) -> None:
        """Settle an order without an answer: it may be carried out later.

        A stop of that run makes it impossible. Once the stop is answered, a later
        report tells whether the run is there.
        """
        attempt.is_start_unconfirmed = True
        attempt.worker.is_reachable = False
        self.drive.book.order_stop(attempt, "no answer to its start")
        attempt.last_answer_at = Instant(
            self.drive.clock.now() + 10 * self.drive.cfg.lease_ms
        )
        self.stop_all(self.drive.book.take_stops())

    async def _stop(self, stop: StopOrder) -> None:
        for _ in range(STOP_TRIES):
            try:
                await self.drive.port.stop(
                    stop.worker.info, stop.task, stop.run, self.drive.book.epoch
                )
                break
            except FencedError as exc:
                self.drive.fenced(str(exc))
                return
            except ConflictError:
                return
            except TransportError as exc:
                _log.warning("Stop repeated", task=stop.task, why=str(exc))
                await asyncio.sleep(self.drive.cfg.retry_ms / 1000)
        _log.info(
            "Stop",
            task=stop.task,
            run=stop.run,
            worker=stop.worker.info.worker,
            why=stop.why,
        )
        attempt = stop.worker.attempts.get(stop.task)
        if attempt is not None and attempt.run == stop.run:
            attempt.last_answer_at = self.drive.clock.now()
