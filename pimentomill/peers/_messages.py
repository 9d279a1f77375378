"""Messages of the request-reply protocol between entries."""

from enum import Enum

import msgspec

from ..exceptions import (
    AdmissionError,
    LogUnavailableError,
    NotFoundError,
    NotHolderError,
    PimentomillError,
)
from ..holder import GroupSummary, JobAnswer, WorkerAnswer
from ..requests import (
    ClaimCall,
    DispatchCall,
    GetOutcomeRequest,
    OutcomeReply,
    RequestResult,
)
from ..utils import GroupName, JobId

__all__ = [
    "ErrorCode",
    "ErrorReply",
    "GetJobRequest",
    "JobList",
    "ListJobsRequest",
    "ListSummariesRequest",
    "ListWorkersRequest",
    "PeerMessage",
    "PeerReply",
    "SummaryList",
    "WorkerList",
]


class ListSummariesRequest(msgspec.Struct, tag="summaries?"):
    """Request summaries of the groups that the peer holds."""


class SummaryList(msgspec.Struct, tag="summaries"):
    """Summaries of the groups that the peer holds."""

    summaries: list[GroupSummary]


class GetJobRequest(msgspec.Struct, tag="job?"):
    """Request a job of a group that the peer holds.

    Parameters
    ----------
    group : GroupName
        The group.
    job : JobId
        The job.
    is_current : bool, default=False
        Whether the peer reads the group's stream to its end before it replies.
    """

    group: GroupName
    job: JobId
    is_current: bool = False


class ListJobsRequest(msgspec.Struct, tag="jobs?"):
    """Request all jobs of the groups that the peer holds."""


class JobList(msgspec.Struct, tag="jobs"):
    """Jobs of the groups that the peer holds."""

    jobs: list[JobAnswer]


class ListWorkersRequest(msgspec.Struct, tag="workers?"):
    """Request the workers of the groups that the peer holds."""


class WorkerList(msgspec.Struct, tag="workers"):
    """Workers of the groups that the peer holds."""

    workers: list[WorkerAnswer]


class ErrorCode(Enum):
    """Kind of error that a peer reports."""

    NOT_FOUND = "not found"
    NOT_HOLDER = "not holder"
    BUSY = "busy"
    LOG_UNAVAILABLE = "log unavailable"
    FAILED = "failed"


class ErrorReply(msgspec.Struct, tag="refusal"):
    """Reply to a request that failed."""

    code: ErrorCode
    message: str
    retry_after_ms: int = 0

    @classmethod
    def from_exception(cls, exc: Exception) -> "ErrorReply":
        """Return the reply that represents an exception."""
        if isinstance(exc, NotFoundError):
            return cls(ErrorCode.NOT_FOUND, str(exc))
        if isinstance(exc, NotHolderError):
            return cls(ErrorCode.NOT_HOLDER, str(exc))
        if isinstance(exc, AdmissionError):
            return cls(ErrorCode.BUSY, str(exc), exc.retry_after_ms)
        if isinstance(exc, LogUnavailableError):
            return cls(ErrorCode.LOG_UNAVAILABLE, str(exc))
        return cls(ErrorCode.FAILED, str(exc))

    def to_exception(self) -> PimentomillError:
        """Return the exception that this reply represents."""
        if self.code is ErrorCode.NOT_FOUND:
            return NotFoundError(self.message)
        if self.code is ErrorCode.NOT_HOLDER:
            return NotHolderError(self.message)
        if self.code is ErrorCode.BUSY:
            return AdmissionError(self.message, self.retry_after_ms)
        if self.code is ErrorCode.LOG_UNAVAILABLE:
            return LogUnavailableError(self.message)
        return PimentomillError(self.message)


PeerMessage = (
    ListSummariesRequest
    | GetJobRequest
    | ListJobsRequest
    | ListWorkersRequest
    | DispatchCall
    | ClaimCall
    | GetOutcomeRequest
)
PeerReply = (
    SummaryList | JobList | WorkerList | RequestResult | OutcomeReply | ErrorReply
)
