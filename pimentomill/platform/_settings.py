"""The settings file that the platform writes for each process."""

import tomllib
from pathlib import Path

import msgspec

from ..exceptions import SettingsError

__all__ = ["NODE_FILE_VARIABLE", "NodeFile", "load_node_file"]

NODE_FILE_VARIABLE = "PIMENTOMILL_NODE_FILE"


class ListenAddresses(msgspec.Struct, frozen=True):
    """Where a process listens.

    Parameters
    ----------
    callers : str
        Address for callers.
    readiness : str
        Address at which the platform asks whether new callers may come.
    entries : str
        Address for the system's other entries.
    """

    callers: str = msgspec.field(name="Front", default="")
    readiness: str = msgspec.field(name="Ready", default="")
    entries: str = msgspec.field(name="Control", default="")


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of the contract that the system needs, in the unit of each name."""

    grace_s: float = msgspec.field(name="GraceS", default=6)
    key_revocation_ms: int = msgspec.field(name="RevokeMs", default=5000)
    max_lease_ms: int = msgspec.field(name="HoldMaxMs", default=6000)
    state_retention_s: float = msgspec.field(name="status_s", default=120)


class InstanceLimits(msgspec.Struct, frozen=True):
    """What the instance may use.

    Parameters
    ----------
    core_share : float
        Share of a core's time.
    core_speed : float
        Speed of that core against a usual one; the wire name suggests a number of
        cores.
    """

    core_share: float = msgspec.field(name="CpuShare", default=1.0)
    core_speed: float = msgspec.field(name="Cores", default=1.0)

    @property
    def cores(self) -> float:
        """Processor in usual cores."""
        return self.core_share * self.core_speed


class StoreSettings(msgspec.Struct, frozen=True):
    """Where the platform's store listens."""

    address: str = msgspec.field(name="Address")


class NodeFile(msgspec.Struct, frozen=True):
    """What a process learns from its settings file.

    Parameters
    ----------
    node : str
        Name of the instance.
    zone : str
        Data centre.
    ip : str
        Address of the instance.
    listen : ListenAddresses
        Where to listen.
    bounds : Bounds
        Bounds of the contract.
    store : StoreSettings
        The platform's store.
    policy_address : str
        Service that knows which workers a queue's policy allows.
    limits : InstanceLimits
        What the instance may use.
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
    """Read and check the settings file.

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
        If the file can't be read, or a field is missing or of another type; the
        message holds the path of the field.
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
