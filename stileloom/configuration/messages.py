"""Messages that carry the configuration from readers to nodes.

Three steps, each asked for by the receiver with a nonce, so that every lease counts from
the time of asking on the asker's own clock: leader -> reader (grant), reader -> node
(renewal), and whole configurations pulled on difference.
"""

from __future__ import annotations

import msgspec

from stileloom.api.objects import Configuration, Machine


class GrantRequest(msgspec.Struct, frozen=True, tag=True):
    """A reader asks the leader for the right to serve `revision` for a while."""

    nonce: int
    zone: str
    revision: int
    """Highest revision that the reader holds; 0 for none."""
    confirmed: int
    """Lowest revision held by any node with a lease from this reader, and by itself."""


class GrantReply(msgspec.Struct, frozen=True, tag=True):
    """The leader's grant. A reader whose revision is below `floor` may serve nothing."""

    nonce: int
    floor: int
    floor_holder: str
    """A reader that holds at least the floor, to pull from."""
    in_force: int
    """Highest revision known to be in force in every zone; 0 where not known yet."""
    lease_s: float
    epoch: int
    """The leader's epoch."""


class RenewRequest(msgspec.Struct, frozen=True, tag=True):
    """A node asks a reader of its zone for a configuration lease."""

    nonce: int
    revision: int
    machines_digest: int
    starting: bool
    """The node holds no revision: the reader must renew its own grant first."""


class RenewReply(msgspec.Struct, frozen=True, tag=True):
    """The reader's revision and a lease for a node that holds it."""

    nonce: int
    revision: int
    machines_digest: int
    in_force: int
    lease_s: float
    leader: str
    """Who leads the ledger as far as the reader knows; empty where it does not."""
    epoch: int


class RevisionNotice(msgspec.Struct, frozen=True, tag=True):
    """A reader has a new revision: renew now."""

    revision: int


class ConfigurationPull(msgspec.Struct, frozen=True, tag=True):
    """Asks for the whole configuration."""


class ConfigurationReply(msgspec.Struct, frozen=True, tag=True):
    """The whole configuration at the sender's revision."""

    configuration: Configuration


class MachinesPull(msgspec.Struct, frozen=True, tag=True):
    """Asks for the machine list."""


class MachinesReply(msgspec.Struct, frozen=True, tag=True):
    """The machine list as the reader last saw it."""

    digest: int
    machines: list[Machine]
