"""Which unfinished jobs lie beyond their team's share."""

from collections.abc import Iterable, Mapping

from ..catalog import Team
from ..dispatch import JobRun, ShareMeter
from ..jobs import Accepted, JobState
from ..overload import ShareLedger
from ..utils import Clock, JobId

__all__ = ["ShareTracker"]


class ShareTracker:
    """Sets `JobRun.over_share` of the leader's jobs.

    With `by_records`, all jobs are judged by the accepted records, so that a successor
    comes to the same result. Jobs beyond a share come within it when the refilling
    share covers them: a backlog that stayed behind all later jobs of its team would
    starve. A job that has not begun stays beyond the share while its pool is full.

    Otherwise, a leader judges the jobs that it sees arrive by the time at which it sees
    them, once and for all, and those that it inherits count as within the share.

    Parameters
    ----------
    clock : Clock
        Source of time.
    by_records : bool
        Whether all jobs are judged by the accepted records.
    ledger : ShareLedger, default=None
        Empty ledger of submissions; one with the usual bursts is created if None.
    """

    def __init__(
        self, clock: Clock, by_records: bool, ledger: ShareLedger | None = None
    ) -> None:
        self.clock = clock
        self.by_records = by_records
        self.ledger = ledger or ShareLedger()
        self._meter = ShareMeter()
        self._beyond: dict[JobId, JobRun] = {}
        self._full_pools: frozenset[str] = frozenset()

    def replay(self, accepted: Iterable[Accepted], teams: Mapping[str, Team]) -> None:
        """Count the submissions that previous leaders have seen.

        Finished jobs count as well, as they have used their team's share.
        """
        if not self.by_records:
            return
        for record in sorted(accepted, key=lambda item: item.at_ms):
            self._record(record, teams.get(record.team))

    def add(
        self,
        job: JobRun,
        team: Team | None,
        inherited: bool,
        jobs: Mapping[JobId, JobRun],
    ) -> None:
        """Judge a new job.

        Parameters
        ----------
        job : JobRun
            New job.
        team : Team or None
            Team of the job, None if it has none.
        inherited : bool
            Whether a previous leader may have seen the job.
        jobs : mapping of JobId to JobRun
            Known jobs.
        """
        if not self.by_records:
            job.over_share = not inherited and self._meter.exceeds_share(
                team, self.clock.now()
            )
            return
        # A record that is read late may change what later submissions exceed.
        changed = self._record(job.accepted, team)
        if inherited or job.accepted.job in changed:
            self._judge(job)
        for name in changed & jobs.keys():
            self._judge(jobs[name])

    def _record(self, accepted: Accepted, team: Team | None) -> set[JobId]:
        if team is None:
            return set()
        return self.ledger.record(accepted.job, team.name, team.weight, accepted.at_ms)

    def refresh(self, full_pools: frozenset[str]) -> None:
        """Judge the jobs beyond a share anew.

        Parameters
        ----------
        full_pools : frozenset of str
            Services whose waiting tasks exceed the free capacity.
        """
        self._full_pools = full_pools
        for name, job in list(self._beyond.items()):
            if job.state.is_final:
                del self._beyond[name]
            else:
                self._judge(job)

    def _judge(self, job: JobRun) -> None:
        name = job.accepted.job
        covered_at_ms = self.ledger.covered_at_ms(name)
        if covered_at_ms is None:
            job.over_share = False
            self._beyond.pop(name, None)
            return
        self._beyond[name] = job
        waits_for_others = (
            job.state is JobState.QUEUED and job.queue.service in self._full_pools
        )
        is_covered = self.clock.wall_ms() >= covered_at_ms
        job.over_share = waits_for_others or not is_covered
