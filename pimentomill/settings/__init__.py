"""Settings of each process, parsed from JSON and validated."""

from ._load import load_settings, parse_settings
from ._schema import (
    AddressSettings,
    BackendSettings,
    CallerSettings,
    EntrySettings,
    GroupSettings,
    LeaseSettings,
    PlatformSettings,
    SnapshotSettings,
    TlsSettings,
    WorkerSettings,
)

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
    "load_settings",
    "parse_settings",
]
