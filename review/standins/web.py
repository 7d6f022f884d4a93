"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

REASONS = {200: "OK", 201: "Created", 202: "Accepted"}


@dataclasses.dataclass
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Response:
    """A complete response; header names are in lower case."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


Handler = Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[Response | None]
]
"""Answers a request; returns None if it wrote the response itself."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a start line and headers. Raises `asyncio.IncompleteReadError` at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    start_line, _, rest = head.partition("\r\n")
    headers: dict[str, str] = {}
    for line in rest.splitlines():
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return start_line, headers


def encode_response(response: Response) -> bytes:
    """Encodes a response with a length."""
    reason = REASONS.get(response.status, "Other")
    lines = [f"HTTP/1.1 {response.status} {reason}", f"Content-Length: {len(response.body)}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + response.body


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serves requests with keep-alive connections."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                start_line, headers = await read_head(reader)
                method, target, _ = start_line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                request = Request(method, target, headers, body)
                response = await handler(request, reader, writer)
                if response is not None:
                    writer.write(encode_response(response))
                await writer.drain()
        writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=1 << 20, backlog=512)


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a request with a length."""
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Response | None:
    """Sends a request on a fresh connection; None if no complete response arrives in time."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
            writer.write(encode_request(method, target, {**headers, "Connection": "close"}, body))
            start_line, answered = await read_head(reader)
            content = await reader.readexactly(int(answered.get("content-length", "0")))
            return Response(int(start_line.split(" ")[1]), content, answered)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
