"""Effects that a ledger replica returns to its driver, besides `Send`."""

from __future__ import annotations

import msgspec

from stileloom.ledger.commands import CommandResult
from stileloom.ledger.messages import Entry, HardState, SnapshotRecord


class Persist(msgspec.Struct, frozen=True):
    """A write to make durable; the driver then calls `LedgerReplica.persisted(write_id)`.

    Writes become durable in the order of their ids. After a crash any suffix of the unconfirmed
    writes may be lost.
    """

    write_id: int
    hard_state: HardState | None = None
    truncate_from: int | None = None
    """Remove entries from this index on before appending `entries`."""
    entries: list[Entry] = msgspec.field(default_factory=list)
    commit_index: int = 0
    """Entries up to this index are known to be committed."""
    snapshot: SnapshotRecord | None = None
    """Replaces the log up to its last index."""
    background: bool = False
    """Nothing depends on the snapshot: it may be written later, beside later writes."""
    first_blob: int = 0
    """Once the snapshot is durable, nothing reads the blob log before this position."""


class Applied(msgspec.Struct, frozen=True):
    """A command proposed at this replica was committed and applied."""

    ticket: object
    result: CommandResult


class Dropped(msgspec.Struct, frozen=True):
    """Leadership was lost; the command may or may not be committed."""

    ticket: object
