"""Identifiers and the hash that spreads them."""

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
    """Return a fresh random identifier.

    Parameters
    ----------
    prefix : str
        Word that tells the kind of the object.

    Returns
    -------
    str
        The prefix, a dash and 12 hexadecimal digits.
    """
    return f"{prefix}-{secrets.token_hex(ID_BYTES)}"


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same in every process.

    Parameters
    ----------
    *parts : str
        Texts to hash; ``("a", "bc")`` and ``("ab", "c")`` differ.

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
    """Return an identifier that follows from its parts alone.

    Parameters
    ----------
    *parts : str
        Texts that the identifier stands for.

    Returns
    -------
    str
        24 hexadecimal digits; finding two inputs with the same is infeasible.
    """
    encoded = "\x00".join(parts).encode()
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
