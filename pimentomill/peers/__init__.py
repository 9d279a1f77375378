"""Requests and replies between entries."""

from ._client import PeerClient
from ._messages import (
    ErrorCode,
    ErrorReply,
    GetJobRequest,
    JobList,
    ListJobsRequest,
    ListSummariesRequest,
    ListWorkersRequest,
    PeerMessage,
    PeerReply,
    SummaryList,
    WorkerList,
)
from ._server import PeerServer

__all__ = [
    "ErrorCode",
    "ErrorReply",
    "GetJobRequest",
    "JobList",
    "ListJobsRequest",
    "ListSummariesRequest",
    "ListWorkersRequest",
    "PeerClient",
    "PeerMessage",
    "PeerReply",
    "PeerServer",
    "SummaryList",
    "WorkerList",
]
