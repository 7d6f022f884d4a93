"""Snapshots and journals: what a restart finds after rare orders of events."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import random
import shutil
import stat
import tempfile
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, BinaryIO
from unittest import mock

import msgspec
import testtools
from prometheus_client import CollectorRegistry

from stileloom import constants
from stileloom.blobs import MemoryBlobLog
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.jobs.metrics import JobMetrics
from stileloom.ledger import LedgerReplica, Persist, empty_ledger
from stileloom.ledger.commands import RaiseConfigurationFloor, Voter
from stileloom.ledger.messages import (
    AppendRequest,
    Entry,
    HardState,
    SnapshotRecord,
    SnapshotRequest,
)
from stileloom.ledger.recovered import RecoveredLedger
from stileloom.ledger.snapshot_transfer import IncomingSnapshot
from stileloom.ledger.storage import SNAPSHOT_NAME, LedgerStorage
from stileloom.ledger.wire import Sender
from stileloom.logging import EventLog

VOTERS = [Voter(name, f"disk-{name}") for name in ("a", "b", "c")]
TIMEOUT_S = 30.0


def entries(first: int, last: int) -> list[Entry]:
    """Simple entries."""
    return [Entry(n, 1, RaiseConfigurationFloor(n)) for n in range(first, last + 1)]


def snapshot(last_index: int) -> SnapshotRecord:
    """A snapshot of an empty state."""
    return SnapshotRecord(last_index, 1, VOTERS, 0, 0, empty_ledger(VOTERS).snapshot.state)


class DurableFolder:
    """What is on disk after a loss of power: only synced contents under synced names."""

    def __init__(self, folder: Path, check: Callable[[], None]) -> None:
        self.folder = folder
        self.fail_at = -1
        self.steps = 0
        self._check = check
        self._checking = False
        self._contents: dict[int, bytes] = {}
        self._names: dict[str, int] = {}
        self._replaced: list[BinaryIO] = []
        self._fsync, self._write, self._rename = os.fsync, os.write, Path.rename
        self._ftruncate = os.ftruncate

    def patches(self) -> list[Any]:
        """Replacements of the calls that change files."""
        return [
            mock.patch("os.fsync", self._sync),
            mock.patch("os.write", self._write_and_check),
            mock.patch("os.ftruncate", self._truncate),
            mock.patch.object(Path, "rename", lambda *names: self._rename_and_check(*names)),
        ]

    def close(self) -> None:
        """Closes the files that were replaced."""
        for file in self._replaced:
            file.close()

    def copy_durable(self, target: Path) -> None:
        """Copies what a loss of power leaves."""
        target.mkdir()
        for name, inode in self._names.items():
            (target / name).write_bytes(self._contents.get(inode, b""))

    def copy_current(self, target: Path) -> None:
        """Copies what a kill of the process leaves."""
        shutil.copytree(self.folder, target)

    def _step(self) -> None:
        self.steps += 1
        self._run_check()
        if self.steps == self.fail_at:
            raise OSError(errno.EIO, "input/output error")

    def _run_check(self) -> None:
        self._checking = True
        try:
            self._check()
        finally:
            self._checking = False

    def _sync(self, descriptor: int) -> None:
        if self._checking:
            self._fsync(descriptor)
            return
        self._step()
        self._fsync(descriptor)
        if stat.S_ISDIR(os.fstat(descriptor).st_mode):
            files = [path for path in self.folder.iterdir() if path.is_file()]
            self._names = {path.name: path.stat().st_ino for path in files}
        else:
            path = Path(f"/proc/self/fd/{descriptor}")
            self._contents[os.fstat(descriptor).st_ino] = path.read_bytes()
        self._run_check()

    def _write_and_check(self, descriptor: int, data: bytes) -> int:
        self._write(descriptor, data[: len(data) // 2])
        self._step()
        return len(data) // 2 + self._write(descriptor, data[len(data) // 2 :])

    def _truncate(self, descriptor: int, length: int) -> None:
        self._step()
        self._ftruncate(descriptor, length)

    def _rename_and_check(self, path: Path, target: Path) -> Path:
        self._step()
        if target.exists():
            # Keeps its inode from being used again.
            self._replaced.append(target.open("rb"))
        renamed = self._rename(path, target)
        self._run_check()
        return renamed


class KilledAtEveryStepTest(testtools.TestCase):
    """A storage whose process is killed, or whose power is lost, between any two calls."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.scratch = Path(scratch.name)

    def run_with_failure(self, fail_at: int, rewrite: bool) -> int:
        """Checks one run in which the given call fails once; returns the number of calls.

        The rewrite of the journal may come between a write that failed and its repetition.
        """
        folder = self.scratch / f"run-{fail_at}-{rewrite}"
        storage = LedgerStorage(folder)
        acknowledged: dict[int, int] = {}
        in_progress: dict[int, int] = {}
        number = 0

        def check() -> None:
            nonlocal number
            for copy in (disk.copy_durable, disk.copy_current):
                number += 1
                target = self.scratch / f"copy-{fail_at}-{number}"
                copy(target)
                self.assert_recovers(target, acknowledged, in_progress)
                shutil.rmtree(target)

        def write(*writes: Persist) -> None:
            in_progress.clear()
            in_progress.update(acknowledged)
            for each in writes:
                if each.truncate_from is not None:
                    for index in [n for n in in_progress if n >= each.truncate_from]:
                        del in_progress[index]
                if each.snapshot is not None:
                    in_progress.update(dict.fromkeys(range(1, each.snapshot.last_index + 1), 0))
                in_progress.update({entry.index: entry.epoch for entry in each.entries})
            for _ in range(2):
                with contextlib.suppress(OSError):
                    storage.write(list(writes))
                    acknowledged.clear()
                    acknowledged.update(in_progress)
                    disk._run_check()
                    return
                if not rewrite or any(each.snapshot is not None for each in writes):
                    continue
                on_disk = self.last_snapshot(folder)
                self.assertTrue(in_background(storage.drop_covered, on_disk))
            raise AssertionError("a repeated write failed")

        def in_background(action: Callable[[SnapshotRecord], None], last_index: int) -> bool:
            with contextlib.suppress(OSError):
                action(snapshot(last_index))
                return True
            return False

        disk = DurableFolder(folder, lambda: None)
        with contextlib.ExitStack() as stack:
            for patch in disk.patches():
                stack.enter_context(patch)
            storage.initialize(empty_ledger(VOTERS))
            disk._check = check
            disk.steps, disk.fail_at = 0, fail_at
            write(Persist(1, entries=entries(1, 4)))
            written = in_background(storage.write_snapshot, 2)
            write(Persist(2, entries=entries(5, 6)))
            dropped = written and in_background(storage.drop_covered, 2)
            write(Persist(3, hard_state=HardState(2, None), entries=entries(7, 7)))
            if not dropped:
                self.assertTrue(in_background(storage.write_snapshot, 2))
                write(Persist(4, entries=entries(8, 8)))
                self.assertTrue(in_background(storage.drop_covered, 2))
            write(Persist(5, truncate_from=6, entries=[Entry(6, 2, entries(6, 6)[0].command)]))
            written = in_background(storage.write_snapshot, 6)
            dropped = written and in_background(storage.drop_covered, 6)
            if not dropped:
                self.assertTrue(in_background(storage.write_snapshot, 6))
                self.assertTrue(in_background(storage.drop_covered, 6))
            installed = Persist(6, truncate_from=21, snapshot=snapshot(20))
            write(installed, Persist(7, entries=entries(21, 22)))
            write(Persist(8, entries=entries(23, 23)))
        storage.close()
        disk.close()
        return disk.steps

    def last_snapshot(self, folder: Path) -> int:
        """Last index of the snapshot on disk."""
        record = msgspec.msgpack.decode((folder / SNAPSHOT_NAME).read_bytes(), type=SnapshotRecord)
        return record.last_index

    def assert_recovers(
        self, folder: Path, acknowledged: dict[int, int], in_progress: dict[int, int]
    ) -> None:
        """Checks that nothing acknowledged is missing, unless the write in progress removes it."""
        storage = LedgerStorage(folder)
        found = storage.recover()
        storage.close()
        assert found is not None
        first = found.snapshot.last_index + 1
        indexes = [entry.index for entry in found.entries]
        self.assertEqual(list(range(first, first + len(indexes))), indexes)
        epochs = {entry.index: entry.epoch for entry in found.entries}
        last = found.snapshot.last_index + len(indexes)
        least = min(max(acknowledged, default=0), max(in_progress, default=0))
        self.assertGreaterEqual(last, least)
        for index, epoch in epochs.items():
            allowed = {acknowledged.get(index, epoch), in_progress.get(index, epoch)}
            self.assertIn(epoch, allowed)

    def test_nothing_acknowledged_is_lost(self) -> None:
        """Guards against files that depend on each other and are not synced in that order."""
        steps = self.run_with_failure(-1, rewrite=False)
        self.assertGreater(steps, 30)
        for fail_at in range(1, steps + 1):
            self.run_with_failure(fail_at, rewrite=False)
            self.run_with_failure(fail_at, rewrite=True)


