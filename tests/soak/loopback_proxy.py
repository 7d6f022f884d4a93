"""A proxy on the loopback interface that delays, holds up, silences or resets what it forwards."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
import socket
import struct
from typing import cast

CHUNK_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
Address = tuple[str, int]


class LinkFault(enum.Enum):
    """What is wrong with a link. Bytes that are held up go on once the fault is over."""

    NONE = "none"
    DELAYED = "delayed"
    CUT_TO_SERVER = "cut_to_server"
    """One way: nothing reaches the server, its answers pass."""
    CUT_TO_CLIENT = "cut_to_client"
    """One way: requests arrive, answers do not."""
    SILENT = "silent"


_HOLDS_TO_SERVER = {LinkFault.CUT_TO_SERVER, LinkFault.SILENT}
_HOLDS_TO_CLIENT = {LinkFault.CUT_TO_CLIENT, LinkFault.SILENT}


class Link:
    """The state of one link, which its TCP and UDP proxies share."""

    def __init__(self) -> None:
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self._changed = asyncio.Event()

    def set(self, fault: LinkFault, delay_s: float = 0.0) -> None:
        """Changes the fault; what is held up looks again."""
        self.fault = fault
        self.delay_s = delay_s if fault is LinkFault.DELAYED else 0.0
        self._changed.set()
        self._changed = asyncio.Event()

    async def pass_on(self, to_server: bool) -> None:
        """Returns when bytes in this direction may pass."""
        held_by = _HOLDS_TO_SERVER if to_server else _HOLDS_TO_CLIENT
        while self.fault in held_by:
            await self._changed.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)

    def drops(self) -> bool:
        """Whether datagrams to the server are lost."""
        return self.fault in _HOLDS_TO_SERVER


class _Forwarded:
    """One connection."""

    def __init__(self) -> None:
        self.silenced = False
        """Its bytes go nowhere any more, and neither side is told of the other's end."""


class TcpProxy:
    """Forwards connections to one address."""

    def __init__(self, link: Link, target: Address) -> None:
        self._link = link
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._forwarded: set[_Forwarded] = set()

    async def start(self, host: str, port: int = 0) -> int:
        """Listens; returns the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stops listening and resets what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets every open connection."""
        for writer in list(self._writers):
            connected = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    def stall_open_connections(self) -> None:
        """What is open now is silent for good, without a reset; new connections work."""
        for forwarded in self._forwarded:
            forwarded.silenced = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._link.pass_on(to_server=True)
            upstream, upstream_writer = await asyncio.open_connection(*self._target)
        except (OSError, asyncio.CancelledError):
            # Cancelled at the end of the run, if the link never passed anything on.
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(upstream_writer)
        forwarded = _Forwarded()
        self._forwarded.add(forwarded)
        with contextlib.suppress(asyncio.CancelledError):
            # The end of the run cancels what is still open.
            await asyncio.gather(
                self._pump(forwarded, reader, upstream_writer, to_server=True),
                self._pump(forwarded, upstream, writer, to_server=False),
            )
        self._forwarded.discard(forwarded)
        if forwarded.silenced:
            # Whoever still holds its side open hears nothing until it gives up by itself.
            return
        for ended in (writer, upstream_writer):
            self._writers.discard(ended)
            ended.close()

    async def _pump(
        self,
        forwarded: _Forwarded,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_server: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._link.pass_on(to_server)
                if forwarded.silenced:
                    continue
                writer.write(data)
                await writer.drain()
            if not forwarded.silenced:
                writer.write_eof()
        except (OSError, RuntimeError):
            # One side is gone: so is the other.
            writer.transport.abort()


class UdpProxy(asyncio.DatagramProtocol):
    """Forwards datagrams one way; answers go to the address that their text names."""

    def __init__(self, link: Link, target: Address, rng: random.Random, loss: float) -> None:
        self._link = link
        self._target = target
        self._rng = rng
        self._loss = loss
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the socket is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """asyncio: one datagram."""
        if self._link.drops() or self._rng.random() < self._loss:
            return
        asyncio.get_running_loop().call_later(self._link.delay_s, self._forward, data)

    def _forward(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(data, self._target)

    def stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
