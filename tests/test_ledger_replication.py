"""Replication in virtual time, where large states, slow links and slow disks take time."""

from __future__ import annotations

import asyncio
import random
import zlib
from unittest import mock

import msgspec
import testtools

from stileloom import constants
from stileloom.api.jobs import JobItem, JobSubmission
from stileloom.ledger.commands import RecordIntervals, SubmitJob, Voter
from stileloom.ledger.messages import AppendRequest, Entry, SnapshotRecord, SnapshotRequest
from stileloom.ledger.peer_addresses import PeerAddresses
from stileloom.ledger.wire import LedgerCodec, Sender
from tests.ledger_cluster import LedgerCluster, Speeds

LONGEST_WITHOUT_COMMIT_S = constants.COMMIT_TIMEOUT_S + 0.05
SETTLED_AFTER_S = 4.0
LARGE_STATE_BYTES = 40_000_000
LARGE_COMMAND_BYTES = 20_000
LARGE_COMMAND = RecordIntervals({"s" * LARGE_COMMAND_BYTES: 1.0})


class LargeStateTest(testtools.TestCase):
    """A state whose encoding takes longer than the leader's lease."""

    def test_leader_serves_while_a_standby_replaces_a_voter(self) -> None:
        """Guards against a leader that loses its lease while it sends the state in one message."""
        cluster = LedgerCluster("abcde", "f", LARGE_STATE_BYTES)
        cluster.start("abcdf")
        cluster.run_for(3.0)
        leader = cluster.leader()
        self.assertIsNotNone(leader)
        settled_at = cluster.now
        cluster.run_for(20.0)
        self.assertEqual(0, cluster.elections_since(settled_at))
        self.assertEqual(leader, cluster.leader())
        self.assertLess(cluster.longest_pause_s(settled_at), constants.LEADER_LEASE_S)
        voters = {voter.node_id for voter in cluster.replica(leader or "").voters}
        self.assertIn("f", voters)

    def test_a_voter_that_does_not_answer_is_not_sent_the_state(self) -> None:
        """Guards against a leader that encodes its state again and again for a dead voter."""
        cluster = LedgerCluster("abc", "", LARGE_STATE_BYTES)
        cluster.command = LARGE_COMMAND
        cluster.start("abc")
        cluster.run_for(3.0)
        leader = cluster.leader()
        dead = next(name for name in "abc" if name != leader)
        cluster.kill(dead)
        killed_at = cluster.now
        cluster.run_for(2.0)
        settled_at = cluster.now
        cluster.run_for(20.0)
        self.assertGreater(cluster.snapshots_since(settled_at), 0)
        self.assertLess(cluster.bytes_sent_to(dead, settled_at), 100_000)
        self.assertLess(cluster.longest_pause_s(killed_at), constants.LEADER_LEASE_S)

    def test_a_large_state_is_written_again_only_once_the_log_has_grown(self) -> None:
        """Guards against a state that is encoded and written every few hundred entries."""
        cluster = LedgerCluster("abc", "", LARGE_STATE_BYTES)
        cluster.start("abc")
        cluster.run_for(20.0)
        commits = len(cluster.committed_at)
        self.assertGreater(commits, 3 * constants.SNAPSHOT_AFTER_ENTRIES)
        self.assertEqual(0, cluster.snapshots_since(0.0))
        cluster.command = LARGE_COMMAND
        cluster.run_for(30.0)
        largest = LARGE_STATE_BYTES // LARGE_COMMAND_BYTES + commits
        self.assertGreaterEqual(cluster.snapshots_since(0.0), 3)
        self.assertLess(cluster.replica(cluster.leader() or "").log_length, largest)

    def test_a_small_log_is_compacted_after_few_entries(self) -> None:
        cluster = LedgerCluster("abc")
        cluster.start("abc")
        cluster.run_for(20.0)
        self.assertGreater(len(cluster.committed_at), 2 * constants.SNAPSHOT_AFTER_ENTRIES)
        for name in "abc":
            length = cluster.replica(name).log_length
            self.assertLess(length, constants.SNAPSHOT_AFTER_ENTRIES + 20)


