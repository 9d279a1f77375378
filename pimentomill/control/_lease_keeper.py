"""Renews leases and reads worker reports, one loop per worker."""

import asyncio
from collections.abc import Callable

from ..exceptions import ConflictError, FencedError, TransportError
from ..fleet import HoldOrder, Worker
from ..jobs import WorkerId
from ..telemetry import ComponentLogger
from ..utils import Instant, supervise
from ._context import ControlContext

__all__ = ["LeaseKeeper"]

DURABLE_WAIT_MS = 80
"""Longest wait for ends to become durable before the next hold."""
OUTAGE_GAP_MS = 120
"""Pause between holds while ends can't be stored."""

_log = ComponentLogger("holds")


class LeaseKeeper:
    """Keeps one hold open at each worker.

    A hold is a long poll that renews the lease and returns a report.

    Parameters
    ----------
    context : ControlContext
        Objects shared by the components of the leader.
    ends_durable : asyncio.Event
        Set when ends have become durable.
    on_removed : callable
        Called when a worker has been removed.
    """

    def __init__(
        self,
        context: ControlContext,
        ends_durable: asyncio.Event,
        on_removed: Callable[[], None],
    ) -> None:
        self.context = context
        self.ends_durable = ends_durable
        self.on_removed = on_removed
        self._loops: dict[WorkerId, asyncio.Task] = {}

    def watch(self, worker: Worker) -> None:
        """Start the loop of a worker unless it is running."""
        name = worker.info.worker
        if name not in self._loops:
            loop = asyncio.get_running_loop()
            self._loops[name] = loop.create_task(self._run(worker))

    def close(self) -> None:
        """Cancel all loops."""
        for task in self._loops.values():
            task.cancel()

    async def _run(self, worker: Worker) -> None:
        try:
            await supervise("hold", lambda: self._hold_until_removed(worker), _log)
        finally:
            self._loops.pop(worker.info.worker, None)
        self.context.state.remove_worker(worker)
        self.on_removed()
        _log.info("Worker removed", worker=worker.info.worker)

    async def _hold_until_removed(self, worker: Worker) -> None:
        while not self._can_remove(worker):
            if await self._hold(worker):
                await self._pause(worker)
            else:
                await asyncio.sleep(self.context.cfg.retry_ms / 1000)

    def _can_remove(self, worker: Worker) -> bool:
        return (
            not worker.is_listed
            and not worker.is_reachable
            and not worker.attempts
            and self._has_lease_expired(worker)
        )

    async def _hold(self, worker: Worker) -> bool:
        now = self.context.clock.now()
        is_authorized = self.context.authority.is_valid(now)
        # An unreachable worker gets no renewal: each one would postpone the time
        # at which its lease is certain to have expired. Nor does one that may have
        # restarted: by the clock before, its lease would last too long.
        lease_end = None
        if worker.is_reachable and is_authorized and not worker.may_have_restarted:
            lease_end = worker.extend_lease(now, self.context.cfg.lease_ms)
        is_first_report = is_authorized and lease_end is None
        wait_ms = (
            0
            if worker.has_pending_ends
            or worker.owes_acknowledgement(now)
            or is_first_report
            or not worker.is_reachable
            else self.context.cfg.hold_wait_ms
        )
        doubts = worker.doubts
        order = HoldOrder(
            self.context.state.epoch, worker.acknowledgement(now), lease_end, wait_ms
        )
        try:
            report = await self.context.port.hold(worker.info, order)
        except FencedError as exc:
            self.context.on_fenced(f"{exc} ({worker.info.worker})")
            return False
        except (TransportError, ConflictError) as exc:
            self._on_hold_failure(worker, exc, order, now)
            return False
        if not worker.is_reachable:
            _log.info(
                "Worker is reachable again",
                worker=worker.info.worker,
                is_first_answer=not worker.has_answered,
                incarnation_ms=report.incarnation_ms,
                running=len(report.running),
                ended=len(report.ended),
                token=order.token,
                lease_left_ms=worker.lease_until - self.context.clock.now(),
            )
        worker.record_hold_answer(order.acknowledged, doubts)
        previous_incarnation_ms = worker.incarnation_ms
        self.context.state.apply_report(worker, report, now)
        if previous_incarnation_ms not in (0, worker.incarnation_ms):
            answered_at = self.context.clock.now()
            worker.record_restart(answered_at, self.context.cfg.max_lease_ms)
        self.context.on_change()
        return True

    def _on_hold_failure(
        self, worker: Worker, exc: Exception, order: HoldOrder, sent_at: Instant
    ) -> None:
        worker.record_doubt()
        self._record_silence(worker, order, sent_at)
        if worker.is_reachable:
            _log.warning(
                "Worker is unreachable",
                worker=worker.info.worker,
                why=str(exc),
                token=order.token,
                lease_left_ms=worker.lease_until - self.context.clock.now(),
            )
        worker.is_reachable = False
        now = self.context.clock.now()
        reason = "worker lease has expired"
        has_ended = isinstance(exc, ConflictError)
        if has_ended:
            # The worker that held the lease has ended, and nothing that it ran is left.
            reason = "another worker has its address"
            worker.lease_until = min(worker.lease_until, now)
        has_lost_runs = bool(worker.attempts) and (
            has_ended or self._has_lease_expired(worker)
        )
        if has_lost_runs or has_ended:
            self.context.state.release_lost(worker, reason, has_ended)
        if has_lost_runs:
            self.context.on_change()

    def _has_lease_expired(self, worker: Worker) -> bool:
        now = self.context.clock.now()
        return worker.has_lease_expired(now, self.context.authority.covers)

    def _record_silence(
        self, worker: Worker, order: HoldOrder, sent_at: Instant
    ) -> None:
        """Record since when the worker may have ended.

        A process that ends breaks its connections at once. After a timeout, the worker
        may have ended at any time since the hold was sent.
        """
        now = self.context.clock.now()
        timeout_ms = order.wait_ms + self.context.cfg.hold_timeout_ms
        since = sent_at if now - sent_at >= timeout_ms else now
        self.context.state.crashes.record_silence(worker, since)

    async def _pause(self, worker: Worker) -> None:
        if worker.has_pending_ends:
            await self._wait_durable(worker)
            if worker.has_pending_ends:
                await asyncio.sleep(OUTAGE_GAP_MS / 1000)
            return
        await asyncio.sleep(self.context.cfg.hold_gap_ms / 1000)

    async def _wait_durable(self, worker: Worker) -> None:
        try:
            async with asyncio.timeout(DURABLE_WAIT_MS / 1000):
                while worker.has_pending_ends:
                    self.ends_durable.clear()
                    await self.ends_durable.wait()
        except TimeoutError:
            return
