"""Messages between ledger replicas, and the records that they persist."""

from __future__ import annotations

import msgspec

from stileloom.ledger.commands import Command, CommandResult, Voter


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    epoch: int
    command: Command


class HardState(msgspec.Struct, frozen=True, tag=True):
    """Durable Raft state: the current epoch and the vote cast in it."""

    epoch: int
    voted_for: Voter | None


class SnapshotRecord(msgspec.Struct, frozen=True, tag=True):
    """The state at an index; replaces the log up to that index."""

    last_index: int
    last_epoch: int
    voters: list[Voter]
    first_blob: int
    """Position in the blob log before which the state refers to nothing."""
    blob_end: int
    """Position in the blob log up to which the state refers to it."""
    state: bytes
    """msgpack of `LedgerState`."""


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Requests a vote; with `trial` set, a pre-vote."""

    epoch: int
    candidate: Voter
    last_index: int
    last_epoch: int
    trial: bool
    handed_over: bool = False
    """The election was requested by the leader, so voters ignore the leader's lease."""


class HandOver(msgspec.Struct, frozen=True, tag=True):
    """The leader has stepped down and asks this follower to start an election now."""

    epoch: int


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to a vote request."""

    epoch: int
    voter: Voter
    granted: bool
    trial: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Entries from the leader; without entries it is a heartbeat."""

    epoch: int
    leader: Voter
    previous_index: int
    previous_epoch: int
    entries: list[Entry]
    commit_index: int
    nonce: int
    """Echoed in the reply, so that the leader can derive its lease from the send time."""


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to an append or snapshot request."""

    epoch: int
    follower: Voter
    success: bool
    match_index: int
    """With `success` the last matching durable index, else the `previous_index` to try next."""
    nonce: int


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """A piece of a snapshot for a follower whose next entry is compacted at the leader.

    The whole snapshot is its state, followed by the bytes of the blob log that the state refers to.
    """

    epoch: int
    leader: Voter
    snapshot: SnapshotRecord
    """With the piece in place of the state."""
    nonce: int
    transfer: int
    """Distinguishes the snapshots that a leader sends in one epoch."""
    offset: int
    """Position of the piece in the snapshot."""
    state_size: int
    """Size of the state, in bytes."""


class SnapshotReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to a piece of a snapshot, except the last: that one is answered once it is durable."""

    epoch: int
    follower: Voter
    transfer: int
    received: int
    """Size of the consecutive pieces received so far; the leader continues from there."""
    nonce: int


class LearnerHello(msgspec.Struct, frozen=True, tag=True):
    """Announces a replica outside the voter set."""

    learner: Voter
    answer_to: int = 0
    """`IdentityQuestion.number` that this replies to; 0 if unsolicited."""


class IdentityQuestion(msgspec.Struct, frozen=True, tag=True):
    """Asks a replica outside the voter set for its current disk identity."""

    number: int


class CommandForward(msgspec.Struct, frozen=True, tag=True):
    """A command from any node to the leader; `ticket` identifies it at the sender."""

    ticket: int
    command: Command


class CommandAnswer(msgspec.Struct, frozen=True, tag=True):
    """The result of an applied command, or None from a node that is not the leader."""

    ticket: int
    result: CommandResult | None
    leader: str
    """The leader known to the answering node; empty if unknown."""
