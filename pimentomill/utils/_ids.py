"""Identifier types, generators and a stable hash to partition by."""

import hashlib
import secrets
from typing import NewType

import xxhash

__all__ = [
    "Epoch",
    "GroupName",
    "InstanceId",
    "JobId",
    "KeyId",
    "MemberId",
    "Offset",
    "RequestId",
    "ServiceName",
    "StreamName",
    "TeamName",
    "digest_id",
    "new_id",
    "stable_hash",
]

TeamName = NewType("TeamName", str)
KeyId = NewType("KeyId", str)
JobId = NewType("JobId", str)
RequestId = NewType("RequestId", str)
ServiceName = NewType("ServiceName", str)
InstanceId = NewType("InstanceId", str)
GroupName = NewType("GroupName", str)
MemberId = NewType("MemberId", str)
StreamName = NewType("StreamName", str)
Offset = NewType("Offset", int)
Epoch = NewType("Epoch", int)

ID_BYTES = 6
DIGEST_BYTES = 12


def new_id(prefix: str) -> str:
    """Generate a random identifier.

    Parameters
    ----------
    prefix : str
        Kind of the object.

    Returns
    -------
    str
        The prefix, a dash and 12 hexadecimal digits.
    """
    return f"{prefix}-{secrets.token_hex(ID_BYTES)}"


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is identical in all processes.

    Parameters
    ----------
    *parts : str
        Strings to hash; ``("a", "bc")`` and ``("ab", "c")`` differ.

    Returns
    -------
    int
        Value from 0 to 2**64 - 1.

    Examples
    --------
    >>> stable_hash("a", "bc") == stable_hash("ab", "c")
    False
    """
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def digest_id(*parts: str) -> str:
    """Return a deterministic identifier derived from its parts.

    Parameters
    ----------
    *parts : str
        Strings to derive the identifier from.

    Returns
    -------
    str
        24 hexadecimal digits of a collision-resistant hash.
    """
    encoded = "\x00".join(parts).encode()
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
