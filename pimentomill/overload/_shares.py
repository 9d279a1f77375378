"""Shares of teams, derived from the accepted submissions."""

from bisect import bisect_left, bisect_right
from typing import NamedTuple

from ..utils import JobId

__all__ = ["ShareLedger"]

BURST_S = 2.0
"""Seconds of its share that a team may submit at once, where the contract does not say
over which time a share is measured."""
MAX_RECORDS = 4096
"""Submissions of a team that are kept. Older ones only count through the state that
they lead to, as a share refills within seconds."""
MAX_EXCESS_MS = 10_000
"""Longest time after its submission for which a job lies beyond a share, two quota
windows: many of the team's earlier jobs beyond it have ended by then, and what waits
must not starve."""
MS_PER_S = 1000


class _Submission(NamedTuple):
    at_ms: int
    job: JobId


class _Standing(NamedTuple):
    """State of a team after a submission.

    Parameters
    ----------
    at_ms : int
        Wall-clock time of the submission.
    tokens : float
        Jobs that the team may still submit within its share.
    excess_until_ms : float
        Wall-clock time at which the share covers all submissions beyond it.
    """

    at_ms: int
    tokens: float
    excess_until_ms: float


class _TeamShare:
    """Submissions of one team in their order, with the standing after each."""

    def __init__(self, weight: float, burst_s: float, burst_jobs: float) -> None:
        self.weight = weight
        self.burst_s = burst_s
        self.burst_jobs = burst_jobs
        self.submissions: list[_Submission] = []
        self.standings: list[_Standing] = []
        self.first = _Standing(0, self.burst, 0.0)

    @property
    def burst(self) -> float:
        return max(1.0, self.weight * self.burst_s + self.burst_jobs)

    def before(self, position: int) -> _Standing:
        return self.standings[position - 1] if position else self.first

    def tokens_at(self, standing: _Standing, at_ms: int) -> float:
        refill = max(0, at_ms - standing.at_ms) * self.weight / MS_PER_S
        return min(self.burst, standing.tokens + refill)

    def advance(self, standing: _Standing, at_ms: int) -> tuple[_Standing, bool]:
        """Return the standing after a submission and whether it exceeds the share."""
        tokens = self.tokens_at(standing, at_ms)
        if tokens >= 1.0:
            return _Standing(at_ms, tokens - 1.0, standing.excess_until_ms), False
        excess_until_ms = max(standing.excess_until_ms, at_ms) + MS_PER_S / self.weight
        excess_until_ms = min(excess_until_ms, at_ms + MAX_EXCESS_MS)
        return _Standing(at_ms, tokens, excess_until_ms), True


class ShareLedger:
    """Finds the jobs beyond their team's share by replaying accepted submissions.

    A team's weight is the number of jobs per second that it is entitled to. Its share
    refills at that rate and holds `burst_s` seconds of it and `burst_jobs` jobs.
    Submissions of a team count in the order of their acceptance, whatever the order in
    which they are read. So all processes that have read the same records come to the
    same result.

    Parameters
    ----------
    burst_s : float, default=2.0
        Seconds of its share that a team may submit at once.
    burst_jobs : float, default=0.0
        Jobs that it may submit at once in addition.

    Examples
    --------
    >>> ledger = ShareLedger()
    >>> for at_ms, job in enumerate("cba"):
    ...     _ = ledger.record(job, "t", 1.0, at_ms)
    >>> [job for job in "abc" if ledger.covered_at_ms(job) is not None]
    ['a']
    >>> ledger.covered_at_ms("a")
    1002.0
    """

    def __init__(self, burst_s: float = BURST_S, burst_jobs: float = 0.0) -> None:
        self.burst_s = burst_s
        self.burst_jobs = burst_jobs
        self._teams: dict[str, _TeamShare] = {}
        self._covered_at_ms: dict[JobId, float] = {}

    def record(self, job: JobId, team: str, weight: float, at_ms: int) -> set[JobId]:
        """Count a submission; a repeated one has no further effect.

        Parameters
        ----------
        job : JobId
            Accepted job.
        team : str
            Name of its team.
        weight : float
            Jobs per second that the team is entitled to; 0 or less for no limit.
        at_ms : int
            Wall-clock time of the submission in milliseconds.

        Returns
        -------
        set of JobId
            Jobs for which it has changed whether they lie beyond the share: the new
            one, or later ones if the records were not read in order.
        """
        if weight <= 0:
            return set()
        share = self._teams.get(team)
        if share is None:
            share = self._teams[team] = _TeamShare(
                weight, self.burst_s, self.burst_jobs
            )
        share.weight = weight
        submission = _Submission(at_ms, job)
        position = bisect_left(share.submissions, submission)
        if share.submissions[position : position + 1] == [submission]:
            return set()
        share.submissions.insert(position, submission)
        share.standings.insert(position, share.first)
        changed = self._replay(share, position)
        if len(share.submissions) > MAX_RECORDS:
            self._drop_oldest(share)
        return changed

    def _replay(self, share: _TeamShare, position: int) -> set[JobId]:
        """Work out the standings from a new submission on."""
        changed = set()
        for number in range(position, len(share.submissions)):
            at_ms, job = share.submissions[number]
            standing, exceeds = share.advance(share.before(number), at_ms)
            if exceeds != (job in self._covered_at_ms):
                changed.add(job)
            if exceeds:
                self._covered_at_ms[job] = standing.excess_until_ms
            else:
                self._covered_at_ms.pop(job, None)
            if number > position and standing == share.standings[number]:
                break
            share.standings[number] = standing
        return changed

    def _drop_oldest(self, share: _TeamShare) -> None:
        count = MAX_RECORDS // 2
        share.first = share.standings[count - 1]
        for _, job in share.submissions[:count]:
            self._covered_at_ms.pop(job, None)
        del share.submissions[:count], share.standings[:count]

    def covered_at_ms(self, job: JobId) -> float | None:
        """Return when the refilling share covers a job beyond it.

        The jobs of a team beyond its share are covered in their order, at the rate of
        the share, but each after 10 s at most.

        Returns
        -------
        float or None
            Wall-clock time in milliseconds; None if the job lies within the share or
            its submission is no longer kept.
        """
        return self._covered_at_ms.get(job)

    def excess_ms(self, team: str, weight: float, at_ms: int) -> float:
        """Return for how long a further job of a team would lie beyond its share.

        Submissions with a later time than `at_ms`, from a clock that is ahead, are
        left out.

        Parameters
        ----------
        team : str
            Name of the team.
        weight : float
            Jobs per second that the team is entitled to; 0 or less for no limit.
        at_ms : int
            Current wall-clock time in milliseconds.

        Returns
        -------
        float
            Milliseconds, more of them the further the team is beyond its share; 0 if
            the job would lie within the share.
        """
        share = self._teams.get(team)
        if share is None or weight <= 0:
            return 0.0
        submissions = share.submissions
        position = bisect_right(submissions, at_ms, key=lambda item: item.at_ms)
        standing = share.before(position)
        tokens = share.tokens_at(standing, at_ms)
        if tokens >= 1.0:
            return 0.0
        until_next_ms = (1.0 - tokens) * MS_PER_S / weight
        return max(until_next_ms, standing.excess_until_ms - at_ms)
