"""Callers that put a gateway under pressure, over real sockets against a gateway with limits.

The gateway runs in the process of the test, but for the test of its memory.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from unittest import mock

import msgspec
import testtools
from tornado.httpclient import AsyncHTTPClient

from stileloom.callers.limits import (
    HEADER_TIMEOUT_S,
    UNREAD_TIMEOUT_S,
    CallerState,
    ConnectionLimits,
)
from stileloom.clock import steady_time
from stileloom.daemon.caller_server import _LimitedExchange
from stileloom.daemon.gateway import Gateway
from stileloom.events import LogEvent
from stileloom.http.native_dialect import NativeDialect
from stileloom.jobs.job_admission import ResourceLimits
from stileloom.service_settings import CallerSettings
from tests.service_cluster import HOST, HOSTNAME, ServiceCluster, configuration, with_cluster

LIMITED = CallerSettings(limited=True)
LIMITED_GATEWAY = 2
"""Index of the gateway that is started after the two of the cluster."""
TARGET_LATENCY_S = 0.178
"""Target latency of lookups in the second deployment."""
HEAD = f"POST /charts/7 HTTP/1.1\r\nHost: {HOSTNAME}\r\n{NativeDialect.names.request_id}: slow\r\n"

SMALL_BUFFER_BYTES = 8192

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def start_limited(
    cluster: ServiceCluster, limits: ResourceLimits = ResourceLimits(), limited: bool = True
) -> Gateway:
    """Starts a third gateway with limits on callers."""
    gateway = cluster.start_gateway(
        "gateway-limited",
        callers=CallerSettings(limited=limited),
        limits=limits,
    )
    await cluster.wait_until(lambda: gateway.directory.is_initialized)
    await cluster.wait_until(lambda: len(gateway.directory.samplers.of_service("charts")) == 2)
    return gateway


def limits_of(gateway: Gateway) -> ConnectionLimits:
    """Returns the limits that a gateway applies."""
    assert gateway._caller_server is not None
    return gateway._caller_server._limits


async def connect(port: int, receive_buffer_bytes: int = 0) -> Connection:
    """Opens a connection; a small receive buffer makes the gateway hold the response."""
    connecting = socket.socket()
    connecting.setblocking(False)
    if receive_buffer_bytes:
        connecting.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    await asyncio.get_running_loop().sock_connect(connecting, (HOST, port))
    return await asyncio.open_connection(sock=connecting, limit=4096)


@contextlib.asynccontextmanager
async def connections(
    cluster: ServiceCluster, count: int, receive_buffer_bytes: int = 0
) -> AsyncIterator[list[Connection]]:
    """Opens connections to the limited gateway."""
    port = cluster.front_ports[LIMITED_GATEWAY]
    opened = [await connect(port, receive_buffer_bytes) for _ in range(count)]
    try:
        yield opened
    finally:
        for _, writer in opened:
            writer.close()


async def send_byte_by_byte(connection: Connection, data: bytes, interval_s: float) -> float:
    """Sends data until the connection ends; returns after how many seconds it ended."""
    reader, writer = connection
    started_at = steady_time()
    ended = asyncio.ensure_future(reader.read())
    for byte in data:
        writer.write(bytes([byte]))
        await asyncio.sleep(interval_s)
        if ended.done():
            break
    await asyncio.wait([ended])
    ended.exception()
    return steady_time() - started_at


class LimitsTest(testtools.TestCase):
    """A gateway with limits."""

    def run_scenario(self, scenario: Callable[[ServiceCluster], Awaitable[None]]) -> None:
        """Runs a scenario on a new cluster."""
        with_cluster(scenario)

    async def lookups_in_time(self, cluster: ServiceCluster, count: int) -> list[float]:
        """Sends lookups one after another over the limited gateway; returns their durations."""
        durations = []
        for number in range(count):
            started_at = steady_time()
            answer = await cluster.call(
                "POST", "/charts/7", b"x", LIMITED_GATEWAY, request_id=f"other{number}"
            )
            durations.append(steady_time() - started_at)
            self.assertEqual(200, answer.code)
            await asyncio.sleep(0.02)
        return durations

    def test_lookups_go_on_beside_300_slow_header_sections(self) -> None:
        """Each of them must end after its time, and none may delay the lookups of others."""

        async def scenario(cluster: ServiceCluster) -> None:
            gateway = await start_limited(cluster)
            async with connections(cluster, 300) as slow:
                data = (HEAD + "x" * 1000).encode()
                sending = [
                    asyncio.ensure_future(send_byte_by_byte(connection, data, 0.25))
                    for connection in slow
                ]
                durations = await self.lookups_in_time(cluster, 100)
                lasted = await asyncio.gather(*sending)
            in_time = sum(duration <= TARGET_LATENCY_S for duration in durations)
            self.assertTrue(in_time >= 95, sorted(durations)[-10:])
            self.assertTrue(min(lasted) >= HEADER_TIMEOUT_S - 0.1, min(lasted))
            self.assertTrue(max(lasted) <= 2 * HEADER_TIMEOUT_S, max(lasted))
            self.assertEqual(0, limits_of(gateway).count(CallerState.HEADER))

        self.run_scenario(scenario)

    def test_new_connections_are_refused_only_while_all_others_run_requests(self) -> None:
        """A request under way at a sampler must outlive any number of connections."""

        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].faults.work_s = 1.0
            await start_limited(cluster, ResourceLimits(descriptors=10))
            running = [
                asyncio.ensure_future(
                    cluster.call("POST", "/charts/7", b"x", LIMITED_GATEWAY, request_id=f"r{n}")
                )
                for n in range(6)
            ]
            await cluster.wait_until(
                lambda: sum(len(sampler.runs) for sampler in cluster.samplers.values()) >= 6
            )
            refused = await cluster.call(
                "POST", "/charts/7", b"refused", LIMITED_GATEWAY, request_id="refused"
            )
            self.assertEqual(503, refused.code)
            self.assertEqual("close", refused.headers["Connection"])
            self.assertTrue(1.0 <= float(refused.headers["Retry-After"]) <= 1.5)
            answers = await asyncio.gather(*running)
            self.assertEqual([200] * 6, [answer.code for answer in answers])
            runs = [run for sampler in cluster.samplers.values() for run in sampler.runs]
            self.assertNotIn("refused", [run.request_id for run in runs])
            answer = await cluster.call(
                "POST", "/charts/7", b"x", LIMITED_GATEWAY, request_id="after"
            )
            self.assertEqual(200, answer.code)

        self.run_scenario(scenario)

    def test_oldest_idle_connection_makes_room(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await start_limited(cluster, ResourceLimits(descriptors=10))
            async with connections(cluster, 6) as idle:
                await self.lookups_in_time(cluster, 3)
                self.assertEqual(b"", await idle[0][0].read())
                self.assertFalse(idle[-1][0].at_eof())

        self.run_scenario(scenario)

    def test_slow_body_is_refused_and_one_of_many_megabytes_does_not_stop_lookups(self) -> None:
        """A body below 2 kB/s must end; one above may go on, but holds up nobody."""

        async def scenario(cluster: ServiceCluster) -> None:
            gateway = await start_limited(cluster, ResourceLimits(memory_mb=1e6))
            head = (HEAD + "Content-Length: 20000000\r\n\r\n").encode()
            async with connections(cluster, 2) as (slow, fast):
                slow[1].write(head + b"x" * 1000)
                fast[1].write(head)
                for _ in range(10):
                    fast[1].write(b"x" * 4000)
                    await self.lookups_in_time(cluster, 5)
                    await asyncio.sleep(0.4)
                answer = await slow[0].read()
                self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer[:100])
                self.assertIn(b"Retry-After: ", answer)
                self.assertFalse(fast[0].at_eof())
                self.assertEqual(1, limits_of(gateway).count(CallerState.BODY))
                self.assertTrue(limits_of(gateway).held_bytes >= 40_000)
            runs = [run for sampler in cluster.samplers.values() for run in sampler.runs]
            self.assertNotIn("slow", [run.request_id for run in runs])

        self.run_scenario(scenario)

    def test_bodies_over_the_held_bytes_are_refused_before_they_run(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            # Less than the process uses, so that the lower bound of 1 MB applies.
            gateway = await start_limited(cluster, ResourceLimits(memory_mb=1.0))
            async with connections(cluster, 4) as bodies:
                highest = 0
                for _, writer in bodies:
                    writer.write((HEAD + "Content-Length: 20000000\r\n\r\n").encode())
                for _ in range(20):
                    for _, writer in bodies:
                        with contextlib.suppress(ConnectionError):
                            writer.write(b"x" * 50_000)
                    await asyncio.sleep(0.01)
                    highest = max(highest, limits_of(gateway).held_bytes)
                self.assertTrue(highest <= 1_000_000, highest)
            self.assertEqual([], [r for s in cluster.samplers.values() for r in s.runs])

        self.run_scenario(scenario)

    def test_complete_requests_without_room_are_refused(self) -> None:
        """What does not fit beside the copies of running requests must not run, and says so."""

        async def scenario(cluster: ServiceCluster) -> None:
            samplers = [cluster.samplers[name] for name in ("chart-1", "chart-2")]
            # Less than the process uses, so that the lower bound of 1 MB applies.
            gateway = await start_limited(cluster, ResourceLimits(memory_mb=1.0))
            # Connections to both samplers are open, so that a request that runs is sent at once.
            while not all(sampler.runs for sampler in samplers):
                await self.lookups_in_time(cluster, 1)
            for sampler in samplers:
                sampler.faults.work_s = 0.5
                sampler.runs.clear()
            body = b"x" * 200_000
            first = asyncio.ensure_future(
                cluster.call("POST", "/charts/7", body, LIMITED_GATEWAY, request_id="first")
            )
            await cluster.wait_until(lambda: gateway.front.open_requests == 1)
            second = await cluster.call(
                "POST", "/charts/7", body, LIMITED_GATEWAY, request_id="second"
            )
            self.assertEqual((503, "close"), (second.code, second.headers["Connection"]))
            self.assertIn("Retry-After", second.headers)
            self.assertEqual(200, (await first).code)
            runs = [run for sampler in samplers for run in sampler.runs]
            self.assertEqual({"first"}, {run.request_id for run in runs})

        self.run_scenario(scenario)

    def test_header_section_over_the_configured_limit_ends_its_connection(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            gateway = await start_limited(cluster)
            assert gateway.directory.routes.configuration is not None
            limit = gateway.directory.routes.configuration.limits.max_header_bytes
            await cluster.wait_until(
                lambda: gateway._caller_server.conn_params.max_header_size == limit  # type: ignore
            )
            async with connections(cluster, 2) as (fits, large):
                fits[1].write((HEAD + f"Filler: {'x' * (limit - 1000)}\r\n\r\n").encode())
                self.assertTrue((await fits[0].readline()).startswith(b"HTTP/1.1 200 "))
                large[1].write((HEAD + f"Filler: {'x' * limit}\r\n\r\n").encode())
                with contextlib.suppress(ConnectionError):
                    self.assertEqual(b"", await large[0].read())
            await self.lookups_in_time(cluster, 1)

        self.run_scenario(scenario)

    def test_unread_response_is_closed_and_one_that_is_read_late_is_delivered(self) -> None:
        """A ready response is delivered to a caller that reads a part every other second."""

        async def scenario(cluster: ServiceCluster) -> None:
            gateway = await start_limited(cluster, ResourceLimits(memory_mb=1e6))
            body = b"y" * 12_000_000
            head = (HEAD + f"Content-Length: {len(body)}\r\n\r\n").encode()
            async with connections(cluster, 2, SMALL_BUFFER_BYTES) as (unread, late):
                for _, writer in (unread, late):
                    writer.write(head + body)
                    await writer.drain()
                limits = limits_of(gateway)
                await cluster.wait_until(lambda: limits.count(CallerState.RESPONSE) == 2)
                started_at = steady_time()
                received = b""
                while limits.count(CallerState.RESPONSE) == 2:
                    received += await late[0].read(100_000)
                    await asyncio.sleep(0.5)
                lasted_s = steady_time() - started_at
                self.assertTrue(lasted_s >= UNREAD_TIMEOUT_S - 0.6, lasted_s)
                while not received.endswith(body[-1000:]) or len(received) < len(body):
                    received += await late[0].read(1_000_000)
                self.assertTrue(received.endswith(b"echo:" + body))
                with contextlib.suppress(ConnectionError):
                    self.assertTrue(len(await unread[0].read()) < len(body))

        self.run_scenario(scenario)

    def test_metrics_show_connections_by_state(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await start_limited(cluster)
            port = cluster.settings("gateway-limited").metrics_port
            async with connections(cluster, 3) as opened:
                opened[0][1].write(b"POST ")
                await asyncio.sleep(0.1)
                page = await AsyncHTTPClient().fetch(f"http://{HOST}:{port}/metrics")
            text = page.body.decode()
            self.assertIn('stileloom_caller_connections{state="idle"} 2.0', text)
            self.assertIn('stileloom_caller_connections{state="header"} 1.0', text)
            self.assertIn("stileloom_caller_bytes_held 5.0", text)

        self.run_scenario(scenario)

    def test_draining_gateway_answers_what_it_accepted(self) -> None:
        """With limits too, a draining gateway answers what runs and what comes in its notice."""

        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].faults.work_s = 0.5
            gateway = await start_limited(cluster)
            running = asyncio.ensure_future(
                cluster.call("POST", "/charts/7", b"x", LIMITED_GATEWAY, request_id="running")
            )
            await cluster.wait_until(lambda: gateway.front.open_requests == 1)
            gateway.stop()
            await cluster.wait_until(lambda: gateway.front.draining)
            answer = await running
            self.assertEqual((200, "close"), (answer.code, answer.headers["Connection"]))
            during = await cluster.call(
                "POST", "/charts/7", b"x", LIMITED_GATEWAY, request_id="during"
            )
            self.assertEqual(200, during.code)

        self.run_scenario(scenario)


class RefusedRequestTest(testtools.TestCase):
    """A request that a limit ends at the moment at which it is complete."""

    def test_it_is_not_passed_on(self) -> None:
        """It would run until its connection is closed, although its refusal says that it did not.

        Over sockets the order of the event loop mostly hides this.
        """
        for ended_by_other in (True, False):
            connection = mock.Mock(closing=ended_by_other)
            connection.on_request_complete.side_effect = partial(
                setattr, connection, "closing", True
            )
            inner = mock.Mock()
            exchange = _LimitedExchange(connection, inner)
            exchange.data_received(b"x" * 10_000)
            exchange.finish()
            inner.finish.assert_not_called()


class SlowStreamTest(testtools.TestCase):
    """Streams whose callers read slowly or not at all."""

    async def stream(self, cluster: ServiceCluster, connection: Connection) -> None:
        """Sends a streaming request over the limited gateway."""
        service = {
            "backends": [{"service": "drafts", "weight": 1}],
            "kind": "streaming",
            "timeout_s": 30.0,
        }
        version = 2
        await cluster.write("configuration", "main", configuration(version, **service))
        gateway = cluster.gateways[LIMITED_GATEWAY]
        await cluster.wait_until(lambda: gateway.directory.routes.version == version)
        connection[1].write((HEAD + "model: drafts\r\nContent-Length: 0\r\n\r\n").encode())

    def test_unread_stream_stops_at_64_kib_and_ends_after_2_s(self) -> None:
        """A sampler that writes faster than the caller reads must not fill the gateway."""

        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("draft-1", "draft-2"):
                cluster.samplers[name]._events = 200_000
                cluster.samplers[name]._event_interval_s = 0.0
            gateway = await start_limited(cluster)
            async with connections(cluster, 1, SMALL_BUFFER_BYTES) as (connection,):
                await self.stream(cluster, connection)
                limits = limits_of(gateway)
                await cluster.wait_until(lambda: limits.held_bytes > 65_536)
                started_at = steady_time()
                highest = 0
                while limits.count(CallerState.RESPONSE):
                    highest = max(highest, limits.held_bytes)
                    await asyncio.sleep(0.05)
                self.assertTrue(highest <= 65_536 + 256 * 1024 * 2, highest)
                self.assertTrue(1.5 <= steady_time() - started_at <= 4.0)

        with_cluster(scenario)


class InactiveTest(testtools.TestCase):
    """`limited = false`, which is the default."""

    def test_nothing_changes_without_the_setting(self) -> None:
        """Callers, log and metrics must be as without the part, whatever the limits say."""

        async def scenario(cluster: ServiceCluster) -> None:
            events: list[str] = []
            with mock.patch(
                "stileloom.logging.EventLog.emit",
                lambda log, event, fields: events.append(event.name),
            ):
                limits = ResourceLimits(memory_mb=1.0, descriptors=1)
                gateway = await start_limited(cluster, limits, limited=False)
                port = cluster.settings("gateway-limited").metrics_port
                async with connections(cluster, 100) as opened:
                    opened[0][1].write(HEAD.encode())
                    body = b"x" * 2_000_000
                    head = HEAD + f"Content-Length: {len(body)}\r\n\r\n"
                    opened[1][1].write(head.encode() + body[1:])
                    await asyncio.sleep(HEADER_TIMEOUT_S + 1.0)
                    self.assertFalse(any(reader.at_eof() for reader, _ in opened))
                    opened[1][1].write(body[:1])
                    opened[0][1].write(b"Content-Length: 0\r\n\r\n")
                    for reader, _ in opened[:2]:
                        self.assertTrue((await reader.readline()).startswith(b"HTTP/1.1 200 "))
                page = await AsyncHTTPClient().fetch(f"http://{HOST}:{port}/metrics")
                self.assertNotIn(b"stileloom_caller", page.body)
                self.assertIsNone(gateway._caller_server)
            added = {
                LogEvent.CALLER_LIMITS_SET,
                LogEvent.CALLER_CONNECTION_CLOSED,
                LogEvent.CALLER_CONNECTION_REFUSED,
            }
            self.assertEqual(set(), {event.name for event in added} & set(events))

        with_cluster(scenario)

    def test_default(self) -> None:
        self.assertFalse(CallerSettings().limited)
        self.assertEqual({"limited": False}, json.loads(msgspec.json.encode(CallerSettings())))
