"""RPC between nodes: multiplexes calls over one TCP connection; replies may arrive in any order."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec

from stileloom.clock import steady_time
from stileloom.transport.call_frames import CallFrame, Reply, ReplyFrame, Request
from stileloom.transport.compression import pack_in_thread, unpack

FRAME_HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
SILENCE_S = 1.0
"""Time without any reply after which a call that times out breaks off others that wait."""
TCP_USER_TIMEOUT_MS = 1500

_CALL_DECODER = msgspec.msgpack.Decoder(CallFrame)
_REPLY_DECODER = msgspec.msgpack.Decoder(ReplyFrame)
_ENCODER = msgspec.msgpack.Encoder()


class FrameDecoder:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the bodies of all complete frames.

        Raises `ValueError` if a frame is too long or cannot be decompressed.
        """
        self._buffer += data
        bodies: list[bytes] = []
        while len(self._buffer) >= FRAME_HEADER.size:
            (length,) = FRAME_HEADER.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                raise ValueError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            end = FRAME_HEADER.size + length
            if len(self._buffer) < end:
                break
            packed = bytes(self._buffer[FRAME_HEADER.size : end])
            bodies.append(unpack(packed, MAX_FRAME_BYTES))
            del self._buffer[:end]
        return bodies


async def encode_frame(message: object, compress: bool = True) -> bytes:
    """Encodes a message as a length-prefixed frame; a large body is compressed in a thread."""
    packed = await pack_in_thread(_ENCODER.encode(message), compress)
    return FRAME_HEADER.pack(len(packed)) + packed


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disables Nagle's algorithm and limits how long sent data may remain unacknowledged."""
    tcp_socket = transport.get_extra_info("socket")
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class CallServer:
    """Accepts connections and passes each call to a handler."""

    def __init__(
        self, handler: Callable[[Request], Awaitable[Reply]], compress: bool = True
    ) -> None:
        self._handler = handler
        self._compress = compress
        self._server: asyncio.Server | None = None
        self._open_connections: set[_ServedConnection] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts listening. Raises `OSError` if the port is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServedConnection(self._handler, self._open_connections, self._compress),
            host,
            port,
        )

    def stop(self) -> None:
        """Stops listening and closes all accepted connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._open_connections):
            connection.close()


class _ServedConnection(asyncio.Protocol):
    """Server side of a connection."""

    def __init__(
        self,
        handler: Callable[[Request], Awaitable[Reply]],
        open_connections: set[_ServedConnection],
        compress: bool,
    ) -> None:
        self._handler = handler
        self._compress = compress
        self._open_connections = open_connections
        self._frame_decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements `asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._open_connections.add(self)
        set_socket_options(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the handlers of calls in progress."""
        self._open_connections.discard(self)
        for task in self._tasks:
            task.cancel()

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol`."""
        try:
            frames = [_CALL_DECODER.decode(body) for body in self._frame_decoder.feed(data)]
        except (ValueError, msgspec.DecodeError):
            self.close()
            return
        for frame in frames:
            task = asyncio.get_running_loop().create_task(self._handle_call(frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _handle_call(self, frame: CallFrame) -> None:
        reply = await self._handler(frame.request)
        encoded = await encode_frame(ReplyFrame(frame.number, reply), self._compress)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encoded)


class CallFailed(Exception):
    """A call got no reply; if `sent` is set, it may have been executed.

    `refused` is set if nothing listens at the address, so that the failure took no time.
    """

    def __init__(self, detail: str, sent: bool, refused: bool = False) -> None:
        super().__init__(detail)
        self.sent = sent
        self.refused = refused


class CallConnection(asyncio.Protocol):
    """Client side of a connection to one node; supports concurrent calls."""

    def __init__(self) -> None:
        self._frame_decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._pending: dict[int, asyncio.Future[Reply]] = {}
        self._next_number = 1
        self._last_reply_at = float("-inf")

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
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements `asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails all pending calls."""
        for future in self._pending.values():
            if not future.done():
                future.set_exception(CallFailed("connection lost", sent=True))
        self._pending.clear()

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol`."""
        try:
            frames = [_REPLY_DECODER.decode(body) for body in self._frame_decoder.feed(data)]
        except (ValueError, msgspec.DecodeError):
            self.close()
            return
        self._last_reply_at = steady_time()
        for frame in frames:
            future = self._pending.pop(frame.number, None)
            if future is not None and not future.done():
                future.set_result(frame.reply)

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _seems_lost(self, sent_at: float) -> bool:
        """Whether nothing has come since a call was sent that has timed out.

        Other calls that wait decide for themselves, unless the silence is long.
        """
        if self._last_reply_at >= sent_at:
            return False
        return len(self._pending) == 1 or steady_time() >= sent_at + SILENCE_S

    async def call(self, request: Request, timeout_s: float) -> Reply:
        """Sends a call and waits for its reply. Raises `CallFailed`."""
        number = self._next_number
        self._next_number += 1
        deadline = steady_time() + timeout_s
        frame = await encode_frame(CallFrame(number, request))
        if self._transport is None or not self.usable:
            raise CallFailed("not connected", sent=False)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        sent_at = steady_time()
        self._transport.write(frame)
        try:
            async with asyncio.timeout(max(0.0, deadline - sent_at)):
                return await future
        except TimeoutError as error:
            if self._seems_lost(sent_at):
                self.close()
            raise CallFailed(f"no reply within {timeout_s:g} s", sent=True) from error
        finally:
            self._pending.pop(number, None)
            if future.done():
                # Marks the exception as retrieved, so that asyncio does not log it.
                with contextlib.suppress(asyncio.CancelledError, CallFailed):
                    future.exception()


class CallConnectionPool:
    """Connections to nodes by address, opened on first use."""

    def __init__(self) -> None:
        self._connections: dict[tuple[str, int], CallConnection] = {}
        self._attempts: dict[tuple[str, int], asyncio.Task[CallConnection]] = {}
        """Connection attempts in progress; concurrent calls to an address wait for the same one."""

    async def call(self, address: tuple[str, int], request: Request, timeout_s: float) -> Reply:
        """Calls a node; the timeout includes the time to connect. Raises `CallFailed`."""
        deadline = steady_time() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._get_connection(address)
        except TimeoutError as error:
            raise CallFailed(f"not connected within {timeout_s:g} s", sent=False) from error
        return await connection.call(request, max(0.0, deadline - steady_time()))

    async def _get_connection(self, address: tuple[str, int]) -> CallConnection:
        connection = self._connections.get(address)
        if connection is not None and connection.usable:
            return connection
        attempt = self._attempts.get(address) or self._start_attempt(address)
        try:
            # Shielded, because other calls may wait for the attempt when this one is cancelled.
            return await asyncio.shield(attempt)
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise CallFailed(type(error).__name__, sent=False, refused=refused) from error

    def _start_attempt(self, address: tuple[str, int]) -> asyncio.Task[CallConnection]:
        attempt = asyncio.get_running_loop().create_task(CallConnection.open(address))
        self._attempts[address] = attempt
        attempt.add_done_callback(partial(self._on_attempt_done, address))
        return attempt

    def _on_attempt_done(
        self, address: tuple[str, int], attempt: asyncio.Task[CallConnection]
    ) -> None:
        del self._attempts[address]
        if not attempt.cancelled() and attempt.exception() is None:
            self._connections[address] = attempt.result()

    def close(self) -> None:
        """Closes all connections and cancels attempts, with the calls that wait for them."""
        for attempt in self._attempts.values():
            attempt.cancel()
        for connection in self._connections.values():
            connection.close()
