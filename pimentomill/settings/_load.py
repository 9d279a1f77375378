"""Loading and validation of settings files."""

from pathlib import Path
from typing import TypeVar

import msgspec

from ..exceptions import SettingsError
from ._schema import EntrySettings, check_distinct_addresses

__all__ = ["load_settings", "parse_settings"]

T = TypeVar("T")


def parse_settings(raw: bytes, settings_type: type[T]) -> T:
    """Parse and validate settings.

    Parameters
    ----------
    raw : bytes
        JSON text.
    settings_type : type
        One of the settings classes of this package.

    Returns
    -------
    object
        An instance of `settings_type`.

    Raises
    ------
    SettingsError
        If the text is not valid JSON, a key is unknown, or a value has the wrong
        type or is out of bounds; the message contains the path of the value.
    """
    try:
        cfg = msgspec.json.decode(raw, type=settings_type)
    except msgspec.DecodeError as exc:
        raise SettingsError(str(exc)) from exc
    if isinstance(cfg, EntrySettings):
        check_distinct_addresses(cfg)
    return cfg


def load_settings(path: str | Path, settings_type: type[T]) -> T:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or Path
        File to read.
    settings_type : type
        One of the settings classes of this package.

    Returns
    -------
    object
        An instance of `settings_type`.

    Raises
    ------
    SettingsError
        If the file can't be read or its content is invalid.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(f"can't read {path}: {exc.strerror}") from exc
    try:
        return parse_settings(raw, settings_type)
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
