"""The driver of load sharing over real connections, and its wiring into the programs."""

from __future__ import annotations

import asyncio
import math
import time

import testtools
from prometheus_client import CollectorRegistry

from stileloom.background import Ticker
from stileloom.clock import steady_time
from stileloom.daemon.gateway import STALL_CHECK_INTERVAL_S
from stileloom.daemon.ledger_node import STEP_INTERVAL_S
from stileloom.daemon.load_sharing import LoadSharing
from stileloom.jobs.messages import JobEnded
from stileloom.load import LoadReading, LoadView
from stileloom.load.messages import LoadShared, ShareLoadCall
from stileloom.load.metrics import LoadMetrics
from stileloom.load.stall import STALL_S
from stileloom.logging import EventLog, configure_logs
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import CallConnection, CallServer
from tests.ports import free_port
from tests.service_cluster import ServiceCluster, with_cluster
from tests.test_load_exchange import FULL, SERVICE, Node, encoded, entry

HOST = "127.0.0.1"
MARGIN_S = 2.0
"""For a busy machine; the limits themselves are tested in virtual time."""


async def reply_shared(request: Request) -> Reply:
    """A node that replies."""
    return LoadShared([])


async def reply_wrong(request: Request) -> Reply:
    """A node with a reply of another kind."""
    return JobEnded()


async def never_reply(request: Request) -> Reply:
    """A frozen node: its connections stay open."""
    await asyncio.Event().wait()
    raise AssertionError


def services_in(view: LoadView) -> list[str]:
    """Services of which a sampler reported slowness in the last seconds."""
    return [name for name in ("charts", "drafts") if view.is_in_use(name, steady_time())]


class DriverTest(testtools.TestCase):
    """Outcomes of exchanges as they are counted."""

    def test_outcomes(self) -> None:
        configure_logs("error")

        async def run(handler: object) -> dict[str, float]:
            server = CallServer(handler) if handler is not None else None  # type: ignore[arg-type]
            port = free_port()
            if server is not None:
                await server.start(HOST, port)
            gateway = Node([entry(0)])
            gateway.exchange.update_nodes({"n": (HOST, port)})
            metrics = LoadMetrics(CollectorRegistry(), gateway.view)
            sharing = LoadSharing(gateway.exchange, EventLog("g"), metrics)
            sharing.on_lookup_active(SERVICE)
            gateway.measure(0, FULL, steady_time())
            sharing.on_lookup_active(SERVICE)
            sharing.on_lookup_active(SERVICE)
            counted: dict[str, float] = {}
            async with asyncio.timeout(MARGIN_S):
                while not counted:
                    await asyncio.sleep(0.01)
                    counted = {
                        sample.labels["outcome"]: sample.value
                        for family in metrics.exchanges.collect()
                        for sample in family.samples
                        if sample.name.endswith("_total")
                    }
            sharing.stop()
            if server is not None:
                server.stop()
            return counted

        cases = [
            (reply_shared, "completed"),
            (reply_wrong, "invalid"),
            (never_reply, "no_reply"),
            (None, "lost"),
        ]
        for handler, outcome in cases:
            self.assertEqual({outcome: 1.0}, asyncio.run(run(handler)))

    def test_address_that_cannot_be_used(self) -> None:
        """An exception of another kind must not end the sharing of the service."""
        configure_logs("error")

        async def run(address: tuple[str, int]) -> None:
            gateway = Node([entry(0)])
            gateway.exchange.update_nodes({"n": address})
            metrics = LoadMetrics(CollectorRegistry(), gateway.view)
            sharing = LoadSharing(gateway.exchange, EventLog("g"), metrics)
            gateway.measure(0, FULL, steady_time())
            sharing.on_lookup_active(SERVICE)
            failed = metrics.exchanges.labels("error")
            async with asyncio.timeout(MARGIN_S):
                while not failed._value.get():
                    await asyncio.sleep(0.01)
            later = steady_time() + 1.0
            gateway.measure(0, FULL, later)
            self.assertIsNotNone(gateway.exchange.begin(SERVICE, later))
            sharing.stop()

        for address in ((HOST, 99999), (HOST, -5), ("a" * 70 + ".example", 80)):
            asyncio.run(run(address))


class FrozenNodeTest(testtools.TestCase):
    """A node whose process is blocked while calls arrive."""

    def test_calls_that_arrived_meanwhile_are_handled_after_the_step_that_detects_it(self) -> None:
        """Otherwise their readings would be taken for new ones."""

        async def run(frozen_s: float) -> int:
            node = Node([entry(0)])
            service = node.service

            async def handle(request: Request) -> Reply:
                assert isinstance(request, ShareLoadCall)
                return service.handle(request, steady_time())

            server = CallServer(handle)
            port = free_port()
            await server.start(HOST, port)
            ticker = Ticker(lambda: service.step(steady_time()), STEP_INTERVAL_S)
            ticker.start()
            await asyncio.sleep(2 * STEP_INTERVAL_S)
            connection = await CallConnection.open((HOST, port))
            call = ShareLoadCall([encoded(entry(0))], [])
            pending = asyncio.get_running_loop().create_task(connection.call(call, MARGIN_S))
            # The call is in the node's socket when the event loop stops.
            await asyncio.sleep(0)
            time.sleep(frozen_s)
            await pending
            ticker.stop()
            connection.close()
            server.stop()
            return len(node.view.unexpired(steady_time()))

        self.assertEqual(0, asyncio.run(run(STALL_S + STEP_INTERVAL_S)))
        self.assertEqual(1, asyncio.run(run(0.0)))