class BlobsKilledAtEveryStepTest(testtools.TestCase):
    """Snapshots that refer to a blob log, killed or without power between any two calls."""

    STEPS = 14
    BLOB_BYTES = 1000
    KEPT_BLOBS = 3

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.scratch = Path(scratch.name)
        segments = mock.patch("stileloom.blobs.files.SEGMENT_BYTES", 2 * self.BLOB_BYTES + 300)
        segments.start()
        self.addCleanup(segments.stop)
        self.copies = 0

    def bytes_at(self, first: int, end: int) -> bytes:
        """What is in the log: the number of each blob, repeated."""
        return bytes(position // self.BLOB_BYTES + 1 for position in range(first, end))

    def check(self, disk: DurableFolder) -> None:
        """Whatever snapshot is found, all that it refers to is there."""
        for copy in (disk.copy_durable, disk.copy_current):
            self.copies += 1
            target = self.scratch / f"copy-{self.copies}"
            copy(target)
            storage = LedgerStorage(target)
            found = storage.recover()
            assert found is not None
            first, end = found.snapshot.first_blob, found.snapshot.blob_end
            if end > first:
                self.assertEqual(self.bytes_at(first, end), storage.blobs.read(first, end - first))
            storage.close()
            storage.blobs.close()
            shutil.rmtree(target)

    def run_with_failure(self, fail_at: int) -> int:
        """Writes blobs and snapshots while the given call fails once; returns their number."""
        folder = self.scratch / f"run-{fail_at}"
        storage = LedgerStorage(folder)
        disk = DurableFolder(folder, lambda: None)
        with contextlib.ExitStack() as stack:
            for patch in disk.patches():
                stack.enter_context(patch)
            storage.initialize(empty_ledger(VOTERS))
            disk._check = lambda: self.check(disk)
            disk.steps, disk.fail_at = 0, fail_at
            for number in range(1, self.STEPS + 1):
                end = number * self.BLOB_BYTES
                storage.blobs.write(
                    end - self.BLOB_BYTES, self.bytes_at(end - self.BLOB_BYTES, end)
                )
                first = max(0, end - self.KEPT_BLOBS * self.BLOB_BYTES)
                record = msgspec.structs.replace(snapshot(number), first_blob=first, blob_end=end)
                write = Persist(number, snapshot=record, first_blob=first)
                with contextlib.suppress(OSError):
                    storage.write([write])
                    continue
                storage.write([write])
        segments = len(list(folder.glob("blobs-*")))
        self.assertLessEqual(segments, 3)
        storage.close()
        storage.blobs.close()
        disk.close()
        return disk.steps

    def test_a_snapshot_never_refers_to_bytes_that_are_not_durable(self) -> None:
        """Guards against results that are gone after a loss of power."""
        steps = self.run_with_failure(-1)
        self.assertGreater(steps, 50)
        for fail_at in range(1, steps + 1, 7):
            self.run_with_failure(fail_at)


class IncomingSnapshotTest(testtools.TestCase):
    """Memory of a follower that receives a snapshot."""

    def test_the_pieces_are_released_once_the_snapshot_is_complete(self) -> None:
        """Guards against a third copy of the state while the snapshot is decoded."""
        state, piece = bytes(40 * constants.SNAPSHOT_PIECE_BYTES), constants.SNAPSHOT_PIECE_BYTES
        record = msgspec.structs.replace(snapshot(600), state=b"")
        incoming = IncomingSnapshot(1, 7, MemoryBlobLog())
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        complete = None
        for offset in range(0, len(state), piece):
            part = msgspec.structs.replace(record, state=state[offset : offset + piece])
            request = SnapshotRequest(1, VOTERS[1], part, offset, 7, offset, len(state))
            complete = incoming.add(request)
        del part, request
        assert complete is not None
        self.assertEqual(state, complete.state)
        self.assertLess(tracemalloc.get_traced_memory()[0], 1.5 * len(state))


class RareOrderTest(testtools.TestCase):
    """Files of one follower."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)
        self.storage = LedgerStorage(self.folder)
        self.storage.initialize(empty_ledger(VOTERS))
        self.addCleanup(self.storage.close)

    def recovered(self) -> RecoveredLedger:
        """What a new process finds."""
        found = LedgerStorage(self.folder).recover()
        assert found is not None
        return found

    def driver(self) -> LedgerDriver:
        """The driver of a follower, without a network."""
        replica = LedgerReplica(VOTERS[0], empty_ledger(VOTERS), random.Random(1), 0.0)
        sender = Sender("a", "127.0.0.1", 1)
        metrics = JobMetrics(CollectorRegistry())
        return LedgerDriver(replica, self.storage, sender, [], EventLog("a"), metrics)

    def test_a_received_snapshot_outlasts_an_own_one_that_is_queued_before_it(self) -> None:
        """Guards against acknowledged entries that are dropped with a snapshot that is replaced.

        Held-up entries and a snapshot of the same leader arrive together.
        """
        own = constants.SNAPSHOT_AFTER_ENTRIES
        installed = own + 100

        async def run() -> None:
            driver = self.driver()
            leader = VOTERS[1]
            for first in range(1, own + 1, constants.APPEND_BATCH_ENTRIES):
                last = min(first + constants.APPEND_BATCH_ENTRIES - 1, own)
                epoch = 1 if first > 1 else 0
                request = AppendRequest(
                    1, leader, first - 1, epoch, entries(first, last), last, first
                )
                driver._handle_message("b", request)
            record = snapshot(installed)
            driver._handle_message(
                "b", SnapshotRequest(1, leader, record, 5000, 5000, 0, len(record.state))
            )
            after = entries(installed + 1, installed + 1)
            driver._handle_message(
                "b", AppendRequest(1, leader, installed, 1, after, installed, 5001)
            )
            writes = driver.replica._writes
            awaited = writes.last_write_id
            async with asyncio.timeout(TIMEOUT_S):
                while (
                    driver.replica._writes.durable_write_id < awaited
                    or driver._snapshot_writer.busy
                ):
                    await asyncio.sleep(0.02)
            driver.stop()

        asyncio.run(run())
        found = self.recovered()
        self.assertEqual(installed, found.snapshot.last_index)
        self.assertEqual(entries(installed + 1, installed + 1), found.entries)

    def test_entries_are_durable_after_a_journal_was_renamed_and_its_folder_not_synced(
        self,
    ) -> None:
        """Guards against a journal that is written on after its file was replaced."""
        fsync = os.fsync

        def fail_for_folder(descriptor: int) -> None:
            if stat.S_ISDIR(os.fstat(descriptor).st_mode):
                raise OSError(errno.EIO, "input/output error")
            fsync(descriptor)

        self.storage.write([Persist(1, entries=entries(1, 4))])
        self.storage.write_snapshot(snapshot(2))
        with mock.patch("os.fsync", fail_for_folder):
            self.assertRaises(OSError, self.storage.drop_covered, snapshot(2))
        self.storage.write([Persist(2, entries=entries(5, 6))])
        self.assertEqual(entries(3, 6), self.recovered().entries)

    def test_entries_are_durable_after_a_failed_write_and_a_failed_rewrite(self) -> None:
        """Guards against a journal that is continued behind what a failed write left in it."""
        self.storage.write([Persist(1, entries=entries(1, 4))])
        self.storage.write_snapshot(snapshot(2))
        failed = Persist(2, entries=entries(5, 5))
        write = os.write

        def write_a_part(descriptor: int, data: bytes) -> int:
            write(descriptor, data[:5])
            raise OSError(errno.ENOSPC, "no space")

        with mock.patch("os.write", write_a_part):
            self.assertRaises(OSError, self.storage.write, [failed])
        with mock.patch("os.fsync", side_effect=OSError(errno.ENOSPC, "no space")):
            self.assertRaises(OSError, self.storage.drop_covered, snapshot(2))
        self.storage.write([failed])
        self.storage.write([Persist(3, entries=entries(6, 6))])
        self.assertEqual(entries(3, 6), self.recovered().entries)
