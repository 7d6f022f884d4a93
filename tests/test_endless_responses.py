"""Samplers whose responses never end, on every path on which bytes of samplers are read."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import testtools
from tornado.simple_httpclient import HTTPStreamClosedError

from stileloom.api.headers import HeaderNames
from stileloom.http1.buffered_response import BufferedResponse
from stileloom.http1.caller import send_request
from stileloom.http1.connection import ExchangeEnd, SamplerConnection
from stileloom.http1.pool import ConnectionPool
from stileloom.http1.response_memory import ResponseMemory
from stileloom.jobs.item_stream import ItemStream, RunOutcome
from stileloom.jobs.partial_text import PartialText
from stileloom.proxy.exchange import Attempt, AttemptOutcome, run_exchange
from tests.service_cluster import ServiceCluster, configuration, with_cluster

HOST = "127.0.0.1"
NAMES = HeaderNames()
MEBIBYTE = 1 << 20
SENT_BYTES = 192 * MEBIBYTE
"""What a peer sends at most, so that a test ends; far above every limit."""
SOCKET_BYTES = 16 * MEBIBYTE
"""What the sockets of both ends may hold beyond what was read."""
ENDS_AFTER_S = 5.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
FILL = b"x" * 65_536
CHUNK = b"10000\r\n" + FILL + b"\r\n"
VERSION = NAMES.versions.encode()
SIGNED = NAMES.signature.encode() + b": signed\r\n" + NAMES.request_id.encode()
STREAM_HEADERS = VERSION + b": 1\r\nContent-Type: text/event-stream\r\n\r\n"
ITEM = OK + SIGNED + b": i\r\n"
ITEM_STREAM = ITEM + STREAM_HEADERS
CALLER_STREAM = OK + SIGNED + b": endless\r\n" + STREAM_HEADERS

ENDLESS_BODIES = {
    "chunked body": (CHUNKED, CHUNK),
    "body of a huge length": (OK + b"Content-Length: 999999999999\r\n\r\n", FILL),
    "body until the close": (OK + b"\r\n", FILL),
    "chunk extensions": (CHUNKED, b"1;" + b"e" * 200 + b"\r\nx\r\n"),
}
ENDLESS_HEADS = {
    "interim heads": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" * 1000),
    "trailers": (CHUNKED + b"0\r\n", b"T: 1\r\n" * 10_000),
    "header lines": (OK, b"H: 1\r\n" * 10_000),
}


class EndlessSampler:
    """Answers each request with a start, and then with the same bytes until it is closed."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self.sent = 0
        self._start = start
        self._repeated = repeated
        self._server: asyncio.Server

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def __aenter__(self) -> EndlessSampler:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.read(65_536)
            writer.write(self._start)
            while self.sent < SENT_BYTES:
                writer.write(self._repeated)
                await writer.drain()
                self.sent += len(self._repeated)
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()


async def lookup(sampler: EndlessSampler) -> Attempt:
    """One attempt of a lookup."""
    connection = await SamplerConnection.open(sampler.address)
    return await run_exchange(connection, b"GET / HTTP/1.1\r\n\r\n", "s", "r", NAMES)


async def item_run(sampler: EndlessSampler) -> RunOutcome:
    """One run of an item."""
    ended: asyncio.Future[RunOutcome] = asyncio.get_running_loop().create_future()
    connection = await SamplerConnection.open(sampler.address)

    def on_outcome(outcome: RunOutcome, detail: str) -> None:
        connection.close()
        ended.set_result(outcome)

    stream = ItemStream("i", PartialText(), 1, NAMES, lambda event_id: None, on_outcome)
    connection.exchange(b"POST / HTTP/1.1\r\n\r\n", stream)
    return await ended


