"""Admission of submissions at an entry, by the newest report of the leader."""

from collections.abc import Callable

from ..catalog import Queue, Team
from ..jobs import Accepted, JobSpec
from ..overload import (
    AdmissionPolicy,
    AdmissionRequest,
    LoadReport,
    Refusal,
    ShareLedger,
)
from ..telemetry import CellMetrics, ComponentLogger
from ..utils import Clock, Instant, JobId

__all__ = ["AdmissionGate"]

_log = ComponentLogger("admission")


class AdmissionGate:
    """Keeps what an entry needs to decide on submissions.

    Parameters
    ----------
    clock : Clock
        Source of time.
    metrics : CellMetrics
        Metrics of the process.
    find_team : callable
        Returns a configured team by its name, None if there is none.
    current_epoch : callable
        Returns the epoch of the leader; reports of earlier ones are not used.
    own_report : callable
        Returns the report of this entry if it leads, else None.
    ledger : ShareLedger, default=None
        Empty ledger of submissions; one with the usual bursts is created if None.

    Attributes
    ----------
    ledger : ShareLedger
        Shares of teams, by the accepted records that this entry has read.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: CellMetrics,
        find_team: Callable[[str], Team | None],
        current_epoch: Callable[[], int],
        own_report: Callable[[], LoadReport | None],
        ledger: ShareLedger | None = None,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.find_team = find_team
        self.current_epoch = current_epoch
        self.own_report = own_report
        self.ledger = ledger or ShareLedger()
        self.policy = AdmissionPolicy()
        self._report: LoadReport | None = None
        self._measured_at = clock.now()

    def apply_report(self, report: LoadReport) -> None:
        """Apply a report that the leader has just sent."""
        self._report = report
        self._measured_at = Instant(self.clock.now() - report.age_ms)

    def record(self, accepted: Accepted) -> None:
        """Count an accepted submission."""
        team = self.find_team(accepted.team)
        if team is not None:
            self.ledger.record(accepted.job, team.name, team.weight, accepted.at_ms)

    def decide(
        self, queue: Queue, team: str, job: JobId, spec: JobSpec
    ) -> Refusal | None:
        """Return why a submission is to be refused, None if it is to be accepted."""
        own_report = self.own_report()
        if own_report is not None:
            self.apply_report(own_report)
        report = self._report
        if report is None or report.epoch != self.current_epoch():
            return None
        path_ms = spec.critical_path_ms()
        known = self.find_team(team)
        excess_ms = (
            self.ledger.excess_ms(team, known.weight, self.clock.wall_ms())
            if known is not None
            else 0.0
        )
        is_deferred = spec.is_scheduled or any(step.long_running for step in spec.steps)
        req = AdmissionRequest(
            job,
            queue.service,
            team,
            queue.priority,
            path_ms,
            queue.stretch * path_ms + queue.target_ms,
            is_deferred,
            excess_ms,
        )
        return self.policy.decide(req, report, self.clock.now() - self._measured_at)

    def record_refusal(
        self, refusal: Refusal, queue: Queue, team: str, job: JobId, state_age_ms: int
    ) -> None:
        """Count and log a refusal with what it is based on."""
        self.metrics.record_refusal(queue.name, refusal.reason)
        _log.info(
            "Submission refused",
            job=job,
            queue=queue.name,
            team=team,
            pool=queue.service,
            why=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            predicted_wait_ms=refusal.wait_ms,
            excess_ms=round(refusal.excess_ms),
            epoch=refusal.epoch,
            report_age_ms=refusal.report_age_ms,
            state_age_ms=state_age_ms,
        )
