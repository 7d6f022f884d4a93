"""The end of a job: from the caller's request at any gateway to the commit at the leader.

Callers give up an attempt after `ATTEMPT_S` without an answer, close the connection and repeat the
request at another gateway.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from functools import partial

import testtools

from stileloom.clock import steady_time
from stileloom.daemon.ledger_node import LedgerNode
from stileloom.errors import StileloomError
from stileloom.jobs.client import JobClient
from stileloom.jobs.leader_search import LedgerNodes
from stileloom.jobs.messages import EndJobCall, JobEnded, NotLeader
from stileloom.jobs.registry import JobRecord
from stileloom.ledger.commands import SubmitJob
from stileloom.logging import EventLog, configure_logs
from stileloom.quarantine.messages import QuarantineListed, WatchQuarantineCall
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import (
    CONNECT_TIMEOUT_S,
    CallConnectionPool,
    CallFailed,
    CallServer,
)
from tests.ports import free_port
from tests.service_cluster import HOST, HOSTNAME, TIMEOUT_S, ServiceCluster, with_cluster
from tests.soak.loopback_proxy import Link, TcpProxy

ATTEMPT_S = 1.5
ATTEMPT_DELAY_S = 0.1
COMMIT_BOUND_S = 1.0
"""Time after a leader can be reached by which an end that a gateway has taken is committed."""
SCHEDULING_MARGIN_S = 0.3
STALLED_CONNECTION_BOUND_S = 2.0
"""Time by which a connection without replies is replaced; TCP can't tell that it is stalled."""
WATCH_WAIT_S = 2.0
MAX_ENTRIES = 1000
RUN_RESTART_S = 2.0
"""Time in which an unresponsive run of an open job is started again."""
NODES = 13
LARGE_LEDGER_HOSTS = [f"127.0.0.{number}" for number in range(2, 2 + NODES)]
GATEWAYS = 4
JOB = "job"
ITEMS = [f"item-{number}" for number in range(8)]
Handler = Callable[[Request], Awaitable[Reply]]


async def never_answer(request: Request) -> Reply:
    """Handles a call like a process that is suspended: the kernel still accepts connections."""
    await asyncio.Event().wait()
    return JobEnded()


def set_call_handler(node: LedgerNode, handler: Handler) -> None:
    """Replaces the handler of calls, on open connections too."""
    server = node._call_server
    assert server is not None
    server._handler = handler
    for connection in server._open_connections:
        connection._handler = handler


def silence(node: LedgerNode) -> None:
    """Nothing reaches a ledger node's peers or callers any more; its connections stay open."""
    assert node._driver is not None
    network = node._driver._network
    network.send = lambda address, message: None  # type: ignore[method-assign]
    network._on_message = lambda sender, message: None
    set_call_handler(node, never_answer)


async def ask_for_end(cluster: ServiceCluster, gateway: int, wait_s: float = ATTEMPT_S) -> int:
    """Sends one attempt; returns its status, or 0 if the caller left without an answer."""
    reader, writer = await asyncio.open_connection(HOST, cluster.front_ports[gateway])
    try:
        head = f"DELETE /v1/jobs/{JOB} HTTP/1.1\r\nHost: {HOSTNAME}\r\n\r\n"
        writer.write(head.encode())
        async with asyncio.timeout(wait_s):
            status_line = await reader.readline()
        return int(status_line.split()[1])
    except TimeoutError:
        return 0
    finally:
        writer.close()


async def ask_until_ended(cluster: ServiceCluster) -> None:
    """Repeats an end at the next gateway until it is answered with 200."""
    async with asyncio.timeout(TIMEOUT_S):
        gateway = 0
        while await ask_for_end(cluster, gateway % len(cluster.gateways)) != 200:
            gateway += 1
            await asyncio.sleep(ATTEMPT_DELAY_S)


def leader_of(cluster: ServiceCluster) -> LedgerNode:
    """Returns the node that leads."""
    name = cluster.leader()
    assert name is not None
    return cluster.ledger_nodes[name]


def job_at(node: LedgerNode) -> JobRecord | None:
    """Returns the job as a node's replica knows it."""
    assert node._driver is not None
    return node._driver.state.job_book.jobs.get(JOB)


def end_committed(cluster: ServiceCluster) -> bool:
    """Whether a node that leads has applied the end of the job."""
    jobs = [job_at(node) for node in cluster.ledger_nodes.values() if node.is_active_leader()]
    return any(job is not None and job.ended for job in jobs)


