"""Established connections that stop responding without a reset, while new ones work.

The proxy keeps its TCP connections open and acknowledges all bytes, so only call time-outs can
detect the failure. The next call must use a new connection.
"""

from __future__ import annotations

import asyncio

import testtools

from stileloom.http1.caller import send_request
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.messages import EndJobCall, JobEnded
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import CallConnectionPool, CallFailed, CallServer
from tests.ports import free_port
from tests.service_cluster import ServiceCluster, with_cluster
from tests.soak.loopback_proxy import Link, TcpProxy

HOST = "127.0.0.1"
CALL = EndJobCall("j")
UNANSWERED_CALL_TIMEOUT_S = 0.3
ANSWERED_CALL_TIMEOUT_S = 30.0
DEADLINE_MS = "20000"


async def handle_call(request: Request) -> Reply:
    """Handles a call like a ledger node that responds immediately."""
    return JobEnded()


async def serve_http(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves HTTP like a sampler or object store that answers every request."""
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


class UnresponsiveConnectionTest(testtools.TestCase):
    """Calls over a connection that worked before."""

    def test_ledger_call_times_out_and_next_call_succeeds(self) -> None:
        async def run() -> tuple[bool, Reply]:
            server = CallServer(handle_call)
            port = free_port()
            await server.start(HOST, port)
            proxy = TcpProxy(Link(), (HOST, port))
            address = (HOST, await proxy.start(HOST))
            connections = CallConnectionPool()
            await connections.call(address, CALL, ANSWERED_CALL_TIMEOUT_S)
            proxy.stall_open_connections()
            sent = False
            try:
                await connections.call(address, CALL, UNANSWERED_CALL_TIMEOUT_S)
            except CallFailed as failure:
                sent = failure.sent
            reply = await connections.call(address, CALL, ANSWERED_CALL_TIMEOUT_S)
            connections.close()
            proxy.stop()
            server.stop()
            return sent, reply

        self.assertEqual((True, JobEnded()), asyncio.run(run()))

    def test_http_call_times_out_and_next_call_succeeds(self) -> None:
        """Covers the client used for the object store and for sampler reports and orders."""

        async def run() -> list[int | None]:
            server = await asyncio.start_server(serve_http, HOST, 0)
            proxy = TcpProxy(Link(), server.sockets[0].getsockname()[:2])
            address = (HOST, await proxy.start(HOST))
            pool = ConnectionPool()
            statuses: list[int | None] = []
            for timeout_s in (
                ANSWERED_CALL_TIMEOUT_S,
                UNANSWERED_CALL_TIMEOUT_S,
                ANSWERED_CALL_TIMEOUT_S,
            ):
                answer = await send_request(pool, "s", address, "GET", "/", [], b"", timeout_s)
                statuses.append(answer.head.status if answer is not None else None)
                if len(statuses) == 1:
                    proxy.stall_open_connections()
            pool.close_connections("s")
            proxy.stop()
            server.close()
            return statuses

        self.assertEqual([200, None, 200], asyncio.run(run()))


class UnresponsiveSamplerConnectionTest(testtools.TestCase):
    """Keep-alive connections from a gateway to its samplers."""

    def test_lookup_over_unresponsive_connection_is_answered_by_another_sampler(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            proxies = [await cluster.add_proxy(name) for name in ("chart-1", "chart-2")]
            for number in range(4):
                await cluster.call("POST", "/charts/7", b"x", request_id=f"warm{number}")
            proxies[0].stall_open_connections()
            for number in range(4):
                answer = await cluster.call(
                    "POST", "/charts/7", b"x", request_id=f"r{number}", deadline_ms=DEADLINE_MS
                )
                self.assertEqual(200, answer.code)
            for proxy in proxies:
                proxy.stop()

        with_cluster(scenario)

    def test_job_items_complete_after_connections_stop_responding(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            proxies = [await cluster.add_proxy(name) for name in ("draft-1", "draft-2")]
            await cluster.submit("first", [f"a{number}" for number in range(8)])
            await cluster.results("first", 8)
            for proxy in proxies:
                proxy.stall_open_connections()
            await cluster.submit("second", [f"b{number}" for number in range(8)])
            results = await cluster.results("second", 8)
            self.assertEqual({"succeeded"}, {result[1] for result in results})
            for proxy in proxies:
                proxy.stop()

        with_cluster(scenario)
