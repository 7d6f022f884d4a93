"""Messages of the configuration protocol.

The leader issues leases to readers (grants), and readers issue leases to nodes (renewals). The
holder requests each lease with a nonce and counts its duration, on its own clock, from the time
it sent the request. A node that learns of a newer revision pulls the configuration.
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
    """Lowest of the reader's revision and those of all nodes with a lease from it.

    0 if leases from an earlier term as reader may still be valid.
    """


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
    """The reader's revision; `lease_s` is 0 if the node's own revision is older."""

    nonce: int
    revision: int
    machines_digest: int
    in_force: int
    lease_s: float
    leader: str
    """The ledger leader known to the reader; empty if unknown."""
    epoch: int


class RevisionNotice(msgspec.Struct, frozen=True, tag=True):
    """Sent by a reader that adopted a new revision, so that nodes pull it."""

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
