"""Records about jobs in the platform's store, one newest value a key."""

from typing import NamedTuple

import msgspec

from ..catalog import Queue
from ..utils import JobId
from ._model import JobSpec, JobState

__all__ = [
    "Accepted",
    "Cancelled",
    "JobRecord",
    "KeyedRecord",
    "Progress",
    "StepProgress",
    "accepted_key",
    "cancelled_key",
    "decode_job_record",
    "encode_record",
    "job_of_key",
    "progress_key",
]

ACCEPTED_PREFIX = "j:"
PROGRESS_PREFIX = "p:"
CANCELLED_PREFIX = "c:"
PREFIX_LENGTH = 2


class KeyedRecord(NamedTuple):
    """Newest value of a key; an empty value drops the key."""

    key: str
    value: bytes


class Accepted(msgspec.Struct, frozen=True, tag="accepted", omit_defaults=True):
    """A job was accepted.

    Parameters
    ----------
    job : JobId
        Name chosen by the caller.
    queue : Queue
        Queue that the job was handed in to, as it was set then.
    team : str
        Team whose key came with the job, empty for a public queue.
    spec : JobSpec
        What to run.
    at_ms : int
        Time of day of the hand-in, in milliseconds since 1970.
    """

    job: JobId
    queue: Queue
    team: str
    spec: JobSpec
    at_ms: int


class Cancelled(msgspec.Struct, frozen=True, tag="cancelled"):
    """A caller cancelled a job."""

    job: JobId
    at_ms: int


class StepProgress(msgspec.Struct, frozen=True, array_like=True):
    """What is known for good about one step of one occurrence.

    Parameters
    ----------
    occurrence, step : int
        Which step.
    done_bitmap : bytes
        Bit set of the tasks that ended well, little-endian.
    failed_runs : dict of int to tuple of int
        Run numbers that ended as failed, by task index.
    checkpoints : dict of int to str
        Newest checkpoint of tasks that have to start again, by index.
    """

    occurrence: int
    step: int
    done_bitmap: bytes
    failed_runs: dict[int, tuple[int, ...]]
    checkpoints: dict[int, str]


class Progress(msgspec.Struct, frozen=True, tag="progress"):
    """What the leader knows about a job for good.

    Parameters
    ----------
    job : JobId
        Job.
    state : JobState
        State shown to callers.
    at_ms : int
        Time of day of the record, in milliseconds since 1970.
    steps : tuple of StepProgress
        Steps on which anything ended.
    """

    job: JobId
    state: JobState
    at_ms: int
    steps: tuple[StepProgress, ...] = ()


JobRecord = Accepted | Cancelled | Progress

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(JobRecord)


def accepted_key(job: JobId) -> str:
    """Return the key of a job's acceptance."""
    return ACCEPTED_PREFIX + job


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job


def cancelled_key(job: JobId) -> str:
    """Return the key of a job's cancellation."""
    return CANCELLED_PREFIX + job


def job_of_key(key: str) -> JobId | None:
    """Return the job that a key is about, None for other keys."""
    if key[:PREFIX_LENGTH] in (ACCEPTED_PREFIX, PROGRESS_PREFIX, CANCELLED_PREFIX):
        return JobId(key[PREFIX_LENGTH:])
    return None


def encode_record(record: msgspec.Struct) -> bytes:
    """Return the bytes of a record's value."""
    return _encoder.encode(record)


def decode_job_record(value: bytes) -> JobRecord:
    """Return the record in a value.

    Raises
    ------
    msgspec.DecodeError
        If the bytes hold no record about a job.
    """
    return _decoder.decode(value)
