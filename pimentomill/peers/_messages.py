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
from ..requests import (
    ClaimCall,
    DispatchCall,
    GetOutcomeRequest,
    OutcomeReply,
    RequestResult,
)
from ..utils import GroupName, JobId

__all__ = [
    "AskJob",
    "AskJobs",
    "AskSummaries",
    "AskWorkers",
    "JobList",
    "PeerMessage",
    "PeerReply",
    "Refusal",
    "RefusalCode",
    "SummaryList",
    "WorkerList",
]


class AskSummaries(msgspec.Struct, tag="summaries?"):
    """Ask for summaries of the groups that the peer holds."""


class SummaryList(msgspec.Struct, tag="summaries"):
    """Summaries of held groups."""

    summaries: list[GroupSummary]


class AskJob(msgspec.Struct, tag="job?"):
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


class AskJobs(msgspec.Struct, tag="jobs?"):
    """Ask for all jobs of the groups that the peer holds."""


class JobList(msgspec.Struct, tag="jobs"):
    """Jobs of held groups."""

    jobs: list[JobAnswer]


class AskWorkers(msgspec.Struct, tag="workers?"):
    """Ask for the workers of the groups that the peer holds."""


class WorkerList(msgspec.Struct, tag="workers"):
    """Workers of held groups."""

    workers: list[WorkerAnswer]


class RefusalCode(Enum):
    """Why a peer refused a question."""

    NOT_FOUND = "not found"
    NOT_HOLDER = "not holder"
    BUSY = "busy"
    LOG_UNAVAILABLE = "log unavailable"
    FAILED = "failed"


class Refusal(msgspec.Struct, tag="refusal"):
    """A question that was not answered."""

    code: RefusalCode
    message: str
    retry_after_ms: int = 0

    @classmethod
    def of(cls, exc: Exception) -> "Refusal":
        """Return the refusal that stands for an error."""
        if isinstance(exc, NotFoundError):
            return cls(RefusalCode.NOT_FOUND, str(exc))
        if isinstance(exc, NotHolderError):
            return cls(RefusalCode.NOT_HOLDER, str(exc))
        if isinstance(exc, AdmissionError):
            return cls(RefusalCode.BUSY, str(exc), exc.retry_after_ms)
        if isinstance(exc, LogUnavailableError):
            return cls(RefusalCode.LOG_UNAVAILABLE, str(exc))
        return cls(RefusalCode.FAILED, str(exc))

    def error(self) -> PimentomillError:
        """Return the error that the refusal stands for."""
        if self.code is RefusalCode.NOT_FOUND:
            return NotFoundError(self.message)
        if self.code is RefusalCode.NOT_HOLDER:
            return NotHolderError(self.message)
        if self.code is RefusalCode.BUSY:
            return AdmissionError(self.message, self.retry_after_ms)
        if self.code is RefusalCode.LOG_UNAVAILABLE:
            return LogUnavailableError(self.message)
        return PimentomillError(self.message)


PeerMessage = (
    AskSummaries
    | AskJob
    | AskJobs
    | AskWorkers
    | DispatchCall
    | ClaimCall
    | GetOutcomeRequest
)
PeerReply = SummaryList | JobList | WorkerList | RequestResult | OutcomeReply | Refusal
