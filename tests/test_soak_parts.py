"""The parts of the soak: what its proxy does to bytes, and that its record sees broken promises."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from tornado.httpclient import AsyncHTTPClient

from stileloom.api.dialect import LoadOrder, LoadStrategy
from stileloom.emulator.http_sampler import HttpSampler, RunRecord, expected_events
from stileloom.http.native_dialect import NativeDialect
from tests.soak.job_ends import ACK_S, CANCEL_S, CONTACT_S, LEDGER, Disturbances
from tests.soak.kept_connection import UNKNOWN_STATUS, KeptConnection
from tests.soak.loopback_proxy import Link, LinkFault, TcpProxy
from tests.soak.record import EVENTS, Record, TakenJob, reward_id

HOST = "127.0.0.1"
Scenario = Callable[[TcpProxy, Link, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def through_proxy(scenario: Scenario) -> None:
    """Runs a scenario on a connection through a proxy to a server that echoes."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(echo, HOST, 0)
        link = Link()
        proxy = TcpProxy(link, server.sockets[0].getsockname()[:2])
        port = await proxy.start(HOST)
        reader, writer = await asyncio.open_connection(HOST, port)
        await scenario(proxy, link, reader, writer)
        writer.close()
        proxy.stop()
        server.close()

    asyncio.run(run())


