"""Ledger replica, storage and state machine."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import tempfile
from pathlib import Path
from typing import get_args
from unittest import mock

import msgspec
import testtools

from stileloom.api.samples import Prompt, Sample, Segment
from stileloom.effects import Effect, Send
from stileloom.errors import ErrorKind, StileloomError
from stileloom.jobs.order_window import OrderWindow
from stileloom.ledger import LedgerReplica, LedgerState, Persist, empty_ledger
from stileloom.ledger.bootstrap import VoterSetRecord, join_voter_set
from stileloom.ledger.commands import (
    AcknowledgeDeliveries,
    ChangeVoters,
    ClaimKey,
    Command,
    CommandResult,
    CommitSample,
    DeliveryPage,
    Done,
    HandOver,
    OpenOrderWindow,
    PublishVersion,
    RaiseConfigurationFloor,
    Refused,
    RegisterRound,
    SampleRefused,
    StartEpoch,
    SubmitPrompts,
    Voter,
)
from stileloom.ledger.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    HardState,
    IdentityQuestion,
    LearnerHello,
    VoteReply,
    VoteRequest,
)
from stileloom.ledger.messages import HandOver as HandOverMessage
from stileloom.ledger.order_windows import MAX_ORDER_DELAY_S, ORDER_WINDOW_S, OrderWindows
from stileloom.ledger.recovered import RecoveredLedger
from stileloom.ledger.replica import ReplicaRole
from stileloom.ledger.storage import JOURNAL_NAME, SNAPSHOT_NAME, LedgerStorage
from stileloom.ledger.voters import next_voter_set
from stileloom.ledger.wire import LedgerMessage
from stileloom.node.dispatch import LEDGER_MESSAGES, Message, NodeCodec

VOTERS = [Voter(name, f"disk-{name}") for name in ("a", "b", "c")]
LATER = 5.0
"""Time at which the election timeout of a replica that started at 0 has expired."""
LEASE_S = 3.0


def entry(index: int, epoch: int = 1) -> Entry:
    """An entry with a simple command."""
    return Entry(index, epoch, RaiseConfigurationFloor(index))


def sample(slot: int, version: int, tokens: int = 3) -> Sample:
    """A sample with one segment."""
    return Sample(slot, "1.1", f"p{slot}", list(range(tokens)), [Segment(version, 0, tokens)])


class ReplicaTest(testtools.TestCase):
    """A single replica; the test writes the messages of the others."""

    def replica(self, local_voter: Voter) -> LedgerReplica:
        """A replica at time 0."""
        return LedgerReplica(local_voter, empty_ledger(VOTERS), random.Random(1), 0.0)

    def test_an_append_is_acknowledged_only_once_it_is_durable(self) -> None:
        replica = self.replica(VOTERS[1])
        request = AppendRequest(1, VOTERS[0], 0, 0, [entry(1)], 0, nonce=9)
        effects = replica.handle(LATER, "a", request)
        self.assertEqual([], [e for e in effects if isinstance(e, Send)])
        writes = [e for e in effects if isinstance(e, Persist)]
        released = replica.persisted(LATER, writes[-1].write_id)
        (reply,) = [e.message for e in released if isinstance(e, Send)]
        assert isinstance(reply, AppendReply)
        self.assertTrue(reply.success)
        self.assertEqual(1, reply.match_index)

    def test_a_vote_is_sent_only_once_it_is_durable(self) -> None:
        replica = self.replica(VOTERS[1])
        effects = replica.handle(LATER, "a", VoteRequest(1, VOTERS[0], 0, 0, trial=False))
        self.assertEqual([], [e for e in effects if isinstance(e, Send)])

    def test_a_replaced_disk_does_not_vote(self) -> None:
        replica = self.replica(Voter("b", "another-disk"))
        effects = replica.handle(LATER, "a", VoteRequest(1, VOTERS[0], 0, 0, trial=True))
        self.assertEqual([], [e for e in effects if isinstance(e, Send)])

    def test_a_vote_of_a_replaced_disk_does_not_count(self) -> None:
        replica = self.replica(VOTERS[0])
        replica.tick(LATER)
        replaced = Voter("b", "another-disk")
        replica.handle(LATER, "b", VoteReply(1, replaced, True, trial=True))
        self.assertEqual(0, replica.epoch)
        replica.handle(LATER, "b", VoteReply(1, VOTERS[1], True, trial=True))
        self.assertEqual(1, replica.epoch)

    def test_a_restarted_voter_does_not_vote_until_a_confirmed_lease_has_expired(self) -> None:
        replica = self.replica(VOTERS[1])
        early = replica.handle(0.1, "a", VoteRequest(1, VOTERS[0], 0, 0, trial=True))
        self.assertEqual([], early)
        late = replica.handle(LATER, "a", VoteRequest(1, VOTERS[0], 0, 0, trial=True))
        self.assertTrue(late)

    def test_a_follower_replaces_a_conflicting_suffix(self) -> None:
        replica = self.replica(VOTERS[1])
        first = AppendRequest(1, VOTERS[0], 0, 0, [entry(1), entry(2)], 0, nonce=1)
        replica.handle(LATER, "a", first)
        second = AppendRequest(2, VOTERS[2], 1, 1, [entry(2, epoch=2)], 0, nonce=1)
        effects = replica.handle(LATER, "c", second)
        write = [e for e in effects if isinstance(e, Persist)][-1]
        self.assertEqual(2, write.truncate_from)


class VoterSetTest(testtools.TestCase):
    """The initial voter set and its changes."""

    def test_a_replaced_disk_is_removed_before_the_new_one_is_added(self) -> None:
        replacement = Voter("b", "new")
        smaller = next_voter_set(VOTERS, [replacement], set(), 3)
        self.assertEqual([VOTERS[0], VOTERS[2]], smaller)
        assert smaller is not None
        self.assertEqual(
            [VOTERS[0], replacement, VOTERS[2]], next_voter_set(smaller, [replacement], set(), 3)
        )

    def test_an_unavailable_voter_is_replaced_by_a_learner(self) -> None:
        learner = Voter("d", "disk-d")
        self.assertIsNone(next_voter_set(VOTERS, [learner], set(), 3))
        self.assertEqual(VOTERS[:2], next_voter_set(VOTERS, [learner], {"c"}, 3))

    def test_the_initial_voter_set_is_sealed_when_complete(self) -> None:
        record = None
        for voter in VOTERS:
            record = join_voter_set(record, voter, 3)
        assert record is not None
        self.assertTrue(record.sealed)
        self.assertIsNone(join_voter_set(record, Voter("a", "new"), 3))
        incomplete = VoterSetRecord(3, VOTERS[:1])
        again = join_voter_set(incomplete, Voter("a", "new"), 3)
        assert again is not None
        self.assertEqual([Voter("a", "new")], again.voters)


class StorageTest(testtools.TestCase):
    """Files of a replica, across restarts."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)

    def storage(self) -> LedgerStorage:
        """A storage on the same folder, as after a restart."""
        storage = LedgerStorage(self.folder)
        self.addCleanup(storage.close)
        return storage

    def test_recovery_returns_the_written_state(self) -> None:
        storage = self.storage()
        storage.write_identity(VOTERS[0])
        storage.initialize(empty_ledger(VOTERS))
        storage.write(
            [
                Persist(1, hard_state=HardState(3, VOTERS[0])),
                Persist(2, entries=[entry(1), entry(2), entry(3)]),
                Persist(3, truncate_from=2, entries=[entry(2, epoch=3)]),
            ]
        )
        again = self.storage()
        self.assertEqual(VOTERS[0], again.read_identity())
        recovered = again.recover()
        assert recovered is not None
        self.assertEqual(HardState(3, VOTERS[0]), recovered.hard_state)
        self.assertEqual([entry(1), entry(2, epoch=3)], recovered.entries)

    def test_the_commit_index_is_recovered_after_a_restart(self) -> None:
        storage = self.storage()
        storage.initialize(empty_ledger(VOTERS))
        storage.write([Persist(1, entries=[entry(1), entry(2)], commit_index=1)])
        later = [Persist(2, commit_index=2)]
        with mock.patch("os.fsync", side_effect=OSError(errno.EIO, "bad")):
            self.assertRaises(OSError, storage.write, later)
        storage.write(later)
        fresh = empty_ledger(VOTERS)
        snapshot = type(fresh.snapshot)(1, 1, VOTERS, 0, 0, fresh.snapshot.state)
        for more in ([], [Persist(3, snapshot=snapshot)]):
            storage.write(more)
            recovered = self.storage().recover()
            assert recovered is not None
            self.assertEqual(2, recovered.commit_index)

    def test_a_torn_or_corrupt_last_record_is_truncated(self) -> None:
        storage = self.storage()
        storage.initialize(empty_ledger(VOTERS))
        storage.write([Persist(1, entries=[entry(1)])])
        storage.write([Persist(2, entries=[entry(2)])])
        path = self.folder / JOURNAL_NAME
        complete = path.read_bytes()
        for damaged in (complete[:-3], complete[:-1] + b"\xff"):
            path.write_bytes(damaged)
            recovered = self.storage().recover()
            assert recovered is not None
            self.assertEqual([entry(1)], recovered.entries)

    def test_a_failed_write_can_be_retried(self) -> None:
        """Partial writes and failed syncs must leave no damaged record in the journal."""
        storage = self.storage()
        storage.initialize(empty_ledger(VOTERS))
        storage.write([Persist(1, entries=[entry(1)])])
        batch = [Persist(2, hard_state=HardState(4, None), entries=[entry(2), entry(3)])]
        real_write = os.write

        def write_partially(descriptor: int, data: bytes) -> int:
            if len(data) > 10:
                return real_write(descriptor, bytes(data[:10]))
            raise OSError(errno.ENOSPC, "no space")

        with mock.patch("os.write", write_partially), testtools.ExpectedException(OSError):
            storage.write(batch)
        with mock.patch("os.fsync", side_effect=OSError(errno.EIO, "bad")):
            self.assertRaises(OSError, storage.write, batch)
        storage.write(batch)
        storage.write([Persist(3, entries=[entry(4)])])
        recovered = self.storage().recover()
        assert recovered is not None
        self.assertEqual([entry(number) for number in (1, 2, 3, 4)], recovered.entries)
        self.assertEqual(4, recovered.hard_state.epoch)

    def test_a_failed_snapshot_can_be_retried(self) -> None:
        storage = self.storage()
        fresh = empty_ledger(VOTERS)
        storage.initialize(fresh)
        storage.write([Persist(1, entries=[entry(1), entry(2)])])
        snapshot = type(fresh.snapshot)(1, 1, VOTERS, 0, 0, fresh.snapshot.state)
        batch = [Persist(2, snapshot=snapshot), Persist(3, entries=[entry(3)])]
        for failing in ("os.fsync", "pathlib.Path.rename", "os.open"):
            with mock.patch(failing, side_effect=OSError(errno.ENOSPC, "no space")):
                self.assertRaises(OSError, storage.write, batch)
        storage.write(batch)
        recovered = self.storage().recover()
        assert recovered is not None
        self.assertEqual(1, recovered.snapshot.last_index)
        self.assertEqual([entry(2), entry(3)], recovered.entries)

    def test_a_crash_between_a_snapshot_and_the_journal_loses_nothing(self) -> None:
        """A snapshot is written beside the journal; the entries it covers go last."""
        storage = self.storage()
        fresh = empty_ledger(VOTERS)
        storage.initialize(fresh)
        storage.write([Persist(1, entries=[entry(1), entry(2)], commit_index=2)])
        snapshot = type(fresh.snapshot)(2, 1, VOTERS, 0, 0, fresh.snapshot.state)
        storage.write_snapshot(snapshot)
        storage.write([Persist(2, entries=[entry(3)])])
        for restarted in (self.storage(), self.storage()):
            recovered = restarted.recover()
            assert recovered is not None
            self.assertEqual(snapshot, recovered.snapshot)
            self.assertEqual([entry(3)], recovered.entries)
            restarted.write([])
        restarted.write([Persist(3, entries=[entry(4)])])
        restarted.drop_covered(snapshot)
        recovered = self.storage().recover()
        assert recovered is not None
        self.assertEqual([entry(3), entry(4)], recovered.entries)

    def test_a_snapshot_is_stored_in_the_encoding_of_its_record(self) -> None:
        storage = self.storage()
        fresh = empty_ledger(VOTERS)
        storage.initialize(fresh)
        for size in (0, 10, 300, 70_000):
            snapshot = type(fresh.snapshot)(2, 1, VOTERS, 0, 0, bytes(size))
            storage.write_snapshot(snapshot)
            body = (self.folder / SNAPSHOT_NAME).read_bytes()
            self.assertEqual(snapshot, msgspec.msgpack.decode(body, type=type(snapshot)))

    def test_a_snapshot_replaces_the_journal_entries_it_covers(self) -> None:
        storage = self.storage()
        fresh = empty_ledger(VOTERS)
        storage.initialize(fresh)
        storage.write([Persist(1, hard_state=HardState(2, None), entries=[entry(1), entry(2)])])
        snapshot = type(fresh.snapshot)(1, 1, VOTERS, 0, 0, fresh.snapshot.state)
        storage.write([Persist(2, snapshot=snapshot)])
        recovered = self.storage().recover()
        assert recovered is not None
        self.assertEqual(1, recovered.snapshot.last_index)
        self.assertEqual([entry(2)], recovered.entries)
        self.assertEqual(2, recovered.hard_state.epoch)


