"""Passes callers' requests on while this entry can't reach the store."""

from ..exceptions import StateUnavailableError, TransportError
from ..links import CallerAnswer, CallerRequest, LinkClient
from ..telemetry import PartLog
from ..utils import Clock, Instant
from ._members import Members

__all__ = ["Forwarder"]

TRIES = 2
"""Entries that are tried for a request: two answers fit into a caller's 3 s."""
REFUSED = frozenset((429, 503))
"""Statuses that tell a caller that its request is never carried out."""
REST_MS = 600
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
    links : LinkClient
        Calls to them.
    clock : Clock
        Source of time.
    """

    def __init__(self, members: Members, links: LinkClient, clock: Clock) -> None:
        self.members = members
        self.links = links
        self.clock = clock
        self._helper = ""
        self._rest_until: dict[str, Instant] = {}

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
                self._note_unhelpful(address, exc)
                continue
            self._helper = address
            self._note_passed(req, address, answer)
            if in_doubt and answer.status in REFUSED:
                break
            return answer
        if in_doubt and req.method != "GET":
            return CallerAnswer(504, reason="no answer from another entry")
        return None

    def _candidates(self) -> list[str]:
        """Return the entries to try; the one that helped last comes first."""
        now = self.clock.now()
        usable = [
            member.address
            for member in self.members.others_by_recency()
            if self._rest_until.get(member.address, now) <= now
        ]
        usable.sort(key=lambda address: address != self._helper)
        return usable[:TRIES]

    @staticmethod
    def _note_passed(req: CallerRequest, address: str, answer: CallerAnswer) -> None:
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

    def _note_unhelpful(self, address: str, exc: Exception) -> None:
        self._rest_until[address] = Instant(self.clock.now() + REST_MS)
        _log.warning("Entry can't help", address=address, why=str(exc))
