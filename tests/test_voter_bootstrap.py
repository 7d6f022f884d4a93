"""The first voter set on fleets with fewer disks than it is meant to have."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import msgspec
import testtools

from stileloom.api.object_store import ObjectRecord
from stileloom.daemon import ledger_start
from stileloom.daemon.ledger_start import agree_on_voters
from stileloom.errors import ErrorKind, Outcome, StileloomError
from stileloom.jobs import client as client_module
from stileloom.jobs.client import JobClient
from stileloom.jobs.leader_search import LedgerNodes
from stileloom.jobs.messages import JobReply, JobTaken, NotLeader, SubmitJobCall
from stileloom.ledger import bootstrap
from stileloom.ledger.bootstrap import (
    FEW_VOTERS_WAIT_S,
    INCOMPLETE_SET_WAIT_S,
    IncompleteSetTimer,
    VoterSetRecord,
    join_voter_set,
    seal_voter_set,
)
from stileloom.ledger.commands import Voter
from stileloom.logging import EventLog
from tests.ledger_cluster import LedgerCluster
from tests.ports import free_port
from tests.test_item_scheduler import record

WANTED = 5
STEP_S = 0.2


def voters(count: int) -> list[Voter]:
    """The first `count` disks."""
    return [Voter(name, f"disk-{name}") for name in "abcde"[:count]]


def seconds_until_sealed(count: int) -> float:
    """When a set of `count` of five voters, to which none is added, is sealed."""
    timer = IncompleteSetTimer()
    present = VoterSetRecord(WANTED, voters(count))
    steps = 0
    while not timer.is_due(steps * STEP_S, present):
        steps += 1
    return steps * STEP_S


class FakeStore:
    """One record with compare-and-swap; `down` makes all calls fail."""

    def __init__(self) -> None:
        self.record: ObjectRecord | None = None
        self.down = False
        self.calls = 0
        self.sealed_sets: list[list[Any]] = []

    def _count_call(self) -> None:
        self.calls += 1
        if self.down:
            raise StileloomError(ErrorKind.PLATFORM_UNAVAILABLE, "down")

    async def get_object(self, kind: str, name: str) -> ObjectRecord | None:
        """Returns the record."""
        self._count_call()
        await asyncio.sleep(0)
        return self.record

    async def create_object(self, kind: str, name: str, spec: Any) -> ObjectRecord:
        """Creates the record."""
        self._count_call()
        if self.record is not None:
            raise StileloomError(ErrorKind.CONFLICT, "exists")
        return self._store(ObjectRecord(name, 1, spec))

    async def replace_object(self, kind: str, record: ObjectRecord) -> ObjectRecord:
        """Replaces the record if its revision is unchanged."""
        self._count_call()
        if self.record is None or self.record.revision != record.revision:
            raise StileloomError(ErrorKind.CONFLICT, "changed")
        return self._store(msgspec.structs.replace(record, revision=record.revision + 1))

    def _store(self, record: ObjectRecord) -> ObjectRecord:
        if len(record.spec["voters"]) >= record.spec["target_count"]:
            self.sealed_sets.append(record.spec["voters"])
        self.record = record
        return record


class TimerTest(testtools.TestCase):
    """When an incomplete set is sealed."""

    def test_sets_of_one_to_four_voters_are_sealed(self) -> None:
        """Guards against a fleet with four disks on which no job was ever accepted."""
        waits = [round(seconds_until_sealed(count), 1) for count in (1, 2, 3, 4)]
        few, most = round(FEW_VOTERS_WAIT_S, 1), round(INCOMPLETE_SET_WAIT_S, 1)
        self.assertEqual([few, few, few, most], waits)

    def test_every_further_voter_starts_the_wait_anew(self) -> None:
        timer = IncompleteSetTimer()
        for count in (1, 2, 3):
            now = count * (INCOMPLETE_SET_WAIT_S - STEP_S)
            self.assertFalse(timer.is_due(now, VoterSetRecord(WANTED, voters(count))))

    def test_time_without_the_store_does_not_count(self) -> None:
        """Guards against a set of one voter after an outage in which nobody could join."""
        timer = IncompleteSetTimer()
        alone = VoterSetRecord(WANTED, voters(1))
        self.assertFalse(timer.is_due(0.0, alone))
        timer.reset()
        self.assertFalse(timer.is_due(FEW_VOTERS_WAIT_S + 1.0, alone))

    def test_a_sealed_incomplete_set_takes_nobody(self) -> None:
        sealed = seal_voter_set(VoterSetRecord(WANTED, voters(3)))
        self.assertTrue(sealed.sealed)
        self.assertIsNone(join_voter_set(sealed, Voter("e", "disk-e"), WANTED))


class AgreementTest(testtools.TestCase):
    """Nodes that agree through the object store."""

    def setUp(self) -> None:
        super().setUp()
        for name, value in (("INCOMPLETE_SET_WAIT_S", 0.2), ("FEW_VOTERS_WAIT_S", 0.4)):
            patch = mock.patch.object(bootstrap, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        for name in ("BOOTSTRAP_RETRY_S", "MAX_BOOTSTRAP_RETRY_S"):
            patch = mock.patch.object(ledger_start, name, 0.02)
            patch.start()
            self.addCleanup(patch.stop)

    def agree(self, store: FakeStore, count: int, late_s: float = 0.0) -> list[list[Voter]]:
        """What each of `count` nodes agrees on; the last one starts `late_s` later."""

        async def start(voter: Voter, delay_s: float) -> list[Voter]:
            await asyncio.sleep(delay_s)
            log = EventLog(voter.node_id)
            return await agree_on_voters(store, "voterset", voter, WANTED, log)  # type: ignore[arg-type]

        async def run() -> list[list[Voter]]:
            nodes = voters(count)
            delays = [0.0] * (count - 1) + [late_s]
            return await asyncio.gather(*map(start, nodes, delays))

        return asyncio.run(run())

    def test_all_nodes_agree_on_one_set_of_any_size(self) -> None:
        """Guards against two sets, whose leaders would both accept jobs."""
        for count in (1, 2, 3, 4, 5):
            store = FakeStore()
            agreed = self.agree(store, count)
            self.assertEqual(count, len(agreed[0]))
            self.assertEqual(1, len({tuple(found) for found in agreed}))
            self.assertEqual(1, len(store.sealed_sets))

    def test_a_node_that_comes_late_finds_the_set_sealed_without_it(self) -> None:
        agreed = self.agree(FakeStore(), 5, late_s=1.0)
        self.assertEqual([voters(4)] * 5, [sorted(found, key=str) for found in agreed])

    def test_nodes_that_start_while_the_store_is_down_agree_once_it_is_back(self) -> None:
        store = FakeStore()
        store.down = True

        async def run() -> list[Voter]:
            log = EventLog("a")
            node = asyncio.ensure_future(
                agree_on_voters(store, "voterset", voters(1)[0], WANTED, log)  # type: ignore[arg-type]
            )
            await asyncio.sleep(0.6)
            self.assertFalse(node.done())
            store.down = False
            return await node

        self.assertEqual(voters(1), asyncio.run(run()))


class GrowthTest(testtools.TestCase):
    """Ledgers that began with fewer voters, in virtual time."""

    def test_every_size_elects_a_leader_and_grows_to_all_disks(self) -> None:
        """Guards against an incomplete set that stays as small as it began."""
        for count in (1, 2, 3, 4):
            cluster = LedgerCluster("abcde"[:count], "abcde"[count:], wanted=WANTED)
            cluster.start("abcde"[:count])
            cluster.run_for(3.0)
            self.assertIsNotNone(cluster.leader(), f"{count} voters")
            cluster.start("abcde"[count:])
            cluster.run_for(10.0)
            leader = cluster.leader()
            assert leader is not None
            self.assertEqual(WANTED, len(cluster.replica(leader).voters), f"{count} voters")

    def test_four_voters_keep_entries_and_commit_after_one_loss(self) -> None:
        cluster = LedgerCluster("abcd", wanted=WANTED)
        cluster.start("abcd")
        cluster.run_for(3.0)
        leader = cluster.leader()
        assert leader is not None
        lost_at = cluster.now
        cluster.kill(leader)
        cluster.run_for(4.0)
        self.assertIsNotNone(cluster.leader())
        self.assertGreater(cluster.committed_at[-1], lost_at)


class FirstLeaderTest(testtools.TestCase):
    """Jobs while no leader has ever been found."""

    def test_a_job_is_refused_at_once_with_a_retry_hint(self) -> None:
        """Guards against callers held until their deadline by a ledger that never started."""

        async def run() -> StileloomError:
            nodes = LedgerNodes([("127.0.0.1", free_port())])
            client = JobClient(nodes, EventLog("gateway"), lambda: None)
            with mock.patch.object(client_module, "FIRST_LEADER_WAIT_S", 0.0):
                submission = record("j", 1, step=1).submission
                try:
                    # One search, whose probes are refused, and the pause after it.
                    async with asyncio.timeout(0.5):
                        await client.call(SubmitJobCall(submission), "j", 5.0)
                except StileloomError as error:
                    return error
                finally:
                    client.close()
            raise AssertionError("the job was not refused")

        error = asyncio.run(run())
        self.assertEqual(ErrorKind.LEDGER_UNAVAILABLE, error.kind)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        self.assertIsNotNone(error.retry_after_s)


class LateGatewayTest(testtools.TestCase):
    """A gateway whose first call is a job, long after its start."""

    def test_it_searches_the_leader_before_it_refuses(self) -> None:
        """Guards against a job refused by a gateway that has never looked for the leader."""

        async def run() -> JobReply:
            client = JobClient(LedgerNodes([("127.0.0.1", 1)]), EventLog("gateway"), lambda: None)
            found = mock.AsyncMock(return_value=("127.0.0.1", 1))
            accepted = mock.AsyncMock(return_value=JobTaken())
            with (
                mock.patch.object(client_module, "FIRST_LEADER_WAIT_S", 0.0),
                mock.patch.object(client._search, "find", found),
                mock.patch.object(client, "_call_node", accepted),
            ):
                submission = record("j", 1, step=1).submission
                try:
                    return await client.call(SubmitJobCall(submission), "j", 1.0)
                finally:
                    client.close()

        self.assertEqual(JobTaken(), asyncio.run(run()))

    def test_a_job_is_held_while_a_leader_that_was_found_is_replaced(self) -> None:
        """Guards against jobs refused during an election."""

        async def run() -> JobReply:
            client = JobClient(LedgerNodes([("127.0.0.1", 1)]), EventLog("gateway"), lambda: None)
            leader = ("127.0.0.1", 1)
            found = mock.AsyncMock(side_effect=[leader, None, None, leader])
            replies = mock.AsyncMock(side_effect=[JobTaken(), NotLeader(""), JobTaken()])
            with (
                mock.patch.object(client_module, "FIRST_LEADER_WAIT_S", 0.0),
                mock.patch.object(client._search, "find", found),
                mock.patch.object(client, "_call_node", replies),
            ):
                submission = record("j", 1, step=1).submission
                try:
                    await client.call(SubmitJobCall(submission), "j", 1.0)
                    return await client.call(SubmitJobCall(submission), "j", 2.0)
                finally:
                    client.close()

        self.assertEqual(JobTaken(), asyncio.run(run()))


class PollingTest(testtools.TestCase):
    """Calls to the store while a set is incomplete."""

    def test_a_waiting_node_reads_the_record_less_and_less_often(self) -> None:
        """Guards against the 5 calls a second that each waiting node made."""
        pauses: list[float] = []
        store = FakeStore()
        now = [0.0]

        async def pause(seconds: float) -> None:
            pauses.append(seconds)
            now[0] += seconds

        with (
            mock.patch.object(ledger_start, "steady_time", lambda: now[0]),
            mock.patch.object(ledger_start.asyncio, "sleep", pause),
        ):
            store.get_object = mock.AsyncMock(side_effect=lambda kind, name: store.record)  # type: ignore[method-assign]
            log = EventLog("a")
            asyncio.run(agree_on_voters(store, "voterset", voters(1)[0], WANTED, log))  # type: ignore[arg-type]
        self.assertLess(len(pauses) / sum(pauses), 2.0)
