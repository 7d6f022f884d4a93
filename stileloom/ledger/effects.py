"""What a ledger replica asks its driver to do, beside sending."""

from __future__ import annotations

import msgspec

from stileloom.ledger.commands import CommandResult
from stileloom.ledger.messages import Entry, HardState, SnapshotRecord


class Persist(msgspec.Struct, frozen=True):
    """Make this durable, then call `LedgerReplica.persisted(write_id)`.

    Writes are made durable in the order of their ids. After a crash any suffix of the
    writes that were not confirmed may be lost.
    """

    write_id: int
    hard_state: HardState | None = None
    truncate_from: int | None = None
    """Drop entries at this index and above before adding `entries`."""
    entries: list[Entry] = msgspec.field(default_factory=list)
    commit_index: int = 0
    """Entries up to here are known to be committed."""
    snapshot: SnapshotRecord | None = None
    """Replaces the log up to its last index."""


class Applied(msgspec.Struct, frozen=True):
    """A command proposed at this replica was committed and applied."""

    ticket: object
    result: CommandResult


class Dropped(msgspec.Struct, frozen=True):
    """Leadership was lost; whether the command will be committed is not known."""

    ticket: object
