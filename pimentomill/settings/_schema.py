"""Shape and bounds of the settings of each process."""

from typing import Annotated

import msgspec
from msgspec import Meta

from ..exceptions import SettingsError

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
    """Base that refuses unknown keys."""


class AddressSettings(_Settings, kw_only=True, frozen=True):
    """Address to listen on.

    Parameters
    ----------
    host : str, default="127.0.0.1"
        IP number.
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
    """Files that the callers' port needs for TLS.

    Parameters
    ----------
    certificate : str
        Path of the certificate chain, PEM.
    private_key : str
        Path of the private key, PEM.
    """

    certificate: str
    private_key: str


class CallerSettings(AddressSettings, kw_only=True, frozen=True):
    """The port that callers and operators use.

    Parameters
    ----------
    tls : TlsSettings or None, default=None
        Certificate; plain HTTP without it.
    max_body_bytes : int, default=262144
        Longest body taken.
    threads : int, default=12
        Requests served at once.
    backlog : int, default=128
        Connections that may wait for a thread.
    socket_timeout_ms : int, default=10000
        Longest silence of a caller in the middle of a request.
    """

    tls: TlsSettings | None = None
    max_body_bytes: PositiveInt = 262_144
    threads: Annotated[int, Meta(ge=2, le=64)] = 12
    backlog: PositiveInt = 128
    socket_timeout_ms: DurationMs = 10_000


class GroupSettings(_Settings, kw_only=True, frozen=True):
    """A group of workers that one entry holds at a time.

    Parameters
    ----------
    name : str
        Name of the group.
    racks : list of str
        Racks of the group, each as ``data_centre/rack``.
    """

    name: Name
    racks: Annotated[list[Rack], Meta(min_length=1)]


class LeaseSettings(_Settings, kw_only=True, frozen=True):
    """Terms of the leases, in milliseconds.

    Parameters
    ----------
    ownership_ms : int, default=8000
        Term of an entry's right to a group, from before a renewal is sent.
    renew_ms : int, default=2000
        Pause between renewals.
    margin_ms : int, default=500
        Allowance for clocks that run at unlike speeds, and for reading.
    task_ms : int, default=300000
        Term of a task on a worker without contact with its holder.
    command_ms : int, default=2000
        Longest time a command to a worker stays valid.
    report_ms : int, default=2000
        Pause between reports of a worker.
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


class SnapshotSettings(_Settings, kw_only=True, frozen=True):
    """When snapshots are written to the log.

    Parameters
    ----------
    every_records : int, default=20000
        Records of a stream after which one is written; must stay below what
        the log keeps.
    every_ms : int, default=600000
        Time after which one is written if there are new records.
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
        Where the instance runs.
    callers : CallerSettings
        Port for callers and operators.
    control : AddressSettings
        Port for workers' reports, health and metrics.
    peers : AddressSettings
        Port for other entries.
    platform_url : str
        Base address of the platform's log and instance list.
    groups : list of GroupSettings
        All groups of the cell, the same in every entry.
    operator_key_digests : list of str
        SHA-256 digests of the operators' keys, in hexadecimal.
    leases : LeaseSettings
        Terms of the leases.
    snapshots : SnapshotSettings
        When snapshots are written.
    max_waiting_per_team : int, default=20000
        Tasks that a team may have waiting in the cell.
    stop_by_ms : int, default=10000
        Longest graceful stop.
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

    def __post_init__(self) -> None:
        names = [group.name for group in self.groups]
        if len(set(names)) != len(names):
            raise ValueError(f"groups must have different names, got {names}")
        racks = [rack for group in self.groups for rack in group.racks]
        if len(set(racks)) != len(racks):
            raise ValueError(f"a rack may be in one group only, got {racks}")


class PlatformSettings(_Settings, kw_only=True, frozen=True):
    """Settings of the platform stand-in.

    Parameters
    ----------
    listen : AddressSettings
        Where it serves.
    retained_records : int, default=1000000
        Records that each stream keeps.
    list_lag_ms : int, default=500
        How far the instance list lags behind.
    appends_per_second : int, default=500
        Appends taken in a second over all streams; more are refused.
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
        Where it takes commands.
    rack : str
        Rack, as ``data_centre/rack``.
    platform_url : str
        Base address of the platform.
    processors, memory_mb, accelerators : int
        Capacity.
    report_ms : int, default=2000
        Pause between reports.
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
        Where it takes requests.
    rack : str
        Rack, as ``data_centre/rack``.
    platform_url : str
        Base address of the platform.
    service : str
        Service that it answers for.
    slots : int, default=8
        Requests that it runs at once.
    connections : int, default=64
        Connections that it takes.
    """

    name: Name
    listen: AddressSettings
    rack: Rack
    platform_url: Url
    service: Name
    slots: PositiveInt = 8
    connections: PositiveInt = 64


def check_distinct_addresses(cfg: EntrySettings) -> None:
    """Check that the three ports of an entry differ.

    Parameters
    ----------
    cfg : EntrySettings
        Settings to check.

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
