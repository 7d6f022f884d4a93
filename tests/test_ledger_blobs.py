"""Requests and texts of jobs in the blob logs of replicas, in virtual time and in files."""

from __future__ import annotations

import random
import tempfile
from pathlib import Path
from unittest import mock

import msgspec
import testtools

from stileloom import constants
from stileloom.api.jobs import FinishedItem, ItemState, JobItem, JobSubmission
from stileloom.blobs import BlobUnavailable, MemoryBlobLog
from stileloom.events import LogEvent
from stileloom.jobs.registry import JobRegistry
from stileloom.ledger import LedgerReplica, LedgerState, Persist, empty_ledger
from stileloom.ledger.commands import (
    Command,
    EndJob,
    ForgetJob,
    RaiseConfigurationFloor,
    RecordResults,
    SubmitJob,
    Voter,
)
from stileloom.ledger.messages import Entry, SnapshotRequest
from stileloom.ledger.recovered import RecoveredLedger, decode_state
from stileloom.ledger.storage import LedgerDamaged, LedgerStorage
from tests.ledger_cluster import LedgerCluster

ITEMS = 4
TEXT_BYTES = 20_000
KEPT_JOBS = 6
SEEDS = 12


def text_of(number: int) -> str:
    """The text of each item of a job."""
    return f"{number} ".ljust(TEXT_BYTES, "t")