class StateTest(testtools.TestCase):
    """The state machine, including repeated commands."""

    def setUp(self) -> None:
        super().setUp()
        self.state = LedgerState()
        self.state.apply(RegisterRound("r", 1, 2, 1, 1))
        prompts = [Prompt(f"p{slot}", "text", 9) for slot in range(4)]
        self.state.apply(SubmitPrompts("r", "batch", prompts))

    def test_a_batch_is_added_once(self) -> None:
        again = self.state.apply(SubmitPrompts("r", "batch", [Prompt("p9", "text", 9)]))
        self.assertEqual(0, again.first_slot)  # type: ignore[union-attr]
        self.assertEqual(4, self.state.rounds["r"].next_slot)

    def test_the_first_sample_of_a_slot_is_kept(self) -> None:
        first = self.state.apply(CommitSample("r", sample(0, 1)))
        second = self.state.apply(CommitSample("r", sample(0, 1, tokens=5)))
        self.assertEqual((Done(False), Done(True)), (first, second))
        self.assertEqual(3, len(self.state.rounds["r"].ready[0].tokens))

    def test_malformed_samples_and_samples_of_another_prompt_are_refused(self) -> None:
        gap = Sample(0, "1.1", "p0", [1, 2, 3], [Segment(1, 0, 1), Segment(1, 2, 1)])
        foreign = Sample(0, "1.1", "p1", [1], [Segment(1, 0, 1)])
        for refused in (gap, foreign):
            self.assertIsInstance(self.state.apply(CommitSample("r", refused)), SampleRefused)
        self.assertIn(0, self.state.rounds["r"].open_slots)

    def test_a_stale_sample_is_refused_and_its_slot_reopens(self) -> None:
        self.state.apply(CommitSample("r", sample(0, 1)))
        self.state.apply(PublishVersion("r", 2))
        self.assertEqual(1, len(self.state.rounds["r"].ready))
        self.state.apply(PublishVersion("r", 3))
        self.assertIn(0, self.state.rounds["r"].open_slots)
        late = self.state.apply(CommitSample("r", sample(1, 1)))
        self.assertIsInstance(late, SampleRefused)

    def test_deliveries_have_contiguous_offsets_and_can_be_read_again(self) -> None:
        for slot in (2, 0, 1):
            self.state.apply(CommitSample("r", sample(slot, 1)))
        first = self.state.apply(HandOver("r", 2))
        again = self.state.apply(HandOver("r", 2))
        assert isinstance(first, DeliveryPage)
        self.assertEqual(first, again)
        self.assertEqual([0, 1], [delivery.offset for delivery in first.deliveries])
        self.state.apply(AcknowledgeDeliveries("r", 2))
        self.assertEqual(Done(True), self.state.apply(AcknowledgeDeliveries("r", 1)))
        beyond = self.state.apply(AcknowledgeDeliveries("r", 9))
        self.assertIsInstance(beyond, Refused)

    def test_a_version_is_refused_while_it_would_make_unacknowledged_deliveries_stale(self) -> None:
        self.state.apply(CommitSample("r", sample(0, 1)))
        self.state.apply(PublishVersion("r", 2))
        self.state.apply(HandOver("r", 1))
        refused = self.state.apply(PublishVersion("r", 3))
        assert isinstance(refused, Refused)
        self.assertEqual(ErrorKind.STALE_DELIVERIES, refused.kind)
        self.state.apply(AcknowledgeDeliveries("r", 1))
        self.assertEqual(Done(False), self.state.apply(PublishVersion("r", 3)))

    def test_an_idempotency_key_is_claimed_by_one_request(self) -> None:
        def claim(request: str, digest: int = 1, repeatable: bool = False, at: float = 0.0):  # type: ignore[no-untyped-def]
            return self.state.apply(ClaimKey("k", digest, request, repeatable, at))

        self.assertEqual(Done(False), claim("r1"))
        self.assertEqual(Done(True), claim("r1"))
        self.assertEqual(ErrorKind.KEY_IN_USE, claim("r2").kind)
        self.assertEqual(ErrorKind.KEY_REUSED, claim("r2", digest=2).kind)
        self.assertEqual(Done(True), claim("r3", repeatable=True))
        self.assertEqual(Done(False), claim("r4", at=10_000.0))


