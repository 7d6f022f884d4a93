"""Messages of the configuration protocol.

Leases flow from the leader to readers (grants) and from readers to nodes (renewals). The
receiver requests each lease with a nonce and counts its duration from the time of the request on
its own clock. Configurations are pulled when revisions differ.
"""

from __future__ import annotations

import msgspec

from stileloom.api.objects import Configuration, Machine


class GrantRequest(msgspec.Struct, frozen=True, tag=True):
    """Sent by a reader to the leader: requests a lease to serve `revision`."""

    nonce: int
    zone: str
    revision: int
    """Highest revision held by the reader; 0 if none."""
    confirmed: int
    """Lowest revision held by the reader and by all nodes with a lease from it."""


class GrantReply(msgspec.Struct, frozen=True, tag=True):
    """Lease issued by the leader. A reader whose revision is below `floor` must not serve."""

    nonce: int
    floor: int
    floor_holder: str
    """A reader that holds at least the floor revision and can be pulled from; empty if none."""
    in_force: int
    """Highest revision known to be in force in every zone; 0 if not known."""
    lease_s: float
    epoch: int


class RenewRequest(msgspec.Struct, frozen=True, tag=True):
    """Sent by a node to a reader of its zone: requests a configuration lease."""

    nonce: int
    revision: int
    machines_digest: int
    starting: bool
    """Whether the node holds no revision; the reader must then first renew its own grant."""


class RenewReply(msgspec.Struct, frozen=True, tag=True):
    """The reader's revision, and a lease if the node already holds it (otherwise 0 seconds)."""

    nonce: int
    revision: int
    machines_digest: int
    in_force: int
    lease_s: float
    leader: str
    """The ledger leader known to the reader; empty if unknown."""
    epoch: int


class RevisionNotice(msgspec.Struct, frozen=True, tag=True):
    """Sent by a reader that adopted a new revision, for nodes to pull."""

    revision: int


class ConfigurationPull(msgspec.Struct, frozen=True, tag=True):
    """Requests the complete configuration."""


class ConfigurationReply(msgspec.Struct, frozen=True, tag=True):
    """The complete configuration at the sender's revision."""

    configuration: Configuration


class MachinesPull(msgspec.Struct, frozen=True, tag=True):
    """Requests the machine list."""


class MachinesReply(msgspec.Struct, frozen=True, tag=True):
    """The machine list last fetched by the reader."""

    digest: int
    machines: list[Machine]
