"""Job model, job records in the store and job state rebuilt by replay."""

from ._model import (
    JobSpec,
    JobState,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerId,
)
from ._records import (
    Accepted,
    Cancelled,
    JobRecord,
    KeyedRecord,
    Progress,
    StepCrashes,
    StepProgress,
    Withdrawn,
    accepted_key,
    cancelled_key,
    decode_job_record,
    encode_record,
    job_of_key,
    progress_key,
    withdrawn_key,
)
from ._table import JobEntry, JobTable

__all__ = [
    "Accepted",
    "Cancelled",
    "JobEntry",
    "JobRecord",
    "JobSpec",
    "JobState",
    "JobTable",
    "KeyedRecord",
    "Progress",
    "StepCrashes",
    "StepKey",
    "StepProgress",
    "StepSpec",
    "TaskKey",
    "Withdrawn",
    "WorkerId",
    "accepted_key",
    "cancelled_key",
    "decode_job_record",
    "encode_record",
    "job_of_key",
    "progress_key",
    "withdrawn_key",
]