class EndlessResponseTest(testtools.TestCase):
    """Each exchange ends by itself, after a limited number of bytes."""

    def end_of(
        self,
        path: Callable[[EndlessSampler], Awaitable[object]],
        start: bytes,
        repeated: bytes,
        limit_bytes: int,
    ) -> object:
        """The result of an exchange; it has to end in time and within its limit."""

        async def scenario() -> object:
            async with EndlessSampler(start, repeated) as sampler:
                async with asyncio.timeout(ENDS_AFTER_S):
                    result = await path(sampler)
                self.assertLessEqual(sampler.sent, limit_bytes + SOCKET_BYTES)
                return result

        return asyncio.run(scenario())

    def test_lookups(self) -> None:
        for name, (start, repeated) in (ENDLESS_BODIES | ENDLESS_HEADS).items():
            with self.subTest(name):
                attempt = self.end_of(lookup, start, repeated, 32 * MEBIBYTE)
                assert isinstance(attempt, Attempt)
                self.assertIs(AttemptOutcome.BROKEN, attempt.outcome)

    def test_control_calls(self) -> None:
        async def call(sampler: EndlessSampler) -> object:
            pool = ConnectionPool()
            return await send_request(
                pool, "s", sampler.address, "GET", "/report", [], b"", ENDS_AFTER_S
            )

        for name, (start, repeated) in (ENDLESS_BODIES | ENDLESS_HEADS).items():
            with self.subTest(name):
                self.assertIsNone(self.end_of(call, start, repeated, MEBIBYTE))

    def test_item_runs(self) -> None:
        failure = b"HTTP/1.1 500 Internal Server Error\r\n" + NAMES.request_id.encode() + b": i\r\n"
        failure += b"Transfer-Encoding: chunked\r\n\r\n"
        for name, (start, repeated) in {
            "event without an end": (ITEM_STREAM, FILL),
            "empty events": (ITEM_STREAM, b"\n\n" * 10_000),
            "body of a failure": (failure, CHUNK),
            **ENDLESS_HEADS,
        }.items():
            with self.subTest(name):
                outcome = self.end_of(item_run, start, repeated, 4 * MEBIBYTE)
                self.assertIs(RunOutcome.BROKEN, outcome)

    def test_an_item_run_of_endless_events(self) -> None:
        events = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * 65_536) for n in range(1, 400))
        outcome = self.end_of(item_run, ITEM_STREAM + events, FILL, 32 * MEBIBYTE)
        self.assertIs(RunOutcome.TOO_LONG, outcome)

    def test_figures_of_thousands_of_digits(self) -> None:
        digits = b"9" * 5000
        for name, start in {
            "content length": ITEM + b"Content-Length: " + digits + b"\r\n\r\n",
            "weight version": ITEM + VERSION + b": " + digits + b"\r\n\r\n",
            "event id": ITEM_STREAM + b"id: " + digits + b"\ndata: x\n\n",
            "version of an event": ITEM_STREAM + VERSION.lower() + b": " + digits + b"\nid: 1\n\n",
        }.items():
            with self.subTest(name):
                self.assertIs(
                    RunOutcome.BROKEN, self.end_of(item_run, start, b"\n" * 65_536, MEBIBYTE)
                )


class EndlessStreamTest(testtools.TestCase):
    """A caller's stream whose sampler never ends."""

    def test_a_stream_without_numbered_events_is_aborted(self) -> None:
        for repeated in (FILL, b"\n\n" * 10_000):
            with_cluster(partial(self.relay, repeated))

    async def relay(self, repeated: bytes, cluster: ServiceCluster) -> None:
        """Sends a stream to an endless sampler."""
        routes = configuration(2, kind="streaming")
        routes["routes"][0]["backends"] = [{"service": "endless", "weight": 1}]
        routes["services"].append({"name": "endless", "max_connections": 50})
        await cluster.write("configuration", "main", routes)
        async with EndlessSampler(CALLER_STREAM, repeated) as sampler:
            host, port = sampler.address
            entry = {"service": "endless", "address": f"{host}:{port}", "zone": "a", "slots": 4}
            await cluster.write("samplers", "endless", {**entry, "model_versions": {}})
            await cluster.wait_until_listed("endless")
            for gateway in cluster.gateways:
                await cluster.wait_until(lambda: gateway.directory.routes.version == 2)  # noqa: B023
            async with asyncio.timeout(ENDS_AFTER_S):
                with self.assertRaises(HTTPStreamClosedError):
                    await cluster.call("POST", "/charts/x", b"x", request_id="endless")
            self.assertLessEqual(sampler.sent, 4 * MEBIBYTE + SOCKET_BYTES)


class ResponseMemoryTest(testtools.TestCase):
    """Many responses at once."""

    def test_the_largest_of_many_responses_is_cut_and_the_others_go_on(self) -> None:
        async def scenario() -> None:
            memory = ResponseMemory(1000)
            small, large, later = (BufferedResponse(memory) for _ in range(3))
            small.on_body(b"x" * 100)
            large.on_body(b"x" * 800)
            later.on_body(b"x" * 101)
            self.assertEqual([False, True, False], [r.done.done() for r in (small, large, later)])
            self.assertIs(ExchangeEnd.MALFORMED, large.done.result())
            large.on_body(b"x" * 5000)
            for response in (small, later):
                response.on_body(b"x" * 300)
                response.on_end(ExchangeEnd.COMPLETE)
                self.assertTrue(response.complete)
            last = BufferedResponse(memory)
            last.on_body(b"x" * 1000)
            self.assertFalse(last.done.done())

        asyncio.run(scenario())
