"""Statement types of the operators' language."""

from enum import Enum

import msgspec

from ..utils import InstanceId, JobId, KeyId, Offset, Resources, TeamName

__all__ = [
    "CancelJob",
    "CloseQueue",
    "Condition",
    "CreateTeam",
    "Field",
    "GiveKey",
    "OpenQueue",
    "Operator",
    "RemoveTeam",
    "SetEvacuation",
    "SetTeam",
    "SetWorkerDrain",
    "ShowJob",
    "ShowJobs",
    "ShowList",
    "Statement",
    "Subject",
    "Why",
    "WithdrawKey",
]


class Field(Enum):
    """Field that jobs can be filtered by."""

    TEAM = "team"
    STATE = "state"
    KIND = "kind"
    WORKER = "worker"
    URGENT = "urgent"
    GROUP = "group"


class Operator(Enum):
    """Comparison operator of a condition."""

    EQUAL = "="
    NOT_EQUAL = "!="


class Subject(Enum):
    """Kind of objects that can be listed."""

    TEAMS = "teams"
    WORKERS = "workers"
    GROUPS = "groups"
    ENTRIES = "entries"
    KEYS = "keys"
    QUEUES = "queues"
    VERSION = "version"


class Condition(msgspec.Struct, frozen=True):
    """Filter condition on jobs."""

    field: Field
    operator: Operator
    value: str


class ShowJobs(msgspec.Struct, frozen=True):
    """List the jobs that match all conditions."""

    conditions: list[Condition]


class ShowJob(msgspec.Struct, frozen=True):
    """Show a job and its tasks."""

    job: JobId


class ShowList(msgspec.Struct, frozen=True):
    """List all objects of one kind."""

    subject: Subject


class Why(msgspec.Struct, frozen=True):
    """Explain the placement of a job's tasks, or why they wait."""

    job: JobId


class CreateTeam(msgspec.Struct, frozen=True):
    """Create a team."""

    team: TeamName
    share: int
    limit: Resources


class SetTeam(msgspec.Struct, frozen=True):
    """Change a team; a value of None is left unchanged."""

    team: TeamName
    share: int | None
    limit: Resources | None
    expected: Offset


class RemoveTeam(msgspec.Struct, frozen=True):
    """Remove a team together with its keys and queues."""

    team: TeamName
    expected: Offset


class GiveKey(msgspec.Struct, frozen=True):
    """Create a key for a team."""

    team: TeamName
    label: str


class WithdrawKey(msgspec.Struct, frozen=True):
    """Revoke a key."""

    key: KeyId


class OpenQueue(msgspec.Struct, frozen=True):
    """Open a team's queue to all valid keys."""

    queue: str
    team: TeamName


class CloseQueue(msgspec.Struct, frozen=True):
    """Close a queue that was opened to all keys."""

    queue: str
    expected: Offset


class SetWorkerDrain(msgspec.Struct, frozen=True):
    """Drain a worker, or make it schedulable again."""

    worker: InstanceId
    drained: bool
    expected: Offset | None


class SetEvacuation(msgspec.Struct, frozen=True):
    """Evacuate a data centre, or make its workers schedulable again."""

    data_centre: str
    evacuated: bool
    expected: Offset | None


class CancelJob(msgspec.Struct, frozen=True):
    """Cancel a job."""

    job: JobId


Statement = (
    ShowJobs
    | ShowJob
    | ShowList
    | Why
    | CreateTeam
    | SetTeam
    | RemoveTeam
    | GiveKey
    | WithdrawKey
    | OpenQueue
    | CloseQueue
    | SetWorkerDrain
    | SetEvacuation
    | CancelJob
)
