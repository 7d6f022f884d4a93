"""Minimal HTTP/1.1 server and client for stand-ins, on asyncio streams only."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Request:
    """A request with its complete body."""

    method: str
    target: str
    headers: dict[str, str]
    """By lower-case name."""
    body: bytes
    writer: asyncio.StreamWriter
    closed: asyncio.Event
    """Set once the peer has closed or reset the connection."""


@dataclass
class Response:
    """A complete response."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Response | None]]
"""Returns None if it has written the response itself; the connection is closed then."""


class Server:
    """Serves keep-alive connections, one request at a time on each."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> int:
        """Listens; returns the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader, writer)
                if request is None:
                    return
                response = await self._run(reader, request)
                if response is None:
                    return
                writer.write(_encode_response(response))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, reader: asyncio.StreamReader, request: Request) -> Response | None:
        """Runs the handler and meanwhile watches for the end of the connection."""
        watch = asyncio.ensure_future(reader.read(1))
        watch.add_done_callback(lambda _: request.closed.set())
        try:
            response = await self._handler(request)
            return None if request.closed.is_set() else response
        finally:
            # Before the response is sent: the next request must not lose its first byte.
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await watch


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin1").rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    headers = _headers(lines)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body, writer, asyncio.Event())


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = [line.partition(":") for line in lines]
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def _encode_response(response: Response) -> bytes:
    lines = [f"HTTP/1.1 {response.status} -", f"Content-Length: {len(response.body)}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + response.body


class CallFailed(Exception):
    """There was no complete response."""


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Response:
    """Sends a request on a fresh connection. Raises `CallFailed`."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(encode_request(method, target, headers, body))
                return await read_response(reader)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        raise CallFailed(repr(error)) from error


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encodes a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads a response with a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin1").rstrip("\r\n").split("\r\n")
    headers = _headers(lines)
    body = await reader.readexactly(int(headers["content-length"]))
    return Response(int(first.split(" ")[1]), body, headers)
