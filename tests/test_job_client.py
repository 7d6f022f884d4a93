"""A gateway's calls to ledger nodes: whom it asks, and what it may say when nobody answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

import testtools

from stileloom.errors import Outcome, StileloomError
from stileloom.events import LogEvent
from stileloom.jobs import client as client_module
from stileloom.jobs.client import JobClient, LedgerNodes
from stileloom.jobs.messages import EndJobCall, JobEnded, NotLeader, OutcomeUnknown
from stileloom.logging import EventLog, configure_logs
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import CallServer, FrameReader, encode_frame
from tests.ports import free_port

HOST = "127.0.0.1"
CALL = EndJobCall("j")
Handler = Callable[[Request], Awaitable[Reply]]


class LedgerNodesTest(testtools.TestCase):
    """Which ledger nodes a gateway asks."""

    def targets(self, nodes: LedgerNodes, count: int) -> set[tuple[str, int] | None]:
        """Whom it asks in turn."""
        return {nodes.next_target() for _ in range(count)}

    def test_a_seed_that_the_store_does_not_list_is_asked_no_more(self) -> None:
        """It may be a machine that is gone for good: asking it costs each start half a second."""
        gone, listed, new = ("10.0.0.1", 7), ("10.0.0.2", 7), ("10.0.0.3", 7)
        nodes = LedgerNodes([gone, listed])
        self.assertEqual({gone, listed}, self.targets(nodes, 6))
        nodes.learn([])
        self.assertEqual({gone, listed}, self.targets(nodes, 6))
        nodes.learn([listed, new])
        self.assertEqual({listed, new}, self.targets(nodes, 6))

    def test_once_all_listed_nodes_were_silent_the_seeds_are_asked_again(self) -> None:
        seed, listed = ("10.0.0.1", 7), ("10.0.0.2", 7)
        nodes = LedgerNodes([seed])
        nodes.learn([listed])
        self.assertEqual({listed}, self.targets(nodes, 3))
        nodes.silent()
        self.assertEqual({seed, listed}, self.targets(nodes, 4))
        nodes.answered()
        self.assertEqual({listed}, self.targets(nodes, 3))

    def test_a_known_leader_is_asked_whatever_the_list_says(self) -> None:
        leader, listed = ("10.0.0.1", 7), ("10.0.0.2", 7)
        nodes = LedgerNodes([leader])
        nodes.leader = leader
        nodes.learn([listed])
        self.assertEqual({leader}, self.targets(nodes, 3))


class JobClientTest(testtools.TestCase):
    """One client and some nodes."""

    def outcome(self, *handlers: Handler | None, timeout_s: float = 0.6) -> Reply | Outcome:
        """What a call comes to with these nodes; None is a node that is down."""

        async def run() -> Reply | Outcome:
            configure_logs("critical")
            addresses = []
            for handler in handlers:
                port = free_port()
                addresses.append((HOST, port))
                if handler is not None:
                    await CallServer(handler).start(HOST, port)
            self.addresses = addresses
            client = JobClient(LedgerNodes(addresses), EventLog("n"), lambda: None)
            try:
                return await client.call(CALL, "j", timeout_s)
            except StileloomError as error:
                return error.outcome
            finally:
                client.close()

        with mock.patch.object(client_module, "CALL_TIMEOUT_S", 0.1):
            return asyncio.run(run())

    def test_nobody_reached_is_not_run(self) -> None:
        self.assertEqual(Outcome.NOT_RUN, self.outcome(None, None))

    def test_a_node_that_does_not_answer_leaves_the_outcome_unknown(self) -> None:
        async def silent(request: Request) -> Reply:
            await asyncio.Event().wait()
            return JobEnded()

        self.assertEqual(Outcome.UNKNOWN, self.outcome(silent))

    def test_a_leader_that_lost_its_place_leaves_the_outcome_unknown(self) -> None:
        async def lost(request: Request) -> Reply:
            return OutcomeUnknown()

        self.assertEqual(Outcome.UNKNOWN, self.outcome(lost))

    def test_nodes_that_only_say_that_they_do_not_lead_have_not_run_it(self) -> None:
        async def follower(request: Request) -> Reply:
            return NotLeader("")

        self.assertEqual(Outcome.NOT_RUN, self.outcome(follower, follower))

    def test_a_hint_is_followed(self) -> None:
        async def leader(request: Request) -> Reply:
            return JobEnded()

        async def follower(request: Request) -> Reply:
            host, port = self.addresses[0]
            return NotLeader(f"{host}:{port}")

        reply = self.outcome(leader, follower, follower, timeout_s=20.0)
        self.assertEqual(JobEnded(), reply)


class SilentNodeTest(testtools.TestCase):
    """What is logged of nodes that do not answer."""

    def lines(self, request_id: str) -> int:
        """Lines of silent nodes in a call that tries for half a second."""
        told: list[LogEvent] = []
        configure_logs("error")
        log = EventLog("gateway")
        client = JobClient(LedgerNodes([(HOST, free_port())]), log, lambda: None)
        with mock.patch.object(log, "emit", lambda event, fields: told.append(event)):
            self.assertRaises(
                StileloomError, asyncio.run, client.call(EndJobCall("j"), request_id, 0.5)
            )
        return told.count(LogEvent.LEDGER_NODE_SILENT)

    def test_a_call_of_the_nodes_own_tells_a_silent_node_once(self) -> None:
        """A gateway that followed the leader's list wrote ten lines a second without one."""
        self.assertEqual(1, self.lines(""))

    def test_each_try_of_a_callers_request_is_part_of_its_story(self) -> None:
        self.assertGreater(self.lines("r1"), 1)


class FrameTest(testtools.TestCase):
    """Frames of calls."""

    def test_any_cutting_gives_the_same_frames(self) -> None:
        sent = encode_frame("a") + encode_frame("b" * 100)
        for cut in range(len(sent)):
            reader = FrameReader()
            frames = reader.feed(sent[:cut]) + reader.feed(sent[cut:])
            self.assertEqual(2, len(frames))

    def test_a_frame_that_is_too_long_is_refused(self) -> None:
        self.assertRaises(ValueError, FrameReader().feed, b"\xff\xff\xff\xff")
