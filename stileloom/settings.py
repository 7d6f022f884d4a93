"""Settings of a node, loaded from TOML with strict validation.

Unknown keys, wrong types and values out of range are rejected with the file and the path of the
key. Command-line options override single values. Names include units.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from stileloom import constants
from stileloom.rollout import SchedulerKind
from stileloom.settings_file import Address, LogSettings, Name, Port


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services."""

    object_api: Address
    machine_list: Address


class LedgerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ledger settings; only nodes with a data folder keep a replica."""

    data_folder: str = ""
    """Data directory of the ledger; empty on nodes without a replica."""
    voters: Annotated[int, msgspec.Meta(ge=1, le=9)] = 3
    """Number of voters; the same on every node."""


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
    """IP address to listen on and to advertise."""
    seeds: list[Address] = msgspec.field(default_factory=list)
    """Internal addresses of other nodes, used to join."""
    scheduler: SchedulerKind = SchedulerKind.DEFAULT
    ledger: LedgerSettings = LedgerSettings()
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()
