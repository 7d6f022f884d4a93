"""Drivers of ledger replicas over real sockets and disks."""

from __future__ import annotations

import asyncio
import errno
import random
import tempfile
import threading
import time
from pathlib import Path
from unittest import mock

import testtools
from prometheus_client import CollectorRegistry

from stileloom import constants
from stileloom.clock import steady_time
from stileloom.daemon import background_snapshots
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.events import LogEvent
from stileloom.jobs.metrics import JobMetrics
from stileloom.ledger import LedgerReplica, Persist, empty_ledger
from stileloom.ledger.commands import RaiseConfigurationFloor, Voter
from stileloom.ledger.messages import Entry, SnapshotRecord
from stileloom.ledger.storage import SNAPSHOT_NAME, LedgerStorage
from stileloom.ledger.wire import Sender
from stileloom.logging import EventLog
from tests.ports import free_port

VOTERS = [Voter(name, f"disk-{name}") for name in ("a", "b", "c")]
SLOW_WRITE_S = 2.0
TIMEOUT_S = 30.0


class BackgroundSnapshotsTest(testtools.TestCase):
    """Order and retries of snapshots that are written beside the journal."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.storage = LedgerStorage(Path(scratch.name))
        self.storage.initialize(empty_ledger(VOTERS))
        self.addCleanup(self.storage.close)

    def snapshot(self, last_index: int) -> SnapshotRecord:
        """A snapshot of an empty state."""
        return SnapshotRecord(last_index, 1, VOTERS, 0, 0, empty_ledger(VOTERS).snapshot.state)

    def entries(self, first: int, last: int) -> list[Entry]:
        """Simple entries."""
        return [Entry(n, 1, RaiseConfigurationFloor(n)) for n in range(first, last + 1)]

    def driver(self) -> LedgerDriver:
        """The driver of a follower, without a network."""
        replica = LedgerReplica(VOTERS[0], empty_ledger(VOTERS), random.Random(1), 0.0)
        sender = Sender("a", "127.0.0.1", 1)
        metrics = JobMetrics(CollectorRegistry())
        return LedgerDriver(replica, self.storage, sender, [], EventLog("a"), metrics)

    def last_index(self) -> int:
        """Last index of the snapshot on disk."""
        recovered = LedgerStorage(self.storage._folder).recover()
        assert recovered is not None
        return recovered.snapshot.last_index

    def test_a_failed_write_is_repeated(self) -> None:
        async def run() -> None:
            driver = self.driver()
            failure = mock.patch("os.fsync", side_effect=OSError(errno.ENOSPC, "no space"))
            with mock.patch.object(background_snapshots, "RETRY_S", 0.05):
                self.storage.write([Persist(1, entries=self.entries(1, 3))])
                with failure:
                    driver._snapshot_writer.submit(Persist(1, snapshot=self.snapshot(2)))
                    await asyncio.sleep(0.2)
                    self.assertEqual(0, self.last_index())
                async with asyncio.timeout(TIMEOUT_S):
                    while self.last_index() != 2 or driver._snapshot_writer.busy:
                        await asyncio.sleep(0.02)
            driver.stop()

        asyncio.run(run())

    def test_an_error_of_our_own_does_not_hold_up_later_writes(self) -> None:
        async def run() -> None:
            driver = self.driver()
            failure = mock.patch.object(LedgerStorage, "write_snapshot", side_effect=MemoryError)
            with failure, mock.patch.object(EventLog, "emit") as emit:
                driver._snapshot_writer.submit(Persist(1, snapshot=self.snapshot(2)))
                async with asyncio.timeout(TIMEOUT_S):
                    while driver._snapshot_writer.busy:
                        await asyncio.sleep(0.02)
                await asyncio.sleep(0)
            self.assertEqual(LogEvent.INTERNAL_FAULT, emit.call_args.args[0])
            driver._run([Persist(1, truncate_from=9, snapshot=self.snapshot(8))])
            async with asyncio.timeout(TIMEOUT_S):
                while driver.replica._writes.durable_write_id < 1:
                    await asyncio.sleep(0.02)
            driver.stop()

        asyncio.run(run())

    def test_a_received_snapshot_is_not_replaced_by_an_older_one(self) -> None:
        """Guards against a slow write of an own snapshot that ends after an installed one."""
        replace = LedgerStorage._replace

        def replace_slowly(storage: LedgerStorage, name: str, *parts: bytes) -> None:
            if name == SNAPSHOT_NAME and not first_started.is_set():
                first_started.set()
                time.sleep(0.5)
            replace(storage, name, *parts)

        first_started = threading.Event()

        async def run() -> None:
            driver = self.driver()
            with mock.patch.object(LedgerStorage, "_replace", replace_slowly):
                driver._run([Persist(1, entries=self.entries(1, 3))])
                driver._run([Persist(2, snapshot=self.snapshot(2), background=True)])
                while not first_started.is_set():
                    await asyncio.sleep(0.01)
                driver._run([Persist(3, entries=self.entries(4, 5))])
                driver._run([Persist(4, truncate_from=9, snapshot=self.snapshot(8))])
                driver._run([Persist(5, entries=self.entries(9, 9))])
                async with asyncio.timeout(TIMEOUT_S):
                    while driver.replica._writes.durable_write_id < 5:
                        await asyncio.sleep(0.02)
            driver.stop()
            recovered = LedgerStorage(self.storage._folder).recover()
            assert recovered is not None
            self.assertEqual(8, recovered.snapshot.last_index)
            self.assertEqual(self.entries(9, 9), recovered.entries)

        asyncio.run(run())


class SlowSnapshotTest(testtools.TestCase):
    """Disks that take long for a snapshot."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)

    def drivers(self) -> list[LedgerDriver]:
        """Three voters on local ports."""
        ports = {voter.node_id: free_port("127.0.0.1") for voter in VOTERS}
        seeds = [("127.0.0.1", port) for port in ports.values()]
        found: list[LedgerDriver] = []
        for number, voter in enumerate(VOTERS):
            storage = LedgerStorage(self.folder / voter.node_id)
            recovered = storage.recover()
            if recovered is None:
                recovered = empty_ledger(VOTERS)
                storage.initialize(recovered)
            replica = LedgerReplica(voter, recovered, random.Random(number), steady_time())
            sender = Sender(voter.node_id, "127.0.0.1", ports[voter.node_id])
            log, metrics = EventLog(voter.node_id), JobMetrics(CollectorRegistry())
            found.append(LedgerDriver(replica, storage, sender, seeds, log, metrics))
        return found

    async def leader(self, drivers: list[LedgerDriver]) -> LedgerDriver:
        """Waits for a leader."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                for driver in drivers:
                    if driver.is_active_leader():
                        return driver
                await asyncio.sleep(0.02)

    def test_commits_go_on_while_all_voters_write_a_snapshot(self) -> None:
        """Guards against journals that wait for a snapshot, and a lease lost meanwhile.

        Syncs return at once: only the delay of the snapshots counts, not the machine's disk.
        """
        replace = LedgerStorage._replace
        written: list[Path] = []

        def replace_slowly(storage: LedgerStorage, name: str, *parts: bytes) -> None:
            if name == SNAPSHOT_NAME:
                time.sleep(SLOW_WRITE_S)
                written.append(storage._folder)
            replace(storage, name, *parts)

        async def run() -> None:
            drivers = self.drivers()
            for driver in drivers:
                await driver.start("127.0.0.1")
            try:
                leader = await self.leader(drivers)
                slowest_s = 0.0
                ends_at = steady_time() + 3 * SLOW_WRITE_S
                with mock.patch.object(LedgerStorage, "_replace", replace_slowly):
                    while steady_time() < ends_at:
                        started_at = steady_time()
                        batch = [
                            leader.propose(RaiseConfigurationFloor(n))
                            for n in range(constants.SNAPSHOT_AFTER_ENTRIES // 64)
                        ]
                        await asyncio.gather(*batch)
                        slowest_s = max(slowest_s, steady_time() - started_at)
                        self.assertTrue(leader.is_active_leader())
                        await asyncio.sleep(0.02)
                self.assertLess(slowest_s, SLOW_WRITE_S / 2)
                self.assertEqual(len(VOTERS), len(set(written)))
            finally:
                for driver in drivers:
                    driver.stop()

        with mock.patch("os.fsync"):
            asyncio.run(run())
        for voter in VOTERS:
            recovered = LedgerStorage(self.folder / voter.node_id).recover()
            assert recovered is not None
            self.assertGreaterEqual(recovered.snapshot.last_index, constants.SNAPSHOT_AFTER_ENTRIES)
            indexes = [entry.index for entry in recovered.entries]
            first = recovered.snapshot.last_index + 1
            self.assertEqual(list(range(first, first + len(indexes))), indexes)
