"""A simulated disk: writes become durable in order, a crash loses those that are not."""

from __future__ import annotations

import copy

from stileloom.blobs import MemoryBlobLog
from stileloom.ledger.commands import Voter
from stileloom.ledger.effects import Persist
from stileloom.ledger.messages import Entry, HardState, SnapshotRecord
from stileloom.ledger.recovered import RecoveredLedger

BACKGROUND_WRITES = 20
"""Writes that become durable while a snapshot is written beside them."""


class SimulatedDisk:
    """What a node has on its disk."""

    def __init__(self, identity: Voter, ledger: RecoveredLedger) -> None:
        self.identity = identity
        self._hard_state = ledger.hard_state
        self._snapshot = ledger.snapshot
        self._entries: list[Entry] = list(ledger.entries)
        self._commit_index = ledger.commit_index
        blobs = copy.deepcopy(ledger.blobs)
        assert isinstance(blobs, MemoryBlobLog)
        self._blobs = blobs
        self._pending: list[Persist] = []
        self._background: Persist | None = None
        """A snapshot that is being written beside the journal; a crash loses it."""

    def submit(self, write: Persist) -> None:
        """A write is on its way."""
        self._pending.append(write)

    def complete(self, write_id: int) -> None:
        """Every write up to this one is durable."""
        while self._pending and self._pending[0].write_id <= write_id:
            self._apply(self._pending.pop(0))
        background = self._background
        if background is not None and write_id >= background.write_id + BACKGROUND_WRITES:
            self._finish_background()

    def crash(self, landed: int) -> None:
        """The process dies; only the first `landed` of the pending writes reached the disk."""
        for write in self._pending[:landed]:
            self._apply(write)
        self._pending.clear()
        self._background = None
        self._blobs.truncate(self._snapshot.blob_end)

    @property
    def pending_count(self) -> int:
        """Writes that are not durable yet."""
        return len(self._pending)

    def recover(self) -> RecoveredLedger:
        """What a new process finds."""
        return RecoveredLedger(
            self._hard_state,
            self._snapshot,
            list(self._entries),
            self._commit_index,
            self._blobs,
        )

    def _apply(self, write: Persist) -> None:
        if write.hard_state is not None:
            self._hard_state = HardState(write.hard_state.epoch, write.hard_state.voted_for)
        if write.truncate_from is not None:
            limit = write.truncate_from
            self._entries = [entry for entry in self._entries if entry.index < limit]
        self._entries.extend(write.entries)
        self._commit_index = max(self._commit_index, write.commit_index)
        if write.snapshot is None:
            return
        self._finish_background()
        if write.background:
            self._background = write
        else:
            self._replace_snapshot(write.snapshot, write.first_blob)

    def _finish_background(self) -> None:
        if self._background is not None and self._background.snapshot is not None:
            self._replace_snapshot(self._background.snapshot, self._background.first_blob)
        self._background = None

    def _replace_snapshot(self, snapshot: SnapshotRecord, first_blob: int) -> None:
        self._snapshot = snapshot
        self._blobs.discard_before(first_blob)
        kept = [entry for entry in self._entries if entry.index > snapshot.last_index]
        consecutive = bool(kept) and kept[0].index == snapshot.last_index + 1
        self._entries = kept if consecutive else []
