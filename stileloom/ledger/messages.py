"""Messages between ledger replicas, and the records they keep on disk."""

from __future__ import annotations

import msgspec

from stileloom.ledger.commands import Command, CommandResult, Voter


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    epoch: int
    command: Command


class HardState(msgspec.Struct, frozen=True, tag=True):
    """What a replica must never forget: its epoch and whom it voted for in it."""

    epoch: int
    voted_for: Voter | None


class SnapshotRecord(msgspec.Struct, frozen=True, tag=True):
    """The state up to an index, in place of the log before it."""

    last_index: int
    last_epoch: int
    voters: list[Voter]
    state: bytes
    """msgpack of `LedgerState`."""


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for a vote; with `trial` only whether one would be given (pre-vote)."""

    epoch: int
    candidate: Voter
    last_index: int
    last_epoch: int
    trial: bool
    handed_over: bool = False
    """The leader itself has asked for the election: its lease stands in nobody's way."""


class HandOver(msgspec.Struct, frozen=True, tag=True):
    """The leader stops and asks this follower to be elected now."""

    epoch: int


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a vote request."""

    epoch: int
    voter: Voter
    granted: bool
    trial: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Entries from the leader; empty as a heartbeat."""

    epoch: int
    leader: Voter
    previous_index: int
    previous_epoch: int
    entries: list[Entry]
    commit_index: int
    nonce: int
    """Ties the reply to the time of sending, for the leader's lease."""


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """What the follower has on disk after an append request."""

    epoch: int
    follower: Voter
    success: bool
    match_index: int
    """With `success` the last index known equal and durable, else where to try next."""
    nonce: int


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """A snapshot for a follower whose next entry the leader has compacted away."""

    epoch: int
    leader: Voter
    snapshot: SnapshotRecord
    nonce: int


class LearnerHello(msgspec.Struct, frozen=True, tag=True):
    """A replica outside the voter set asks the leader for the log."""

    learner: Voter
    answer_to: int = 0
    """The number of the `IdentityQuestion` that this answers; 0 where it answers none."""


class IdentityQuestion(msgspec.Struct, frozen=True, tag=True):
    """Asks a replica outside the voter set which disk it has now."""

    number: int


class CommandForward(msgspec.Struct, frozen=True, tag=True):
    """A command from any node to the leader; `ticket` is the sender's."""

    ticket: int
    command: Command


class CommandAnswer(msgspec.Struct, frozen=True, tag=True):
    """The applied result, or None where the receiver is not the leader."""

    ticket: int
    result: CommandResult | None
    leader: str
    """Who leads as far as the receiver knows; empty where it does not."""
