"""Settings of a node, read from a TOML file and checked strictly.

An unknown key, a wrong type or a value out of range is refused with the path of the key and
the file. Flags of the command line override single values. Units stand in the names.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from stileloom import constants
from stileloom.errors import ErrorKind, StileloomError
from stileloom.rollout import SchedulerKind

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
"""An IP number and a port, `10.0.0.7:7400`."""
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63, pattern=r"^[a-z0-9][a-z0-9.-]*$")]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's services are."""

    object_api: Address
    machine_list: Address


class LedgerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The ledger; only nodes with a data folder keep a replica."""

    data_folder: str = ""
    """Folder for the ledger's files; empty on nodes that keep nothing."""
    voters: Annotated[int, msgspec.Meta(ge=1, le=9)] = 3
    """Size of the voter set; the same on every node."""


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of this node."""

    max_body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = constants.MAX_BODY_BYTES
    drain_timeout_s: Annotated[float, msgspec.Meta(gt=0)] = constants.DRAIN_TIMEOUT_S


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logs go to standard error as JSON lines."""

    level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")] = "info"


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of `stileloom serve`."""

    node_id: Name
    zone: Name
    region: Name
    port: Port
    """TCP and UDP port of the internal protocol."""
    http_port: Port
    """TCP port for callers, trainers and operators."""
    platform: PlatformSettings
    host: str = "127.0.0.1"
    """IP number to listen on and to be reached at."""
    seeds: list[Address] = msgspec.field(default_factory=list)
    """Internal addresses of a few other nodes, asked at the start."""
    scheduler: SchedulerKind = SchedulerKind.DEFAULT
    ledger: LedgerSettings = LedgerSettings()
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()


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
