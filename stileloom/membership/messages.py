"""Messages and records of the membership protocol."""

from __future__ import annotations

import enum

import msgspec


class MemberState(enum.IntEnum):
    """State of a member at one incarnation; a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one node."""

    node_id: str
    zone: str
    region: str
    host: str
    port: int
    """TCP and UDP port of the internal protocol."""
    http_port: int
    incarnation: int
    """Set at the start of a process, raised by the node itself to refute a suspicion."""
    state: MemberState = MemberState.ALIVE
    leaving: bool = False
    """Sticks for the life of the process: it takes no new work."""
    voter: bool = False
    """Whether the node keeps a replica of the ledger."""


class Ping(msgspec.Struct, frozen=True, tag=True):
    """A probe; `updates` is gossip."""

    sequence: int
    updates: list[Member]


class Acknowledgement(msgspec.Struct, frozen=True, tag=True):
    """The answer to a probe, direct or relayed."""

    sequence: int
    updates: list[Member]


class PingRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks another member to probe `target` on the sender's behalf."""

    sequence: int
    target: str
    updates: list[Member]


class MembershipDigest(msgspec.Struct, frozen=True, tag=True):
    """A hash over a member table; sent between zones, answered only on difference."""

    digest: int


class MembershipTable(msgspec.Struct, frozen=True, tag=True):
    """A whole member table; `reply_wanted` asks for the other side's table."""

    members: list[Member]
    reply_wanted: bool
