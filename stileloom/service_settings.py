"""Settings of a gateway or ledger node, loaded from TOML with strict validation.

Time limits are settings because they depend on the deployment.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from stileloom.jobs.job_admission import ResourceLimits
from stileloom.settings_file import Address, LogSettings, Name, split_address
from stileloom.switches import Switches

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class TimeBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time limits of the deployment, in seconds."""

    sampler_drain_s: Positive = 2.0
    """Time after a sampler is listed as leaving by which it receives no more requests."""
    configuration_s: Positive = 2.0
    """Time after a configuration is stored by which it is in force."""
    stop_grace_s: Positive = 8.0
    """Time within which a stopped process must exit."""
    order_lease_s: NotNegative = 3.0
    """Minimum time between orders of different holders to one sampler."""
    job_retention_s: Positive = 120.0
    """Time after submission of a job for which its results stay readable."""


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Gateway: treatment of callers."""

    limited: bool = False
    """Whether connections of callers are limited (`callers/limits.py`)."""


class DutySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator's service to which one node at a time makes calls."""

    address: Address
    calls_per_s: Positive = 10.0
    """Calls per second that the service takes from all nodes together."""
    usage_window_s: NotNegative = 0.0
    """Length of the windows of usage reports; 0 disables the reports."""
    orders_capacity: bool = True
    """Whether samplers are ordered for services with `autoscale`."""
    usage_due_s: Positive = 10.0
    """Time after the end of a window by which its report is due."""


class ServiceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a gateway or ledger node."""

    node_id: Name
    zone: str
    host: str
    """IP address to advertise, and to listen on unless `bind_host` is set."""
    store: Address
    """Address of the object store."""
    bind_host: str = ""
    """Ledger node: IP address to listen on if it differs from `host` (behind NAT)."""
    peers: list[Address] = msgspec.field(default_factory=list)
    """Initial addresses of ledger nodes; may be stale."""
    front: str = ""
    """Gateway: listen address for callers."""
    ready: str = ""
    """Gateway: listen address of the readiness endpoint."""
    ledger: str = ""
    """Ledger node: advertised address for other replicas."""
    calls_port: int = 0
    """Ledger node: port for gateway calls; the same on all ledger nodes."""
    metrics_port: int = 0
    """Port of `GET /metrics`; 0 disables it."""
    data_folder: str = ""
    """Ledger node: data directory."""
    first_start: bool = False
    """Whether this is the first start of the deployment, with empty disks."""
    losses_borne: Annotated[int, msgspec.Meta(ge=0, le=4)] = 1
    """Number of simultaneous ledger node failures to tolerate (f); the voter set has 2f + 1."""
    bounds: TimeBounds = TimeBounds()
    limits: ResourceLimits = ResourceLimits()
    """Ledger node: memory and disk of the machine, for the admission of jobs. Gateway: memory and
    descriptors, for the limits on callers."""
    callers: CallerSettings = CallerSettings()
    duties: DutySettings | None = None
    """None if there is no such service."""
    switches: Switches = Switches()
    log: LogSettings = LogSettings()

    @property
    def listen_host(self) -> str:
        """IP address to listen on."""
        return self.bind_host or self.host

    @property
    def usage_window_s(self) -> float:
        """Length of the windows of usage reports; 0 if there are none."""
        return self.duties.usage_window_s if self.duties is not None else 0.0

    @property
    def voters(self) -> int:
        """Number of nodes in the voter set."""
        return 2 * self.losses_borne + 1

    @property
    def peer_call_addresses(self) -> list[tuple[str, int]]:
        """Call addresses of the peers: their hosts with `calls_port`."""
        return [(split_address(peer)[0], self.calls_port) for peer in self.peers]
