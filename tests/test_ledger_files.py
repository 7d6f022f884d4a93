"""Snapshots and journals: what a restart finds after rare orders of events."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import stat
import tempfile
import tracemalloc
from pathlib import Path
from unittest import mock

import msgspec
import testtools
from prometheus_client import CollectorRegistry

from stileloom import constants
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.jobs.metrics import JobMetrics
from stileloom.ledger import LedgerReplica, Persist, empty_ledger
from stileloom.ledger.commands import RaiseConfigurationFloor, Voter
from stileloom.ledger.messages import AppendRequest, Entry, SnapshotRecord, SnapshotRequest
from stileloom.ledger.recovered import RecoveredLedger
from stileloom.ledger.snapshot_transfer import IncomingSnapshot
from stileloom.ledger.storage import LedgerStorage
from stileloom.ledger.wire import Sender
from stileloom.logging import EventLog

VOTERS = [Voter(name, f"disk-{name}") for name in ("a", "b", "c")]
TIMEOUT_S = 30.0


def entries(first: int, last: int) -> list[Entry]:
    """Simple entries."""
    return [Entry(n, 1, RaiseConfigurationFloor(n)) for n in range(first, last + 1)]


def snapshot(last_index: int) -> SnapshotRecord:
    """A snapshot of an empty state."""
    return SnapshotRecord(last_index, 1, VOTERS, empty_ledger(VOTERS).snapshot.state)


class IncomingSnapshotTest(testtools.TestCase):
    """Memory of a follower that receives a snapshot."""

    def test_the_pieces_are_released_once_the_snapshot_is_complete(self) -> None:
        """Guards against a third copy of the state while the snapshot is decoded."""
        state, piece = bytes(40 * constants.SNAPSHOT_PIECE_BYTES), constants.SNAPSHOT_PIECE_BYTES
        record = msgspec.structs.replace(snapshot(600), state=b"")
        incoming = IncomingSnapshot(1, 7)
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
            awaited = driver.replica._last_write_id
            async with asyncio.timeout(TIMEOUT_S):
                while driver.replica._durable_write_id < awaited or driver._snapshot_writer.busy:
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
