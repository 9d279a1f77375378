"""The workers of a group: who there is, and who is silent."""

from ..journal import Instance, InstanceState
from ..settings import LeaseSettings
from ..utils import Clock, Instant
from ..workers import WorkerHealth, WorkerView
from ._attempts import AttemptTable
from ._outbox import CommandOutbox
from ._ports import HolderPorts

__all__ = ["WorkerWatch"]

SUSPECT_AFTER_REPORTS = 3


class WorkerWatch:
    """Follow the platform's list and the workers' reports.

    Parameters
    ----------
    racks : list of str
        Racks of the group.
    leases : LeaseSettings
        Terms.
    clock : Clock
        Source of time.
    attempts : AttemptTable
        Attempts under way, and the views of the workers.
    outbox : CommandOutbox
        Asks silent workers.
    ports : HolderPorts
        Ways out.

    Notes
    -----
    Workers push reports, and those that fall silent are asked. A suspicion only
    keeps new work away.
    """

    def __init__(
        self,
        racks: list[str],
        leases: LeaseSettings,
        clock: Clock,
        attempts: AttemptTable,
        outbox: CommandOutbox,
        ports: HolderPorts,
    ) -> None:
        self.racks = racks
        self.leases = leases
        self.clock = clock
        self.attempts = attempts
        self.outbox = outbox
        self.ports = ports
        # Earlier holders may have renewed leases until the group was claimed.
        self._inherited_lease_ends_at = Instant(
            clock.now() + leases.task_ms + leases.margin_ms
        )

    def update(self, instances: list[Instance]) -> None:
        """Take in the platform's list of workers.

        Parameters
        ----------
        instances : list of Instance
            Workers of all racks. One that has left the list is kept while
            attempts on it may still run.
        """
        views = self.attempts.views
        mine = [instance for instance in instances if instance.rack in self.racks]
        for instance in mine:
            self._note_instance(instance)
        listed = {instance.id for instance in mine}
        for worker in [w for w in views if w not in listed]:
            views[worker].is_leaving_ = True
            if not self.attempts.on_worker(worker):
                del views[worker]

    def _note_instance(self, instance: Instance) -> None:
        view = self.attempts.views.get(instance.id)
        if view is None:
            view = WorkerView(instance.id, instance.address, instance.rack)
            view.lease_expires_at_ = self._inherited_lease_ends_at
            self.attempts.views[instance.id] = view
            self.attempts.commit_on(view)
        view.address = instance.address
        view.is_leaving_ = instance.state is InstanceState.LEAVING

    def run(self) -> None:
        """Suspect workers that are silent, and ask them for a report."""
        now = self.clock.now()
        silence_ms = SUSPECT_AFTER_REPORTS * self.leases.report_ms
        marks = self.ports.cell().workers
        for view in self.attempts.views.values():
            mark = marks.get(view.id)
            view.is_drained_ = mark is not None and mark.drained
            if (
                view.health_ is WorkerHealth.LIVE
                and now > view.last_contact_at_ + silence_ms
            ):
                view.health_ = WorkerHealth.SUSPECTED
            if view.health_ is WorkerHealth.LIVE:
                continue
            if now >= view.last_poll_at_ + self.leases.report_ms:
                view.last_poll_at_ = now
                self.outbox.send(view, [])

    def silent_workers(self) -> list[tuple[str, Instant]]:
        """Return silent workers with attempts, and when their leases end."""
        silent = []
        for worker in self.attempts.workers():
            view = self.attempts.views.get(worker)
            if view is None or view.health_ is not WorkerHealth.LIVE:
                silent.append((worker, self._lease_end(view)))
        return silent

    def _lease_end(self, view: WorkerView | None) -> Instant:
        """Return when all tasks on a silent worker have surely stopped."""
        ends_at = view.lease_expires_at_ if view else self._inherited_lease_ends_at
        return Instant(ends_at + self.leases.margin_ms)
