"""A replica's log in memory: snapshot metadata and the entries after the snapshot."""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.ledger.commands import ChangeVoters, Voter
from stileloom.ledger.messages import Entry, SnapshotRecord


class VoterChange(msgspec.Struct, frozen=True):
    """A voter set and the index of the entry that introduced it."""

    index: int
    voters: list[Voter]


class LedgerLog:
    """Entries by index; the snapshot covers everything up to `base_index`."""

    def __init__(self, snapshot: SnapshotRecord, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self._entries: list[Entry] = []
        self._sizes: list[int] = []
        """Approximate memory of each entry, in bytes."""
        self._voter_changes: list[VoterChange] = []
        self.append(entries)

    @property
    def base_index(self) -> int:
        """The last index that the snapshot covers."""
        return self.snapshot.last_index

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_epoch(self) -> int:
        """Epoch of the newest entry."""
        return self._entries[-1].epoch if self._entries else self.snapshot.last_epoch

    def __len__(self) -> int:
        return len(self._entries)

    def epoch_at(self, index: int) -> int | None:
        """Epoch of an entry, or None if the entry is compacted or does not exist yet."""
        if index == self.base_index:
            return self.snapshot.last_epoch
        if index < self.base_index or index > self.last_index:
            return None
        return self._entries[index - self.base_index - 1].epoch

    def entry(self, index: int) -> Entry:
        """The entry at an index above `base_index`."""
        return self._entries[index - self.base_index - 1]

    def after(
        self, index: int, limit: int, max_bytes: int = constants.APPEND_BATCH_BYTES
    ) -> list[Entry]:
        """Up to `limit` entries after `index`; several of them have at most `max_bytes`."""
        start = index - self.base_index
        total, count = 0, 0
        for size in self._sizes[start : start + limit]:
            total += size
            if count and total > max_bytes:
                break
            count += 1
        return self._entries[start : start + count]

    def bytes_after(self, index: int) -> int:
        """Approximate memory of the entries after `index`, in bytes."""
        return sum(self._sizes[index - self.base_index :])

    def append(self, entries: list[Entry]) -> None:
        """Appends entries that directly follow the last one."""
        self._entries.extend(entries)
        self._sizes.extend(map(_memory_size, entries))
        self._voter_changes += [
            VoterChange(entry.index, entry.command.voters)
            for entry in entries
            if isinstance(entry.command, ChangeVoters)
        ]

    def truncate_from(self, index: int) -> None:
        """Removes the entry at `index` and all later ones."""
        del self._entries[index - self.base_index - 1 :]
        del self._sizes[index - self.base_index - 1 :]
        self._voter_changes = [change for change in self._voter_changes if change.index < index]

    def missing(self, entries: list[Entry]) -> list[Entry]:
        """The entries from the first one on that the log lacks or holds with another epoch."""
        for position, entry in enumerate(entries):
            if entry.index > self.base_index and self.epoch_at(entry.index) != entry.epoch:
                return entries[position:]
        return []

    def conflict_hint(self, previous: int, commit_index: int) -> int:
        """The `previous_index` that the leader should try after it differed at `previous`.

        The index before the first entry of the conflicting epoch, but not below the commit index.
        """
        hint = min(previous - 1, self.last_index)
        conflicting = self.epoch_at(previous)
        while hint > commit_index and self.epoch_at(hint) == conflicting:
            hint -= 1
        return max(hint, commit_index)

    def compact(self, snapshot: SnapshotRecord) -> None:
        """Replaces the log up to the snapshot's last index with the snapshot."""
        keep_from = snapshot.last_index - self.base_index
        matches = self.epoch_at(snapshot.last_index) == snapshot.last_epoch
        self._entries = self._entries[keep_from:] if matches else []
        self._sizes = self._sizes[keep_from:] if matches else []
        kept = self._voter_changes if matches else []
        self._voter_changes = [change for change in kept if change.index > snapshot.last_index]
        self.snapshot = snapshot

    def voters_at(self, index: int) -> list[Voter]:
        """The voter set in effect at `index`."""
        for change in reversed(self._voter_changes):
            if change.index <= index:
                return change.voters
        return self.snapshot.voters

    @property
    def voters_before_change(self) -> list[Voter]:
        """The voter set before the newest change in the log."""
        if not self._voter_changes:
            return self.snapshot.voters
        return self.voters_at(self._voter_changes[-1].index - 1)

    @property
    def voters(self) -> list[Voter]:
        """The voter set in effect: the newest one in the log, whether committed or not."""
        return self.voters_at(self.last_index)


def _memory_size(entry: Entry) -> int:
    return len(msgspec.msgpack.encode(entry)) + constants.ENTRY_OVERHEAD_BYTES