class HandOverTest(testtools.TestCase):
    """Transfer of leadership from a leader that stops."""

    def test_the_successor_is_elected_immediately_and_the_old_leader_steps_down(self) -> None:
        replicas = {
            voter.node_id: LedgerReplica(voter, empty_ledger(VOTERS), random.Random(n), 0.0)
            for n, voter in enumerate(VOTERS)
        }
        now = LATER

        def deliver(sender: str, effects: list) -> None:
            """Delivers messages immediately; writes are durable immediately."""
            for effect in effects:
                if isinstance(effect, Persist):
                    deliver(sender, replicas[sender].persisted(now, effect.write_id))
                elif isinstance(effect, Send):
                    receiver = replicas[effect.to]
                    deliver(effect.to, receiver.handle(now, sender, effect.message))

        deliver("a", replicas["a"].tick(now))
        now += 0.2
        deliver("a", replicas["a"].tick(now))
        self.assertTrue(replicas["a"].is_active_leader(now))
        # The followers have a current leader and would not vote without the transfer.
        deliver("a", replicas["a"].transfer_leadership(now))
        self.assertFalse(replicas["a"].is_active_leader(now))
        leaders = [name for name, replica in replicas.items() if replica.role.value == "leader"]
        self.assertEqual(1, len(leaders))
        self.assertNotEqual(["a"], leaders)
        self.assertGreater(replicas[leaders[0]].epoch, 1)

    def test_both_protocols_carry_every_message_between_replicas(self) -> None:
        """Guards against a message that is sent and then dropped as malformed by its receiver."""
        for message_type in get_args(LedgerMessage):
            self.assertIn(message_type, get_args(Message))
            self.assertIn(message_type, LEDGER_MESSAGES)
        received = NodeCodec("b").decode(NodeCodec("a").encode(HandOverMessage(3)))
        self.assertEqual(("a", HandOverMessage(3)), received)

    def test_a_transfer_is_accepted_only_from_the_leader_of_the_epoch(self) -> None:
        replica = LedgerReplica(VOTERS[1], empty_ledger(VOTERS), random.Random(1), 0.0)
        replica.handle(LATER, "a", AppendRequest(1, VOTERS[0], 0, 0, [], 0, nonce=1))
        self.assertEqual([], replica.handle(LATER, "c", HandOverMessage(1)))
        self.assertEqual([], replica.handle(LATER, "a", HandOverMessage(2)))


