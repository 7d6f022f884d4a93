"""What a replica begins with: what its disk holds, or a ledger without history."""

from __future__ import annotations

import msgspec

from stileloom.ledger.commands import StartEpoch, Voter
from stileloom.ledger.messages import Entry, HardState, SnapshotRecord
from stileloom.ledger.state import LedgerState


class RecoveredLedger(msgspec.Struct):
    """What a replica finds on its disk, or a fresh start."""

    hard_state: HardState
    snapshot: SnapshotRecord
    entries: list[Entry]
    commit_index: int = 0
    """Entries up to here are known to be committed."""


def fresh_ledger(voters: list[Voter]) -> RecoveredLedger:
    """A ledger without history; `voters` is the first voter set, the same on every node."""
    state = LedgerState(voters=voters)
    snapshot = SnapshotRecord(0, 0, voters, msgspec.msgpack.encode(state))
    return RecoveredLedger(HardState(0, None), snapshot, [])


def without_state(snapshot: SnapshotRecord) -> SnapshotRecord:
    """What the log needs of a snapshot: its state stands on disk and in the applied state."""
    return msgspec.structs.replace(snapshot, state=b"")


def last_leader(recovered: RecoveredLedger, state: LedgerState) -> str:
    """Who led when the disk was written last, if it is sure of that; else empty.

    Each leader begins with `StartEpoch`. With a later epoch on disk than in the log somebody
    else may have been answered since. `state` is that of the committed entries.
    """
    last_epoch = recovered.entries[-1].epoch if recovered.entries else recovered.snapshot.last_epoch
    if recovered.hard_state.epoch != last_epoch:
        return ""
    starts = [e.command for e in recovered.entries if isinstance(e.command, StartEpoch)]
    return starts[-1].leader if starts else state.last_leader