class ProgramsTest(testtools.TestCase):
    """A gateway and the ledger node of its zone."""

    def test_responses_to_lookups_items_and_reward_calls_are_recorded(self) -> None:
        """Guards against sources that are tested but not wired in."""

        async def scenario(cluster: ServiceCluster) -> None:
            for sampler in cluster.samplers.values():
                sampler.load = "2,0,4,180"
            answer = await cluster.call("POST", "/charts/x", b"", request_id="r1")
            self.assertEqual(200, answer.code)
            self.assertEqual(["charts"], services_in(cluster.gateways[0]._load))
            await cluster.submit("job", ["i1", "i2"], rewards=True)
            await cluster.results("job", 2)
            leader = cluster.leader()
            assert leader is not None
            view = cluster.ledger_nodes[leader]._load
            self.assertEqual(["charts", "drafts"], services_in(view))
            for known in view.unexpired(steady_time()):
                self.assertEqual(LoadReading(2, 0, 4, 1.8), known.reading)

        with_cluster(scenario)

    def test_a_gateway_notices_that_it_was_frozen(self) -> None:
        """Guards against a stall detector that is tested but not wired in."""

        async def scenario(cluster: ServiceCluster) -> None:
            views = [gateway._load for gateway in cluster.gateways]
            views += [node._load for node in cluster.ledger_nodes.values()]

            def are_reliable() -> bool:
                return all(view.stalls.is_reliable(steady_time()) for view in views)

            await asyncio.sleep(3 * STALL_CHECK_INTERVAL_S)
            await cluster.wait_until(are_reliable)
            time.sleep(STALL_S + STALL_CHECK_INTERVAL_S)
            received_at = steady_time()
            # Before and after the first step that follows the stall.
            for _ in range(2):
                self.assertFalse(any(view.stalls.is_reliable(received_at) for view in views))
                await asyncio.sleep(0.01)
            await cluster.wait_until(are_reliable)

        with_cluster(scenario)

    def test_a_gateway_without_nodes_or_with_lost_ones_reads_them_again(self) -> None:
        """With the switch store_cache off nothing else reads them after the start."""

        async def scenario(cluster: ServiceCluster) -> None:
            gateway = cluster.gateways[0]
            gateway._cached_store.on_nodes_read = lambda records: None
            (listed, _) = gateway.directory.samplers.entries_of_service("charts")
            lost = {"lost": (HOST, free_port())}
            for nodes in ({}, lost):
                gateway._load_exchange.update_nodes(nodes)
                gateway._last_refresh_at = -math.inf
                now = steady_time()
                gateway._load.record(listed, LoadReading(4, 1, 4, 2.5), now, now)
                gateway._forwarder.on_lookup_active("charts")
                await cluster.wait_until(lambda: gateway._load_exchange._nodes not in ({}, lost))

        with_cluster(scenario)

    def test_readings_pass_through_the_ledger_node(self) -> None:
        """Guards against a part that is tested but not wired in."""

        async def scenario(cluster: ServiceCluster) -> None:
            first, second = cluster.gateways
            for gateway in cluster.gateways:
                # A node that registered after the gateway's start is found at the next refresh.
                await gateway._read_ledger_nodes()
            entries = first.directory.samplers.entries_of_service("charts")
            node_views = [node._load for node in cluster.ledger_nodes.values()]

            def is_shared() -> bool:
                now = steady_time()
                for number, gateway in enumerate(cluster.gateways):
                    gateway._load.record(entries[number], LoadReading(4, 1, 4, 2.5), now, now)
                    gateway._forwarder.on_lookup_active("charts")
                received = (first._load.latest(entries[1]), second._load.latest(entries[0]))
                return all(known is not None and known.shared for known in received)

            await cluster.wait_until(is_shared)
            self.assertTrue(any(view.latest(entries[0]) for view in node_views))
            await cluster.remove_sampler_entry(entries[0].sampler_id)
            for gateway in cluster.gateways:
                self.assertIsNone(gateway._load.latest(entries[0]))
                now = steady_time()
                gateway._load.record(entries[0], LoadReading(4, 1, 4, 2.5), now, now)
                gateway._load.remove(entries[1].sampler_id)
                self.assertFalse(gateway._load.has_full_or_slow_sampler("charts", now))

        with_cluster(scenario)
