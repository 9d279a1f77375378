"""Messages between entries."""

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
from ..requests import AskStored, ClaimCall, DispatchCall, RequestResult, StoredAnswer
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
    """Ask for summaries of the groups that the peer holds."""


class SummaryList(msgspec.Struct, tag="summaries"):
    """Summaries of held groups."""

    summaries: list[GroupSummary]


class GetJobRequest(msgspec.Struct, tag="job?"):
    """Ask for a job of a group that the peer holds.

    Parameters
    ----------
    group : GroupName
        The group.
    job : JobId
        The job.
    is_current : bool, default=False
        Whether to read the group's stream to its end before the answer.
    """

    group: GroupName
    job: JobId
    is_current: bool = False


class ListJobsRequest(msgspec.Struct, tag="jobs?"):
    """Ask for all jobs of the groups that the peer holds."""


class JobList(msgspec.Struct, tag="jobs"):
    """Jobs of held groups."""

    jobs: list[JobAnswer]


class ListWorkersRequest(msgspec.Struct, tag="workers?"):
    """Ask for the workers of the groups that the peer holds."""


class WorkerList(msgspec.Struct, tag="workers"):
    """Workers of held groups."""

    workers: list[WorkerAnswer]


class ErrorCode(Enum):
    """Why a peer refused a question."""

    NOT_FOUND = "not found"
    NOT_HOLDER = "not holder"
    BUSY = "busy"
    LOG_UNAVAILABLE = "log unavailable"
    FAILED = "failed"


class ErrorReply(msgspec.Struct, tag="refusal"):
    """A question that was not answered."""

    code: ErrorCode
    message: str
    retry_after_ms: int = 0

    @classmethod
    def from_exception(cls, exc: Exception) -> "ErrorReply":
        """Return the refusal that stands for an error."""
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
        """Return the error that the refusal stands for."""
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
    | AskStored
)
PeerReply = (
    SummaryList | JobList | WorkerList | RequestResult | StoredAnswer | ErrorReply
)
