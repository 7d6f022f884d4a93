"""The driver of load sharing over real connections, and its wiring into the programs."""

from __future__ import annotations

import asyncio

import testtools
from prometheus_client import CollectorRegistry

from stileloom.clock import steady_time
from stileloom.daemon.load_sharing import LoadSharing
from stileloom.jobs.messages import JobEnded
from stileloom.load import LoadReading
from stileloom.load.messages import LoadShared
from stileloom.load.metrics import LoadMetrics
from stileloom.logging import EventLog, configure_logs
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import CallServer
from tests.ports import free_port
from tests.service_cluster import ServiceCluster, with_cluster
from tests.test_load_exchange import FULL, SERVICE, Node, entry

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


class ProgramsTest(testtools.TestCase):
    """A gateway and the ledger node of its zone."""

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

        with_cluster(scenario)
