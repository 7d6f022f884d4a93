"""Settings of a gateway or ledger node, read from a TOML file and checked strictly.

Values that bound waiting come from the deployment, so that no constant fits only one.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from stileloom.settings_file import Address, LogSettings, Name, split_address
from stileloom.switches import Switches

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class TimeBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that the deployment states. Times are seconds."""

    sampler_drain_s: Positive = 2.0
    """No request reaches a sampler so long after it was listed as leaving."""
    configuration_s: Positive = 2.0
    """A configuration is in force so long after the store took it."""
    stop_grace_s: Positive = 8.0
    """A stopped process must have ended by then."""
    order_lease_s: NotNegative = 3.0
    """Orders of two holders to one sampler are so far apart."""
    job_retention_s: Positive = 120.0
    """Results stay readable so long after the job was submitted."""


class ServiceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a gateway or a ledger node."""

    node_id: Name
    zone: str
    host: str
    """IP number to be reached at."""
    store: Address
    """The object store."""
    bind_host: str = ""
    """Ledger node: IP number to listen on, where that is not `host` (behind a translation)."""
    peers: list[Address] = msgspec.field(default_factory=list)
    """Addresses of some ledger nodes; they may be stale."""
    front: str = ""
    """Gateway: address for callers."""
    ready: str = ""
    """Gateway: address of the readiness answer."""
    ledger: str = ""
    """Ledger node: address for the other replicas."""
    calls_port: int = 0
    """Ledger node: port for the calls of gateways; the same on all ledger nodes."""
    metrics_port: int = 0
    """Port of `GET /metrics`; 0 for none."""
    data_folder: str = ""
    """Ledger node: folder of its files."""
    first_start: bool = False
    """Whether the deployment starts for the first time, with empty disks."""
    losses_borne: Annotated[int, msgspec.Meta(ge=0, le=4)] = 1
    """Ledger nodes that may be lost at once; the voter set has twice as many and one."""
    bounds: TimeBounds = TimeBounds()
    switches: Switches = Switches()
    log: LogSettings = LogSettings()

    @property
    def listen_host(self) -> str:
        """IP number to listen on."""
        return self.bind_host or self.host

    @property
    def voters(self) -> int:
        """Size of the voter set."""
        return 2 * self.losses_borne + 1

    @property
    def peer_call_addresses(self) -> list[tuple[str, int]]:
        """Where the peers take calls: their own hosts, the deployment's port."""
        return [(split_address(peer)[0], self.calls_port) for peer in self.peers]
