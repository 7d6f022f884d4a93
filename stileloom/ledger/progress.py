"""Replication progress of followers and learners, as tracked by the leader."""

from __future__ import annotations

import enum

import msgspec


class FollowerState(enum.Enum):
    """Replication mode of a follower (as in etcd's raft: probe, replicate, snapshot)."""

    REPLICATE = "replicate"
    """Entries are pipelined without waiting for replies."""
    PROBE = "probe"
    """The last common entry is unknown; one empty request at a time searches for it."""
    SNAPSHOT = "snapshot"
    """A snapshot is in transit; only heartbeats are sent."""


class FollowerProgress(msgspec.Struct):
    """Replication progress of one follower or learner."""

    next_index: int
    match_index: int = 0
    state: FollowerState = FollowerState.REPLICATE
    expected_nonce: int = 0
    """Only the reply with this nonce ends the probe or snapshot mode."""
    snapshot_sent_at: float = float("-inf")
    unresponsive: bool = False
    """Whether the follower was logged as unresponsive."""
    last_contact_at: float = float("-inf")
