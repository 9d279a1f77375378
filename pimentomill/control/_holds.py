"""Renews leases and reads what runs, one loop a worker."""

import asyncio
from collections.abc import Callable

from ..exceptions import ConflictError, FencedError, TransportError
from ..fleet import HoldOrder, Worker
from ..jobs import WorkerId
from ..telemetry import PartLog
from ._drive import Drive

__all__ = ["Holds"]

DURABLE_WAIT_MS = 80
"""Milliseconds to wait until ends are stored before the next hold."""
OUTAGE_GAP_MS = 120
"""Milliseconds between holds while ends can't be stored."""

_log = PartLog("holds")


class Holds:
    """Keeps one hold open at each worker.

    Parameters
    ----------
    drive : Drive
        What the leader shares with it.
    durable : asyncio.Event
        Set when ends have been stored.
    forgotten : callable
        Called when a worker is gone for good.
    """

    def __init__(
        self, drive: Drive, durable: asyncio.Event, forgotten: Callable[[], None]
    ) -> None:
        self.drive = drive
        self.durable = durable
        self.forgotten = forgotten
        self._loops: dict[WorkerId, asyncio.Task] = {}

    def watch(self, worker: Worker) -> None:
        """Hold a worker from now on."""
        name = worker.info.worker
        if name not in self._loops:
            loop = asyncio.get_running_loop()
            self._loops[name] = loop.create_task(self._run(worker))

    def close(self) -> None:
        """End all loops."""
        for task in self._loops.values():
            task.cancel()

    async def _run(self, worker: Worker) -> None:
        try:
            while not self._is_gone(worker):
                if await self._hold(worker):
                    await self._pause(worker)
                else:
                    await asyncio.sleep(self.drive.cfg.retry_ms / 1000)
        finally:
            self._loops.pop(worker.info.worker, None)
        self.drive.book.workers.pop(worker.info.worker, None)
        self.forgotten()
        _log.info("Worker forgotten", worker=worker.info.worker)

    def _is_gone(self, worker: Worker) -> bool:
        return (
            not worker.is_listed
            and not worker.is_reachable
            and not worker.attempts
            and self.drive.clock.now() >= worker.lease_until
        )

    async def _hold(self, worker: Worker) -> bool:
        now = self.drive.clock.now()
        # A worker that does not answer is asked without a renewal: each renewal
        # would put off the moment at which its lease has certainly lapsed.
        lease_end = None
        if worker.is_reachable:
            lease_end = worker.extend_lease(now, self.drive.cfg.lease_ms)
        wait = (
            0
            if worker.has_pending_ends or lease_end is None
            else self.drive.cfg.hold_wait_ms
        )
        order = HoldOrder(self.drive.book.epoch, worker.acknowledged, lease_end, wait)
        try:
            report = await self.drive.port.hold(worker.info, order)
        except FencedError as exc:
            self.drive.fenced(str(exc))
            return False
        except (TransportError, ConflictError) as exc:
            self._note_failure(worker, exc)
            return False
        if not worker.is_reachable:
            _log.info("Worker answers", worker=worker.info.worker)
        self.drive.book.take_report(worker, report, now)
        self.drive.changed()
        return True

    def _note_failure(self, worker: Worker, exc: Exception) -> None:
        if worker.is_reachable:
            _log.warning("Worker lost", worker=worker.info.worker, why=str(exc))
        worker.is_reachable = False
        if worker.attempts and self.drive.clock.now() >= worker.lease_until:
            self.drive.book.lose_all(worker, "its lease has lapsed")
            self.drive.changed()

    async def _pause(self, worker: Worker) -> None:
        if worker.has_pending_ends:
            await self._wait_durable(worker)
            if worker.has_pending_ends:
                await asyncio.sleep(OUTAGE_GAP_MS / 1000)
            return
        await asyncio.sleep(self.drive.cfg.hold_gap_ms / 1000)

    async def _wait_durable(self, worker: Worker) -> None:
        try:
            async with asyncio.timeout(DURABLE_WAIT_MS / 1000):
                while worker.has_pending_ends:
                    self.durable.clear()
                    await self.durable.wait()
        except TimeoutError:
            return
