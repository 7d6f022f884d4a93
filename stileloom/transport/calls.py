"""Calls between nodes: numbered frames over one TCP connection, answered in any order."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import msgspec

from stileloom.transport.call_frames import CallFrame, Reply, ReplyFrame, Request
from stileloom.transport.compression import pack, unpack

FRAME_HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
TCP_USER_TIMEOUT_MS = 1500

_CALL_DECODER = msgspec.msgpack.Decoder(CallFrame)
_REPLY_DECODER = msgspec.msgpack.Decoder(ReplyFrame)
_ENCODER = msgspec.msgpack.Encoder()


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Whole frames so far. Raises `ValueError` where a frame is too long or damaged."""
        self._buffer += data
        frames: list[bytes] = []
        while len(self._buffer) >= FRAME_HEADER.size:
            (length,) = FRAME_HEADER.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                raise ValueError("frame too long")
            end = FRAME_HEADER.size + length
            if len(self._buffer) < end:
                break
            packed = bytes(self._buffer[FRAME_HEADER.size : end])
            frames.append(unpack(packed, MAX_FRAME_BYTES))
            del self._buffer[:end]
        return frames


def encode_frame(message: object, compress: bool = True) -> bytes:
    """A message behind its length."""
    body = pack(_ENCODER.encode(message), compress)
    return FRAME_HEADER.pack(len(body)) + body


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """No delay of small frames, and an early end where the peer is silent."""
    connected = transport.get_extra_info("socket")
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class CallServer:
    """Serves calls; a handler answers each."""

    def __init__(
        self, handler: Callable[[Request], Awaitable[Reply]], compress: bool = True
    ) -> None:
        self._handler = handler
        self._compress = compress
        self._server: asyncio.Server | None = None
        self._accepted: set[_ServedConnection] = set()

    async def start(self, host: str, port: int) -> None:
        """Listens. Raises `OSError` where the port is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServedConnection(self._handler, self._accepted, self._compress), host, port
        )

    def stop(self) -> None:
        """Stops listening and closes what was accepted."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._accepted):
            connection.close()


class _ServedConnection(asyncio.Protocol):
    """One caller."""

    def __init__(
        self,
        handler: Callable[[Request], Awaitable[Reply]],
        accepted: set[_ServedConnection],
        compress: bool,
    ) -> None:
        self._handler = handler
        self._compress = compress
        self._accepted = accepted
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: a caller connected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._accepted.add(self)
        set_socket_options(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the caller is gone."""
        self._accepted.discard(self)
        for task in self._tasks:
            task.cancel()

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes arrived."""
        try:
            frames = [_CALL_DECODER.decode(frame) for frame in self._reader.feed(data)]
        except (ValueError, msgspec.DecodeError):
            self.close()
            return
        for frame in frames:
            task = asyncio.get_running_loop().create_task(self._answer(frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, frame: CallFrame) -> None:
        reply = await self._handler(frame.request)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_frame(ReplyFrame(frame.number, reply), self._compress))


class CallFailed(Exception):
    """No answer; `sent` tells whether the call may have been carried out."""

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class CallConnection(asyncio.Protocol):
    """A connection to one node; calls run side by side."""

    def __init__(self) -> None:
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        self._next_number = 1

    @classmethod
    async def open(cls, address: tuple[str, int]) -> CallConnection:
        """Connects. Raises `OSError` or `TimeoutError`."""
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(cls, address[0], address[1])
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, protocol = await connecting
        return protocol

    @property
    def usable(self) -> bool:
        """Whether the connection stands."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the connection stands."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is gone, and what waits has no answer."""
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(CallFailed("connection lost", sent=True))
        self._waiting.clear()

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes arrived."""
        try:
            frames = [_REPLY_DECODER.decode(frame) for frame in self._reader.feed(data)]
        except (ValueError, msgspec.DecodeError):
            self.close()
            return
        for frame in frames:
            future = self._waiting.pop(frame.number, None)
            if future is not None and not future.done():
                future.set_result(frame.reply)

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.abort()

    async def call(self, request: Request, timeout_s: float) -> Reply:
        """Sends a call and waits. Raises `CallFailed`."""
        if self._transport is None or not self.usable:
            raise CallFailed("not connected", sent=False)
        number = self._next_number
        self._next_number += 1
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        self._transport.write(encode_frame(CallFrame(number, request)))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise CallFailed("no answer in time", sent=True) from error
        finally:
            self._waiting.pop(number, None)
            if future.done():
                with contextlib.suppress(asyncio.CancelledError, CallFailed):
                    future.exception()


class CallConnections:
    """Connections to nodes by address, opened when they are needed."""

    def __init__(self) -> None:
        self._connections: dict[tuple[str, int], CallConnection] = {}
        self._connecting: dict[tuple[str, int], asyncio.Lock] = {}

    async def call(self, address: tuple[str, int], request: Request, timeout_s: float) -> Reply:
        """Calls a node; a connection without an answer is closed. Raises `CallFailed`."""
        connection = await self._connected(address)
        try:
            return await connection.call(request, timeout_s)
        except CallFailed as failure:
            if failure.sent:
                connection.close()
            raise

    async def _connected(self, address: tuple[str, int]) -> CallConnection:
        lock = self._connecting.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._connections.get(address)
            if connection is not None and connection.usable:
                return connection
            try:
                connection = await CallConnection.open(address)
            except (OSError, TimeoutError) as error:
                raise CallFailed(type(error).__name__, sent=False) from error
            self._connections[address] = connection
            return connection

    def close(self) -> None:
        """Closes every connection."""
        for connection in self._connections.values():
            connection.close()
