"""Reading of settings files, and the value types that all settings share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from stileloom.errors import ErrorKind, StileloomError

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
"""An IP number and a port, `10.0.0.7:7400`."""
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63, pattern=r"^[a-z0-9][a-z0-9.-]*$")]


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logs go to standard error as JSON lines."""

    level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")] = "info"


SettingsType = TypeVar("SettingsType")


def load_settings(
    path: Path, kind: type[SettingsType], overrides: dict[str, object] | None = None
) -> SettingsType:
    """Reads and checks a settings file.

    `overrides` are top-level values from flags; None means not given. Raises
    `StileloomError` of kind SETTINGS_INVALID that names the file and the key's path.
    """
    try:
        raw = msgspec.toml.decode(path.read_bytes())
    except OSError as error:
        raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{path}: {error}") from error
    given = {key: value for key, value in (overrides or {}).items() if value is not None}
    try:
        return msgspec.convert({**raw, **given}, kind)
    except msgspec.ValidationError as error:
        raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{path}: {error}") from error


def split_address(address: str) -> tuple[str, int]:
    """Host and port of an address. Raises `ValueError` where there is no port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
