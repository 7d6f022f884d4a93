"""What the leader knows of a follower or learner, and how it feeds it."""

from __future__ import annotations

import enum

import msgspec


class FollowerState(enum.Enum):
    """How the leader feeds a follower (as in etcd's raft: probe, replicate, snapshot)."""

    REPLICATE = "replicate"
    """Entries go out as they come, without waiting for answers."""
    PROBE = "probe"
    """Where the logs meet is not known: one empty request at a time looks for it."""
    SNAPSHOT = "snapshot"
    """A snapshot is on its way; nothing else but heartbeats goes out."""


class FollowerProgress(msgspec.Struct):
    """What the leader knows of a follower or learner."""

    next_index: int
    match_index: int = 0
    state: FollowerState = FollowerState.REPLICATE
    awaited_nonce: int = 0
    """Only the answer to this request ends a probe or a snapshot."""
    snapshot_sent_at: float = float("-inf")
    silent: bool = False
    """Whether it was told that this follower does not answer."""
    last_heard_at: float = float("-inf")
