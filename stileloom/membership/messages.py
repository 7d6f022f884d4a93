"""Messages and member records of the membership protocol."""

from __future__ import annotations

import enum

import msgspec


class MemberState(enum.IntEnum):
    """State of a member; within one incarnation a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Record of one node."""

    node_id: str
    zone: str
    region: str
    host: str
    port: int
    """TCP and UDP port of the internal protocol."""
    http_port: int
    incarnation: int
    """Set when the process starts; incremented by the node itself to refute a suspicion."""
    state: MemberState = MemberState.ALIVE
    leaving: bool = False
    """Whether the node takes no new work; permanent for the life of its process."""
    voter: bool = False
    """Whether the node hosts a ledger replica."""


class Ping(msgspec.Struct, frozen=True, tag=True):
    """A probe with piggybacked membership updates."""

    sequence: int
    updates: list[Member]


class Acknowledgement(msgspec.Struct, frozen=True, tag=True):
    """Response to a direct or relayed probe."""

    sequence: int
    updates: list[Member]


class PingRequest(msgspec.Struct, frozen=True, tag=True):
    """Requests an indirect probe of `target` on the sender's behalf."""

    sequence: int
    target: str
    updates: list[Member]


class MembershipDigest(msgspec.Struct, frozen=True, tag=True):
    """Hash of the sender's member table; answered only if the recipient's differs."""

    digest: int


class MembershipTable(msgspec.Struct, frozen=True, tag=True):
    """Some or all records of the sender's table; `reply_wanted` requests the recipient's table."""

    members: list[Member]
    reply_wanted: bool
