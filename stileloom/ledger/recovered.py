"""Initial state of a replica: recovered from disk, or an empty ledger."""

from __future__ import annotations

import msgspec

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


def empty_ledger(voters: list[Voter]) -> RecoveredLedger:
    """An empty ledger; `voters` is the initial voter set, identical on every node."""
    state = LedgerState(voters=voters)
    snapshot = SnapshotRecord(0, 0, voters, msgspec.msgpack.encode(state))
    return RecoveredLedger(HardState(0, None), snapshot, [])


def without_state(snapshot: SnapshotRecord) -> SnapshotRecord:
    """The snapshot's metadata only; the state itself is on disk and in `LedgerReplica.state`."""
    return msgspec.structs.replace(snapshot, state=b"")


def last_leader(recovered: RecoveredLedger, state: LedgerState) -> str:
    """The leader when the disk was last written; empty if it cannot be determined.

    Each leader's first entry is `StartEpoch`. If the epoch on disk is later than that of the last
    entry, this replica may have confirmed a different leader since. `state` is the state after
    the committed entries.
    """
    last_epoch = recovered.entries[-1].epoch if recovered.entries else recovered.snapshot.last_epoch
    if recovered.hard_state.epoch != last_epoch:
        return ""
    starts = [e.command for e in recovered.entries if isinstance(e.command, StartEpoch)]
    return starts[-1].leader if starts else state.last_leader
