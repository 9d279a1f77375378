"""Commands to the workers of a group, sent in batches."""

from ..ownership import LeaseGuard
from ..settings import LeaseSettings
from ..utils import Clock, Epoch, GroupName, InstanceId
from ..work import TaskRef
from ..workers import Command, CommandBatch, StartTask, WorkerClock, WorkerView
from ._attempt_table import AttemptTable
from ._ports import HolderPorts

__all__ = ["CommandOutbox"]


class CommandOutbox:
    """Collect commands and send them, one batch per worker.

    Parameters
    ----------
    group : GroupName
        The group.
    epoch : Epoch
        Epoch of its holder.
    report_to : str
        ``host:port`` where workers report.
    leases : LeaseSettings
        Lease terms.
    guard : LeaseGuard
        Validity of the ownership lease.
    clock : Clock
        Source of time.
    attempts : AttemptTable
        Tracked attempts; their `valid_until` is set when a start is sent.
    ports : HolderPorts
        Interface to the surrounding process.
    """

    def __init__(
        self,
        group: GroupName,
        epoch: Epoch,
        report_to: str,
        leases: LeaseSettings,
        guard: LeaseGuard,
        clock: Clock,
        attempts: AttemptTable,
        ports: HolderPorts,
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.report_to = report_to
        self.leases = leases
        self.guard = guard
        self.clock = clock
        self.attempts = attempts
        self.ports = ports
        self._queued: dict[InstanceId, list[Command]] = {}

    def put(self, worker: InstanceId, command: Command) -> None:
        """Add a command to the next batch of a worker."""
        self._queued.setdefault(worker, []).append(command)

    def flush(self) -> None:
        """Send the collected commands."""
        queued, self._queued = self._queued, {}
        for worker, commands in queued.items():
            view = self.attempts.views.get(worker)
            if view is not None:
                self.send(view, commands)

    def send(self, view: WorkerView, commands: list[Command]) -> None:
        """Send a batch at once, unless the ownership lease has ended.

        Parameters
        ----------
        view : WorkerView
            The worker.
        commands : list of Command
            Its commands; an empty batch requests a report.
        """
        now = self.clock.now()
        validity_ms = min(self.leases.command_ms, self.guard.remaining_ms())
        if not validity_ms:
            return
        valid_until = WorkerClock(view.estimate_clock(now) + validity_ms)
        for command in commands:
            if isinstance(command, StartTask):
                ref = TaskRef(command.job, command.index, command.attempt)
                self.attempts.by_ref_[ref].valid_until = valid_until
                # A start is a lease that no report has to confirm.
                view.extend_lease(self.leases.task_lease_end(now))
        batch = CommandBatch(
            self.epoch, view.incarnation_, self.report_to, valid_until, commands
        )
        self.ports.command(self.group, view, batch)