def holds_uncommitted_job(node: LedgerNode) -> bool:
    """Whether a replica's log holds the submission of the job, not known to be committed."""
    assert node._driver is not None
    replica = node._driver.replica
    entries = replica._log.after(replica.commit_index, MAX_ENTRIES)
    return any(isinstance(entry.command, SubmitJob) for entry in entries)


async def open_job(cluster: ServiceCluster) -> None:
    """Submits a job whose items never finish; every gateway then knows the leader."""
    for name in ("draft-1", "draft-2"):
        cluster.samplers[name].faults.unresponsive = True
    answer = await cluster.submit(JOB, ITEMS)
    assert answer.code == 202
    for gateway in range(len(cluster.gateways)):
        target = f"/v1/jobs/{JOB}/results?position=0&wait_s=0"
        assert (await cluster.call("GET", target, gateway=gateway)).code == 200


class LostLeaderTest(testtools.TestCase):
    """Ends that are asked for while gateways still wait for a leader that has gone silent."""

    def test_an_end_is_committed_although_its_caller_has_left(self) -> None:
        """Guards against an end that is forgotten with its caller's connection."""

        async def scenario(cluster: ServiceCluster) -> None:
            await open_job(cluster)
            lost = leader_of(cluster)
            silence(lost)
            status = await ask_for_end(cluster, gateway=0, wait_s=0.3)
            self.assertEqual(0, status)
            nodes = cluster.ledger_nodes.values()
            await cluster.wait_until(lambda: any(n.is_active_leader() for n in nodes if n != lost))
            await asyncio.sleep(COMMIT_BOUND_S + SCHEDULING_MARGIN_S)
            self.assertTrue(end_committed(cluster))

        with_cluster(scenario)

    def test_a_repeated_end_finds_the_successor_among_standbys_that_name_the_lost_leader(
        self,
    ) -> None:
        """Guards against attempts that all end before their gateways have found the leader."""

        async def scenario() -> None:
            async with ServiceCluster(GATEWAYS, LARGE_LEDGER_HOSTS, losses_borne=2) as cluster:
                await open_job(cluster)
                lost = leader_of(cluster)
                silence(lost)
                end = asyncio.create_task(ask_until_ended(cluster))
                others = [node for node in cluster.ledger_nodes.values() if node is not lost]
                await cluster.wait_until(lambda: any(node.is_active_leader() for node in others))
                led_at = steady_time()
                await cluster.wait_until(lambda: end_committed(cluster))
                self.assertLess(steady_time() - led_at, COMMIT_BOUND_S + SCHEDULING_MARGIN_S)
                committed_at = steady_time()
                await end
                await asyncio.sleep(RUN_RESTART_S)
                starts = [run.started_at for s in cluster.samplers.values() for run in s.runs]
                self.assertEqual([], [at for at in starts if at > committed_at])

        configure_logs("critical")
        asyncio.run(scenario())


