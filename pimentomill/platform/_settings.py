"""Settings file that the platform writes for each process."""

import tomllib
from pathlib import Path

import msgspec
from msgspec import UNSET, UnsetType

from ..exceptions import SettingsError
from ..ingress import Descriptors, Machine, MemoryMb

__all__ = ["NODE_FILE_VARIABLE", "NodeFile", "load_node_file"]

NODE_FILE_VARIABLE = "PIMENTOMILL_NODE_FILE"


class ListenAddresses(msgspec.Struct, frozen=True):
    """Addresses at which a process listens.

    Parameters
    ----------
    callers : str
        Address of the callers' interface.
    readiness : str
        Address of the platform's readiness check for new callers.
    entries : str
        Address for the other entries of the cell.
    """

    callers: str = msgspec.field(name="Front", default="")
    readiness: str = msgspec.field(name="Ready", default="")
    entries: str = msgspec.field(name="Control", default="")


class Bounds(msgspec.Struct, frozen=True, omit_defaults=True):
    """Bounds of the platform's contract, in the unit that each name ends in."""

    grace_s: float = msgspec.field(name="GraceS", default=6)
    key_revocation_ms: int = msgspec.field(name="RevokeMs", default=5000)
    max_lease_ms: int = msgspec.field(name="HoldMaxMs", default=6000)
    restore_ms: int = msgspec.field(name="RestoreMs", default=100)
    stop_ms: int = msgspec.field(name="StopMs", default=200)
    checkpoint_interval_s: float = msgspec.field(name="CheckpointS", default=1.0)
    far_factor: float = msgspec.field(name="FarX", default=1.5)
    # 0 where the contract has no bound on starts in an evacuated data centre.
    evacuation_ms: int = msgspec.field(name="EvacuateMs", default=0)
    quota_window_s: float = msgspec.field(name="QuotaWindowS", default=5.0)
    quota_overrun: float = msgspec.field(name="QuotaOverrun", default=0.1)
    quota_slack: float = msgspec.field(name="QuotaSlack", default=20.0)
    state_retention_s: float = msgspec.field(name="status_s", default=120)


class InstanceLimits(msgspec.Struct, frozen=True):
    """Limits of the instance.

    Parameters
    ----------
    core_share : float
        Share of the time of one core.
    core_speed : float
        Speed of that core relative to a standard one. The wire name misleads: it
        suggests a number of cores.
    memory_mb : int, optional
        Memory of the process, in MB.
    descriptors : int, optional
        File descriptors of the process.
    """

    core_share: float = msgspec.field(name="CpuShare", default=1.0)
    core_speed: float = msgspec.field(name="Cores", default=1.0)
    memory_mb: MemoryMb | UnsetType = msgspec.field(name="MemoryMb", default=UNSET)
    descriptors: Descriptors | UnsetType = msgspec.field(name="MaxFds", default=UNSET)

    @property
    def cores(self) -> float:
        """Processor capacity in standard cores."""
        return self.core_share * self.core_speed

    @property
    def machine(self) -> Machine:
        """Memory and descriptors of the instance; defaults where they are unset."""
        machine = Machine()
        if self.memory_mb is not UNSET:
            machine = msgspec.structs.replace(machine, memory_mb=self.memory_mb)
        if self.descriptors is not UNSET:
            machine = msgspec.structs.replace(machine, descriptors=self.descriptors)
        return machine


class StoreSettings(msgspec.Struct, frozen=True):
    """Address of the platform's store."""

    address: str = msgspec.field(name="Address")


class NodeFile(msgspec.Struct, frozen=True):
    """Settings of a process.

    Parameters
    ----------
    node : str
        Name of the instance.
    zone : str
        Data centre.
    ip : str
        IP address of the instance.
    listen : ListenAddresses
        Addresses to listen at.
    bounds : Bounds
        Bounds of the platform's contract.
    store : StoreSettings
        The platform's store.
    policy_address : str
        IP address and port of the placement policy service.
    limits : InstanceLimits
        Limits of the instance.
    """

    node: str = msgspec.field(name="NodeName")
    zone: str = msgspec.field(name="Zone")
    ip: str = msgspec.field(name="Ip")
    listen: ListenAddresses = msgspec.field(name="ListenAddrs")
    store: StoreSettings = msgspec.field(name="platform")
    bounds: Bounds = msgspec.field(name="Bounds", default=Bounds())
    policy_address: str = msgspec.field(name="Advice", default="")
    limits: InstanceLimits = msgspec.field(name="Limits", default=InstanceLimits())


def load_node_file(path: str | Path) -> NodeFile:
    """Read and validate the settings file.

    Parameters
    ----------
    path : str or Path
        Path of the file.

    Returns
    -------
    NodeFile
        Settings.

    Raises
    ------
    SettingsError
        If the file can't be read, or a field is missing or has another type; the
        message contains the path of the field.
    """
    try:
        raw = tomllib.loads(Path(path).read_text())
        return msgspec.convert(raw, NodeFile)
    except OSError as exc:
        raise SettingsError(f"{path}: can't be read: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: is not TOML: {exc}") from exc
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
