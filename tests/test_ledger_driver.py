"""Drivers of ledger replicas over real sockets and disks."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from pathlib import Path
from unittest import mock

import testtools
from prometheus_client import CollectorRegistry

from stileloom import constants
from stileloom.clock import steady_time
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.jobs.metrics import JobMetrics
from stileloom.ledger import LedgerReplica, empty_ledger
from stileloom.ledger.commands import RaiseConfigurationFloor, Voter
from stileloom.ledger.storage import SNAPSHOT_NAME, LedgerStorage
from stileloom.ledger.wire import Sender
from stileloom.logging import EventLog
from tests.ports import free_port

VOTERS = [Voter(name, f"disk-{name}") for name in ("a", "b", "c")]
SLOW_WRITE_S = 2.0
TIMEOUT_S = 30.0


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
        """Guards against journals that wait for a snapshot, and a lease lost meanwhile."""
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

        asyncio.run(run())
        for voter in VOTERS:
            recovered = LedgerStorage(self.folder / voter.node_id).recover()
            assert recovered is not None
            self.assertGreaterEqual(recovered.snapshot.last_index, constants.SNAPSHOT_AFTER_ENTRIES)
            indexes = [entry.index for entry in recovered.entries]
            first = recovered.snapshot.last_index + 1
            self.assertEqual(list(range(first, first + len(indexes))), indexes)