class ReplicationFlowTest(testtools.TestCase):
    """Replication to followers that are slow, have a conflicting log, or do not reply."""

    def leader(self) -> tuple[LedgerReplica, float]:
        """A leader of epoch 1 that both followers have confirmed."""
        replica = LedgerReplica(VOTERS[0], empty_ledger(VOTERS), random.Random(1), 0.0)
        now = LATER
        replica.tick(now)
        replica.handle(now, "b", VoteReply(1, VOTERS[1], True, True))
        replica.handle(now, "b", VoteReply(1, VOTERS[1], True, False))
        replica.persisted(now, 10)
        self.answer_all(replica, now, replica.tick(now + 0.2))
        return replica, now + 0.2

    def requests(self, effects: list, to: str) -> list[AppendRequest]:
        """The append requests to a follower among the effects."""
        return [
            effect.message
            for effect in effects
            if isinstance(effect, Send)
            and effect.to == to
            and isinstance(effect.message, AppendRequest)
        ]

    def answer_all(self, replica: LedgerReplica, now: float, effects: list) -> None:
        """Both followers accept all append requests, including those that a reply triggers."""
        for voter in VOTERS[1:]:
            for request in self.requests(effects, voter.node_id):
                match = request.previous_index + len(request.entries)
                reply = AppendReply(request.epoch, voter, True, match, request.nonce)
                self.answer_all(replica, now, replica.handle(now, voter.node_id, reply))

    def test_mismatches_of_pipelined_requests_cause_one_probe(self) -> None:
        """Guards against resending the same entries for every rejected request."""
        replica, now = self.leader()
        pipelined: list[AppendRequest] = []
        for number in range(20):
            effects = replica.propose(now, RaiseConfigurationFloor(number), object())
            pipelined += self.requests(effects, "b")
        self.assertEqual(20, len(pipelined))
        probes: list[AppendRequest] = []
        for request in pipelined:
            reply = AppendReply(1, VOTERS[1], False, request.previous_index - 1, request.nonce)
            probes += self.requests(replica.handle(now, "b", reply), "b")
        self.assertEqual([0], [len(probe.entries) for probe in probes])
        # The reply to the probe resumes replication after the last common entry.
        (probe,) = probes
        probe_reply = AppendReply(1, VOTERS[1], True, probe.previous_index, probe.nonce)
        sent = self.requests(replica.handle(now, "b", probe_reply), "b")
        self.assertEqual([probe.previous_index], [request.previous_index for request in sent])
        self.assertGreater(len(sent[0].entries), 0)

    def test_followers_that_reject_the_log_do_not_confirm_the_lease(self) -> None:
        """Guards against a leader that keeps its lease while it cannot commit."""
        replica, now = self.leader()
        self.assertTrue(replica.is_active_leader(now))
        for _ in range(10):
            now += 0.15
            effects = replica.tick(now)
            for voter in VOTERS[1:]:
                for request in self.requests(effects, voter.node_id):
                    reply = AppendReply(1, voter, False, 0, request.nonce)
                    replica.handle(now, voter.node_id, reply)
        self.assertFalse(replica.is_active_leader(now))

    def test_an_unresponsive_follower_gets_no_entries(self) -> None:
        replica, now = self.leader()
        now += 1.5
        sizes = []
        for number in range(10):
            effects = replica.propose(now, RaiseConfigurationFloor(number), object())
            sizes += [len(request.entries) for request in self.requests(effects, "b")]
        self.assertEqual([], sizes)

    def run_without_c(
        self, replica: LedgerReplica, now: float
    ) -> tuple[float, list[AppendRequest]]:
        """Runs two seconds without replies of c; returns the time and the requests to standby d."""
        learner = Voter("d", "disk-d")
        sent: list[AppendRequest] = []
        for _ in range(20):
            now += 0.1
            effects = replica.tick(now)
            effects += replica.handle(now, "d", LearnerHello(learner))
            sent += self.requests(effects, "d")
            for request in self.requests(effects, "b"):
                match = request.previous_index + len(request.entries)
                replica.handle(now, "b", AppendReply(1, VOTERS[1], True, match, request.nonce))
        return now, sent

    def test_a_standby_learns_the_leader_but_gets_no_log_while_voters_are_healthy(self) -> None:
        """Guards against a copy of the ledger on every disk of a large deployment."""
        replica, now = self.leader()
        replica.propose(now, RaiseConfigurationFloor(1), object())
        effects = replica.handle(now, "d", LearnerHello(Voter("d", "disk-d")))
        (announcement,) = self.requests(effects, "d")
        self.assertEqual(
            (1, 0, []), (announcement.epoch, announcement.previous_index, announcement.entries)
        )
        standby = LedgerReplica(Voter("d", "disk-d"), empty_ledger([]), random.Random(1), now)
        standby.handle(now, "a", announcement)
        self.assertEqual("a", standby.leader)
        self.assertTrue(standby.has_leader_contact(now))
        for _ in range(10):
            now += 0.1
            effects = replica.tick(now)
            self.assertEqual([], self.requests(effects, "d"))
            self.answer_all(replica, now, effects)

    def test_a_standby_replaces_an_unresponsive_voter(self) -> None:
        replica, now = self.leader()
        now, sent = self.run_without_c(replica, now)
        self.assertTrue(replica.is_active_leader(now))
        learner = Voter("d", "disk-d")
        probe = sent[-1]
        replica.handle(now, "d", AppendReply(1, learner, True, replica.commit_index, probe.nonce))
        replica.tick(now)
        self.assertEqual(["a", "b"], [voter.node_id for voter in replica.voters])

    def test_a_recovered_voter_is_not_replaced(self) -> None:
        replica, now = self.leader()
        now, sent = self.run_without_c(replica, now)
        self.assertGreater(len(sent), 0)
        for _ in range(3):
            now += 0.2
            self.answer_all(replica, now, replica.tick(now))
        self.assertEqual([], self.requests(replica.tick(now + 0.2), "d"))
        self.assertEqual(VOTERS, replica.voters)

    def test_a_leader_without_its_lease_does_not_keep_standbys(self) -> None:
        """Guards against standbys that name a leader which is cut off from the voters for good."""
        replica, now = self.leader()
        now += 10.0
        self.assertFalse(replica.is_active_leader(now))
        effects = replica.handle(now, "d", LearnerHello(Voter("d", "disk-d")))
        self.assertEqual([], self.requests(effects, "d"))

    def test_a_leader_without_its_lease_changes_no_voters(self) -> None:
        """A partitioned leader sees all other voters as unresponsive and must not replace them."""
        replica, now = self.leader()
        now, sent = self.run_without_c(replica, now)
        now += 10.0
        learner = Voter("d", "disk-d")
        replica.handle(
            now, "d", AppendReply(1, learner, True, replica.commit_index, sent[-1].nonce)
        )
        self.assertFalse(replica.is_active_leader(now))
        before = replica.voters
        replica.tick(now)
        self.assertEqual(before, replica.voters)

    def test_the_conflict_hint_skips_all_entries_of_the_conflicting_epoch(self) -> None:
        replica = LedgerReplica(VOTERS[1], empty_ledger(VOTERS), random.Random(1), 0.0)
        old = [entry(index, epoch=1) for index in range(1, 31)]
        effects = replica.handle(LATER, "a", AppendRequest(1, VOTERS[0], 0, 0, old, 4, nonce=1))
        replica.persisted(LATER, [e for e in effects if isinstance(e, Persist)][-1].write_id)
        request = AppendRequest(2, VOTERS[0], 30, 2, [], 4, nonce=2)
        effects = replica.handle(LATER, "a", request)
        effects += replica.persisted(LATER, 99)
        (reply,) = [e.message for e in effects if isinstance(e, Send)]
        assert isinstance(reply, AppendReply)
        self.assertEqual((False, 4), (reply.success, reply.match_index))


