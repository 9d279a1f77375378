"""Validation of values passed by callers."""

import re

from ..exceptions import ValidationError

__all__ = ["check_name", "check_positive"]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


def check_name(parameter: str, value: str) -> str:
    """Return `value` if it is a well-formed name.

    Parameters
    ----------
    parameter : str
        Name of the parameter, used in the error message.
    value : str
        1 to 63 lowercase letters, digits, dots, dashes and underscores; the first
        is a letter or a digit.

    Raises
    ------
    ValidationError
        If the value is not a well-formed name.
    """
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise ValidationError(
            f"{parameter} must be 1 to 63 lowercase letters, digits, '.', '-' or '_', "
            f"got {value!r}"
        )
    return value


def check_positive(parameter: str, value: int) -> int:
    """Return `value` if it is a positive integer.

    Parameters
    ----------
    parameter : str
        Name of the parameter, used in the error message.
    value : int
        Value to check.

    Raises
    ------
    ValidationError
        If the value is not a positive integer.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        raise ValidationError(f"{parameter} must be a positive integer, got {value!r}")
    return value
