"""HTTP/1.1 client: framing, trailing data, truncated responses, event streams, keep-alive."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import hypothesis
import testtools
from hypothesis import strategies

from stileloom.api.headers import HeaderNames
from stileloom.http1.buffered_response import BufferedResponse
from stileloom.http1.connection import ExchangeEnd, SamplerConnection
from stileloom.http1.event_stream import EventStreamParser, MalformedEvent
from stileloom.http1.pool import ConnectionPool
from stileloom.http1.request_encoder import encode_request, end_to_end_headers
from stileloom.http1.response_decoder import MalformedResponse, ResponseDecoder
from stileloom.proxy.exchange import AttemptOutcome, run_exchange

NAMES = HeaderNames()
HOST = "127.0.0.1"


def decode(*chunks: bytes, method: str = "GET") -> tuple[ResponseDecoder, bytes]:
    """Decodes chunks; returns the decoder and the body."""
    decoder = ResponseDecoder(method)
    body = b"".join(part for chunk in chunks for part in decoder.feed(chunk))
    return decoder, body


class DecoderTest(testtools.TestCase):
    """Framing of responses."""

    def test_content_length(self) -> None:
        decoder, body = decode(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", b"lo")
        self.assertEqual((True, False, b"hello"), (decoder.done, decoder.has_trailing_data, body))

    def test_chunked_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        decoder, body = decode(head + b"3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n")
        self.assertEqual((True, b"abcde"), (decoder.done, body))

    def test_response_without_last_chunk_is_incomplete(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        decoder, _ = decode(head + b"3\r\nabc\r\n")
        decoder.on_connection_closed(clean=True)
        self.assertFalse(decoder.done)

    def test_close_delimited_response_is_complete_only_after_clean_close(self) -> None:
        for clean in (True, False):
            decoder, body = decode(b"HTTP/1.1 200 OK\r\n\r\nabc")
            decoder.on_connection_closed(clean=clean)
            self.assertEqual((clean, b"abc"), (decoder.done, body))

    def test_trailing_data_is_detected(self) -> None:
        decoder, body = decode(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK")
        self.assertEqual((True, True, b"a"), (decoder.done, decoder.has_trailing_data, body))

    def test_response_to_head_has_no_body(self) -> None:
        decoder, _ = decode(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", method="HEAD")
        self.assertTrue(decoder.done)

    def test_interim_responses_are_skipped(self) -> None:
        decoder, _ = decode(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 N\r\n\r\n")
        assert decoder.head is not None
        self.assertEqual(204, decoder.head.status)

    def test_malformed_responses_are_rejected(self) -> None:
        ok = b"HTTP/1.1 200 OK\r\n"
        for data in (
            b"\x00\x01\x02 garbage",
            b"HTTP/2 200 OK\r\n\r\n",
            b"HTTP/1.1 2000 OK\r\n\r\n",
            ok + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
            ok + b"Content-Length: -1\r\n\r\n",
            ok + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            ok + b"Transfer-Encoding: gzip\r\n\r\n",
            ok + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            ok + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc",
            ok + b"X" * 70_000,
        ):
            self.assertRaises(MalformedResponse, decode, data)

    @hypothesis.given(strategies.lists(strategies.binary(max_size=40)), strategies.data())
    def test_decoding_does_not_depend_on_fragmentation(
        self, parts: list[bytes], data: strategies.DataObject
    ) -> None:
        sent = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        sent += b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts if part)
        sent += b"0\r\n\r\n"
        cut = data.draw(strategies.integers(0, len(sent)))
        decoder, body = decode(sent[:cut], sent[cut:])
        self.assertEqual((True, b"".join(parts)), (decoder.done, body))


class EventStreamTest(testtools.TestCase):
    """Parsing of server-sent events."""

    def test_version_id_and_data(self) -> None:
        parser = EventStreamParser("Weight")
        events = parser.feed(b"weight: 7\nid: 1\ndata: a\ndata: b\n\nid: 2\ndata:c\n\nid: 3\nda")
        self.assertEqual(
            [(1, "a\nb", 7), (2, "c", None)], [(e.event_id, e.data, e.version) for e in events]
        )
        self.assertTrue(parser.has_partial)
        self.assertEqual(1, len(parser.feed(b"ta: x\n\n")))
        self.assertFalse(parser.has_partial)

    def test_malformed_events_are_rejected(self) -> None:
        for data in (b"data: x\n\n", b"\xff\xfe\n\n", b"id: x\ndata: y\n\n"):
            self.assertRaises(MalformedEvent, EventStreamParser("w").feed, data)


class RequestTest(testtools.TestCase):
    """Encoding of requests."""

    def test_hop_by_hop_headers_are_removed(self) -> None:
        headers = [
            ("A", "1"),
            ("Connection", "b"),
            ("B", "2"),
            ("TE", "x"),
            ("Content-Length", "9"),
        ]
        self.assertEqual([("A", "1")], end_to_end_headers(headers, "b"))

    def test_content_length_is_added(self) -> None:
        request = encode_request("POST", "/p?q", [("Host", "h")], b"xy")
        self.assertEqual(b"POST /p?q HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy", request)


Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def with_peer(peer: Peer, scenario: Callable[[tuple[str, int]], Awaitable[None]]) -> None:
    """Runs a scenario against a peer on an ephemeral port."""

    async def run() -> None:
        server = await asyncio.start_server(peer, HOST, 0)
        address = server.sockets[0].getsockname()[:2]
        await scenario((address[0], address[1]))
        server.close()

    asyncio.run(run())


def responding_peer(*responses: bytes, then_close: bool = False) -> Peer:
    """A peer that sends one prepared response for each request."""

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for response in responses:
            if not await reader.read(65_536):
                return
            writer.write(response)
            await writer.drain()
        if then_close:
            writer.close()

    return peer


def ok(request_id: str, body: bytes = b"x") -> bytes:
    """A complete response."""
    head = f"HTTP/1.1 200 OK\r\n{NAMES.request_id}: {request_id}\r\n{NAMES.signature}: signed\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class ConnectionTest(testtools.TestCase):
    """Connection reuse, and mapping of responses to attempt outcomes."""

    async def _attempt(self, connection: SamplerConnection, request_id: str) -> AttemptOutcome:
        attempt = await run_exchange(connection, b"x", "s", request_id, NAMES)
        return attempt.outcome

    def test_connection_is_reused_after_complete_response(self) -> None:
        async def scenario(address: tuple[str, int]) -> None:
            opened: list[int] = []
            pool = ConnectionPool(lambda: opened.append(1))
            for request_id in ("a", "b"):
                connection = await pool.acquire("s", address)
                outcome = await self._attempt(connection, request_id)
                self.assertEqual(AttemptOutcome.ANSWERED, outcome)
                pool.release("s", connection)
            self.assertEqual([1], opened)

        with_peer(responding_peer(ok("a"), ok("b")), scenario)

    def test_trailing_response_is_not_used_for_next_request(self) -> None:
        async def scenario(address: tuple[str, int]) -> None:
            connection = await SamplerConnection.open(address)
            self.assertEqual(AttemptOutcome.ANSWERED, await self._attempt(connection, "a"))
            self.assertFalse(connection.usable)

        with_peer(responding_peer(ok("a") + ok("a")), scenario)

    def test_response_with_another_request_id_is_rejected(self) -> None:
        async def scenario(address: tuple[str, int]) -> None:
            connection = await SamplerConnection.open(address)
            self.assertEqual(AttemptOutcome.BROKEN, await self._attempt(connection, "b"))
            self.assertFalse(connection.usable)

        with_peer(responding_peer(ok("a")), scenario)

    def test_invalid_or_truncated_responses_are_rejected(self) -> None:
        for response in (ok("a", b"long")[:-2], b"garbage", b""):

            async def scenario(address: tuple[str, int]) -> None:
                connection = await SamplerConnection.open(address)
                self.assertEqual(AttemptOutcome.BROKEN, await self._attempt(connection, "a"))
                self.assertFalse(connection.usable)

            with_peer(responding_peer(response, then_close=True), scenario)

    def test_refused_and_misdirected_requests(self) -> None:
        fields = f"{NAMES.request_id}: a\r\nContent-Length: 0\r\n"
        refused = f"HTTP/1.1 503 No\r\n{NAMES.not_run}: 1\r\n{fields}\r\n"
        other = f"HTTP/1.1 421 No\r\n{fields}\r\n"
        other_version = f"HTTP/1.1 421 No\r\n{NAMES.sampler_id}: s\r\n{fields}\r\n"
        for response, expected in (
            (refused, AttemptOutcome.REFUSED),
            (other, AttemptOutcome.MISDIRECTED),
            (other_version, AttemptOutcome.REFUSED),
        ):

            async def scenario(address: tuple[str, int]) -> None:
                connection = await SamplerConnection.open(address)
                self.assertEqual(expected, await self._attempt(connection, "a"))  # noqa: B023

            with_peer(responding_peer(response.encode()), scenario)

    def test_connection_is_not_reused_after_connection_close(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

        async def scenario(address: tuple[str, int]) -> None:
            connection = await SamplerConnection.open(address)
            response = BufferedResponse()
            connection.exchange(b"x", response)
            self.assertEqual(ExchangeEnd.COMPLETE, await response.done)
            self.assertFalse(connection.usable)

        with_peer(responding_peer(head), scenario)
