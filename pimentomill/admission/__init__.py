"""Authentication of callers and limits on their submissions."""

from ._keys import (
    digest_of,
    is_operator,
    make_key,
    resolve_team,
    team_of_queue,
)
from ._limits import (
    check_fits_any_group,
    check_waiting_limit,
    check_withdrawal_limit,
)

__all__ = [
    "check_fits_any_group",
    "check_waiting_limit",
    "check_withdrawal_limit",
    "digest_of",
    "is_operator",
    "make_key",
    "resolve_team",
    "team_of_queue",
]