class RepeatedEndTest(testtools.TestCase):
    """Ends and submissions whose answers are lost, so that callers repeat them elsewhere."""

    def test_an_end_whose_answer_is_lost_is_confirmed_by_another_gateway(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await open_job(cluster)
            leader = leader_of(cluster)
            answers: list[Reply] = []

            async def lose_first_answer(request: Request) -> Reply:
                reply = await leader._handle_call(request)
                if isinstance(request, EndJobCall):
                    answers.append(reply)
                    if len(answers) == 1:
                        return await never_answer(request)
                return reply

            set_call_handler(leader, lose_first_answer)
            self.assertEqual(0, await ask_for_end(cluster, gateway=0, wait_s=0.5))
            self.assertEqual(200, await ask_for_end(cluster, gateway=1))
            self.assertEqual([JobEnded()] * 2, answers)

        with_cluster(scenario)

    def test_a_repeated_submission_does_not_reopen_an_ended_job(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await open_job(cluster)
            self.assertEqual(200, await ask_for_end(cluster, gateway=1))
            runs = sum(len(sampler.runs) for sampler in cluster.samplers.values())
            self.assertEqual(202, (await cluster.submit(JOB, ITEMS)).code)
            await asyncio.sleep(COMMIT_BOUND_S)
            self.assertTrue(end_committed(cluster))
            started = sum(len(sampler.runs) for sampler in cluster.samplers.values()) - runs
            self.assertEqual(0, started)

        with_cluster(scenario)

    def test_an_end_is_known_to_a_leader_that_never_answered_the_submission(self) -> None:
        """Guards against a 404 for a job that an earlier leader stored but did not commit."""

        async def scenario(cluster: ServiceCluster) -> None:
            first = leader_of(cluster)
            others = [node for node in cluster.ledger_nodes.values() if node is not first]
            assert first._driver is not None
            # The leader's entries reach the others, whose confirmations are lost.
            first._driver._network._on_message = lambda sender, message: None
            submission = asyncio.create_task(cluster.submit(JOB, ITEMS))
            await cluster.wait_until(lambda: all(holds_uncommitted_job(node) for node in others))
            self.assertIsNone(job_at(first))
            silence(first)
            await cluster.wait_until(lambda: any(node.is_active_leader() for node in others))
            self.assertEqual(200, await ask_for_end(cluster, gateway=1, wait_s=TIMEOUT_S))
            self.assertEqual(202, (await submission).code)
            self.assertTrue(end_committed(cluster))

        with_cluster(scenario)


class LeaderSearchTest(testtools.TestCase):
    """How long a client searches for the leader among nodes that are lost or name a lost one."""

    def answered_after(
        self, name_leader: Callable[[list[tuple[str, int]]], list[Handler]], timeout_s: float
    ) -> float:
        """Returns how long an end takes; the client holds the first node for the leader.

        `name_leader` returns the handler of each of `NODES` nodes, given their addresses.
        """

        async def run() -> float:
            configure_logs("critical")
            addresses = [(HOST, free_port()) for _ in range(NODES)]
            servers = [CallServer(handler) for handler in name_leader(addresses)]
            for server, address in zip(servers, addresses, strict=True):
                await server.start(*address)
            nodes = LedgerNodes(addresses)
            nodes.leader = addresses[0]
            client = JobClient(nodes, EventLog("gateway"), lambda: None)
            asked_at = steady_time()
            try:
                reply = await client.call(EndJobCall(JOB), JOB, timeout_s)
            finally:
                client.close()
                for server in servers:
                    server.stop()
            self.assertEqual(JobEnded(), reply)
            return steady_time() - asked_at

        return asyncio.run(run())

    def test_standbys_that_name_a_silent_node_hold_up_no_end(self) -> None:
        """Guards against waiting anew for a silent node whenever another node names it."""

        def handlers(addresses: list[tuple[str, int]]) -> list[Handler]:
            host, port = addresses[0]

            async def lead(request: Request) -> Reply:
                return JobEnded()

            async def name_silent_node(request: Request) -> Reply:
                return NotLeader(f"{host}:{port}")

            return [never_answer, *[name_silent_node] * (NODES - 2), lead]

        self.assertLess(self.answered_after(handlers, TIMEOUT_S), COMMIT_BOUND_S)


class SharedConnectionTest(testtools.TestCase):
    """Ends beside other calls of the same gateway, over one connection to a responsive leader."""

    def answered_after(self, commit_s: float) -> float:
        """Returns how long an end takes that is asked for while a long poll runs out of time."""

        async def run() -> float:
            configure_logs("critical")
            leader, follower = [(HOST, free_port()) for _ in range(2)]

            async def lead(request: Request) -> Reply:
                if isinstance(request, WatchQuarantineCall):
                    await asyncio.sleep(request.wait_s)
                    return QuarantineListed(None)
                await asyncio.sleep(commit_s)
                return JobEnded()

            async def name_leader(request: Request) -> Reply:
                return NotLeader(f"{leader[0]}:{leader[1]}")

            servers = [CallServer(lead), CallServer(name_leader)]
            for server, address in zip(servers, (leader, follower), strict=True):
                await server.start(*address)
            nodes = LedgerNodes([leader, follower])
            nodes.leader = leader
            client = JobClient(nodes, EventLog("gateway"), lambda: None)
            poll = asyncio.create_task(client.call(WatchQuarantineCall(0, WATCH_WAIT_S), "", 0.3))
            await asyncio.sleep(0.2)
            asked_at = steady_time()
            reply = await client.call(EndJobCall(JOB), JOB, TIMEOUT_S)
            took_s = steady_time() - asked_at
            await asyncio.wait((poll,))
            self.assertIsInstance(poll.exception(), StileloomError)
            client.close()
            for server in servers:
                server.stop()
            self.assertEqual(JobEnded(), reply)
            return took_s

        return asyncio.run(run())

    def test_a_long_poll_without_time_left_interrupts_no_end(self) -> None:
        """Guards against giving up a leader that holds a long poll for as long as it was asked."""
        self.assertLess(self.answered_after(commit_s=0.3), 0.3 + SCHEDULING_MARGIN_S)


class UnreachableNodeTest(testtools.TestCase):
    """Calls to an address that answers no connection attempt."""

    def test_concurrent_calls_wait_for_one_connection_attempt(self) -> None:
        """Guards against an end that queues behind the attempts of other calls, one by one."""

        async def run() -> float:
            with contextlib.ExitStack() as stack:
                address = unreachable_address(stack)
                connections = CallConnectionPool()
                asked_at = steady_time()
                calls = [connections.call(address, EndJobCall(JOB), TIMEOUT_S) for _ in range(8)]
                outcomes = await asyncio.gather(*calls, return_exceptions=True)
                took_s = steady_time() - asked_at
                self.assertEqual([False] * 8, [failed_after_send(error) for error in outcomes])
            return took_s

        self.assertLess(asyncio.run(run()), CONNECT_TIMEOUT_S + SCHEDULING_MARGIN_S)

    def test_a_call_that_is_cancelled_leaves_the_connection_attempt_to_the_others(self) -> None:
        async def run() -> tuple[bool, Reply]:
            server = CallServer(answer_at_once)
            address = (HOST, free_port())
            await server.start(*address)
            connections = CallConnectionPool()
            calls = [
                asyncio.create_task(connections.call(address, EndJobCall(JOB), TIMEOUT_S))
                for _ in range(2)
            ]
            await asyncio.sleep(0)
            calls[0].cancel()
            reply = await calls[1]
            connections.close()
            server.stop()
            return calls[0].cancelled(), reply

        self.assertEqual((True, JobEnded()), asyncio.run(run()))


async def answer_at_once(request: Request) -> Reply:
    """Handles a call like a leader."""
    return JobEnded()


def failed_after_send(outcome: Reply | BaseException) -> bool | None:
    """Whether a failed call may have been executed; None if it did not fail."""
    return outcome.sent if isinstance(outcome, CallFailed) else None


def unreachable_address(stack: contextlib.ExitStack) -> tuple[str, int]:
    """Returns the address of a socket whose full accept queue drops connection attempts."""
    listener = stack.enter_context(socket.socket())
    listener.bind((HOST, 0))
    listener.listen(0)
    address = listener.getsockname()
    for _ in range(3):
        filler = stack.enter_context(socket.socket())
        filler.setblocking(False)
        filler.connect_ex(address)
    return (address[0], address[1])


class ReachableLeaderTest(testtools.TestCase):
    """Leaders that a client can reach, but not by what it knew of the ledger's nodes before."""

    def test_a_leader_is_found_although_an_earlier_connection_to_it_is_stalled(self) -> None:
        """Guards against probes that reuse a connection on which nothing is answered any more."""

        async def run() -> float:
            configure_logs("critical")
            node = (HOST, free_port())
            proxy = TcpProxy(Link(), node)
            first, second = (HOST, free_port()), (HOST, await proxy.start(HOST))
            leader = first

            async def answer_as(address: tuple[str, int], request: Request) -> Reply:
                if leader == address:
                    return JobEnded()
                return NotLeader(f"{leader[0]}:{leader[1]}")

            servers = [CallServer(partial(answer_as, address)) for address in (first, second)]
            for server, address in zip(servers, (first, node), strict=True):
                await server.start(*address)
            client = JobClient(LedgerNodes([first, second]), EventLog("gateway"), lambda: None)
            for address in (second, first):
                leader = address
                await client.call(EndJobCall(JOB), JOB, TIMEOUT_S)
            proxy.stall_open_connections()
            leader = second
            asked_at = steady_time()
            try:
                self.assertEqual(JobEnded(), await client.call(EndJobCall(JOB), JOB, TIMEOUT_S))
            finally:
                client.close()
                proxy.stop()
                for server in servers:
                    server.stop()
            return steady_time() - asked_at

        self.assertLess(asyncio.run(run()), STALLED_CONNECTION_BOUND_S)

    def test_a_leader_missing_in_the_list_is_found_although_a_listed_node_answers(self) -> None:
        """Guards against relying on a list that was read before all nodes had registered."""

        async def run() -> Reply:
            configure_logs("critical")
            listed, leader = (HOST, free_port()), (HOST, free_port())

            async def name_itself(request: Request) -> Reply:
                return NotLeader(f"{listed[0]}:{listed[1]}")

            servers = [CallServer(name_itself), CallServer(answer_at_once)]
            for server, address in zip(servers, (listed, leader), strict=True):
                await server.start(*address)
            nodes = LedgerNodes([listed, leader])
            nodes.update_addresses([listed])
            client = JobClient(nodes, EventLog("gateway"), lambda: None)
            try:
                return await client.call(EndJobCall(JOB), JOB, COMMIT_BOUND_S)
            finally:
                client.close()
                for server in servers:
                    server.stop()

        self.assertEqual(JobEnded(), asyncio.run(run()))
