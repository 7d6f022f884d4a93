"""Loading of settings files, and value types shared by all settings."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from stileloom.errors import ErrorKind, StileloomError

MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
"""IP address and port, such as `10.0.0.7:7400`."""
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63, pattern=r"^[a-z0-9][a-z0-9.-]*$")]


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the structured logs."""

    level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")] = "info"


SettingsType = TypeVar("SettingsType")


def load_settings(
    path: Path, kind: type[SettingsType], overrides: dict[str, object] | None = None
) -> SettingsType:
    """Loads and validates a settings file.

    `overrides` are top-level values from command-line options; None means not given. Raises
    `StileloomError` of kind SETTINGS_INVALID with the file and the path of the key.
    """
    try:
        raw = msgspec.toml.decode(path.read_bytes())
    except OSError as error:
        raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{path}: {error}") from error
    overridden = {key: value for key, value in (overrides or {}).items() if value is not None}
    try:
        return msgspec.convert({**raw, **overridden}, kind)
    except msgspec.ValidationError as error:
        raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{path}: {error}") from error


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into host and port. Raises `ValueError` if the port is not one."""
    host, _, port = address.rpartition(":")
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"invalid port: {port[:20]!r}")
    return host.strip("[]"), int(port)
