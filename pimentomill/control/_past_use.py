"""Past use of teams: its effect on the order, its record and its metrics."""

from ..dispatch import StepRun, order_steps
from ..jobs import KeyedRecord
from ..telemetry import ComponentLogger
from ..usage import USAGE_KEY
from ..utils import ZERO, Clock, Instant
from ._leader_state import LeaderState
from ._progress_writer import ProgressWriter

__all__ = ["UsageTracker"]

RECORD_INTERVAL_MS = 15_000
"""Interval between two records of usage. It bounds the usage that is lost with a leader
and adds four records a minute, which are written with other changes."""
REFRESH_INTERVAL_MS = 1000
"""Interval between two updates of the cell's capacity and of the metrics, and between
two comparisons with the order without past use, which takes a second sort."""
LOG_INTERVAL_MS = 10_000
"""Interval between two log lines on one pool; bounds the log when the cell is full."""

_log = ComponentLogger("usage")


class UsageTracker:
    """Applies the leader's usage ledger to the order of waiting work.

    Everything happens in a pass of the planner. With past use switched off, the order
    is that of `order_steps` and nothing is recorded.

    Parameters
    ----------
    state : LeaderState
        State of the cell, with the ledger.
    progress_writer : ProgressWriter
        Writer of the records.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, state: LeaderState, progress_writer: ProgressWriter, clock: Clock
    ) -> None:
        now = clock.now()
        self.state = state
        self.ledger = state.usage
        self.progress_writer = progress_writer
        self.clock = clock
        self._since = now
        self._restored_teams = 0
        self._next_refresh_at = now
        self._next_record_at = Instant(now + RECORD_INTERVAL_MS)
        self._log_allowed_at: dict[str, Instant] = {}

    def restore(self, value: bytes) -> None:
        """Take over the record of a previous leader, empty if there is none.

        A record that can't be decoded is ignored: history is lost, but no service.
        """
        if not value or not self.ledger.is_enabled:
            return
        try:
            self._restored_teams = self.ledger.restore(value, self.clock.now())
        except ValueError as exc:
            _log.warning(
                "Ignoring undecodable usage record", key=USAGE_KEY, why=str(exc)
            )
            return
        _log.info("Usage restored", teams=self._restored_teams)

    def order(self, ready: list[StepRun], now: Instant) -> list[StepRun]:
        """Return waiting steps in the order in which they are served."""
        by_outlook = self.state.features.admission
        if not self.ledger.is_enabled:
            return order_steps(ready, now, by_outlook=by_outlook)
        teams = {step.job.accepted.team for step in ready}
        if self.ledger.capacity.is_zero():
            # A new leader learns of its workers shortly before it places work.
            self._measure_capacity(now)
        is_refresh_due = now >= self._next_refresh_at
        if is_refresh_due:
            self._next_refresh_at = Instant(now + REFRESH_INTERVAL_MS)
            self._refresh(teams, now)
        past_use = self.ledger.past_use(teams, now)
        steps = order_steps(ready, now, past_use, by_outlook)
        if is_refresh_due:
            without = order_steps(ready, now, by_outlook=by_outlook)
            self._report_changes(without, steps, teams, now)
        return steps

    def add_record(self) -> None:
        """Write the usage with the next batch."""
        if not self.ledger.is_enabled or not self.ledger.known_teams():
            return
        value = self.ledger.encode(self.clock.now(), self.clock.wall_ms())
        self.progress_writer.replace_extra_record(KeyedRecord(USAGE_KEY, value))

    def close(self) -> None:
        """Withdraw the metrics, which hold for the leader only."""
        if self.ledger.is_enabled:
            self.state.metrics.set_team_usage({})

    def _measure_capacity(self, now: Instant) -> None:
        workers = self.state.workers.values()
        capacities = (worker.info.capacity for worker in workers if worker.is_listed)
        self.ledger.set_capacity(sum(capacities, ZERO), now)

    def _refresh(self, waiting_teams: set[str], now: Instant) -> None:
        self._measure_capacity(now)
        factors = self.ledger.factors(waiting_teams, now)
        self.state.metrics.set_team_usage(
            {
                team: (
                    self.ledger.current_share(team),
                    self.ledger.past_share(team, now),
                    factors.get(team, 1.0),
                )
                for team in self.ledger.known_teams()
            }
        )
        if now >= self._next_record_at:
            self._next_record_at = Instant(now + RECORD_INTERVAL_MS)
            self.add_record()

    def _report_changes(
        self,
        without: list[StepRun],
        steps: list[StepRun],
        teams: set[str],
        now: Instant,
    ) -> None:
        """Count and log the pools in which another team comes first by past use."""
        first_without = _first_teams(without)
        for pool, team in _first_teams(steps).items():
            other = first_without[pool]
            if team == other:
                continue
            self.state.metrics.record_past_use_change(pool)
            if now < self._log_allowed_at.get(pool, now):
                continue
            self._log_allowed_at[pool] = Instant(now + LOG_INTERVAL_MS)
            factors = self.ledger.factors(teams, now)
            _log.info(
                "Past use changed which team comes first",
                pool=pool,
                first=self._describe(team, factors, now),
                instead_of=self._describe(other, factors, now),
                recorded_for_ms=now - self._since,
                restored_teams=self._restored_teams,
            )

    def _describe(self, team: str, factors: dict[str, float], now: Instant) -> dict:
        return {
            "team": team,
            "weight": self.ledger.weight(team),
            "factor": round(factors[team], 3),
            "current_share": round(self.ledger.current_share(team), 4),
            "past_share": round(self.ledger.past_share(team, now), 4),
        }


def _first_teams(steps: list[StepRun]) -> dict[str, str]:
    """Return the team of the first step of each pool."""
    first: dict[str, str] = {}
    for step in steps:
        first.setdefault(step.job.queue.service, step.job.accepted.team)
    return first
