"""A worker of a simulated world."""

from itertools import count

from pimentomill.standins import WorkerModel
from pimentomill.workers import CommandBatch, ReportReply, WorkerReport

__all__ = ["SimWorker"]

STEP_MS = 100


class SimWorker:
    """Carry commands to a worker's model and its reports to holders."""

    def __init__(self, world, model: WorkerModel, rack: str) -> None:
        self.world = world
        self.model = model
        self.rack = rack
        self._report_at = 0
        self._boots = count(1)
        self.reboot()
        world.at(0, self._run)

    @property
    def is_cut(self) -> bool:
        """Whether no entry reaches it."""
        return self.model.id in self.world.faults_.cut_workers

    def _run(self) -> None:
        ended = self.model.end_due_tasks()
        now = self.world.clock_.now()
        if ended or now >= self._report_at:
            self._report_at = now + self.world.shape.leases.report_ms
            self._push()
        self.world.at(STEP_MS, self._run)

    def _push(self) -> None:
        target = self.model.report_to_.partition(":")[0]
        if not target or self.is_cut:
            return
        report = self.model.report()
        self.world.deliver(lambda: self._arrive(target, report))

    def _arrive(self, target: str, report: WorkerReport) -> None:
        entry = self.world.entries_.get(target)
        if entry is not None and not self.is_cut:
            entry.run(lambda: entry.on_report(self, report))

    def on_reply(self, reply: ReportReply, report: WorkerReport) -> None:
        """Take in a holder's reply."""
        if not self.is_cut:
            self.model.apply_reply(reply, report)

    def carry_out(self, batch: CommandBatch):
        """Carry out commands and note what was started."""
        before = len(self.model.started_)
        answer = self.model.execute(batch)
        for ref in self.model.started_[before:]:
            self.world.note(f"{self.model.id} starts {ref}")
            for watch in self.world.on_start:
                watch(self, ref)
        return answer

    def reboot(self) -> None:
        """Lose all tasks and what they had ended with."""
        self.model.running_.clear()
        self.model.ended_.clear()
        self.model.incarnation_ = next(self._boots)
        self.model.epoch_ = -1
        self.model.report_to_ = ""
