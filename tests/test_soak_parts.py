"""The parts of the soak: what its proxy does to bytes, and that its record sees broken promises."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from tornado.httpclient import AsyncHTTPClient

from stileloom.api.dialect import LoadOrder, LoadStrategy
from stileloom.emulator.http_sampler import HttpSampler, RunRecord, expected_events
from stileloom.http.native_dialect import NativeDialect
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
