"""Passes callers' requests on while this entry can't reach the store."""

from ..exceptions import StateUnavailableError, TransportError
from ..links import CallerAnswer, CallerRequest, EntryLinks
from ..telemetry import PartLog
from ..utils import Clock, Instant
from ._members import Members

__all__ = ["Forwarder"]

MAX_ATTEMPTS = 2
"""Entries that are tried for a request: two answers fit into a caller's 3 s."""
REJECTION_STATUSES = frozenset((429, 503))
"""Statuses that tell a caller that its request is never carried out."""
COOLDOWN_MS = 600
"""Milliseconds for which an entry that could not help is not asked again."""

_log = PartLog("forwarding")


class Forwarder:
    """Finds another entry that can answer.

    Whatever a request changes is known by the name that the caller chose, so it may
    be tried at a second entry after the first gave no answer.

    Parameters
    ----------
    members : Members
        Other entries.
    links : EntryLinks
        Calls to them.
    clock : Clock
        Source of time.
    """

    def __init__(self, members: Members, links: EntryLinks, clock: Clock) -> None:
        self.members = members
        self.links = links
        self.clock = clock
        self._preferred_address = ""
        self._cooldown_until: dict[str, Instant] = {}

    async def forward(self, req: CallerRequest) -> CallerAnswer | None:
        """Return another entry's answer.

        Returns
        -------
        CallerAnswer or None
            None if nobody could help and nothing was done. A status of 504 if
            something may have been done.
        """
        in_doubt = False
        for address in self._candidates():
            try:
                answer = await self.links.forward(address, req)
            except (StateUnavailableError, TransportError) as exc:
                sent = isinstance(exc, TransportError) and exc.sent
                in_doubt = in_doubt or sent
                self._note_failure(address, exc)
                continue
            self._preferred_address = address
            self._log_forwarded(req, address, answer)
            if in_doubt and answer.status in REJECTION_STATUSES:
                break
            return answer
        if in_doubt and req.method != "GET":
            return CallerAnswer(504, why="no answer from another entry")
        return None

    def _candidates(self) -> list[str]:
        """Return the entries to try; the one that helped last comes first."""
        now = self.clock.now()
        usable = [
            member.address
            for member in self.members.others_by_recency()
            if self._cooldown_until.get(member.address, now) <= now
        ]
        usable.sort(key=lambda address: address != self._preferred_address)
        return usable[:MAX_ATTEMPTS]

    @staticmethod
    def _log_forwarded(req: CallerRequest, address: str, answer: CallerAnswer) -> None:
        if req.method == "GET" and answer.status == 200:
            return
        _log.info(
            "Request passed on",
            method=req.method,
            path=req.path,
            entry=address,
            status=answer.status,
            version=answer.version,
        )

    def _note_failure(self, address: str, exc: Exception) -> None:
        self._cooldown_until[address] = Instant(self.clock.now() + COOLDOWN_MS)
        _log.warning("Entry can't help", address=address, why=str(exc))