class TwoVoterTest(testtools.TestCase):
    """Elections after one of two voters lost its disk; specified in `two_voter_spec`."""

    def survivor(self, committed: bool) -> LedgerReplica:
        """Voter a after a restart; its log removes c from the voter set."""
        change = Entry(2, 1, ChangeVoters(VOTERS[:2]))
        recovered = empty_ledger(VOTERS)
        recovered.hard_state = HardState(1, VOTERS[0])
        recovered.entries = [entry(1), change]
        recovered.commit_index = 2 if committed else 1
        return LedgerReplica(VOTERS[0], recovered, random.Random(3), 0.0)

    def run_elections(self, replica: LedgerReplica, now: float) -> list[Effect]:
        """Ticks past the election timeout and returns all effects; writes are durable at once."""
        found: list[Effect] = []
        for _ in range(40):
            now += 0.1
            pending = replica.tick(now)
            while pending:
                effect = pending.pop(0)
                found.append(effect)
                if isinstance(effect, Persist):
                    pending += replica.persisted(now, effect.write_id)
        return found

    def identity_nonce(self, effects: list[Effect]) -> int:
        """The nonce of the identity question among the effects."""
        (sent,) = [e.message for e in effects if isinstance(e, Send)]
        assert isinstance(sent, IdentityQuestion)
        return sent.number

    def test_a_restarted_voter_of_two_leads_alone_once_the_other_disk_is_proved_lost(self) -> None:
        replica = self.survivor(committed=True)
        self.run_elections(replica, 0.0)
        self.assertNotEqual(ReplicaRole.LEADER, replica.role)
        other = Voter("b", "new-disk")
        nonce = self.identity_nonce(replica.handle(9.0, "b", LearnerHello(other)))
        replica.handle(9.0, "b", LearnerHello(other, nonce))
        self.run_elections(replica, 9.0)
        self.assertIs(ReplicaRole.LEADER, replica.role)
        self.assertTrue(replica.is_active_leader(14.0))

    def test_a_delayed_hello_is_no_proof_of_a_lost_disk(self) -> None:
        replica = self.survivor(committed=True)
        old = Voter("b", "older-disk")
        nonce = self.identity_nonce(replica.handle(1.0, "b", LearnerHello(old)))
        for answer_to in (0, 7, nonce + 1):
            again = self.identity_nonce(replica.handle(1.0, "b", LearnerHello(old, answer_to)))
            self.assertEqual(nonce, again)
        self.run_elections(replica, 1.0)
        self.assertNotEqual(ReplicaRole.LEADER, replica.role)

    def test_a_possibly_uncommitted_change_requires_the_previous_voter_set(self) -> None:
        replica = self.survivor(committed=False)
        other = Voter("b", "new-disk")
        nonce = self.identity_nonce(replica.handle(1.0, "b", LearnerHello(other)))
        replica.handle(1.0, "b", LearnerHello(other, nonce))
        sent_to_c = [
            effect.message
            for effect in self.run_elections(replica, 1.0)
            if isinstance(effect, Send) and effect.to == "c"
        ]
        self.assertNotEqual(ReplicaRole.LEADER, replica.role)
        self.assertIsInstance(sent_to_c[-1], VoteRequest)
        replica.handle(5.0, "c", VoteReply(2, VOTERS[2], True, trial=True))
        replica.handle(5.0, "c", VoteReply(2, VOTERS[2], True, trial=False))
        self.assertIs(ReplicaRole.LEADER, replica.role)

    def test_a_removed_voter_keeps_granting_votes(self) -> None:
        recovered = empty_ledger(VOTERS)
        recovered.entries = [entry(1), Entry(2, 1, ChangeVoters(VOTERS[:2]))]
        recovered.commit_index = 2
        replica = LedgerReplica(VOTERS[2], recovered, random.Random(3), 0.0)
        effects = replica.handle(LATER, "a", VoteRequest(2, VOTERS[0], 2, 1, trial=True))
        (reply,) = [e.message for e in effects if isinstance(e, Send)]
        assert isinstance(reply, VoteReply)
        self.assertTrue(reply.granted)
        sent = [e for e in self.run_elections(replica, LATER) if isinstance(e, Send)]
        self.assertEqual([], [e for e in sent if isinstance(e.message, VoteRequest)])

    def test_a_voter_that_was_left_out_leads_until_a_voter_has_its_longer_log(self) -> None:
        """Only c has the last entry: a lost its disk before b received it."""
        recovered = empty_ledger(VOTERS)
        recovered.hard_state = HardState(1, VOTERS[0])
        recovered.entries = [entry(1), Entry(2, 1, ChangeVoters(VOTERS[:2])), entry(3)]
        recovered.commit_index = 2
        replica = LedgerReplica(VOTERS[2], recovered, random.Random(3), 0.0)
        other = Voter("a", "new-disk")
        nonce = self.identity_nonce(replica.handle(1.0, "a", LearnerHello(other)))
        replica.handle(1.0, "a", LearnerHello(other, nonce))
        self.run_elections(replica, 1.0)
        now = 5.0
        replica.handle(now, "b", VoteReply(2, VOTERS[1], True, trial=True))
        effects = replica.handle(now, "b", VoteReply(2, VOTERS[1], True, trial=False))
        self.assertIs(ReplicaRole.LEADER, replica.role)
        requests = [e.message for e in effects if isinstance(e, Send) and e.to == "b"]
        (request,) = [m for m in requests if isinstance(m, AppendRequest)]
        replica.handle(now, "b", AppendReply(2, VOTERS[1], True, 4, request.nonce))
        sent = [e.message for e in replica.tick(now + 0.05) if isinstance(e, Send)]
        self.assertEqual([HandOverMessage(2)], sent)

    def test_only_a_node_outside_the_voter_set_answers_an_identity_question(self) -> None:
        question = IdentityQuestion(5)
        self.assertEqual(
            [],
            LedgerReplica(VOTERS[1], empty_ledger(VOTERS), random.Random(1), 0.0).handle(
                0.0, "a", question
            ),
        )
        local_voter = Voter("b", "new-disk")
        learner = LedgerReplica(local_voter, empty_ledger([]), random.Random(1), 0.0)
        self.assertEqual(
            [Send("a", LearnerHello(local_voter, 5))], learner.handle(0.0, "a", question)
        )

    def test_a_follower_writes_the_commit_index_with_the_entries(self) -> None:
        replica = LedgerReplica(VOTERS[1], empty_ledger(VOTERS), random.Random(1), 0.0)
        first = AppendRequest(1, VOTERS[0], 0, 0, [entry(1)], 0, nonce=1)
        second = AppendRequest(1, VOTERS[0], 1, 1, [entry(2)], 1, nonce=2)
        replica.handle(LATER, "a", first)
        writes = [e for e in replica.handle(LATER, "a", second) if isinstance(e, Persist)]
        self.assertEqual([1], [write.commit_index for write in writes])


