"""Forwards callers' requests while this entry can't reach the store."""

from ..exceptions import StateUnavailableError, TransportError
from ..links import CallerAnswer, CallerRequest, LinkClient
from ..telemetry import ComponentLogger
from ..utils import Clock, Instant
from ._members import Members

__all__ = ["Forwarder"]

MAX_UNANSWERED = 2
"""Entries that may leave a request unanswered: two timeouts fit into a caller's 3 s."""
FORWARD_START_LIMIT_MS = 1450
"""Milliseconds after which no further entry is tried: the answer would be too late."""
MAX_CANDIDATES = 8
"""Entries tried for a request if they reject it, which takes a round trip each. It
bounds the calls of a large cell that has lost the store as a whole."""
REJECTION_STATUSES = frozenset((429, 503))
"""HTTP statuses which guarantee that the request will not be carried out."""
COOLDOWN_MS = 600
"""Milliseconds for which an entry is not tried again after a failure."""
NEVER = Instant(-(10**12))

_log = ComponentLogger("forwarding")


class Forwarder:
    """Forwards a request to another entry that can answer it.

    Writes are idempotent, as they are identified by a name that the caller chose. So
    a request may be sent to a second entry after the first gave no answer.

    Parameters
    ----------
    members : Members
        Other entries.
    links : LinkClient
        Client for calls to the other entries.
    clock : Clock
        Source of time.
    """

    def __init__(self, members: Members, links: LinkClient, clock: Clock) -> None:
        self.members = members
        self.links = links
        self.clock = clock
        self._preferred_address = ""
        self._cooldown_until: dict[str, Instant] = {}
        self._failed_at: dict[str, Instant] = {}

    async def forward(self, req: CallerRequest) -> CallerAnswer | None:
        """Return another entry's answer.

        Returns
        -------
        CallerAnswer or None
            None if no entry could answer and the request had no effect. Status 504
            if it may have had an effect.
        """
        in_doubt = False
        unanswered = 0
        start_limit = Instant(self.clock.now() + FORWARD_START_LIMIT_MS)
        for address in self._candidates():
            if unanswered >= MAX_UNANSWERED or self.clock.now() > start_limit:
                break
            try:
                answer = await self.links.forward(address, req)
            except StateUnavailableError as exc:
                self._record_failure(address, exc)
                continue
            except TransportError as exc:
                in_doubt = in_doubt or exc.sent
                unanswered += 1
                self._record_failure(address, exc)
                continue
            self._preferred_address = address
            self._failed_at.pop(address, None)
            self._log_forwarded(req, address, answer)
            if in_doubt and answer.status in REJECTION_STATUSES:
                break
            return answer
        if in_doubt and req.method != "GET":
            return CallerAnswer(504, reason="no answer from another entry")
        return None

    def _candidates(self) -> list[str]:
        """Return the addresses to try; the one that answered last comes first.

        Those that failed last come last, however recent their heartbeats are: retries
        of a caller would otherwise meet the same ones.
        """
        now = self.clock.now()
        usable = [
            member.address
            for member in self.members.others_by_recency()
            if self._cooldown_until.get(member.address, now) <= now
        ]
        usable.sort(
            key=lambda address: (
                address != self._preferred_address,
                self._failed_at.get(address, NEVER),
            )
        )
        return usable[:MAX_CANDIDATES]

    @staticmethod
    def _log_forwarded(req: CallerRequest, address: str, answer: CallerAnswer) -> None:
        if req.method == "GET" and answer.status == 200:
            return
        _log.info(
            "Request forwarded",
            method=req.method,
            path=req.path,
            entry=address,
            status=answer.status,
            version=answer.version,
        )

    def _record_failure(self, address: str, exc: Exception) -> None:
        now = self.clock.now()
        self._failed_at[address] = now
        self._cooldown_until[address] = Instant(now + COOLDOWN_MS)
        _log.warning("Forwarding to entry failed", address=address, why=str(exc))
