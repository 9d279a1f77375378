"""Decayed sums of the resources that teams have used."""

import heapq
import math
from collections.abc import Iterable, Mapping

import msgspec

from ..catalog import Team
from ..utils import ZERO, Instant, Resources, dominant_fraction
from ._past_use import PastUse, usage_factors
from ._record import TeamUsage, UsageRecord, decode_usage

__all__ = ["UsageLedger"]

MS_PER_S = 1000
MAX_TEAMS = 256
"""Teams whose usage is kept; a record of that many takes about 20 KB."""
DEFAULT_WEIGHT = 1.0
"""Weight of a team where no team has a weight."""


class _Account:
    """Usage of one team, as of `settled_at`."""

    __slots__ = ("past_s", "running", "settled_at")

    def __init__(self, now: Instant) -> None:
        self.running = ZERO
        self.past_s = 0.0
        self.settled_at = now


class UsageLedger:
    """Usage of the cell by each team: what runs now, and a decayed sum of the past.

    The unit is the dominant share: the largest fraction of the cell's processors,
    memory or accelerators that the team's runs have reserved. The sum grows by this
    share times the seconds that the runs take, and halves in each half-life. So the sum
    of a team that always uses the same share approaches that share times the half-life
    / ln 2.

    Parameters
    ----------
    half_life_s : float, default=0.0
        Half-life of the sums in seconds; 0 disables the ledger.

    Examples
    --------
    >>> ledger = UsageLedger(half_life_s=3600)
    >>> ledger.set_capacity(Resources(cpu_milli=4000), Instant(0))
    >>> ledger.add("a", Resources(cpu_milli=2000), Instant(0))
    >>> ledger.current_share("a")
    0.5
    >>> round(ledger.past_s("a", Instant(60_000)), 1)
    29.8
    """

    def __init__(self, half_life_s: float = 0.0) -> None:
        self.half_life_s = half_life_s
        self.teams: Mapping[str, Team] = {}
        self.capacity = ZERO
        self._accounts: dict[str, _Account] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether usage is recorded."""
        return self.half_life_s > 0

    @property
    def time_constant_s(self) -> float:
        """Sum in seconds that a team approaches which always uses the whole cell."""
        return self.half_life_s / math.log(2)

    def weight(self, team: str) -> float:
        """Return a team's weight, or the mean of all weights if it has none."""
        record = self.teams.get(team)
        if record is not None and record.weight > 0:
            return record.weight
        weights = [item.weight for item in self.teams.values() if item.weight > 0]
        return sum(weights) / len(weights) if weights else DEFAULT_WEIGHT

    # Changes

    def set_capacity(self, capacity: Resources, now: Instant) -> None:
        """Apply the capacity of the cell; nothing is changed while it is unknown."""
        if not self.is_enabled or capacity.is_zero() or capacity == self.capacity:
            return
        for account in self._accounts.values():
            self._settle(account, now)
        self.capacity = capacity

    def add(self, team: str, need: Resources, now: Instant) -> None:
        """Add the resources of a started run to what a team has reserved."""
        if self.is_enabled:
            account = self._account(team, now)
            account.running += need

    def remove(self, team: str, need: Resources, now: Instant) -> None:
        """Remove the resources of an ended run from what a team has reserved."""
        if self.is_enabled:
            account = self._account(team, now)
            account.running -= need

    def _account(self, team: str, now: Instant) -> _Account:
        """Return the settled account of a team."""
        account = self._accounts.get(team)
        if account is None:
            self._evict(now)
            account = self._accounts[team] = _Account(now)
        self._settle(account, now)
        return account

    def _evict(self, now: Instant) -> None:
        """Drop the smallest sum of a team without runs if there are too many teams."""
        if len(self._accounts) < MAX_TEAMS:
            return
        idle = [
            (self._settle(account, now), team)
            for team, account in self._accounts.items()
            if account.running.is_zero()
        ]
        if idle:
            del self._accounts[min(idle)[1]]

    def _settle(self, account: _Account, now: Instant) -> float:
        """Add the usage since the account was last settled and return the sum."""
        elapsed_ms = now - account.settled_at
        if elapsed_ms > 0:
            share = dominant_fraction(account.running, self.capacity)
            decay = 0.5 ** (elapsed_ms / MS_PER_S / self.half_life_s)
            grown_s = share * self.time_constant_s * (1.0 - decay)
            account.past_s = account.past_s * decay + grown_s
            account.settled_at = now
        return account.past_s

    # Queries

    def known_teams(self) -> list[str]:
        """Return the teams whose usage is kept."""
        return list(self._accounts)

    def current_share(self, team: str) -> float:
        """Return the dominant share of the cell that a team's runs have reserved."""
        account = self._accounts.get(team)
        running = ZERO if account is None else account.running
        return dominant_fraction(running, self.capacity)

    def past_s(self, team: str, now: Instant) -> float:
        """Return the decayed sum of a team's dominant share, in seconds."""
        account = self._accounts.get(team)
        return 0.0 if account is None else self._settle(account, now)

    def past_share(self, team: str, now: Instant) -> float:
        """Return the mean share of the cell that a team has used, weighted by decay."""
        return self.past_s(team, now) / self.time_constant_s

    def factors(self, teams: Iterable[str], now: Instant) -> dict[str, float]:
        """Return the factors on the weights of teams that compete; see `PastUse`."""
        weights = {team: self.weight(team) for team in teams}
        past_shares = {team: self.past_share(team, now) for team in weights}
        return usage_factors(past_shares, weights)

    def past_use(self, teams: Iterable[str], now: Instant) -> PastUse | None:
        """Return the usage of the teams that compete, None if it does not count.

        Parameters
        ----------
        teams : iterable of str
            Teams with waiting work.
        now : Instant
            Current time.
        """
        if not self.is_enabled or self.capacity.is_zero():
            return None
        factors = self.factors(teams, now)
        running = {
            team: self._accounts[team].running
            for team in factors
            if team in self._accounts
        }
        weights = {team: factor * self.weight(team) for team, factor in factors.items()}
        return PastUse(running, weights, self.capacity)

    # Records

    def encode(self, now: Instant, wall_ms: int) -> bytes:
        """Return the record for a successor.

        Parameters
        ----------
        now : Instant
            Current time.
        wall_ms : int
            Time of day in milliseconds since 1970, for display only.
        """
        usages = [
            TeamUsage(
                team,
                self._settle(account, now),
                self.current_share(team),
                self.weight(team),
            )
            for team, account in self._accounts.items()
        ]
        largest = heapq.nlargest(MAX_TEAMS, usages, key=lambda item: item.past_s)
        record = UsageRecord(wall_ms, self.half_life_s, tuple(largest))
        return msgspec.msgpack.encode(record)

    def restore(self, value: bytes, now: Instant) -> int:
        """Take over the sums of a previous leader and return the number of teams.

        No time is taken to have passed since the record was written, because clocks of
        different machines can't be compared. Runs are not restored: the workers report
        them, and they count from then on. Where the half-life has changed, the mean
        share of each team is kept.

        Parameters
        ----------
        value : bytes
            Stored record.
        now : Instant
            Current time.

        Raises
        ------
        ValueError
            If the record can't be decoded; the ledger is unchanged then.
        """
        record = decode_usage(value)
        if not self.is_enabled or not record.half_life_s:
            return 0
        scale = self.half_life_s / record.half_life_s
        for item in record.teams[:MAX_TEAMS]:
            account = self._account(item.team, now)
            account.past_s = min(self.time_constant_s, item.past_s * scale)
        return len(record.teams)
