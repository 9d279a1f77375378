"""Worker requests, worker reports and the leader's state of each worker."""

from ._messages import (
    EndKind,
    HoldOrder,
    Registration,
    RunEnd,
    RunStatus,
    StartAnswer,
    StartOrder,
    StartOutcome,
    WorkerInfo,
    WorkerPort,
    WorkerReport,
)
from ._worker import (
    EARLY_RUN_MS,
    MAX_ANSWER_AGE_MS,
    RECENT_FAILURE_MS,
    Attempt,
    AttemptPhase,
    Worker,
    lease_expiry_bound,
)

__all__ = [
    "EARLY_RUN_MS",
    "MAX_ANSWER_AGE_MS",
    "RECENT_FAILURE_MS",
    "Attempt",
    "AttemptPhase",
    "EndKind",
    "HoldOrder",
    "Registration",
    "RunEnd",
    "RunStatus",
    "StartAnswer",
    "StartOrder",
    "StartOutcome",
    "Worker",
    "WorkerInfo",
    "WorkerPort",
    "WorkerReport",
    "lease_expiry_bound",
]
