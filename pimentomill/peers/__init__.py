"""Questions and answers between entries."""

from ._client import PeerClient
from ._messages import (
    AskJob,
    AskJobs,
    AskSummaries,
    AskWorkers,
    JobList,
    PeerMessage,
    PeerReply,
    Refusal,
    RefusalCode,
    SummaryList,
    WorkerList,
)
from ._server import PeerServer

__all__ = [
    "AskJob",
    "AskJobs",
    "AskSummaries",
    "AskWorkers",
    "JobList",
    "PeerClient",
    "PeerMessage",
    "PeerReply",
    "PeerServer",
    "Refusal",
    "RefusalCode",
    "SummaryList",
    "WorkerList",
]
