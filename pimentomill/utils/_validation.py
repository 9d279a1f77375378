"""Checks of values that callers hand in."""

import re

from ..exceptions import ValidationError

__all__ = ["check_name", "check_positive"]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


def check_name(parameter: str, value: str) -> str:
    """Return `value` if it is a well-formed name.

    Parameters
    ----------
    parameter : str
        What the value is for, used in the error.
    value : str
        1 to 63 small letters, digits, dots, dashes and underscores.

    Raises
    ------
    ValidationError
        If the value is not such a name.
    """
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise ValidationError(
            f"{parameter} must be 1 to 63 small letters, digits, '.', '-' or '_', "
            f"got {value!r}"
        )
    return value


def check_positive(parameter: str, value: int) -> int:
    """Return `value` if it is a whole number above 0.

    Parameters
    ----------
    parameter : str
        What the value is for, used in the error.
    value : int
        The number.

    Raises
    ------
    ValidationError
        If the value is not a whole number above 0.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        raise ValidationError(
            f"{parameter} must be a whole number above 0, got {value!r}"
        )
    return value
