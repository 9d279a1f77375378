"""Small stand-ins for the platform, its workers and backend servers.

They serve the interfaces that the system assumes, for tests and demonstrations.
Nothing else in the package depends on them.
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
