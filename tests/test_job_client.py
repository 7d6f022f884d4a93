"""Job client: choice of ledger nodes, retries, outcomes of unanswered calls, and framing."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

import testtools

from stileloom.errors import Outcome, StileloomError
from stileloom.events import LogEvent
from stileloom.jobs import client as client_module
from stileloom.jobs.client import JobClient
from stileloom.jobs.leader_search import LedgerNodes
from stileloom.jobs.messages import (
    EndJobCall,
    JobEnded,
    JobRefused,
    Leading,
    NotLeader,
    OutcomeUnknown,
    ProbeLeaderCall,
)
from stileloom.logging import EventLog, configure_logs
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import CallServer, FrameDecoder, encode_frame
from tests.ports import free_port

HOST = "127.0.0.1"
CALL = EndJobCall("j")
Handler = Callable[[Request], Awaitable[Reply]]


class LedgerNodesTest(testtools.TestCase):
    """Choice of the ledger node for the next attempt."""

    def test_a_seed_that_is_not_listed_is_no_longer_used(self) -> None:
        """Guards against delays at start from attempts to reach decommissioned machines."""
        gone, listed, new = ("10.0.0.1", 7), ("10.0.0.2", 7), ("10.0.0.3", 7)
        nodes = LedgerNodes([gone, listed])
        self.assertEqual([gone, listed], nodes.search_targets())
        nodes.update_addresses([])
        self.assertEqual([gone, listed], nodes.search_targets())
        nodes.update_addresses([listed, new])
        self.assertEqual([listed, new], nodes.search_targets())

    def test_seeds_are_used_again_after_a_search_found_no_leader(self) -> None:
        seed, listed = ("10.0.0.1", 7), ("10.0.0.2", 7)
        nodes = LedgerNodes([seed])
        nodes.update_addresses([listed])
        self.assertEqual([listed], nodes.search_targets())
        nodes.record_search(found=False)
        self.assertEqual([listed, seed], nodes.search_targets())
        nodes.record_search(found=True)
        self.assertEqual([listed], nodes.search_targets())


class JobClientTest(testtools.TestCase):
    """Calls of one client to several ledger nodes."""

    def outcome(
        self, *handlers: Handler | None, timeout_s: float = 0.6, known_leader: int | None = None
    ) -> Reply | Outcome:
        """Returns the reply or outcome of a call; None stands for a node that is down."""

        async def run() -> Reply | Outcome:
            configure_logs("critical")
            addresses = []
            for handler in handlers:
                port = free_port()
                addresses.append((HOST, port))
                if handler is not None:
                    await CallServer(handler).start(HOST, port)
            self.addresses = addresses
            nodes = LedgerNodes(addresses)
            nodes.leader = addresses[known_leader] if known_leader is not None else None
            client = JobClient(nodes, EventLog("n"), lambda: None)
            try:
                return await client.call(CALL, "j", timeout_s)
            except StileloomError as error:
                return error.outcome
            finally:
                client.close()

        with mock.patch.object(client_module, "CALL_TIMEOUT_S", 0.1):
            return asyncio.run(run())

    def test_a_call_that_reached_no_node_was_not_run(self) -> None:
        self.assertEqual(Outcome.NOT_RUN, self.outcome(None, None))

    def test_a_node_that_does_not_answer_leaves_the_outcome_unknown(self) -> None:
        async def unresponsive(request: Request) -> Reply:
            await asyncio.Event().wait()
            return JobEnded()

        self.assertEqual(Outcome.UNKNOWN, self.outcome(unresponsive, known_leader=0))

    def test_a_call_that_was_never_sent_since_no_node_says_it_leads_was_not_run(self) -> None:
        async def unresponsive(request: Request) -> Reply:
            await asyncio.Event().wait()
            return JobEnded()

        self.assertEqual(Outcome.NOT_RUN, self.outcome(unresponsive))

    def test_a_refusal_after_a_lost_reply_leaves_the_outcome_unknown(self) -> None:
        """Guards against a refusal of a job that an earlier attempt may still commit."""
        replies = [OutcomeUnknown(), JobRefused("the disk is full", 2.0)]

        async def answer(request: Request) -> Reply:
            return Leading() if isinstance(request, ProbeLeaderCall) else replies.pop(0)

        self.assertEqual(Outcome.UNKNOWN, self.outcome(answer))

    def test_a_refusal_at_once_is_passed_on(self) -> None:
        async def answer(request: Request) -> Reply:
            if isinstance(request, ProbeLeaderCall):
                return Leading()
            return JobRefused("the disk is full", 2.0)

        self.assertEqual(JobRefused("the disk is full", 2.0), self.outcome(answer))

    def test_a_leader_that_lost_its_leadership_leaves_the_outcome_unknown(self) -> None:
        async def lost(request: Request) -> Reply:
            return Leading() if isinstance(request, ProbeLeaderCall) else OutcomeUnknown()

        self.assertEqual(Outcome.UNKNOWN, self.outcome(lost))

    def test_a_call_that_only_reached_followers_was_not_run(self) -> None:
        async def follower(request: Request) -> Reply:
            return NotLeader("")

        self.assertEqual(Outcome.NOT_RUN, self.outcome(follower, follower))

    def test_nodes_that_still_name_a_failed_leader_do_not_delay_a_call(self) -> None:
        """Guards against a timeout for each follower that does not know the new leader yet."""
        calls_to_failed_leader = 0

        async def failed_leader(request: Request) -> Reply:
            nonlocal calls_to_failed_leader
            calls_to_failed_leader += 1
            await asyncio.Event().wait()
            return JobEnded()

        async def stale_follower(request: Request) -> Reply:
            host, port = self.addresses[1]
            return NotLeader(f"{host}:{port}")

        async def leader(request: Request) -> Reply:
            return JobEnded()

        handlers = [stale_follower, failed_leader, stale_follower, stale_follower, leader]
        self.assertEqual(JobEnded(), self.outcome(*handlers, timeout_s=20.0))
        self.assertEqual(1, calls_to_failed_leader)

    def test_a_known_leader_is_used_even_if_it_is_not_listed(self) -> None:
        async def leader(request: Request) -> Reply:
            return JobEnded()

        async def run() -> Reply:
            configure_logs("critical")
            unlisted, listed = (HOST, free_port()), (HOST, free_port())
            server = CallServer(leader)
            await server.start(*unlisted)
            nodes = LedgerNodes([unlisted])
            nodes.leader = unlisted
            nodes.update_addresses([listed])
            client = JobClient(nodes, EventLog("n"), lambda: None)
            try:
                return await client.call(CALL, "j", 2.0)
            finally:
                client.close()
                server.stop()

        self.assertEqual(JobEnded(), asyncio.run(run()))

    def test_a_redirect_to_the_leader_is_followed(self) -> None:
        async def leader(request: Request) -> Reply:
            return JobEnded()

        async def follower(request: Request) -> Reply:
            host, port = self.addresses[0]
            return NotLeader(f"{host}:{port}")

        reply = self.outcome(leader, follower, follower, timeout_s=20.0)
        self.assertEqual(JobEnded(), reply)


class UnresponsiveNodeTest(testtools.TestCase):
    """Log lines about ledger nodes that do not answer."""

    def lines(self, request_id: str) -> int:
        """Counts log lines about unresponsive nodes during a call with a timeout of 0.5 s."""
        events: list[LogEvent] = []
        configure_logs("error")
        log = EventLog("gateway")
        client = JobClient(LedgerNodes([(HOST, free_port())]), log, lambda: None)
        with mock.patch.object(log, "emit", lambda event, fields: events.append(event)):
            self.assertRaises(
                StileloomError, asyncio.run, client.call(EndJobCall("j"), request_id, 0.5)
            )
        return events.count(LogEvent.LEDGER_NODE_SILENT)

    def test_an_internal_call_logs_an_unresponsive_node_once(self) -> None:
        """Guards against a log line for each retry of a continuous internal call."""
        self.assertEqual(1, self.lines(""))

    def test_each_attempt_of_a_callers_request_is_logged(self) -> None:
        self.assertGreater(self.lines("r1"), 1)


class FrameTest(testtools.TestCase):
    """Framing of calls."""

    def test_frames_do_not_depend_on_how_the_input_is_split(self) -> None:
        sent = b"".join(asyncio.run(encode_frame(body)) for body in ("a", "b" * 100))
        for cut in range(len(sent)):
            reader = FrameDecoder()
            frames = reader.feed(sent[:cut]) + reader.feed(sent[cut:])
            self.assertEqual(2, len(frames))

    def test_an_oversized_frame_is_rejected(self) -> None:
        self.assertRaises(ValueError, FrameDecoder().feed, b"\xff\xff\xff\xff")
