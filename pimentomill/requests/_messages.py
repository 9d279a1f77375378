"""Messages between entries about requests to services."""

import msgspec

from ..utils import Epoch, GroupName, RequestId, ServiceName, TeamName, digest_id
from ..work import RequestOutcome

__all__ = [
    "ClaimCall",
    "DispatchCall",
    "GetOutcomeRequest",
    "OutcomeReply",
    "RequestResult",
    "make_request_id",
]


class DispatchCall(msgspec.Struct, tag="dispatch"):
    """Ask the holder of a group to send a request to a backend server.

    Parameters
    ----------
    request : RequestId
        Id of the request.
    group : GroupName
        Group whose backend servers are to run the request.
    epoch : Epoch
        Epoch of the group's holder, as known to the sender.
    team : TeamName
        Team that made the request.
    service : ServiceName
        Service that the request is for.
    body : bytes
        Body of the request.
    budget_ms : int
        Remaining time when the message was sent.
    claim : int
        Number of the claim that permits a non-idempotent request, 0 for an
        idempotent one.
    headers : dict
        Headers to forward to the backend server.
    """

    request: RequestId
    group: GroupName
    epoch: Epoch
    team: TeamName
    service: ServiceName
    body: bytes
    budget_ms: int
    claim: int
    headers: dict[str, str] = {}

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.claim == 0


class ClaimCall(msgspec.Struct, tag="claim"):
    """Ask the holder of a request's home group to run it at most once."""

    request: RequestId
    team: TeamName
    service: ServiceName
    body: bytes
    budget_ms: int
    headers: dict[str, str] = {}


class RequestResult(msgspec.Struct, tag="result"):
    """Result of a request.

    Parameters
    ----------
    outcome : RequestOutcome
        Answered, certainly not run, or unknown.
    status : int, default=0
        HTTP status of the backend server's response.
    body : bytes, default=b""
        Body of the response.
    content_type : str, default=""
        Content type of the body.
    detail : str, default=""
        Reason why there is no response.
    retry_after_ms : int, default=0
        Time after which the caller may retry.
    is_repeat : bool, default=False
        Whether the request had been submitted before.
    """

    outcome: RequestOutcome
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    detail: str = ""
    retry_after_ms: int = 0
    is_repeat: bool = False

    def merge_retry(self, retry: "RequestResult") -> "RequestResult":
        """Combine this result with that of a retry of the same request.

        Parameters
        ----------
        retry : RequestResult
            Result of the retry.

        Returns
        -------
        RequestResult
            The retry's result, unless the retry was not run while the earlier
            attempt may have run; then this result.
        """
        may_have_run = self.outcome is RequestOutcome.UNKNOWN
        if may_have_run and retry.outcome is RequestOutcome.NOT_RUN:
            return self
        return retry


class GetOutcomeRequest(msgspec.Struct, tag="stored?"):
    """Ask for the stored outcome of a non-idempotent request."""

    request: RequestId


class OutcomeReply(msgspec.Struct, tag="stored"):
    """Stored outcome of a non-idempotent request; `at` is a time of day in ms."""

    request: RequestId
    team: TeamName
    service: ServiceName
    outcome: RequestOutcome
    status: int
    at: int


def make_request_id(
    group: GroupName, team: TeamName, service: ServiceName, key: str
) -> RequestId:
    """Return the id of a request, which is the same for each repeat of it."""
    return RequestId(f"{digest_id(team, service, key)}@{group}")
