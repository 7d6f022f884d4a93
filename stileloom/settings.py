"""Settings of a node, read from a TOML file and checked strictly.

An unknown key, a wrong type or a value out of range is refused with the path of the key and
the file. Flags of the command line override single values. Units stand in the names.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from stileloom import constants
from stileloom.rollout import SchedulerKind
from stileloom.settings_file import Address, LogSettings, Name, Port


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
