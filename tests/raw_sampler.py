"""A sampler whose responses are given byte by byte, for responses that are no answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from stileloom.api.headers import HeaderNames
from tests.service_cluster import HOST, MODEL, ServiceCluster

NAMES = HeaderNames()
SCRIPTED = "scripted"
"""Id of the sampler, and of its service."""


class ReceivedRequest(msgspec.Struct, frozen=True):
    """A request as the sampler received it."""

    target: str
    headers: dict[str, str]
    """By lower-case name."""

    def header(self, name: str) -> str:
        """A header's value, or an empty string."""
        return self.headers.get(name.lower(), "")

    @property
    def request_id(self) -> str:
        """Its id."""
        return self.header(NAMES.request_id)


Responder = Callable[[ReceivedRequest], bytes]
"""Returns the bytes of a response; the connection is closed after them."""


def answer(
    request: ReceivedRequest, status: str = "200", body: bytes = b"", **headers: str | None
) -> bytes:
    """A complete answer; `headers` replace those of a correct one by purpose, None omits one."""
    named: dict[str, str | None] = {
        "request_id": request.request_id,
        "signature": f"{SCRIPTED}/{request.request_id}",
        **headers,
    }
    fields = {getattr(NAMES, name): value for name, value in named.items()}
    fields["Content-Length"] = str(len(body))
    lines = [f"{name}: {value}" for name, value in fields.items() if value is not None]
    head = "\r\n".join([f"HTTP/1.1 {status} -", *lines, "", ""])
    return head.encode() + body


def events(request: ReceivedRequest, data: list[str]) -> bytes:
    """The events that are left of a stream whose events have the ids from 1."""
    after = int(request.header(NAMES.last_event_id) or 0)
    numbered = list(enumerate(data, start=1))[after:]
    return b"".join(f"id: {number}\ndata: {text}\n\n".encode() for number, text in numbered)


class RawSampler:
    """Answers its first requests with scripted responses and all others with a default one."""

    def __init__(self, script: list[Responder], default: Responder) -> None:
        self.requests: list[ReceivedRequest] = []
        self._script = list(script)
        self._default = default
        self._server: asyncio.Server

    async def __aenter__(self) -> RawSampler:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()

    async def register(self, cluster: ServiceCluster, name: str, service: str = SCRIPTED) -> None:
        """Lists it under a name; returns once all gateways know it."""
        host, port = self._server.sockets[0].getsockname()[:2]
        entry = {"service": service, "address": f"{host}:{port}", "zone": "a", "slots": 4}
        await cluster.write("samplers", name, {**entry, "model_versions": {MODEL: 1}})
        await cluster.wait_until_listed(name)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await _read_request(reader)
                if not request.request_id:
                    # A report or an order; the sampler has the only version there is.
                    writer.write(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.requests.append(request)
                respond = self._script.pop(0) if self._script else self._default
                writer.write(respond(request))
                break
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    request_line, *lines = head.split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(request_line.split(" ")[1], headers)
