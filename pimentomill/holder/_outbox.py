"""Commands on their way to the workers of a group."""

from ..ownership import LeaseGuard
from ..settings import LeaseSettings
from ..utils import Clock, Epoch, GroupName, InstanceId
from ..work import TaskRef
from ..workers import Command, CommandBatch, StartTask, WorkerClock, WorkerView
from ._attempts import AttemptTable
from ._ports import HolderPorts

__all__ = ["CommandOutbox"]


class CommandOutbox:
    """Collect commands and send them, one batch a worker.

    Parameters
    ----------
    group : GroupName
        The group.
    epoch : Epoch
        Epoch of its holder.
    report_to : str
        ``host:port`` where workers report.
    leases : LeaseSettings
        Terms.
    guard : LeaseGuard
        Right to act.
    clock : Clock
        Source of time.
    attempts : AttemptTable
        Attempts under way; it learns until when a start can take effect.
    ports : HolderPorts
        Ways out.
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
        self._waiting: dict[InstanceId, list[Command]] = {}

    def put(self, worker: InstanceId, command: Command) -> None:
        """Add a command to the next batch of a worker."""
        self._waiting.setdefault(worker, []).append(command)

    def flush(self) -> None:
        """Send what was collected."""
        waiting, self._waiting = self._waiting, {}
        for worker, commands in waiting.items():
            view = self.attempts.views.get(worker)
            if view is not None:
                self.send(view, commands)

    def send(self, view: WorkerView, commands: list[Command]) -> None:
        """Send a batch at once, or nothing if the right to act is over.

        Parameters
        ----------
        view : WorkerView
            The worker.
        commands : list of Command
            Its commands; none to ask for a report.
        """
        now = self.clock.now()
        span_ms = min(self.leases.command_ms, self.guard.remaining_ms())
        if not span_ms:
            return
        valid_until = WorkerClock(view.estimate_clock(now) + span_ms)
        for command in commands:
            if isinstance(command, StartTask):
                ref = TaskRef(command.job, command.index, command.attempt)
                self.attempts.flights_[ref].valid_until = valid_until
        batch = CommandBatch(
            self.epoch, view.incarnation_, self.report_to, valid_until, commands
        )
        self.ports.command(self.group, view, batch)