class AfterDisruptionsTest(testtools.TestCase):
    """Machines and disks that are lost and return, with a large state."""

    def disrupt(self, cluster: LedgerCluster) -> None:
        """Ends three processes, one after the other; some lose their disks."""
        rng = cluster.rng
        for name in rng.sample("abcdefgh", 3):
            cluster.kill(name)
            cluster.run_for(rng.uniform(0.5, 8.0))
            if rng.random() < 0.4:
                cluster.replace_disk(name)
            cluster.start(name)
            cluster.run_for(rng.uniform(0.2, 3.0))

    def test_a_leader_serves_without_a_pause_once_all_machines_are_back(self) -> None:
        """Guards against ends of jobs that no leader takes while no machine is in disruption."""
        for seed in range(8):
            cluster = LedgerCluster("abcde", "fgh", LARGE_STATE_BYTES, seed=seed)
            cluster.start("abcdefgh")
            cluster.run_for(3.0)
            self.disrupt(cluster)
            cluster.run_for(SETTLED_AFTER_S)
            settled_at = cluster.now
            cluster.run_for(15.0)
            self.assertLess(cluster.longest_pause_s(settled_at), 0.3, seed)
            self.assertEqual(0, cluster.elections_since(settled_at), seed)


class SnapshotTransferTest(testtools.TestCase):
    """A snapshot that arrives in pieces."""

    def cluster(self, names: str = "abd") -> LedgerCluster:
        """Two of three voters and a standby that is to replace the third."""
        cluster = LedgerCluster("abc", "de", LARGE_STATE_BYTES)
        cluster.start(names)
        return cluster

    def run_until_transfer(self, cluster: LedgerCluster, to: str = "d") -> None:
        """Runs until a tenth of the snapshot has been sent."""
        sent_at = cluster.now
        while cluster.bytes_sent_to(to, sent_at) < LARGE_STATE_BYTES / 10:
            cluster.run_for(0.05)
            self.assertLess(cluster.now, sent_at + 10.0)

    def assert_replaced(self, cluster: LedgerCluster, by: str = "d") -> None:
        """The standby becomes a voter with the state of the others."""
        deadline = cluster.now + 20.0
        while by not in self.voters(cluster):
            cluster.run_for(0.5)
            self.assertLess(cluster.now, deadline)
        leader = cluster.leader() or ""
        jobs = cluster.replica(leader).state.job_book
        self.assertEqual(jobs, cluster.replica(by).state.job_book)
        self.assertGreater(len(jobs.jobs), 0)

    def voters(self, cluster: LedgerCluster) -> set[str]:
        """The voter set at the leader; empty without one."""
        leader = cluster.leader()
        return {voter.node_id for voter in cluster.replica(leader).voters} if leader else set()

    def test_no_message_holds_the_whole_state(self) -> None:
        cluster = self.cluster()
        cluster.run_for(15.0)
        self.assert_replaced(cluster)
        largest = max(size for *_, size in cluster.sent)
        self.assertLess(largest, constants.SNAPSHOT_PIECE_BYTES + 10_000)

    def test_lost_pieces_are_sent_again(self) -> None:
        cluster = self.cluster()
        cluster.is_lost = lambda sender, to, message: cluster.rng.random() < 0.03
        self.assert_replaced(cluster)

    def test_repeated_and_late_pieces_do_not_change_the_state(self) -> None:
        cluster = self.cluster()
        cluster.is_repeated = lambda sender, to, message: cluster.rng.random() < 0.2
        self.assert_replaced(cluster)

    def test_a_follower_that_restarts_during_a_transfer_receives_the_snapshot(self) -> None:
        cluster = self.cluster()
        self.run_until_transfer(cluster)
        cluster.kill("d")
        cluster.run_for(0.3)
        cluster.start("d")
        self.assert_replaced(cluster)

    def test_a_transfer_continues_after_a_pause_of_the_link(self) -> None:
        """Guards against a transfer that starts anew after each pause and never ends."""
        cluster = self.cluster()
        cluster.is_lost = lambda sender, to, message: "d" in (sender, to) and cluster.now % 3 < 1.2
        self.assert_replaced(cluster)
        self.assertLess(cluster.bytes_sent_to("d", 0.0), 2 * LARGE_STATE_BYTES)

    def test_a_follower_that_dies_during_a_transfer_does_not_hold_the_log(self) -> None:
        """Guards against a log that grows until the process is over its memory limit."""
        cluster = self.cluster()
        self.run_until_transfer(cluster)
        cluster.kill("d")
        cluster.command = LARGE_COMMAND
        cluster.run_for(60.0)
        leader = cluster.replica(cluster.leader() or "")
        self.assertLess(leader.log_length, LARGE_STATE_BYTES // LARGE_COMMAND_BYTES + 500)

    def test_a_voter_that_dies_during_a_transfer_does_not_hold_the_log(self) -> None:
        cluster = self.cluster("abc")
        cluster.command = LARGE_COMMAND
        cluster.run_for(3.0)
        away = next(name for name in "abc" if name != cluster.leader())
        cluster.kill(away)
        cluster.run_for(15.0)
        cluster.start(away)
        self.run_until_transfer(cluster, away)
        cluster.kill(away)
        cluster.run_for(60.0)
        leader = cluster.replica(cluster.leader() or "")
        self.assertLess(leader.log_length, LARGE_STATE_BYTES // LARGE_COMMAND_BYTES + 500)

    def test_a_new_leader_sends_a_snapshot_of_its_own(self) -> None:
        """Guards against a state put together from the pieces of two leaders."""
        cluster = self.cluster("abcd")
        cluster.run_for(3.0)
        first = cluster.leader() or ""
        dead = next(name for name in "abc" if name != first)
        cluster.kill(dead)
        self.run_until_transfer(cluster)
        successor = next(name for name in "abc" if name not in (first, dead))
        cluster.start(dead)
        cluster.run_for(0.5)
        cluster.kill(first)
        cluster.run_for(5.0)
        self.assertIn(cluster.leader(), (successor, dead))
        self.assert_replaced(cluster)

    def test_a_voter_that_was_away_for_long_catches_up(self) -> None:
        cluster = self.cluster("abc")
        cluster.run_for(3.0)
        away = next(name for name in "abc" if name != cluster.leader())
        cluster.kill(away)
        cluster.run_for(12.0)
        cluster.start(away)
        cluster.run_for(10.0)
        leader = cluster.replica(cluster.leader() or "")
        self.assertGreater(cluster.replica(away).commit_index, leader.commit_index - 20)


class SlowDiskTest(testtools.TestCase):
    """Disks that take long for each sync, or for ever."""

    def test_a_leader_whose_disk_hangs_loses_its_lease_if_it_is_needed_to_commit(self) -> None:
        """Guards against work that goes on although its end cannot be committed."""
        cluster = LedgerCluster("abcde")
        cluster.start("abcde")
        cluster.run_for(3.0)
        leader = cluster.leader() or ""
        for name in [name for name in "abcde" if name != leader][:2]:
            cluster.kill(name)
        cluster.run_for(1.0)
        self.assertEqual(leader, cluster.leader())
        cluster.nodes[leader].sync_s = 1000.0
        cluster.run_for(10.0)
        self.assertIsNone(cluster.leader())
        self.assertLess(cluster.leased_without_commit_s, LONGEST_WITHOUT_COMMIT_S)

    def test_a_leader_with_a_slow_disk_leads_while_the_others_can_commit(self) -> None:
        cluster = LedgerCluster("abcde")
        cluster.start("abcde")
        cluster.run_for(3.0)
        leader = cluster.leader() or ""
        cluster.nodes[leader].sync_s = 2.0
        cluster.run_for(10.0)
        self.assertEqual(leader, cluster.leader())
        self.assertLess(cluster.longest_pause_s(3.0), 0.1)

    def test_a_leader_without_commits_stops_acting_within_the_commit_timeout(self) -> None:
        for seed in range(8):
            cluster = LedgerCluster("abcde", seed=seed)
            cluster.start("abcde")
            cluster.run_for(3.0)
            for _ in range(20):
                node = cluster.nodes[cluster.rng.choice("abcde")]
                node.sync_s = cluster.rng.choice([0.001, 0.05, 0.6, 0.9, 1.5])
                cluster.run_for(cluster.rng.uniform(0.5, 1.5))
            self.assertLess(cluster.leased_without_commit_s, LONGEST_WITHOUT_COMMIT_S, seed)


class SlowLinkTest(testtools.TestCase):
    """Answers that take longer than the interval between heartbeats."""

    def test_replication_resumes_after_lost_entries_over_a_slow_link(self) -> None:
        """Guards against a probe that is superseded before its answer arrives."""
        cluster = LedgerCluster("abc", "", 0, Speeds(link_delay_s=0.1))
        cluster.start("abc")
        cluster.run_for(5.0)
        self.assertIsNotNone(cluster.leader())
        broken_until = cluster.now + 0.3
        cluster.is_lost = lambda sender, to, message: cluster.now < broken_until
        cluster.run_for(10.0)
        self.assertLess(cluster.longest_pause_s(broken_until), 2.0)
        self.assertLess(cluster.leased_without_commit_s, constants.LEADER_LEASE_S)


class LedgerFrameTest(testtools.TestCase):
    """Frames between ledger nodes."""

    def setUp(self) -> None:
        """A codec and entries that take long to compress."""
        super().setUp()
        self.voter = Voter("a", "disk-a")
        addresses = PeerAddresses(("10.0.0.1", 7000), [])
        self.codec = LedgerCodec(Sender("a", "10.0.0.1", 7000), addresses)
        self.random_body = random.Random(1).randbytes(4_000_000)

    def request(self, nonce: int, entries: list[Entry]) -> AppendRequest:
        """A request with entries."""
        return AppendRequest(2, self.voter, 4, 1, entries, 4, nonce)

    def entries(self, body: bytes) -> list[Entry]:
        """One entry: a job with one item."""
        items = [JobItem("i", "/p", {}, body, "")]
        return [Entry(5, 2, SubmitJob(JobSubmission("j", "h", "/p", 0, "m", 1, 1, items)))]

    def encoded(self, message: object) -> list[bytes]:
        """The parts of a message's frame, however it is encoded."""
        frame = self.codec.encode(message)
        if isinstance(frame, bytes):
            return [frame]

        async def complete() -> list[bytes]:
            return list(await frame.parts())

        return asyncio.run(complete())

    def test_messages_come_back_as_they_were(self) -> None:
        small, large = self.entries(b"x" * 500), self.entries(self.random_body)
        snapshot = SnapshotRecord(1, 1, [self.voter], 0, 0, bytes(constants.SNAPSHOT_PIECE_BYTES))
        for message in (
            self.request(1, []),
            self.request(2, small),
            self.request(3, large),
            self.request(4, small),
            SnapshotRequest(1, self.voter, snapshot, 1, 1, 0, len(snapshot.state)),
        ):
            frame = b"".join(self.encoded(message))
            self.assertEqual(("a", message), self.codec.decode(frame))
            for end in (0, 3, len(frame) // 2):
                self.assertRaises(msgspec.DecodeError, self.codec.decode, frame[:end])

    def test_a_large_command_is_compressed_once_for_all_followers_and_off_the_event_loop(
        self,
    ) -> None:
        """Guards against a leader that handles nothing while it compresses jobs for followers."""
        entries = self.entries(self.random_body[:1000] * 4000)
        with mock.patch.object(zlib, "compress", side_effect=AssertionError("on the event loop")):
            frames = [self.codec.encode(self.request(nonce, list(entries))) for nonce in range(4)]

        async def complete() -> list[tuple[bytes, ...]]:
            deferred = [frame for frame in frames if not isinstance(frame, bytes)]
            return await asyncio.gather(*(frame.parts() for frame in deferred))

        parts = asyncio.run(complete())
        self.assertEqual(4, len(parts))
        self.assertEqual(1, len({id(frame_parts[1]) for frame_parts in parts}))
        self.assertLess(len(parts[0][1]), 1_000_000)

    def test_small_entries_are_compressed_once_for_all_followers(self) -> None:
        entries = self.entries(b"text " * 1000)
        with mock.patch.object(zlib, "compress", wraps=zlib.compress) as compress:
            for nonce in range(4):
                self.codec.encode(self.request(nonce, list(entries)))
        large_inputs = [call for call in compress.call_args_list if len(call.args[0]) > 1000]
        self.assertEqual(1, len(large_inputs))

    def test_what_does_not_shrink_is_sent_as_it_is(self) -> None:
        """Guards against time spent on bodies that are compressed already."""
        with mock.patch.object(zlib, "compress", wraps=zlib.compress) as compress:
            parts = self.encoded(self.request(1, self.entries(self.random_body)))
        self.assertLess(max(len(call.args[0]) for call in compress.call_args_list), 100_000)
        self.assertGreater(sum(map(len, parts)), len(self.random_body))

    def test_a_piece_of_a_snapshot_that_does_not_shrink_is_sent_as_it_is(self) -> None:
        """Guards against a transfer that spends its time on texts that are compressed already."""
        piece = self.random_body[: constants.SNAPSHOT_PIECE_BYTES]
        snapshot = SnapshotRecord(1, 1, [self.voter], 0, 0, piece)
        request = SnapshotRequest(1, self.voter, snapshot, 1, 1, 0, len(piece))
        with mock.patch.object(zlib, "compress", wraps=zlib.compress) as compress:
            frame = b"".join(self.encoded(request))
        self.assertLess(max(len(call.args[0]) for call in compress.call_args_list), 100_000)
        self.assertGreater(len(frame), len(piece))
        self.assertEqual(("a", request), self.codec.decode(frame))
