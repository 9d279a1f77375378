"""Stored records that describe the entries of the cell."""

import msgspec

__all__ = ["MEMBER_PREFIX", "MemberRecord", "member_key"]

MEMBER_PREFIX = "m:"
MAX_CORES = 10_000
"""Most cores of an instance that are believed. The leader hands over to entries with
more cores than its own."""


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

    def check(self, name: str) -> None:
        """Check that the record can be that of an entry.

        Parameters
        ----------
        name : str
            Name of the entry, by the key of the record.

        Raises
        ------
        ValueError
            If another writer has left it.
        """
        if self.node != name:
            raise ValueError(f"node: {self.node[:40]!r} is not the name in the key")
        if not 0 <= self.cores <= MAX_CORES:
            raise ValueError(f"cores: {self.cores} is not 0 to {MAX_CORES}")


def member_key(node: str) -> str:
    """Return the key of an entry's member record."""
    return MEMBER_PREFIX + node
