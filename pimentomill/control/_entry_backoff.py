"""Backoff of entries through which policy queries fail."""

from ..exceptions import ProcessEndedError, TransportError
from ..utils import Clock, Instant

__all__ = ["EntryBackoff"]

REJECTED_BACKOFF_MS = 150
"""Backoff of an entry whose query was rejected."""
BACKOFF_MS = 2000
"""First backoff of an entry that did not answer; doubles with each consecutive
failure."""
MAX_BACKOFF_MS = 16000
"""Upper bound of that backoff."""
ALL_FAILED_BACKOFF_MS = 500
"""Upper bound of that backoff while the last query of every entry has failed: runnable
work must not wait for 3 s once one of them gets answers again."""
ENDED_BACKOFF_MS = 100
"""First backoff of an entry whose process has ended; doubles with each consecutive
failure. A refused connection fails within about 1 ms, so another try costs little."""
MAX_ENDED_BACKOFF_MS = 400
"""Upper bound of that backoff, so that an entry gets queries within 0.4 s of its
restart. An entry that stays away is removed as a member after 12 s."""


class EntryBackoff:
    """Failures of entries and the time at which each may be queried again.

    Parameters
    ----------
    clock : Clock
        Source of time.
    notices_restarts : bool, default=False
        Whether an entry whose process has ended is tried again soon, as it is usually
        restarted. Otherwise it counts as unreachable.
    """

    def __init__(self, clock: Clock, notices_restarts: bool = False) -> None:
        self.clock = clock
        self.notices_restarts = notices_restarts
        self._until: dict[str, Instant] = {}
        self._failed_at: dict[str, Instant] = {}
        self._unanswered: dict[str, int] = {}
        self._ended: dict[str, int] = {}

    def is_sound(self, name: str) -> bool:
        """Return whether the last query of an entry did not fail."""
        return name not in self._unanswered and name not in self._ended

    def may_hang(self, name: str) -> bool:
        """Return whether a query through an entry may take up to its timeout.

        The last one was not answered, although the process had not ended.
        """
        return name in self._unanswered

    def rank(self, name: str) -> tuple[int, int]:
        """Return the sort key of an entry, the most reliable first."""
        return self._unanswered.get(name, 0), self._ended.get(name, 0)

    def is_over(self, name: str, is_any_sound: bool) -> bool:
        """Return whether an entry may be queried now.

        Parameters
        ----------
        name : str
            Entry.
        is_any_sound : bool
            Whether the last query of some entry did not fail.
        """
        until = self._until.get(name)
        if until is None:
            return True
        if not is_any_sound:
            until = min(until, self._failed_at[name] + ALL_FAILED_BACKOFF_MS)
        return until <= self.clock.now()

    def record_failure(self, name: str, exc: Exception, is_only_entry: bool) -> int:
        """Record a failed query and return the backoff in milliseconds.

        Parameters
        ----------
        name : str
            Entry.
        exc : Exception
            Reason of the failure.
        is_only_entry : bool
            Whether there is no other entry.
        """
        if self.notices_restarts and isinstance(exc, ProcessEndedError):
            ended = self._ended.get(name, 0)
            self._ended[name] = ended + 1
            backoff_ms = min(MAX_ENDED_BACKOFF_MS, ENDED_BACKOFF_MS << min(ended, 8))
        elif isinstance(exc, TimeoutError | TransportError) and not is_only_entry:
            failures = self._unanswered.get(name, 0)
            self._unanswered[name] = failures + 1
            backoff_ms = min(MAX_BACKOFF_MS, BACKOFF_MS << failures)
        else:
            backoff_ms = REJECTED_BACKOFF_MS
        now = self.clock.now()
        self._failed_at[name] = now
        self._until[name] = Instant(now + backoff_ms)
        return backoff_ms

    def record_answer(self, name: str) -> None:
        """Record that a query was answered."""
        self._unanswered.pop(name, None)
        self._ended.pop(name, None)

    def reset(self, name: str) -> None:
        """Drop the failures of an entry that has restarted."""
        self.record_answer(name)
        self._until.pop(name, None)
