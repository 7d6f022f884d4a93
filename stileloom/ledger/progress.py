"""Replication progress of followers and learners, as tracked by the leader."""

from __future__ import annotations

import enum

import msgspec

from stileloom import constants


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
    probed_index: int | None = None
    """The `previous_index` of the probe in progress."""
    first_probe_nonce: int | None = None
    """Nonce of the first probe at `probed_index`; replies to earlier requests end no probe."""
    expected_nonce: int = 0
    """Only the reply with this nonce ends the snapshot mode."""
    snapshot_sent_at: float = float("-inf")
    unresponsive: bool = False
    """Whether the follower was logged as unresponsive."""
    last_contact_at: float = float("-inf")

    def start_probe(self) -> None:
        """Enters probe mode; replies to requests sent so far no longer count."""
        self.state = FollowerState.PROBE
        self.probed_index = None
        self.first_probe_nonce = None

    def is_responsive(self, now: float) -> bool:
        """Whether the follower replied recently."""
        return now < self.last_contact_at + constants.FOLLOWER_RESPONSE_TIMEOUT_S
