"""Records about the system's own entries."""

import msgspec

__all__ = ["MEMBER_PREFIX", "MemberRecord", "member_key"]

MEMBER_PREFIX = "m:"


class MemberRecord(msgspec.Struct, frozen=True):
    """An entry shows that it lives.

    Parameters
    ----------
    node : str
        Name.
    address : str
        IP address and port for other entries.
    incarnation : str
        Life of the process.
    cores : float
        Processor of the instance, in cores.
    """

    node: str
    address: str
    incarnation: str
    cores: float = 1.0


def member_key(node: str) -> str:
    """Return the key of an entry's record."""
    return MEMBER_PREFIX + node