def commands(number: int) -> list[Command]:
    """All commands of a job, and the removal of an older one."""
    items = [
        JobItem(f"{number}-{n}", "/p", {}, f"body {number}".encode(), "") for n in range(ITEMS)
    ]
    finished = [
        FinishedItem(item.item_id, ItemState.SUCCEEDED, 0, [text_of(number)], [1]) for item in items
    ]
    return [
        SubmitJob(JobSubmission(f"job-{number}", "h", "/p", 1, "m", 1, 1, items)),
        RecordResults(f"job-{number}", finished[: ITEMS // 2]),
        RecordResults(f"job-{number}", finished[ITEMS // 2 :]),
        EndJob(f"job-{number}"),
        ForgetJob(f"job-{number - KEPT_JOBS}"),
    ]


class JobCluster(LedgerCluster):
    """Replicas whose leader submits, completes and forgets jobs."""

    def __init__(self, voters: str, standbys: str = "", seed: int = 1) -> None:
        super().__init__(voters, standbys, seed=seed)
        self.propose_every_s = 0.004
        self.commands = [command for number in range(2000) for command in commands(number)]
        self.next_command = 0

    @property
    def command(self) -> Command:
        """The next command."""
        self.next_command += 1
        return self.commands[self.next_command - 1]

    @command.setter
    def command(self, command: Command) -> None:
        """The base class sets a command that is not used."""

    def check(self, test: testtools.TestCase, names: str) -> int:
        """Every text that a running replica lists is readable there; returns how many."""
        checked = 0
        for name in names:
            jobs = self.replica(name).state.job_book
            for job_id, record in jobs.jobs.items():
                expected = text_of(int(job_id.removeprefix("job-")))
                for result in record.results:
                    test.assertEqual(expected, jobs.load_result(result).text)
                    checked += 1
        return checked


class ReplicatedBlobsTest(testtools.TestCase):
    """Blob logs of several replicas."""

    def test_texts_are_readable_everywhere_after_crashes_and_transfers(self) -> None:
        """Guards against references to bytes that a crash, a transfer or a removal took away."""
        for seed in range(SEEDS):
            rng = random.Random(seed)
            cluster = JobCluster("abc", "d", seed)
            cluster.start("abcd")
            cluster.run_for(3.0)
            for _ in range(6):
                name = rng.choice("abcd")
                cluster.kill(name)
                if rng.random() < 0.4:
                    cluster.replace_disk(name)
                cluster.run_for(rng.choice([0.05, 1.0, 4.0]))
                cluster.start(name)
                cluster.run_for(rng.choice([0.5, 3.0]))
                cluster.check(self, "abcd")
            cluster.run_for(5.0)
            self.assertIsNotNone(cluster.leader())
            self.assertGreater(cluster.check(self, "abc"), 0)

    def test_a_follower_that_was_away_is_not_sent_what_it_holds(self) -> None:
        """Guards against transfers that cost as much as all results instead of those it lacks."""
        cluster = JobCluster("abc")
        cluster.propose_every_s = 0.02
        cluster.start("abc")
        cluster.run_for(6.0)
        away = next(name for name in "abc" if name != cluster.leader())
        cluster.is_lost = lambda sender, to, message: away in (sender, to)
        left_at = cluster.now
        while not cluster.snapshots_since(left_at) >= 2:
            cluster.run_for(0.2)
        lacking = cluster.replica(cluster.leader() or "").state.job_book.blob_end
        lacking -= cluster.replica(away).state.job_book.blob_end
        cluster.is_lost = lambda sender, to, message: False
        back_at = cluster.now
        cluster.run_for(3.0)
        pieces = sum(
            len(message.snapshot.state)
            for at, _, to, message, _ in cluster.sent
            if to == away and at > back_at and isinstance(message, SnapshotRequest)
        )
        self.assertGreater(pieces, 0)
        self.assertLess(pieces, lacking + 300_000)
        self.assertGreater(cluster.check(self, away), 0)

    def test_what_a_follower_is_still_receiving_is_not_removed(self) -> None:
        """Guards against a transfer whose bytes the leader's next snapshot takes away."""
        cluster = JobCluster("abc")
        cluster.start("abc")
        cluster.run_for(6.0)
        away = next(name for name in "abc" if name != cluster.leader())
        cluster.kill(away)
        cluster.replace_disk(away)
        held_until = float("inf")

        def is_held(sender: str, to: str, message: object) -> bool:
            is_later_piece = isinstance(message, SnapshotRequest) and message.offset > 0
            return to == away and is_later_piece and cluster.now < held_until

        cluster.is_lost = is_held
        cluster.start(away)
        cluster.run_for(1.0)
        sent_at = cluster.now
        while cluster.snapshots_since(sent_at) < 6:
            cluster.run_for(0.2)
        held_until = cluster.now
        cluster.run_for(4.0)
        events = [event for _, _, event in cluster.events]
        self.assertNotIn(LogEvent.LEDGER_DAMAGED, events)
        self.assertIn(LogEvent.SNAPSHOT_INSTALLED, events)
        self.assertGreater(cluster.check(self, away), 0)

    def test_the_log_in_memory_is_bounded_by_bytes(self) -> None:
        """Guards against a ledger node that holds all requests until some hundred entries came."""
        cluster = LedgerCluster("a")
        body = bytes(1_000_000)
        items = [JobItem("i", "/p", {}, body, "")]
        cluster.command = SubmitJob(JobSubmission("j", "h", "/p", 1, "m", 1, 1, items))
        cluster.propose_every_s = 0.05
        cluster.start("a")
        largest = 0
        for _ in range(100):
            cluster.run_for(0.1)
            largest = max(largest, cluster.replica("a").log_length)
        self.assertGreater(cluster.snapshots_since(0.0), 3)
        self.assertLess(largest * len(body), 2 * constants.SNAPSHOT_AFTER_BYTES)

    def test_a_batch_of_entries_is_bounded_by_bytes(self) -> None:
        """Guards against heartbeats that wait behind a message with dozens of jobs."""
        cluster = LedgerCluster("abc")
        items = [JobItem("i", "/p", {}, bytes(600_000), "")]
        cluster.command = SubmitJob(JobSubmission("j", "h", "/p", 1, "m", 1, 1, items))
        cluster.propose_every_s = 0.1
        cluster.start("abc")
        cluster.run_for(4.0)
        away = next(name for name in "abc" if name != cluster.leader())
        cluster.is_lost = lambda sender, to, message: away in (sender, to)
        cluster.run_for(0.9)
        cluster.is_lost = lambda sender, to, message: False
        cluster.run_for(2.0)
        largest = max(size for _, _, to, _, size in cluster.sent if to == away)
        self.assertLess(largest, constants.APPEND_BATCH_BYTES + 600_000)

    def test_a_leader_that_cannot_read_its_blobs_hands_over(self) -> None:
        """Guards against results that nobody can read because one disk is damaged."""
        cluster = JobCluster("abc")
        cluster.propose_every_s = 0.02
        cluster.start("abc")
        cluster.run_for(4.0)
        damaged = cluster.leader() or ""
        cluster._execute(damaged, cluster.replica(damaged).report_damage("bytes are missing"))
        cluster.run_for(0.5)
        self.assertNotIn(cluster.leader(), (None, damaged))
        cluster.run_for(10.0)
        self.assertNotEqual(damaged, cluster.leader())
        reported = [name for _, name, event in cluster.events if event is LogEvent.LEDGER_DAMAGED]
        self.assertEqual([damaged], reported)


class BlobStorageTest(testtools.TestCase):
    """Blob logs beside snapshots and journals in files."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)

    def run_replica(self, storage: LedgerStorage, recovered: RecoveredLedger, jobs: range) -> None:
        """A single voter that commits all commands of some jobs."""
        voter = Voter("a", "disk-a")
        replica = LedgerReplica(voter, recovered, random.Random(1), 0.0, 1)
        effects = replica.tick(60.0) + replica.tick(61.0)
        for command in [command for number in jobs for command in commands(number)]:
            while effects:
                writes = [effect for effect in effects if isinstance(effect, Persist)]
                effects = []
                if writes:
                    storage.write(writes)
                    effects = replica.persisted(62.0, writes[-1].write_id)
            effects = replica.propose(62.0, command, None)

    def test_results_survive_restarts_and_old_segments_are_removed(self) -> None:
        voter = Voter("a", "disk-a")
        storage = LedgerStorage(self.folder)
        recovered = empty_ledger([voter])
        storage.initialize(recovered)
        first = 0
        for number in (200, 400, 600):
            self.run_replica(storage, recovered, range(first, number))
            first = number
            storage.close()
            storage = LedgerStorage(self.folder)
            found = storage.recover()
            assert found is not None
            recovered = found
            replica = LedgerReplica(voter, recovered, random.Random(1), 0.0, 1)
            jobs = replica.state.job_book
            self.assertLessEqual(number - KEPT_JOBS - 1, len(jobs.jobs) + number - KEPT_JOBS)
            for job_id in jobs.jobs:
                for result in jobs.page(job_id, 0).results:
                    self.assertEqual(text_of(int(job_id.removeprefix("job-"))), result.text)
        size = sum(path.stat().st_size for path in self.folder.glob("blobs-*"))
        self.assertLess(size, 40_000_000)
        self.assertGreater(jobs.blob_end, 40_000_000)

    def test_a_disk_without_its_blobs_counts_as_lost(self) -> None:
        """Guards against a voter that lists results which it cannot read."""
        storage = LedgerStorage(self.folder)
        recovered = empty_ledger([Voter("a", "disk-a")])
        storage.initialize(recovered)
        self.run_replica(storage, recovered, range(200))
        storage.close()
        min(self.folder.glob("blobs-*")).unlink()
        self.assertRaises(LedgerDamaged, LedgerStorage(self.folder).recover)
        removed: list[str] = []
        unlink = Path.unlink

        def record(path: Path, missing_ok: bool = False) -> None:
            removed.append(path.name)
            unlink(path, missing_ok)

        storage = LedgerStorage(self.folder)
        with mock.patch.object(Path, "unlink", record):
            storage.remove_all()
        self.assertEqual("disk-id", removed[0])
        self.assertEqual([], list(self.folder.iterdir()))
        self.assertIsNone(LedgerStorage(self.folder).recover())


class StateSizeTest(testtools.TestCase):
    """What the replicated state holds in memory."""

    def test_the_state_does_not_grow_with_bodies_and_texts(self) -> None:
        """Guards against ledger nodes over their memory limit by the results of recent jobs."""
        sizes = []
        for length in (10, 100_000):
            registry = JobRegistry()
            items = [JobItem(f"i{n}", "/p", {}, bytes(length), "") for n in range(50)]
            registry.submit(JobSubmission("j", "h", "/p", 1, "m", 1, 1, items))
            finished = [
                FinishedItem(item.item_id, ItemState.SUCCEEDED, 0, ["x" * length], [1])
                for item in items
            ]
            registry.record("j", finished)
            self.assertEqual(items, registry.load_items(registry.jobs["j"]))
            sizes.append(len(msgspec.msgpack.encode(registry)))
        self.assertLess(sizes[1], 1.2 * sizes[0])

    def test_a_decoded_state_reads_from_the_log_that_is_attached(self) -> None:
        ledger = empty_ledger([])
        state = decode_state(ledger.snapshot, ledger.blobs)
        for command in commands(1)[:2]:
            state.apply(command)
        encoded = msgspec.msgpack.encode(state)
        again = msgspec.msgpack.decode(encoded, type=LedgerState)
        self.assertRaises(BlobUnavailable, again.job_book.page, "job-1", 0)
        again.job_book.attach_blobs(ledger.blobs)
        self.assertEqual(state.job_book.page("job-1", 0), again.job_book.page("job-1", 0))

    def test_nothing_before_the_oldest_job_is_referred_to(self) -> None:
        log = MemoryBlobLog()
        registry = JobRegistry()
        registry.attach_blobs(log)
        state = LedgerState(job_book=registry)
        for number in range(20):
            for command in commands(number):
                state.apply(command)
            log.discard_before(registry.blob_start)
            for job_id in registry.jobs:
                self.assertEqual(ITEMS, len(registry.page(job_id, 0).results))
        state.apply(RaiseConfigurationFloor(1))
        for job_id in list(registry.jobs):
            state.apply(ForgetJob(job_id))
        self.assertEqual(registry.blob_end, registry.blob_start)
        entry = Entry(1, 1, SubmitJob(JobSubmission("none", "h", "/p", 1, "m", 1, 1, [])))
        state.apply(entry.command)
        self.assertEqual(registry.blob_end, registry.blob_start)