class OrderWindowTest(testtools.TestCase):
    """A new leader sends no order until one lease after the last window of another leader."""

    def test_the_wait_starts_when_the_window_is_observed_not_at_the_election(self) -> None:
        windows = OrderWindows()
        self.assertEqual(float("-inf"), windows.earliest_order_at("", "b", LEASE_S))
        windows.observe(1, 10.0)
        windows.observe(1, 12.0)
        expected = 10.0 + ORDER_WINDOW_S + MAX_ORDER_DELAY_S + LEASE_S
        self.assertEqual(expected, windows.earliest_order_at("a", "b", LEASE_S))
        windows.observe(2, 12.5)
        self.assertEqual(expected + 2.5, windows.earliest_order_at("a", "b", LEASE_S))

    def test_a_leader_does_not_wait_for_its_own_window(self) -> None:
        windows = OrderWindows()
        windows.observe(7, 10.0)
        self.assertEqual(float("-inf"), windows.earliest_order_at("b", "b", LEASE_S))

    def test_the_state_records_the_newest_window_holder(self) -> None:
        state = LedgerState()
        for holder in ("a", "b"):
            state.apply(OpenOrderWindow(holder))
        self.assertEqual((2, "b"), (state.order_windows, state.last_order_holder))

    def test_after_a_full_restart_the_previous_leader_campaigns_first(self) -> None:
        recovered = self.restarted(epoch=1)
        due = {}
        for voter in VOTERS:
            replica = LedgerReplica(voter, recovered, random.Random(4), 0.0)
            ticks = range(1, 400)
            due[voter.node_id] = next(n for n in ticks if replica.tick(n * 0.01))
        self.assertEqual("b", min(due, key=due.__getitem__))
        self.assertLess(due["b"] * 0.01, 0.3)
        self.assertGreater(min(due["a"], due["c"]) * 0.01, 1.0)

    def restarted(self, epoch: int) -> RecoveredLedger:
        """Recovered state of a voter in this epoch; its log ends with epoch 1, led by b."""
        recovered = empty_ledger(VOTERS)
        recovered.hard_state = HardState(epoch, None)
        recovered.entries = [Entry(1, 1, StartEpoch("b"))]
        return recovered

    def granted(self, epoch: int, candidate: Voter) -> bool:
        """Whether c grants its vote directly after a restart."""
        replica = LedgerReplica(VOTERS[2], self.restarted(epoch), random.Random(4), 0.0)
        request = VoteRequest(epoch + 1, candidate, 1, 1, trial=True)
        effects = replica.handle(0.05, candidate.node_id, request)
        replies = [e.message for e in effects if isinstance(e, Send)]
        return any(isinstance(m, VoteReply) and m.granted for m in replies)

    def test_a_restarted_voter_votes_at_once_only_for_the_previous_leader(self) -> None:
        self.assertTrue(self.granted(1, VOTERS[1]))
        self.assertFalse(self.granted(1, VOTERS[0]))
        # Another node may have led in epoch 2, and this voter may have confirmed its lease.
        self.assertFalse(self.granted(2, VOTERS[1]))

    def test_a_voter_with_a_newer_leader_does_not_vote_for_the_previous_one(self) -> None:
        replica = LedgerReplica(VOTERS[2], self.restarted(1), random.Random(4), 0.0)
        replica.handle(0.1, "a", AppendRequest(2, VOTERS[0], 1, 1, [], 0, nonce=1))
        request = VoteRequest(3, VOTERS[1], 1, 1, trial=True)
        self.assertEqual([], replica.handle(0.2, "b", request))


