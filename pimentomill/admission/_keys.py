"""Keys of teams and operators.

A team's key is ``pm.<key id>.<secret>``. Only the SHA-256 digest of the secret is
stored, and digests are compared in constant time. The secret has 256 random bits, so
a slow hash would not add security.
"""

import hashlib
import hmac
import secrets

from ..cell import CellState
from ..exceptions import NotFoundError, UnauthorizedError, UnknownKeyError
from ..utils import KeyId, TeamName

__all__ = [
    "digest_of",
    "is_operator",
    "make_key",
    "resolve_team",
    "team_of_queue",
]

KEY_PREFIX = "pm"
SECRET_BYTES = 32
BEARER_PREFIX = "Bearer "


def digest_of(secret: str) -> str:
    """Return the hexadecimal SHA-256 digest that is stored for a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def make_key(key_id: KeyId) -> tuple[str, str]:
    """Return a new key and the digest to store.

    Parameters
    ----------
    key_id : KeyId
        Public identifier of the key.

    Returns
    -------
    tuple of str
        Key, to be shown once, and the digest of its secret.
    """
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return f"{KEY_PREFIX}.{key_id}.{secret}", digest_of(secret)


def _bearer_token(header: str) -> str:
    if not header.startswith(BEARER_PREFIX):
        raise UnauthorizedError("the Authorization header must be 'Bearer <key>'")
    return header[len(BEARER_PREFIX) :].strip()


def resolve_team(state: CellState, header: str) -> TeamName:
    """Return the team that a key belongs to.

    Parameters
    ----------
    state : CellState
        Current state of the cell.
    header : str
        Value of the Authorization header.

    Returns
    -------
    TeamName
        The team.

    Raises
    ------
    UnauthorizedError
        If the key is malformed.
    UnknownKeyError
        If the key is unknown or withdrawn; the message does not say which.
    """
    parts = _bearer_token(header).split(".")
    if len(parts) != 3 or parts[0] != KEY_PREFIX:
        raise UnauthorizedError("the key is malformed")
    key = state.keys.get(KeyId(parts[1]))
    secret_digest = digest_of(parts[2])
    expected_digest = key.digest if key else digest_of("")
    if not hmac.compare_digest(secret_digest, expected_digest) or key is None:
        raise UnknownKeyError("the key is unknown or withdrawn")
    return key.team


def is_operator(digests: list[str], header: str) -> bool:
    """Return whether a header carries the key of an operator."""
    if not header.startswith(BEARER_PREFIX):
        return False
    digest = digest_of(_bearer_token(header))
    matches = [
        hmac.compare_digest(digest, operator_digest) for operator_digest in digests
    ]
    return any(matches)


def team_of_queue(state: CellState, team: TeamName, queue: str) -> TeamName:
    """Return the team that a submission counts towards.

    Parameters
    ----------
    state : CellState
        Current state of the cell.
    team : TeamName
        Team of the key.
    queue : str
        Open queue to submit to, empty for the team's own.

    Returns
    -------
    TeamName
        The queue's team if a queue was named.

    Raises
    ------
    NotFoundError
        If there is no such open queue.
    """
    if not queue:
        return team
    record = state.queues.get(queue)
    if record is None:
        raise NotFoundError(f"queue must be an open queue, got {queue!r}")
    return record.team