class LoopbackProxyTest(testtools.TestCase):
    """One connection through the proxy."""

    def test_bytes_pass_and_wait_while_a_direction_is_cut(self) -> None:
        for fault in (LinkFault.SILENT, LinkFault.CUT_TO_SERVER, LinkFault.CUT_TO_CLIENT):

            async def scenario(
                proxy: TcpProxy,
                link: Link,
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                fault: LinkFault = fault,
            ) -> None:
                writer.write(b"one")
                self.assertEqual(b"one", await reader.readexactly(3))
                link.set(fault)
                writer.write(b"two")
                waiting = asyncio.ensure_future(reader.readexactly(3))
                for _ in range(50):
                    await asyncio.sleep(0)
                self.assertFalse(waiting.done())
                link.set(LinkFault.NONE)
                self.assertEqual(b"two", await waiting)

            through_proxy(scenario)

    def test_a_reset_is_seen_as_one(self) -> None:
        async def scenario(
            proxy: TcpProxy,
            link: Link,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            writer.write(b"one")
            await reader.readexactly(3)
            proxy.reset()
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read(1)

        through_proxy(scenario)


class RecordTest(testtools.TestCase):
    """Each promise broken once on purpose."""

    def job(self, record: Record) -> TakenJob:
        """An acknowledged job of two items."""
        job = TakenJob("j", ["a", "b"], 2, 0.0)
        record.took_job(job)
        return job

    def text(self, item_id: str) -> str:
        """An item's whole text."""
        return "\n".join(expected_events(item_id, EVENTS))

    def broken(self, record: Record) -> list[str]:
        """The promises that were broken."""
        return [line.split(" s ", 1)[1].split(":")[0] for line in record.broken]

    def test_whole_results_break_nothing(self) -> None:
        record = Record()
        job = self.job(record)
        results = [(name, "succeeded", self.text(name), (2,), "") for name in ("a", "b")]
        record.read(job, 0, 2, results)
        record.read(job, 1, 2, results[1:])
        self.assertEqual([], record.broken)
        self.assertTrue(job.complete)

    def test_results_that_are_wrong(self) -> None:
        whole = self.text("a")
        cases = {
            "texts are whole": ("a", "succeeded", whole[:-1], (2,), ""),
            "versions are young enough": ("a", "succeeded", whole, (1, 2), ""),
            "items belong to their job": ("x", "succeeded", self.text("x"), (2,), ""),
            "items are not given up early": ("a", "given_up", "", (), ""),
        }
        for promise, result in cases.items():
            record = Record()
            record.read(self.job(record), 0, 2, [result])
            self.assertEqual([promise], self.broken(record))

    def test_positions_that_change_or_repeat_an_item(self) -> None:
        record = Record()
        job = self.job(record)
        first = ("a", "succeeded", self.text("a"), (2,), "")
        record.read(job, 0, 2, [first])
        record.read(job, 0, 2, [("b", "succeeded", self.text("b"), (2,), "")])
        record.read(job, 1, 2, [first])
        self.assertEqual(["positions are fixed", "each item stands once"], self.broken(record))

    def test_lookups_and_orders_that_are_wrong(self) -> None:
        record = Record()
        sampler = HttpSampler("s", {"m": 1})
        record.samplers.append(sampler)
        for request_id in ("u1", "u2"):
            record.sends_lookup(request_id, f"/{request_id}", b"x", unsafe=True)
        record.answered("u1", 200, b"echo:y")
        record.answered("u2", 503, b"")
        sampler.runs += [
            RunRecord("u1", "/u1", b"x", None),
            RunRecord("u1", "/u1", b"x", None),
            RunRecord("u2", "/other", b"x", None),
        ]
        sampler.orders += [
            LoadOrder("m", 2, LoadStrategy.WAIT, holder, 7, number)
            for number, holder in enumerate(("a", "b"))
        ]
        record.judge_samplers()
        self.assertEqual(
            [
                "whole answers",
                "requests are unchanged",
                "one holder for a fence",
                "unsafe requests run once",
                "refused requests do not run",
            ],
            self.broken(record),
        )

    def test_a_reward_call_before_the_text_was_whole(self) -> None:
        record = Record()
        sampler = HttpSampler("s", {"m": 1})
        record.samplers.append(sampler)
        sampler.completed_at["a"] = 2.0
        sampler.runs.append(RunRecord(reward_id("a"), "/score", b"", None, started_at=1.0))
        record.judge_samplers()
        self.assertEqual(["rewards are asked for whole texts"], self.broken(record))


class JobEndTest(testtools.TestCase):
    """What begins at a sampler after its job has ended, or was to end."""

    LATE = "runs do not begin after their job has ended"

    def judged(
        self,
        started_at: float,
        answered_at: float | None = None,
        disturbed: tuple[str, float, float] | None = None,
        request_id: str = "a",
    ) -> list[str]:
        """Judges one run of a job whose end was asked at 10 s; the promises it breaks."""
        record = Record()
        sampler = HttpSampler("s", {"m": 1})
        sampler.completed_at["a"] = 9.0
        record.samplers.append(sampler)
        job = TakenJob("j", ["a", "b"], 1, 0.0, end_asked_at=10.0, end_answered_at=answered_at)
        record.took_job(job)
        if disturbed is not None:
            record.disturbances.add(*disturbed)
        sampler.runs.append(RunRecord(request_id, "/a", b"", None, started_at))
        record.judge_samplers()
        return [line.split(" s ", 1)[1].split(":")[0] for line in record.broken]

    def test_a_late_item_of_an_acknowledged_end_is_seen(self) -> None:
        self.assertEqual([self.LATE], self.judged(11.0 + CANCEL_S + 0.01, answered_at=11.0))

    def test_a_late_reward_call_of_an_acknowledged_end_is_seen(self) -> None:
        late_at = 11.0 + CANCEL_S + 0.01
        self.assertEqual([self.LATE], self.judged(late_at, 11.0, request_id=reward_id("a")))

    def test_an_item_within_the_bound_is_allowed(self) -> None:
        self.assertEqual([], self.judged(11.0 + CANCEL_S - 0.01, answered_at=11.0))

    def test_a_late_item_of_an_end_that_was_never_acknowledged_is_seen(self) -> None:
        due_at = 10.0 + ACK_S + CANCEL_S
        self.assertEqual([self.LATE], self.judged(due_at + 0.01))
        self.assertEqual([], self.judged(due_at - 0.01))

    def test_an_acknowledgement_after_it_was_due_does_not_extend_the_bound(self) -> None:
        late_at = 10.0 + ACK_S + CANCEL_S + 0.01
        self.assertEqual([self.LATE], self.judged(late_at, answered_at=late_at - 1.0))

    def test_a_sender_that_was_disturbed_within_the_contact_time_does_not_count(self) -> None:
        started_at = 11.0 + CANCEL_S + 5.0
        for place in (LEDGER, "to s"):
            for ended_at, broken in (
                (started_at + 1.0, []),
                (started_at - CONTACT_S + 0.01, []),
                (started_at - CONTACT_S - 0.01, [self.LATE]),
            ):
                disturbed = (place, 11.5, ended_at)
                self.assertEqual(broken, self.judged(started_at, 11.0, disturbed))

    def test_a_disturbed_gateway_or_another_sampler_excuses_nothing(self) -> None:
        for place in ("gateway-1", "to t"):
            disturbed = (place, 10.0, 20.0)
            self.assertEqual([self.LATE], self.judged(11.0 + CANCEL_S + 0.01, 11.0, disturbed))

    def test_only_steady_time_counts_until_an_end_is_due(self) -> None:
        disturbances = Disturbances(["gateway-1", "gateway-2"])
        self.assertEqual(10.0 + ACK_S, disturbances.due_at(10.0))
        disturbances.add(LEDGER, 5.0, 8.0)
        self.assertEqual(8.0 + CONTACT_S + ACK_S, disturbances.due_at(10.0))
        disturbances.add(LEDGER, 12.0, 13.0)
        self.assertEqual(13.0 + CONTACT_S + ACK_S - 1.0, disturbances.due_at(10.0))
        disturbances.add(LEDGER, 12.5, 12.6)
        self.assertEqual(13.0 + CONTACT_S + ACK_S - 1.0, disturbances.due_at(10.0))
        self.assertEqual(0.0, disturbances.steady_s(5.0, 8.0 + CONTACT_S))
        self.assertEqual(1.0, disturbances.steady_s(10.0, 13.0 + CONTACT_S))
        self.assertEqual(ACK_S, disturbances.steady_s(10.0, disturbances.due_at(10.0)))

    def test_only_time_in_which_every_gateway_is_gone_delays_the_due_end(self) -> None:
        disturbances = Disturbances(["gateway-1", "gateway-2"])
        disturbances.add("gateway-1", 10.0, 12.0)
        self.assertEqual(10.0 + ACK_S, disturbances.due_at(10.0))
        disturbances.add("gateway-2", 11.0, 13.0)
        self.assertEqual(11.0 + ACK_S, disturbances.due_at(10.0))


class KeptConnectionTest(testtools.TestCase):
    """The client that does not heed announcements of a close."""

    def test_the_connection_is_used_until_it_breaks(self) -> None:
        """A server that announces a close and does not close gets the next request all the same."""
        opened: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)
            while head := await reader.readuntil(b"\r\n\r\n"):
                body = await reader.readexactly(2)
                if head.startswith(b"POST /close"):
                    break
                answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
                writer.write(answer + body)
            writer.close()

        async def run() -> list[tuple[int, bytes]]:
            server = await asyncio.start_server(serve, HOST, 0)
            connection = KeptConnection(*server.sockets[0].getsockname()[:2])
            answers = [
                await connection.post(target, {"Host": "h"}, body, 5.0)
                for target, body in (("/1", b"aa"), ("/2", b"bb"), ("/close", b"cc"), ("/3", b"dd"))
            ]
            connection.close()
            server.close()
            return answers

        answers = asyncio.run(run())
        self.assertEqual([(200, b"aa"), (200, b"bb"), (UNKNOWN_STATUS, b""), (200, b"dd")], answers)
        self.assertEqual(2, len(opened))


class SamplerTest(testtools.TestCase):
    """The stand-in for a sampler."""

    def test_an_item_that_runs_again_was_whole_the_first_time(self) -> None:
        """In seed 50111 items ran again after a change of leader, and the reward calls between
        both runs were taken for early ones: the time kept was that of the second run."""

        async def run() -> tuple[float, float]:
            sampler = HttpSampler("s", {"m": 1}, events=1)
            url = f"http://{HOST}:{sampler.listen(HOST)}/items/a"
            client = AsyncHTTPClient(force_instance=True)
            headers = {NativeDialect.names.request_id: "a", "model": "m"}
            seen: list[float] = []
            for _ in range(2):
                await client.fetch(url, method="POST", body=b"", headers=headers)
                seen.append(sampler.completed_at["a"])
            await sampler.stop()
            return seen[0], seen[1]

        first, second = asyncio.run(run())
        self.assertEqual(first, second)
