"""Limit on the age of the operators' settings by which a leader may start runs."""

from typing import Protocol

from ..utils import Instant

__all__ = ["RulesCopy", "StartGate"]

START_DELIVERY_MS = 2000
"""Part of the bound on starts in an evacuated data centre that is left for the delivery
of a start order: 0.6 s until the order times out and is stopped, the rest for an order
that is delayed in the network beyond that."""
PAUSE_MS = 1000
"""Gap between two checks that counts as a pause of the process. The planner checks five
times a second, also when nothing happens."""
EARLY_READ_AGE_MS = 1500
"""Age of the copy from which the leader reads beside the running read. A lost response
is noticed only after 1.9 s, and starts would end with the second one in a row."""


class RulesCopy(Protocol):
    """Copy of the stream of operator settings."""

    is_loaded_: bool
    is_reachable_: bool
    current_as_of_: Instant

    async def read_now(self) -> None:
        """Read new records without a long poll."""


class StartGate:
    """Closes while the copy of the operators' settings is too old for new runs.

    Parameters
    ----------
    evacuation_ms : int
        Milliseconds after the acknowledgement of an evacuation from which no run may be
        started in that data centre.
    now : Instant
        Time at which the leadership began; the copy is read once after it.
    """

    def __init__(self, evacuation_ms: int, now: Instant) -> None:
        self.max_age_ms = evacuation_ms - START_DELIVERY_MS
        self._read_required_since = now
        self._has_paused = False
        self._checked_at = now

    def refusal(
        self, rules: RulesCopy, is_append_failing: bool, now: Instant
    ) -> str | None:
        """Return why no run may be started now, None if runs may be started.

        While the store rejects or answers neither reads nor appends, what was read
        remains valid: the store acknowledges no evacuation that it can't store, and a
        leader that alone has lost the store is replaced and fenced at the workers.
        After a pause of the process this does not apply, as its requests also time out
        while the store is well.

        Parameters
        ----------
        rules : RulesCopy
            Copy of the operators' settings.
        is_append_failing : bool
            Whether the leader's latest append was not acknowledged.
        now : Instant
            Current time.
        """
        if now - self._checked_at >= PAUSE_MS:
            self._read_required_since = now
            self._has_paused = True
        self._checked_at = now
        if not rules.is_loaded_:
            return "operators' settings were never read"
        if rules.current_as_of_ >= self._read_required_since:
            self._has_paused = False
        elif self._has_paused:
            return "operators' settings not read since a pause"
        is_outage = is_append_failing and not rules.is_reachable_
        if is_outage:
            known_ms = self._read_required_since - rules.current_as_of_
            return None if known_ms <= self.max_age_ms else "settings too old, no store"
        if rules.current_as_of_ < self._read_required_since:
            return "operators' settings not read since the leadership began"
        if now - rules.current_as_of_ > self.max_age_ms:
            return "operators' settings are too old"
        return None

    def needs_read(self, rules: RulesCopy, now: Instant) -> bool:
        """Return whether the leader should read the copy beside the running read."""
        if not rules.is_loaded_:
            return False
        is_required = rules.current_as_of_ < self._read_required_since
        return is_required or now - rules.current_as_of_ > EARLY_READ_AGE_MS
