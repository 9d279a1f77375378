"""Claims that make a non-idempotent request run at most once."""

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
from ._messages import StoredAnswer

__all__ = ["RequestClaims"]


class RequestClaims:
    """Match claims of this holder with their records in the log.

    Notes
    -----
    A request may leave only after its claim was folded and accepted. Of several
    claims to one request the first in the log wins, whichever entry wrote it.
    """

    def __init__(self) -> None:
        self._waiting: dict[RequestId, list[tuple[PendingAppend, Future]]] = {}

    def add(self, request: RequestId, item: PendingAppend) -> Future:
        """Return a future for a claim.

        Parameters
        ----------
        request : RequestId
            The request.
        item : PendingAppend
            Its claim on the way to the log.

        Returns
        -------
        Future
            Ends with the number of the claim if it won, with 0 if there was
            one before.
        """
        fut: Future = Future()
        self._waiting.setdefault(request, []).append((item, fut))
        return fut

    def note(
        self,
        record: RequestClaimed,
        seq: int,
        refusal: str,
        stored: StoredRequest | None,
    ) -> None:
        """Settle a claim whose record was folded.

        Parameters
        ----------
        record : RequestClaimed
            A claim written by this entry.
        seq : int
            Its number.
        refusal : str
            Why it was refused, empty if it was accepted.
        stored : StoredRequest or None
            The request as it stands after the record.
        """
        waiting = self._waiting.pop(record.request, [])
        left = [(item, fut) for item, fut in waiting if item.seq != seq]
        if left:
            self._waiting[record.request] = left
        for item, fut in waiting:
            if item.seq == seq and not fut.done():
                fut.set_result(0 if refusal else stored.claim_count)

    @staticmethod
    def describe(stored: StoredRequest | None, request: RequestId) -> StoredAnswer:
        """Return a stored request as shown to callers.

        Raises
        ------
        NotFoundError
            If there is no such request.
        """
        if stored is None:
            raise NotFoundError(f"there is no request {request}")
        return StoredAnswer(
            request=stored.id,
            team=stored.team,
            service=stored.service,
            outcome=stored.outcome,
            status=stored.status,
            at=stored.updated_at,
        )

    @staticmethod
    def orphans(
        requests: dict[RequestId, StoredRequest], epoch: int, at: int
    ) -> list[RequestEnded]:
        """Return records that end the requests earlier holders left pending.

        Parameters
        ----------
        requests : dict
            All requests of the group.
        epoch : int
            Epoch of the present holder.
        at : int
            Present time of day in milliseconds.
        """
        return [
            RequestEnded(at, epoch, request.id, RequestOutcome.UNKNOWN, 0)
            for request in requests.values()
            if request.outcome is RequestOutcome.PENDING and request.epoch != epoch
        ]
