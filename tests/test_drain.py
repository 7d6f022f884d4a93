"""Requests at a gateway that is stopped, from the socket; the sampler works as long as asked."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import testtools
from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError

from stileloom.api.headers import HeaderNames
from stileloom.clock import steady_time
from stileloom.daemon.drain import DrainSchedule
from stileloom.daemon.gateway import Gateway
from tests.service_cluster import (
    BOUNDS,
    HOST,
    HOSTNAME,
    MODEL,
    TIMEOUT_S,
    ServiceCluster,
    configuration,
    with_cluster,
)

NAMES = HeaderNames()
GRACE_S = BOUNDS.stop_grace_s
LAST_SIXTH_S = GRACE_S * 5 / 6
"""A sampler that is at work from then on excuses a missing answer."""
SCHEDULE = DrainSchedule.of_grace(0.0, GRACE_S)
LONG_S = 4 * GRACE_S
TARGET_S = 0.5

Scenario = Callable[[ServiceCluster, Gateway], Awaitable[None]]


class DrainTest(testtools.TestCase):
    """Each request that a stopped gateway has read gets a complete answer."""

    def play(self, scenario: Scenario, **route: Any) -> None:
        """Plays a scenario at one gateway, with a route of the given kind and times."""

        async def run(cluster: ServiceCluster) -> None:
            fields: dict[str, Any] = {"kind": "unsafe", "timeout_s": LONG_S} | route
            fields.setdefault("target_latency_s", TARGET_S)
            await cluster.write("configuration", "main", configuration(2, **fields))
            gateway = cluster.gateways[0]
            await cluster.wait_until(lambda: gateway.directory.routes.version == 2)
            await scenario(cluster, gateway)

        with_cluster(run)

    def send(self, cluster: ServiceCluster, name: str, work_s: float) -> asyncio.Task[HTTPResponse]:
        """Sends a lookup whose sampler works for some time."""
        for sampler in ("chart-1", "chart-2"):
            cluster.samplers[sampler].faults.work_s = work_s
        deadline_ms = str(round(LONG_S * 1000))
        call = cluster.call("POST", "/charts/7", b"x", request_id=name, deadline_ms=deadline_ms)
        return asyncio.ensure_future(call)

    async def running(self, cluster: ServiceCluster, name: str) -> None:
        """Waits until a sampler runs a request."""
        await cluster.wait_until(lambda: name in self.runs(cluster))

    def runs(self, cluster: ServiceCluster) -> set[str]:
        """Ids of all lookups that samplers ran."""
        samplers = [cluster.samplers[name] for name in ("chart-1", "chart-2")]
        return {run.request_id for sampler in samplers for run in sampler.runs}

    def test_requests_that_end_before_the_last_sixth_of_the_grace_are_answered(self) -> None:
        async def scenario(cluster: ServiceCluster, gateway: Gateway) -> None:
            ends_after_s = [LAST_SIXTH_S - 0.05 * (number + 1) for number in range(6)]
            requests = []
            for number, work_s in enumerate(ends_after_s):
                requests.append(self.send(cluster, f"r{number}", work_s))
                await self.running(cluster, f"r{number}")
            gateway.stop()
            answers = await asyncio.gather(*requests)
            self.assertEqual([200] * len(answers), [answer.code for answer in answers])

        self.play(scenario)

    def test_requests_that_outlast_the_grace_are_answered_before_its_end(self) -> None:
        for kind in ("unsafe", "safe"):

            async def scenario(cluster: ServiceCluster, gateway: Gateway) -> None:
                request = self.send(cluster, "r", LONG_S)
                await self.running(cluster, "r")
                stopped_at = steady_time()
                gateway.stop()
                answer = await request
                after_s = steady_time() - stopped_at
                self.assertEqual(504, answer.code)
                self.assertIn(b'"outcome":"unknown"', answer.body)
                self.assertNotIn("Retry-After", answer.headers)
                self.assertGreater(after_s, LAST_SIXTH_S)
                self.assertLess(after_s, GRACE_S)

            with self.subTest(kind):
                self.play(scenario, kind=kind)

    def test_a_request_that_is_accepted_late_is_answered_before_the_end(self) -> None:
        """Its sampler gets a deadline before the gateway's end."""

        async def scenario(cluster: ServiceCluster, gateway: Gateway) -> None:
            stopped_at = steady_time()
            gateway.stop()
            await asyncio.sleep(SCHEDULE.refuse_at / 2)
            answer = await self.send(cluster, "r", LONG_S)
            self.assertEqual(504, answer.code)
            self.assertIn(b'"outcome":"unknown"', answer.body)
            self.assertLess(steady_time() - stopped_at, GRACE_S)
            (run,) = [run for s in cluster.samplers.values() for run in s.runs]
            left_s = float(run.headers[NAMES.deadline_ms]) / 1000
            self.assertLess(run.started_at + left_s - stopped_at, GRACE_S)

        self.play(scenario)

    def test_a_request_that_cannot_end_in_time_is_refused_at_once(self) -> None:
        async def scenario(cluster: ServiceCluster, gateway: Gateway) -> None:
            gateway.stop()
            await cluster.wait_until(lambda: gateway.front.draining)
            sent_at = steady_time()
            answer = await self.send(cluster, "r", 0.0)
            self.assertEqual(503, answer.code)
            self.assertIn(b'"outcome":"not_run"', answer.body)
            self.assertIn("Retry-After", answer.headers)
            self.assertLess(steady_time() - sent_at, GRACE_S / 4)
            self.assertEqual(set(), self.runs(cluster))

        self.play(scenario, target_latency_s=GRACE_S)

    def test_requests_late_in_the_grace_are_refused_and_not_passed_on(self) -> None:
        """On kept and on new connections, while an earlier request still runs."""

        async def scenario(cluster: ServiceCluster, gateway: Gateway) -> None:
            request = self.send(cluster, "first", LONG_S)
            await self.running(cluster, "first")
            port = cluster.front_ports[0]
            kept_reader, kept_writer = await asyncio.open_connection(HOST, port)
            gateway.stop()
            await asyncio.sleep(SCHEDULE.refuse_at + 0.05)
            while steady_time() < gateway._stopped_at + SCHEDULE.cut_at - 0.3:
                new_reader, new_writer = await asyncio.open_connection(HOST, port)
                for number, (reader, writer) in enumerate(
                    ((kept_reader, kept_writer), (new_reader, new_writer))
                ):
                    status, body = await self.post(reader, writer, f"late-{number}")
                    self.assertEqual(503, status)
                    self.assertIn(b'"outcome":"not_run"', body)
                new_writer.close()
                await asyncio.sleep(0.2)
            kept_writer.close()
            self.assertEqual({"first"}, self.runs(cluster))
            self.assertEqual(504, (await request).code)

        self.play(scenario)

    async def post(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
    ) -> tuple[int, bytes]:
        """Sends a lookup on a connection and reads the status and the body of its answer."""
        head = f"POST /charts/7 HTTP/1.1\r\nHost: {HOSTNAME}\r\n{NAMES.request_id}: {name}\r\n"
        writer.write(f"{head}Content-Length: 1\r\n\r\nx".encode())
        async with asyncio.timeout(TIMEOUT_S):
            answer = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.split(": ", 1) for line in answer.split("\r\n")[1:] if line)
            body = await reader.readexactly(int(fields["Content-Length"]))
        return int(answer.split(" ")[1]), body

    def test_a_stream_that_outlasts_the_grace_does_not_look_complete(self) -> None:
        async def scenario(cluster: ServiceCluster, gateway: Gateway) -> None:
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name]._event_interval_s = GRACE_S / 4
                cluster.samplers[name]._events = 40
            request = asyncio.ensure_future(
                cluster.call("POST", "/charts/7", b"x", request_id="r", model=MODEL)
            )
            await self.running(cluster, "r")
            gateway.stop()
            with self.assertRaises(HTTPStreamClosedError):
                await request

        self.play(scenario, kind="streaming")


class DrainScheduleTest(testtools.TestCase):
    """Every time follows from the grace."""

    def test_times_are_ordered_and_leave_the_last_sixth_to_running_requests(self) -> None:
        for grace_s in (0.5, 2.0, 4.0, 8.0, 30.0, 300.0):
            schedule = DrainSchedule.of_grace(100.0, grace_s)
            self.assertLess(100.0, schedule.refuse_at)
            # A request that is accepted last can still end.
            self.assertLess(schedule.refuse_at - 100.0, grace_s / 2)
            self.assertGreater(schedule.cut_at, 100.0 + grace_s * 5 / 6)
            self.assertLess(schedule.cut_at, schedule.killed_at)
            self.assertEqual(100.0 + grace_s, schedule.killed_at)
