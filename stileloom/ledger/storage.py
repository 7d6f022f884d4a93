"""Files of a ledger replica: an append-only journal and the newest snapshot.

The journal is a sequence of records, each a length, a 64-bit hash and a msgpack body. A record
that is truncated or does not match its hash ends the journal: the process or the machine stopped
during the write, so the record was never reported as durable. A snapshot is written to a
temporary file, synced and renamed; the journal is then rewritten. Until then the journal also holds
entries that the snapshot covers; recovery ignores them. What the state refers to is in the segments
of the blob log, which are synced before a snapshot and removed after it.

Writes may fail temporarily, for example on a full disk. A failed write is truncated from the
journal and may be retried: its entries replace those at the same indexes.
"""

from __future__ import annotations

import os
import struct
from pathlib import Path

import msgspec
import xxhash

from stileloom.blobs.files import FileBlobLog
from stileloom.ledger.commands import Voter
from stileloom.ledger.effects import Persist
from stileloom.ledger.messages import Entry, HardState, SnapshotRecord
from stileloom.ledger.recovered import RecoveredLedger

RECORD_HEADER = struct.Struct(">IQ")
BINARY_HEADER = struct.Struct(">BI")
BINARY_32 = 0xC6
"""msgpack type of binary data with a 32-bit length."""
JOURNAL_NAME = "journal"
SNAPSHOT_NAME = "snapshot"
IDENTITY_NAME = "disk-id"


class AppendRecord(msgspec.Struct, frozen=True, tag=True):
    """Entries appended after removing those from `truncate_from` on."""

    truncate_from: int | None
    entries: list[Entry]
    commit_index: int = 0
    """Entries up to this index were known to be committed at the time of the write."""


class IdentityRecord(msgspec.Struct, frozen=True):
    """The voter that this disk belongs to."""

    voter: Voter


_JOURNAL_DECODER = msgspec.msgpack.Decoder(HardState | AppendRecord)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(SnapshotRecord)


class LedgerDamaged(Exception):
    """Files that were durable are missing or too short; this disk's record of votes is void."""


