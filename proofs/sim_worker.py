"""Simulated worker."""

from itertools import count

from pimentomill.standins import WorkerModel
from pimentomill.workers import CommandBatch, ReportReply, WorkerReport

__all__ = ["SimWorker"]

TICK_INTERVAL_MS = 100


class SimWorker:
    """Deliver commands to a worker model, and its reports to holders."""

    def __init__(self, world, model: WorkerModel, rack: str) -> None:
        self.world = world
        self.model = model
        self.rack = rack
        self._next_report_at = 0
        self._incarnations = count(1)
        self.reboot()
        world.schedule(0, self._tick)

    @property
    def is_disconnected(self) -> bool:
        """Whether no entry can reach the worker."""
        return self.model.id in self.world.faults_.disconnected_workers

    def _tick(self) -> None:
        ended = self.model.end_due_tasks()
        now = self.world.clock_.now()
        if ended or now >= self._next_report_at:
            self._next_report_at = now + self.world.shape.leases.report_ms
            self._send_report()
        self.world.schedule(TICK_INTERVAL_MS, self._tick)

    def _send_report(self) -> None:
        target = self.model.report_to_.partition(":")[0]
        if not target or self.is_disconnected:
            return
        report = self.model.report()
        self.world.deliver(lambda: self._deliver_report(target, report))

    def _deliver_report(self, target: str, report: WorkerReport) -> None:
        entry = self.world.entries_.get(target)
        if entry is not None and not self.is_disconnected:
            entry.run_or_defer(lambda: entry.on_report(self, report))

    def on_reply(self, reply: ReportReply, report: WorkerReport) -> None:
        """Process a holder's reply to a report."""
        if not self.is_disconnected:
            self.model.apply_reply(reply, report)

    def execute(self, batch: CommandBatch):
        """Execute commands, and trace and report the tasks that they start."""
        started_count = len(self.model.started_)
        answer = self.model.execute(batch)
        for ref in self.model.started_[started_count:]:
            self.world.add_trace_line(f"{self.model.id} starts {ref}")
            for callback in self.world.start_callbacks:
                callback(self, ref)
        return answer

    def reboot(self) -> None:
        """Start a new incarnation without running tasks and recorded outcomes."""
        self.model.running_.clear()
        self.model.ended_.clear()
        self.model.incarnation_ = next(self._incarnations)
        self.model.epoch_ = -1
        self.model.report_to_ = ""
