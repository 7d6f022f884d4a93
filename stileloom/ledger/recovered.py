"""Initial state of a replica: recovered from disk, or an empty ledger."""

from __future__ import annotations

import msgspec

from stileloom.blobs import BlobLog, MemoryBlobLog
from stileloom.ledger.commands import StartEpoch, Voter
from stileloom.ledger.messages import Entry, HardState, SnapshotRecord
from stileloom.ledger.state import LedgerState


class RecoveredLedger(msgspec.Struct):
    """Persistent state that a replica starts from."""

    hard_state: HardState
    snapshot: SnapshotRecord
    entries: list[Entry]
    commit_index: int = 0
    """Entries up to this index are known to be committed."""
    blobs: BlobLog = msgspec.field(default_factory=MemoryBlobLog)
    """Holds what the snapshot refers to; the replica writes on from there."""


def empty_ledger(voters: list[Voter]) -> RecoveredLedger:
    """An empty ledger; `voters` is the initial voter set, identical on every node."""
    state = LedgerState(voters=voters)
    snapshot = SnapshotRecord(0, 0, voters, 0, 0, msgspec.msgpack.encode(state))
    return RecoveredLedger(HardState(0, None), snapshot, [])


def decode_state(snapshot: SnapshotRecord, blobs: BlobLog) -> LedgerState:
    """The state of a snapshot; what it refers to is in the blob log."""
    state = msgspec.msgpack.decode(snapshot.state, type=LedgerState)
    state.job_book.attach_blobs(blobs)
    return state


def without_state(snapshot: SnapshotRecord) -> SnapshotRecord:
    """The snapshot's metadata only; the state itself is on disk and in `LedgerReplica.state`."""
    return msgspec.structs.replace(snapshot, state=b"")


def last_leader(recovered: RecoveredLedger, state: LedgerState) -> str:
    """The leader of the epoch on disk; empty if the disk does not determine it.

    Each leader's first entry is `StartEpoch`. If the epoch on disk is later than that of the last
    entry, this replica may have confirmed the lease of a leader whose entries it lacks. `state` is
    the state after the committed entries.
    """
    last_epoch = recovered.entries[-1].epoch if recovered.entries else recovered.snapshot.last_epoch
    if recovered.hard_state.epoch != last_epoch:
        return ""
    starts = [e.command for e in recovered.entries if isinstance(e.command, StartEpoch)]
    return starts[-1].leader if starts else state.last_leader
