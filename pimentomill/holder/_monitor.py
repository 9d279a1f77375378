"""Membership and failure detection for the workers of a group."""

from ..journal import Instance, InstanceState
from ..settings import LeaseSettings
from ..utils import Clock, Instant
from ..workers import WorkerHealth, WorkerView
from ._attempt_table import AttemptTable
from ._outbox import CommandOutbox
from ._ports import HolderPorts

__all__ = ["WorkerMonitor"]

SUSPECT_AFTER_MISSED_REPORTS = 3


class WorkerMonitor:
    """Track the workers that the platform lists, and detect missing reports.

    Parameters
    ----------
    racks : list of str
        Racks of the group.
    leases : LeaseSettings
        Lease terms.
    clock : Clock
        Source of time.
    attempts : AttemptTable
        Tracked attempts and the views of the workers.
    outbox : CommandOutbox
        Sends report requests to unresponsive workers.
    ports : HolderPorts
        Interface to the surrounding process.

    Notes
    -----
    Workers push reports; the holder polls those whose reports stop. A suspicion
    only keeps new work off the worker.
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
        self._inherited_lease_ends_at = leases.task_lease_end(clock.now())

    def update(self, instances: list[Instance]) -> None:
        """Apply the platform's list of workers.

        Parameters
        ----------
        instances : list of Instance
            Workers of all racks. A worker that is no longer listed is kept while
            attempts on it may still run.
        """
        views = self.attempts.views
        group_instances = [
            instance for instance in instances if instance.rack in self.racks
        ]
        for instance in group_instances:
            self._update_instance(instance)
        listed = {instance.id for instance in group_instances}
        for worker in [w for w in views if w not in listed]:
            views[worker].is_leaving_ = True
            if not self.attempts.on_worker(worker):
                del views[worker]

    def _update_instance(self, instance: Instance) -> None:
        view = self.attempts.views.get(instance.id)
        if view is None:
            view = WorkerView(instance.id, instance.address, instance.rack)
            view.lease_expires_at_ = self._inherited_lease_ends_at
            self.attempts.views[instance.id] = view
            self.attempts.reserve_existing(view)
        view.address = instance.address
        view.is_leaving_ = instance.state is InstanceState.LEAVING

    def run(self) -> None:
        """Suspect workers whose reports are overdue, and poll them for a report."""
        now = self.clock.now()
        timeout_ms = SUSPECT_AFTER_MISSED_REPORTS * self.leases.report_ms
        cell = self.ports.cell()
        drain_statuses = cell.workers
        evacuated = cell.evacuated_data_centres()
        for view in self.attempts.views.values():
            drain_status = drain_statuses.get(view.id)
            view.is_drained_ = drain_status is not None and drain_status.drained
            view.is_evacuated_ = view.data_centre in evacuated
            if (
                view.health_ is WorkerHealth.LIVE
                and now > view.last_contact_at_ + timeout_ms
            ):
                view.health_ = WorkerHealth.SUSPECTED
            if view.health_ is WorkerHealth.LIVE:
                continue
            if now >= view.last_poll_at_ + self.leases.report_ms:
                view.last_poll_at_ = now
                self.outbox.send(view, [])

    def unresponsive_workers(self) -> list[tuple[str, Instant]]:
        """Return unresponsive workers with attempts, and when their leases end."""
        unresponsive = []
        for worker in self.attempts.workers():
            view = self.attempts.views.get(worker)
            if view is None or view.health_ is not WorkerHealth.LIVE:
                unresponsive.append((worker, self._lease_end(view)))
        return unresponsive

    def _lease_end(self, view: WorkerView | None) -> Instant:
        """Return when all tasks on an unresponsive worker have certainly stopped."""
        ends_at = view.lease_expires_at_ if view else self._inherited_lease_ends_at
        return Instant(ends_at + self.leases.margin_ms)
