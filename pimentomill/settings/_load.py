"""Reading of settings files."""

from pathlib import Path
from typing import TypeVar

import msgspec

from ..exceptions import SettingsError
from ._schema import EntrySettings, require_unique_ports

__all__ = ["load_settings", "parse_settings"]

T = TypeVar("T")


def parse_settings(raw: bytes, kind: type[T]) -> T:
    """Parse and check settings.

    Parameters
    ----------
    raw : bytes
        JSON text.
    kind : type
        One of the settings classes of this package.

    Returns
    -------
    object
        An instance of `kind`.

    Raises
    ------
    SettingsError
        If the text is not JSON, a key is unknown, or a value has the wrong
        type or is out of bounds; the message names the path.
    """
    try:
        cfg = msgspec.json.decode(raw, type=kind)
    except msgspec.DecodeError as exc:
        raise SettingsError(str(exc)) from exc
    if isinstance(cfg, EntrySettings):
        require_unique_ports(cfg)
    return cfg


def load_settings(path: str | Path, kind: type[T]) -> T:
    """Read and check a settings file.

    Parameters
    ----------
    path : str or Path
        File to read.
    kind : type
        One of the settings classes of this package.

    Returns
    -------
    object
        An instance of `kind`.

    Raises
    ------
    SettingsError
        If the file can't be read or its content is refused.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(f"can't read {path}: {exc.strerror}") from exc
    try:
        return parse_settings(raw, kind)
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
