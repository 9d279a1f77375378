"""Claims that ensure that a non-idempotent request runs at most once."""

from concurrent.futures import Future

from ..exceptions import NotFoundError
from ..journal import PendingAppend
from ..utils import RequestId
from ..work import (
    RequestClaimed,
    RequestEnded,
    RequestOutcome,
    StoredRequest,
)
from ._messages import OutcomeReply

__all__ = ["RequestClaims"]


class RequestClaims:
    """Match pending claims of this holder with their records in the log.

    Notes
    -----
    A request may be sent only after its claim was applied and accepted. If several
    claims name the same request, the first in the log wins, whichever entry wrote
    it.
    """

    def __init__(self) -> None:
        self._pending: dict[RequestId, list[tuple[PendingAppend, Future]]] = {}

    def add(self, request: RequestId, item: PendingAppend) -> Future:
        """Register a pending claim and return a future for its result.

        Parameters
        ----------
        request : RequestId
            Id of the request.
        item : PendingAppend
            Claim record that is being appended to the log.

        Returns
        -------
        Future
            Resolves to the number of the claim if it won, or to 0 if another
            claim came first.
        """
        fut: Future = Future()
        self._pending.setdefault(request, []).append((item, fut))
        return fut

    def resolve(
        self,
        record: RequestClaimed,
        seq: int,
        rejection: str,
        stored: StoredRequest | None,
    ) -> None:
        """Resolve the future of a claim whose record was read from the log.

        Parameters
        ----------
        record : RequestClaimed
            Claim written by this entry.
        seq : int
            Sequence number of the append.
        rejection : str
            Reason for its rejection, empty if it was accepted.
        stored : StoredRequest or None
            State of the request after the record was applied.
        """
        pending = self._pending.pop(record.request, [])
        remaining = [(item, fut) for item, fut in pending if item.seq != seq]
        if remaining:
            self._pending[record.request] = remaining
        for item, fut in pending:
            if item.seq == seq and not fut.done():
                fut.set_result(0 if rejection else stored.claim_count)

    @staticmethod
    def describe(stored: StoredRequest | None, request: RequestId) -> OutcomeReply:
        """Return a stored request in the form that callers see.

        Raises
        ------
        NotFoundError
            If there is no such request.
        """
        if stored is None:
            raise NotFoundError(f"there is no request {request}")
        return OutcomeReply(
            request=stored.id,
            team=stored.team,
            service=stored.service,
            outcome=stored.outcome,
            status=stored.status,
            at=stored.updated_at,
        )

    @staticmethod
    def orphan_records(
        requests: dict[RequestId, StoredRequest], epoch: int, at: int
    ) -> list[RequestEnded]:
        """Build records that end the requests that earlier holders left pending.

        Parameters
        ----------
        requests : dict
            All requests of the group.
        epoch : int
            Epoch of the current holder.
        at : int
            Current time of day in milliseconds.
        """
        return [
            RequestEnded(at, epoch, request.id, RequestOutcome.UNKNOWN, 0)
            for request in requests.values()
            if request.outcome is RequestOutcome.PENDING and request.epoch != epoch
        ]
