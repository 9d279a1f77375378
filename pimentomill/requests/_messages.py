"""Messages about requests to services."""

import msgspec

from ..utils import Epoch, GroupName, RequestId, ServiceName, TeamName, digest_id
from ..work import RequestOutcome

__all__ = [
    "GetOutcomeRequest",
    "ClaimCall",
    "DispatchCall",
    "RequestResult",
    "OutcomeReply",
    "make_request_id",
]


class DispatchCall(msgspec.Struct, tag="dispatch"):
    """Ask the holder of a group to send a request to a backend server.

    Parameters
    ----------
    request : RequestId
        Identifier.
    group : GroupName
        Group whose backend servers shall be used.
    epoch : Epoch
        Epoch of its holder, as the caller knows it.
    team : TeamName
        Who asks.
    service : ServiceName
        What is asked.
    body : bytes
        The request's body.
    budget_ms : int
        Time left when the message was sent.
    claim : int
        Number of the claim that allows a non-idempotent request, 0 for an
        idempotent one.
    headers : dict
        Headers to pass on.
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
    """What became of a request.

    Parameters
    ----------
    outcome : RequestOutcome
        Answered, surely not run, or unknown.
    status : int, default=0
        Status of the backend server's answer.
    body : bytes, default=b""
        Its body.
    content_type : str, default=""
        Type of the body.
    detail : str, default=""
        Why there is no answer.
    retry_after_ms : int, default=0
        When the caller may try again.
    is_repeat : bool, default=False
        Whether the request had been handed in before.
    """

    outcome: RequestOutcome
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    detail: str = ""
    retry_after_ms: int = 0
    is_repeat: bool = False

    def merge_retry(self, retry: "RequestResult") -> "RequestResult":
        """Return what became of a request that was tried again.

        Parameters
        ----------
        later : RequestResult
            Result of the later try.

        Returns
        -------
        RequestResult
            The later one, unless that was not run while this one may have run.
        """
        may_have_run = self.outcome is RequestOutcome.UNKNOWN
        if may_have_run and retry.outcome is RequestOutcome.NOT_RUN:
            return self
        return retry


class GetOutcomeRequest(msgspec.Struct, tag="stored?"):
    """Ask for the outcome of a non-idempotent request."""

    request: RequestId


class OutcomeReply(msgspec.Struct, tag="stored"):
    """Outcome of a non-idempotent request; `at` is a time of day in ms."""

    request: RequestId
    team: TeamName
    service: ServiceName
    outcome: RequestOutcome
    status: int
    at: int


def make_request_id(
    group: GroupName, team: TeamName, service: ServiceName, key: str
) -> RequestId:
    """Return the id of a request, the same for each repeat of it."""
    return RequestId(f"{digest_id(team, service, key)}@{group}")
