"""Stored records that describe the entries of the cell."""

import msgspec

__all__ = ["MEMBER_PREFIX", "MemberRecord", "member_key"]

MEMBER_PREFIX = "m:"


class MemberRecord(msgspec.Struct, frozen=True):
    """Heartbeat of an entry.

    Parameters
    ----------
    node : str
        Name of the entry.
    address : str
        IP address and port for other entries.
    incarnation : str
        Incarnation of the process.
    cores : float
        CPU capacity of the instance, in cores.
    """

    node: str
    address: str
    incarnation: str
    cores: float = 1.0


def member_key(node: str) -> str:
    """Return the key of an entry's member record."""
    return MEMBER_PREFIX + node