class LedgerStorage:
    """The files in one data folder. Calls block; the driver runs them in a thread."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.blobs = FileBlobLog(folder)
        self._hard_state = HardState(0, None)
        self._entries: list[Entry] = []
        self._commit_index = 0
        self._synced_commit_index = 0
        """Commit index in the synced records of the journal."""
        self._journal: int | None = None
        self._journal_bytes = 0
        """Total length of the synced records of the journal."""
        self._journal_name_synced = False
        """Whether the folder was synced since the journal's file was created or renamed."""

    # Identity.

    def read_identity(self) -> Voter | None:
        """The voter that this disk belongs to, or None at the first start."""
        path = self._folder / IDENTITY_NAME
        if not path.exists():
            return None
        return msgspec.json.decode(path.read_bytes(), type=IdentityRecord).voter

    def write_identity(self, voter: Voter) -> None:
        """Writes the identity; it is durable on return."""
        self._replace(IDENTITY_NAME, msgspec.json.encode(IdentityRecord(voter)))

    # Recovery.

    def recover(self) -> RecoveredLedger | None:
        """The persisted ledger, or None if there is none yet. Raises `LedgerDamaged`."""
        path = self._folder / SNAPSHOT_NAME
        if not path.exists():
            return None
        snapshot = _SNAPSHOT_DECODER.decode(path.read_bytes())
        if not self.blobs.covers(snapshot.first_blob, snapshot.blob_end):
            raise LedgerDamaged(f"bytes {snapshot.first_blob} to {snapshot.blob_end} are missing")
        self._replay_journal()
        self._entries = [entry for entry in self._entries if entry.index > snapshot.last_index]
        self._open_journal()
        return RecoveredLedger(
            self._hard_state, snapshot, list(self._entries), self._commit_index, self.blobs
        )

    def remove_all(self) -> None:
        """Removes a damaged ledger with its identity, as if the disk had been replaced."""
        # The identity first: with it and without its votes, this disk would vote again.
        for name in (IDENTITY_NAME, SNAPSHOT_NAME, JOURNAL_NAME):
            (self._folder / name).unlink(missing_ok=True)
            self._sync_folder()
        self.blobs.remove_all()
        self._sync_folder()

    def _replay_journal(self) -> None:
        path = self._folder / JOURNAL_NAME
        data = path.read_bytes() if path.exists() else b""
        position = 0
        while position + RECORD_HEADER.size <= len(data):
            length, digest = RECORD_HEADER.unpack_from(data, position)
            start = position + RECORD_HEADER.size
            body = data[start : start + length]
            if len(body) < length or xxhash.xxh3_64_intdigest(body) != digest:
                break
            self._replay_record(_JOURNAL_DECODER.decode(body))
            position = start + length
        if position < len(data):
            with path.open("r+b") as journal:
                journal.truncate(position)
                os.fsync(journal.fileno())

    def _replay_record(self, record: HardState | AppendRecord) -> None:
        if isinstance(record, HardState):
            self._hard_state = record
            return
        self._add_entries(record)

    def _add_entries(self, record: AppendRecord) -> None:
        """Appends the record's entries; first removes those that it truncates or replaces."""
        starts = [record.truncate_from] if record.truncate_from is not None else []
        starts += [entry.index for entry in record.entries[:1]]
        if starts and self._entries and self._entries[-1].index >= min(starts):
            start = min(starts)
            self._entries = [entry for entry in self._entries if entry.index < start]
        self._entries.extend(record.entries)
        self._commit_index = max(self._commit_index, record.commit_index)

    # Writing.

    def initialize(self, recovered: RecoveredLedger) -> None:
        """Writes the initial snapshot."""
        self._replace(SNAPSHOT_NAME, *_encode_parts(recovered.snapshot))
        self._open_journal()
        recovered.blobs = self.blobs

    def write(self, writes: list[Persist]) -> None:
        """Makes writes durable in order, with a single sync if they contain no snapshot.

        Raises `OSError` if the disk rejects a write; the same writes may then be retried.
        """
        buffer = bytearray()
        for write in writes:
            if write.hard_state is not None:
                self._hard_state = write.hard_state
                buffer += _record(write.hard_state)
            has_changes = write.entries or write.commit_index > self._synced_commit_index
            if has_changes or write.truncate_from is not None:
                record = AppendRecord(write.truncate_from, write.entries, write.commit_index)
                self._add_entries(record)
                buffer += _record(record)
            if write.snapshot is not None:
                self._sync(buffer)
                buffer.clear()
                self.write_snapshot(write.snapshot, write.first_blob)
                self.drop_covered(write.snapshot)
        self._sync(buffer)
        if self.blobs.needs_flush():
            self.blobs.flush()

    def _sync(self, buffer: bytearray) -> None:
        if not buffer:
            return
        if self._journal is None:
            self._open_journal()
        assert self._journal is not None
        # Remove what an earlier failed write left after the synced records.
        os.ftruncate(self._journal, self._journal_bytes)
        _write_all(self._journal, buffer)
        os.fsync(self._journal)
        if not self._journal_name_synced:
            self._sync_folder()
            self._journal_name_synced = True
        self._journal_bytes += len(buffer)
        self._synced_commit_index = self._commit_index

    def write_snapshot(self, snapshot: SnapshotRecord, first_blob: int = 0) -> None:
        """Replaces the snapshot; may run beside `write` if that one writes no snapshot.

        Nothing reads the blob log before `first_blob` from then on.
        """
        self.blobs.sync()
        self._replace(SNAPSHOT_NAME, *_encode_parts(snapshot))
        self.blobs.discard_before(first_blob)

    def drop_covered(self, snapshot: SnapshotRecord) -> None:
        """Rewrites the journal with only the entries after a snapshot that is written."""
        kept = [entry for entry in self._entries if entry.index > snapshot.last_index]
        consecutive = bool(kept) and kept[0].index == snapshot.last_index + 1
        self._entries = kept if consecutive else []
        body = _record(self._hard_state) + _record(
            AppendRecord(None, self._entries, self._commit_index)
        )
        if self._journal is None:
            self._open_journal()
        assert self._journal is not None
        # Whichever file is there after a failure is opened again and must hold synced records only.
        os.ftruncate(self._journal, self._journal_bytes)
        self.close()
        self._replace(JOURNAL_NAME, body)
        self._open_journal()
        self._journal_name_synced = True

    def _open_journal(self) -> None:
        self.close()
        path = self._folder / JOURNAL_NAME
        self._journal = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._journal_bytes = os.fstat(self._journal).st_size
        self._journal_name_synced = False

    def _replace(self, name: str, *parts: bytes) -> None:
        """Atomically replaces a file: temporary file, sync, rename, sync of the folder."""
        temporary = self._folder / f"{name}.new"
        with temporary.open("wb") as file:
            for part in parts:
                file.write(part)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        """Closes the journal."""
        if self._journal is not None:
            os.close(self._journal)
            self._journal = None


def _record(record: HardState | AppendRecord) -> bytes:
    body = msgspec.msgpack.encode(record)
    return RECORD_HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body


def _encode_parts(snapshot: SnapshotRecord) -> tuple[bytes, bytes]:
    """The encoded snapshot in two parts, without a copy of the state."""
    empty_state = msgspec.msgpack.encode(b"")
    encoded = msgspec.msgpack.encode(msgspec.structs.replace(snapshot, state=b""))
    head = encoded.removesuffix(empty_state)
    assert len(head) < len(encoded), "the state must be the last field"
    return head + BINARY_HEADER.pack(BINARY_32, len(snapshot.state)), snapshot.state


def _write_all(descriptor: int, buffer: bytearray) -> None:
    view = memoryview(buffer)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]
