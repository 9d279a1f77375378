"""Schema of the settings of each process."""

from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, UnsetType

from ..exceptions import SettingsError
from ..ingress import Machine
from ..utils import Instant, to_other_clock

__all__ = [
    "AddressSettings",
    "BackendSettings",
    "CallerSettings",
    "EntrySettings",
    "GroupSettings",
    "LeaseSettings",
    "PlatformSettings",
    "SnapshotSettings",
    "TlsSettings",
    "WorkerSettings",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Rack = Annotated[str, Meta(pattern=r"^[a-z0-9._-]+/[a-z0-9._-]+$")]
Host = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Url = Annotated[str, Meta(pattern=r"^https?://[0-9A-Za-z.:\[\]-]+$")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
PositiveInt = Annotated[int, Meta(gt=0)]
DurationMs = Annotated[int, Meta(gt=0, le=86_400_000)]


class _Settings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Base class that rejects unknown keys."""


class AddressSettings(_Settings, kw_only=True, frozen=True):
    """Address to listen on.

    Parameters
    ----------
    host : str, default="127.0.0.1"
        IP address.
    port : int
        TCP port.
    """

    host: Host = "127.0.0.1"
    port: Port

    @property
    def authority(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


class TlsSettings(_Settings, kw_only=True, frozen=True):
    """TLS files of the port for callers.

    Parameters
    ----------
    certificate : str
        Path of the certificate chain in PEM format.
    private_key : str
        Path of the private key in PEM format.
    """

    certificate: str
    private_key: str


class CallerSettings(AddressSettings, kw_only=True, frozen=True):
    """Server settings of the port for callers and operators.

    Parameters
    ----------
    tls : TlsSettings or None, default=None
        TLS files; None for plain HTTP.
    max_body_bytes : int, default=262144
        Maximum size of a request body, in bytes.
    threads : int, default=12
        Maximum number of concurrent requests.
    backlog : int, default=128
        Maximum number of connections that wait for a thread.
    socket_timeout_ms : int, default=10000
        Milliseconds without data from a caller after which its request times out.
    """

    tls: TlsSettings | None = None
    max_body_bytes: PositiveInt = 262_144
    threads: Annotated[int, Meta(ge=2, le=64)] = 12
    backlog: PositiveInt = 128
    socket_timeout_ms: DurationMs = 10_000


class GroupSettings(_Settings, kw_only=True, frozen=True):
    """Group of workers, which one entry holds at a time.

    Parameters
    ----------
    name : str
        Name of the group.
    racks : list of str
        Racks of the group, each in the form ``data_centre/rack``.
    """

    name: Name
    racks: Annotated[list[Rack], Meta(min_length=1)]


class LeaseSettings(_Settings, kw_only=True, frozen=True):
    """Durations of leases and intervals of their renewal, in milliseconds.

    Parameters
    ----------
    ownership_ms : int, default=8000
        Duration of an entry's lease on a group, counted from before the renewal
        is sent.
    renew_ms : int, default=2000
        Interval between renewals.
    margin_ms : int, default=500
        Safety margin for differences in clock speed and for the delay of reading.
    task_ms : int, default=300000
        Time that a task runs on a worker without contact with its holder.
    command_ms : int, default=2000
        Maximum validity of a command to a worker.
    report_ms : int, default=2000
        Interval between the reports of a worker.
    """

    ownership_ms: DurationMs = 8_000
    renew_ms: DurationMs = 2_000
    margin_ms: DurationMs = 500
    task_ms: DurationMs = 300_000
    command_ms: DurationMs = 2_000
    report_ms: DurationMs = 2_000

    def __post_init__(self) -> None:
        if self.renew_ms * 2 + self.margin_ms > self.ownership_ms:
            raise ValueError(
                "ownership_ms must be at least twice renew_ms plus margin_ms, "
                f"got {self.ownership_ms}"
            )
        if self.task_ms < self.ownership_ms * 2:
            raise ValueError(
                f"task_ms must be at least twice ownership_ms, got {self.task_ms}"
            )

    def task_lease_end(self, sent_at: Instant) -> Instant:
        """Return when a task lease that is sent now has ended, by the sender's clock.

        Parameters
        ----------
        sent_at : Instant
            Time at which the start or the renewal is sent.
        """
        return Instant(sent_at + to_other_clock(self.task_ms) + self.margin_ms)


class SnapshotSettings(_Settings, kw_only=True, frozen=True):
    """Schedule of the snapshots written to the log.

    Parameters
    ----------
    every_records : int, default=20000
        Number of new records of a stream after which a snapshot is written; must
        be lower than the number of records that the log retains.
    every_ms : int, default=600000
        Milliseconds after which a snapshot is written if there are new records.
    """

    every_records: PositiveInt = 20_000
    every_ms: DurationMs = 600_000


class EntrySettings(_Settings, kw_only=True, frozen=True):
    """Settings of an entry.

    Parameters
    ----------
    name : str
        Name of the instance.
    data_centre : str
        Data centre in which the instance runs.
    callers : CallerSettings
        Server settings of the port for callers and operators.
    control : AddressSettings
        Address for workers' reports, health checks and metrics.
    peers : AddressSettings
        Address for other entries.
    platform_url : str
        Base URL of the platform's log and instance list.
    groups : list of GroupSettings
        All groups of the cell; must be the same for every entry.
    operator_key_digests : list of str
        Hexadecimal SHA-256 digests of the operators' keys.
    leases : LeaseSettings
        Durations of the leases.
    snapshots : SnapshotSettings
        Schedule of the snapshots.
    max_waiting_per_team : int, default=20000
        Maximum number of waiting tasks of a team in the cell.
    stop_by_ms : int, default=10000
        Maximum duration of a graceful shutdown, in milliseconds.
    machine : Machine, optional
        Memory and descriptors of the process, a part of which callers may use; unset
        for those of a default machine.
    """

    name: Name
    data_centre: Name
    callers: CallerSettings
    control: AddressSettings
    peers: AddressSettings
    platform_url: Url
    groups: Annotated[list[GroupSettings], Meta(min_length=1)]
    operator_key_digests: list[Digest] = []
    leases: LeaseSettings = msgspec.field(default_factory=LeaseSettings)
    snapshots: SnapshotSettings = msgspec.field(default_factory=SnapshotSettings)
    max_waiting_per_team: PositiveInt = 20_000
    stop_by_ms: DurationMs = 10_000
    machine: Machine | UnsetType = UNSET

    def __post_init__(self) -> None:
        names = [group.name for group in self.groups]
        if len(set(names)) != len(names):
            raise ValueError(f"groups must have different names, got {names}")
        machine = self.resolve_machine()
        max_body_bytes = machine.max_body_bytes
        if self.callers.max_body_bytes > max_body_bytes:
            raise ValueError(
                f"callers.max_body_bytes must be at most {max_body_bytes} with "
                f"machine.memory_mb {machine.memory_mb}, "
                f"got {self.callers.max_body_bytes}"
            )
        racks = [rack for group in self.groups for rack in group.racks]
        if len(set(racks)) != len(racks):
            raise ValueError(f"a rack may be in one group only, got {racks}")

    def resolve_machine(self) -> Machine:
        """Return the machine as set, or the default one."""
        return Machine() if self.machine is UNSET else self.machine


class PlatformSettings(_Settings, kw_only=True, frozen=True):
    """Settings of the platform stand-in.

    Parameters
    ----------
    listen : AddressSettings
        Address to listen on.
    retained_records : int, default=1000000
        Number of records that each stream retains.
    list_lag_ms : int, default=500
        Delay of the instance list, in milliseconds.
    appends_per_second : int, default=500
        Maximum appends per second over all streams; further ones are rejected.
    """

    listen: AddressSettings
    retained_records: PositiveInt = 1_000_000
    list_lag_ms: Annotated[int, Meta(ge=0, le=600_000)] = 500
    appends_per_second: PositiveInt = 500


class WorkerSettings(_Settings, kw_only=True, frozen=True):
    """Settings of a worker stand-in.

    Parameters
    ----------
    name : str
        Name of the worker.
    listen : AddressSettings
        Address to receive commands on.
    rack : str
        Rack, in the form ``data_centre/rack``.
    platform_url : str
        Base URL of the platform.
    processors, memory_mb, accelerators : int
        Capacity of the worker: processors, memory in MB, and accelerators.
    report_ms : int, default=2000
        Interval between reports, in milliseconds.
    """

    name: Name
    listen: AddressSettings
    rack: Rack
    platform_url: Url
    processors: PositiveInt
    memory_mb: PositiveInt
    accelerators: Annotated[int, Meta(ge=0)] = 0
    report_ms: DurationMs = 2_000


class BackendSettings(_Settings, kw_only=True, frozen=True):
    """Settings of a backend server stand-in.

    Parameters
    ----------
    name : str
        Name of the backend server.
    listen : AddressSettings
        Address to receive requests on.
    rack : str
        Rack, in the form ``data_centre/rack``.
    platform_url : str
        Base URL of the platform.
    service : str
        Service that it provides.
    slots : int, default=8
        Maximum number of concurrent requests.
    connections : int, default=64
        Maximum number of connections.
    """

    name: Name
    listen: AddressSettings
    rack: Rack
    platform_url: Url
    service: Name
    slots: PositiveInt = 8
    connections: PositiveInt = 64


def check_distinct_addresses(cfg: EntrySettings) -> None:
    """Check that the three addresses of an entry differ.

    Parameters
    ----------
    cfg : EntrySettings
        Settings of the entry.

    Raises
    ------
    SettingsError
        If two of the addresses are the same.
    """
    addresses = [
        cfg.callers.authority,
        cfg.control.authority,
        cfg.peers.authority,
    ]
    if len(set(addresses)) != len(addresses):
        raise SettingsError(
            "$.callers, $.control and $.peers must differ in host or port, "
            f"got {addresses}"
        )
