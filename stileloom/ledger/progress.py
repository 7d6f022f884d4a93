"""Replication progress of followers and learners, as tracked by the leader."""

from __future__ import annotations

import enum

import msgspec

from stileloom import constants
from stileloom.ledger.snapshot_transfer import OutgoingSnapshot


class FollowerState(enum.Enum):
    """Replication mode of a follower (as in etcd's raft: probe, replicate, snapshot)."""

    REPLICATE = "replicate"
    """Entries are pipelined without waiting for replies."""
    PROBE = "probe"
    """The last common entry is unknown; one empty request at a time searches for it."""
    SNAPSHOT = "snapshot"
    """A snapshot is sent in pieces, and heartbeats between them."""


class FollowerProgress(msgspec.Struct):
    """Replication progress of one follower or learner."""

    next_index: int
    match_index: int = 0
    state: FollowerState = FollowerState.REPLICATE
    probed_index: int | None = None
    """The `previous_index` of the probe in progress."""
    first_probe_nonce: int | None = None
    """Nonce of the first probe at `probed_index`; replies to earlier requests end no probe."""
    transfer: OutgoingSnapshot | None = None
    """The snapshot in transit; None except in snapshot mode."""
    received: int = 0
    """Size of the pieces that the follower has received."""
    piece_nonce: int = 0
    """Nonce of the last piece sent."""
    piece_sent_at: float = float("-inf")
    unresponsive: bool = False
    """Whether the follower was logged as unresponsive."""
    last_contact_at: float = float("-inf")

    def start_replication(self, next_index: int) -> None:
        """Enters replicate mode; the logs match up to the entry before `next_index`."""
        self.state = FollowerState.REPLICATE
        self.next_index = next_index
        self.transfer = None

    def start_transfer(self, transfer: OutgoingSnapshot) -> None:
        """Enters snapshot mode."""
        self.state = FollowerState.SNAPSHOT
        self.transfer = transfer
        self.received = 0

    def start_probe(self) -> None:
        """Enters probe mode; replies to requests sent so far no longer count."""
        self.state = FollowerState.PROBE
        self.transfer = None
        self.probed_index = None
        self.first_probe_nonce = None

    def is_responsive(self, now: float) -> bool:
        """Whether the follower replied recently."""
        return now < self.last_contact_at + constants.FOLLOWER_RESPONSE_TIMEOUT_S

    def keeps_transfer(self, now: float) -> bool:
        """Whether a transfer continues once the follower replies again."""
        if self.state is not FollowerState.SNAPSHOT:
            return False
        return now < self.last_contact_at + constants.SNAPSHOT_HOLD_S