class FakeLedger:
    """A leader's ledger whose lease and commits can be switched off."""

    def __init__(self) -> None:
        self.has_lease = True
        self.proposed: list[Command] = []
        self.fails = False

    def is_active_leader(self) -> bool:
        """Whether the lease is valid."""
        return self.has_lease

    async def propose(self, command: Command) -> CommandResult:
        """Commits immediately, or raises if `fails` is set."""
        if self.fails:
            raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, "lost")
        self.proposed.append(command)
        return Done()


class OwnWindowTest(testtools.TestCase):
    """Opening and expiry of the leader's order window."""

    def setUp(self) -> None:
        super().setUp()
        self.ledger = FakeLedger()
        self.now = 100.0
        clock = mock.patch("stileloom.jobs.order_window.steady_time", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        self.window = OrderWindow("a", self.ledger)

    def test_orders_are_sent_only_within_a_committed_window(self) -> None:
        self.assertFalse(self.window.is_open())
        self.assertTrue(asyncio.run(self.window.open()))
        self.assertTrue(asyncio.run(self.window.open()))
        self.assertEqual([OpenOrderWindow("a")], self.ledger.proposed)
        self.now += ORDER_WINDOW_S + 0.01
        self.assertFalse(self.window.is_open())
        self.assertTrue(asyncio.run(self.window.open()))
        self.assertEqual(2, len(self.ledger.proposed))

    def test_no_orders_are_sent_without_the_lease_or_the_commit(self) -> None:
        self.ledger.fails = True
        self.assertFalse(asyncio.run(self.window.open()))
        self.ledger.fails = False
        self.assertTrue(asyncio.run(self.window.open()))
        self.ledger.has_lease = False
        self.assertFalse(self.window.is_open())
        self.assertFalse(asyncio.run(self.window.open()))
