"""Minimal stand-ins for the platform, its workers and backend servers.

They implement the external interfaces that the scheduler relies on, for tests and
demonstrations. Only the commands that start them depend on this package.
"""

from ._backend import BackendModel, BackendStandIn
from ._memory_worker import MemoryWorkers
from ._platform import LogFaults, LogModel, PlatformStandIn
from ._records import MemoryStore
from ._worker import WorkerModel, WorkerStandIn

__all__ = [
    "BackendModel",
    "BackendStandIn",
    "LogFaults",
    "LogModel",
    "MemoryStore",
    "MemoryWorkers",
    "PlatformStandIn",
    "WorkerModel",
    "WorkerStandIn",
]
