"""Job records in the platform's store, which keeps the latest value of each key."""

from typing import NamedTuple

import msgspec

from ..catalog import Queue
from ..utils import JobId, stable_hash
from ._model import JobSpec, JobState

__all__ = [
    "KEY_PREFIXES",
    "Accepted",
    "Cancelled",
    "JobRecord",
    "KeyedRecord",
    "Progress",
    "StepCrashes",
    "StepProgress",
    "Withdrawn",
    "accepted_key",
    "cancelled_key",
    "decode_job_record",
    "encode_record",
    "job_of_key",
    "progress_key",
    "withdrawn_key",
]

ACCEPTED_PREFIX = "j:"
PROGRESS_PREFIX = "p:"
CANCELLED_PREFIX = "c:"
WITHDRAWN_PREFIX = "d:"
"""Sorts before that of accepted jobs: a reload, which reads the keys in order, must not
let a job start that has been withdrawn."""
PREFIX_LENGTH = 2

MAX_STRETCH = 1e9
"""Highest multiple of a job's critical path up to which it counts as in time."""


class KeyedRecord(NamedTuple):
    """Latest value of a key; an empty value deletes the key."""

    key: str
    value: bytes


class Accepted(msgspec.Struct, frozen=True, tag="accepted", omit_defaults=True):
    """Record that a job was accepted.

    Parameters
    ----------
    job : JobId
        Name of the job, chosen by the caller.
    queue : Queue
        Queue that the job was submitted to, as configured at the time.
    team : str
        Team whose key was used for the submission, empty for a public queue.
    spec : JobSpec
        Specification of the job.
    at_ms : int
        Wall-clock time of the submission, in milliseconds since 1970.
    """

    job: JobId
    queue: Queue
    team: str
    spec: JobSpec
    at_ms: int

    def is_visible(self, queue: str, team: str) -> bool:
        """Return whether callers of a team may see and cancel the job in a queue."""
        is_own = not (self.team and team) or self.team == team
        return is_own and self.queue.name == queue

    def check(self) -> None:
        """Check what the scheduler relies on.

        Raises
        ------
        ValueError
            If the job can't be run; the message names the field and its value.
        """
        if not 0 <= self.queue.stretch <= MAX_STRETCH:
            raise ValueError(f"queue.stretch: {self.queue.stretch} is out of range")
        self.spec.check()


class Cancelled(msgspec.Struct, frozen=True, tag="cancelled"):
    """Record that a caller cancelled a job."""

    job: JobId
    at_ms: int


class Withdrawn(msgspec.Struct, frozen=True, tag="withdrawn"):
    """Record that a caller cancelled a job that had not been accepted.

    Its submission may still be on its way, at an entry that stands still or in an
    append that the store carries out late. The job is never run then.

    Parameters
    ----------
    job : JobId
        Name of the job.
    queue, team : str
        Queue and team of the caller. A job of another team or queue is not concerned.
    at_ms : int
        Wall-clock time of the cancellation, in milliseconds since 1970.
    """

    job: JobId
    queue: str
    team: str
    at_ms: int

    @property
    def key(self) -> str:
        """Key of the record."""
        return withdrawn_key(self.job, self.queue, self.team)


class StepProgress(msgspec.Struct, frozen=True, array_like=True):
    """Durable progress of one step of one occurrence.

    Parameters
    ----------
    occurrence, step : int
        Indices of the occurrence and of the step.
    done_bitmap : bytes
        Bitmap of the tasks that succeeded, little-endian.
    failed_runs : dict of int to tuple of int
        Numbers of the failed runs, by task index.
    checkpoints : dict of int to str
        Latest checkpoint of each task that must be restarted, by task index.
    """

    occurrence: int
    step: int
    done_bitmap: bytes
    failed_runs: dict[int, tuple[int, ...]]
    checkpoints: dict[int, str]


class StepCrashes(msgspec.Struct, frozen=True, array_like=True):
    """Crashes of workers under the tasks of one step of one occurrence.

    Parameters
    ----------
    occurrence, step : int
        Indices of the occurrence and of the step.
    early_runs : dict of int to tuple of int
        Numbers of the runs that were early on a worker when it crashed, by task index.
    isolated_runs : dict of int to tuple of int
        Numbers of those among them that were isolated, by task index.
    """

    occurrence: int
    step: int
    early_runs: dict[int, tuple[int, ...]]
    isolated_runs: dict[int, tuple[int, ...]]


class Progress(msgspec.Struct, frozen=True, tag="progress"):
    """Durable progress of a job, written by the leader.

    Parameters
    ----------
    job : JobId
        Name of the job.
    state : JobState
        State reported to callers.
    at_ms : int
        Wall-clock time of the record, in milliseconds since 1970.
    steps : tuple of StepProgress
        Steps in which any run has ended.
    crashes : tuple of StepCrashes, optional
        Steps of which a task may have crashed a worker. Earlier builds ignore it.
    done_occurrences : tuple of tuple of int, optional
        Ranges of occurrences that are done and not listed in `steps`, each with its
        first and last number. Written only for jobs of which very many occurrences are
        done: earlier builds ignore it and would run these again.
    services : tuple of str, optional
        Services to which the queue has sent the job since it was accepted, sorted.
        Written only if there is another than that of the acceptance. A successor has
        no other trace of them: operators' settings hold the present service only.
    """

    job: JobId
    state: JobState
    at_ms: int
    steps: tuple[StepProgress, ...] = ()
    crashes: tuple[StepCrashes, ...] | msgspec.UnsetType = msgspec.UNSET
    done_occurrences: tuple[tuple[int, int], ...] | msgspec.UnsetType = msgspec.UNSET
    services: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET


JobRecord = Accepted | Cancelled | Progress | Withdrawn
KEY_PREFIXES = {
    Accepted: ACCEPTED_PREFIX,
    Cancelled: CANCELLED_PREFIX,
    Progress: PROGRESS_PREFIX,
    Withdrawn: WITHDRAWN_PREFIX,
}

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(JobRecord)


def accepted_key(job: JobId) -> str:
    """Return the key of a job's acceptance record."""
    return ACCEPTED_PREFIX + job


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress record."""
    return PROGRESS_PREFIX + job


def cancelled_key(job: JobId) -> str:
    """Return the key of a job's cancellation record."""
    return CANCELLED_PREFIX + job


def withdrawn_key(job: JobId, queue: str, team: str) -> str:
    """Return the key of the record that callers of a team withdrew a job.

    Callers of different teams do not overwrite each other's records.
    """
    return f"{WITHDRAWN_PREFIX}{job}:{stable_hash(queue, team):x}"


def job_of_key(key: str) -> JobId | None:
    """Return the job that a key belongs to, None if it is not a job key."""
    if key.startswith(WITHDRAWN_PREFIX):
        return JobId(key[PREFIX_LENGTH:].partition(":")[0])
    if key[:PREFIX_LENGTH] in (ACCEPTED_PREFIX, PROGRESS_PREFIX, CANCELLED_PREFIX):
        return JobId(key[PREFIX_LENGTH:])
    return None


def encode_record(record: msgspec.Struct) -> bytes:
    """Return the encoded value of a record."""
    return _encoder.encode(record)


def decode_job_record(value: bytes) -> JobRecord:
    """Return the job record decoded from a value.

    Raises
    ------
    msgspec.DecodeError
        If the value is not a valid job record.
    """
    return _decoder.decode(value)
