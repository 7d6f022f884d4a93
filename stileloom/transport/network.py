"""The internal protocol: UDP for small messages that may be lost, framed TCP for the rest.

Delivery is best effort: datagrams may be lost, and when a peer is unreachable or its queue is
full, queued frames are dropped.
"""

from __future__ import annotations

import asyncio
import collections
import socket
import struct
from collections.abc import Callable
from typing import Any

import msgspec
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from stileloom.transport.codec import Codec, DeferredFrame

FRAME_HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 256 * 1024 * 1024
MAX_DATAGRAM_BYTES = 8192
"""Larger messages are always sent over TCP."""
MAX_QUEUED_FRAMES = 1024
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.2
TCP_USER_TIMEOUT_MS = 1500
"""A connection is closed if sent data remains unacknowledged for this long."""

MessageHandler = Callable[[str, Any], None]


class TrafficCount(msgspec.Struct):
    """Bytes and messages of the internal protocol since this process started."""

    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    received_messages: int = 0


class Network:
    """Sends and receives the messages of one node."""

    def __init__(self, codec: Codec, on_message: MessageHandler) -> None:
        self.traffic = TrafficCount()
        self._codec = codec
        self._on_message = on_message
        self._peers: dict[tuple[str, int], _PeerConnection] = {}
        self._datagram_transport: asyncio.DatagramTransport | None = None
        self._server = _FrameServer(self._on_frame)

    async def start(self, host: str, port: int) -> None:
        """Listens on TCP and UDP. Raises `OSError` if the port is in use."""
        self._server.listen(port, address=host)
        loop = asyncio.get_running_loop()
        self._datagram_transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self._on_frame), local_addr=(host, port)
        )

    def send(self, address: tuple[str, int], message: object) -> None:
        """Sends a message without a delivery guarantee."""
        frame = self._codec.encode(message)
        self.traffic.sent_messages += 1
        if isinstance(frame, bytes) and self._send_datagram(address, message, frame):
            return
        peer = self._peers.get(address)
        if peer is None:
            peer = _PeerConnection(address, self.traffic)
            self._peers[address] = peer
        peer.send(frame)

    def _send_datagram(self, address: tuple[str, int], message: object, frame: bytes) -> bool:
        fits = len(frame) <= MAX_DATAGRAM_BYTES and self._codec.uses_datagram(message)
        if not fits or self._datagram_transport is None:
            return False
        self.traffic.sent_bytes += len(frame)
        self._datagram_transport.sendto(frame, address)
        return True

    def stop(self) -> None:
        """Closes all sockets."""
        self._server.close()
        if self._datagram_transport is not None:
            self._datagram_transport.close()
        for peer in self._peers.values():
            peer.close()

    def _on_frame(self, frame: bytes) -> None:
        self.traffic.received_bytes += len(frame)
        self.traffic.received_messages += 1
        try:
            sender, message = self._codec.decode(frame)
        except msgspec.DecodeError:
            # Sent by an incompatible version.
            return
        self._on_message(sender, message)


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes each datagram to a callback."""

    def __init__(self, on_frame: Callable[[bytes], None]) -> None:
        self._on_frame = on_frame

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Implements `asyncio.DatagramProtocol`."""
        self._on_frame(data)


class _FrameServer(TCPServer):
    """Accepts connections and passes each frame to a callback."""

    def __init__(self, on_frame: Callable[[bytes], None]) -> None:
        super().__init__(max_buffer_size=MAX_FRAME_BYTES)
        self._on_frame = on_frame
        self._open_streams: set[IOStream] = set()

    def close(self) -> None:
        """Stops listening and closes all accepted connections."""
        self.stop()
        for stream in list(self._open_streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Reads frames until the connection is closed."""
        self._open_streams.add(stream)
        try:
            while True:
                header = await stream.read_bytes(FRAME_HEADER.size)
                (length,) = FRAME_HEADER.unpack(header)
                if length > MAX_FRAME_BYTES:
                    stream.close()
                    return
                self._on_frame(await stream.read_bytes(length))
        except StreamClosedError:
            return
        finally:
            self._open_streams.discard(stream)


class _PeerConnection:
    """An outgoing connection, opened on demand and reopened after a failure."""

    def __init__(self, address: tuple[str, int], traffic: TrafficCount) -> None:
        self._address = address
        self._traffic = traffic
        self._queue: collections.deque[bytes | DeferredFrame] = collections.deque(
            maxlen=MAX_QUEUED_FRAMES
        )
        self._stream: IOStream | None = None
        self._writer: asyncio.Task[None] | None = None

    def send(self, frame: bytes | DeferredFrame) -> None:
        """Queues a frame; drops the oldest one if the queue is full."""
        self._queue.append(frame)
        if self._writer is None or self._writer.done():
            self._writer = asyncio.get_running_loop().create_task(self._write())

    def close(self) -> None:
        """Closes the connection and drops all queued frames."""
        self._queue.clear()
        if self._writer is not None:
            self._writer.cancel()
        if self._stream is not None:
            self._stream.close()

    async def _write(self) -> None:
        while self._queue:
            try:
                stream = await self._get_stream()
                frame = self._queue.popleft()
                parts = (frame,) if isinstance(frame, bytes) else await frame.parts()
                size = sum(map(len, parts))
                self._traffic.sent_bytes += size
                # The other parts may be large and shared between connections: they are not copied.
                written = stream.write(FRAME_HEADER.pack(size) + parts[0])
                for part in parts[1:]:
                    written = stream.write(part)
                await written
            except (StreamClosedError, OSError, TimeoutError):
                self._stream = None
                # Queued messages are outdated by now; senders retry those that still matter.
                self._queue.clear()
                await asyncio.sleep(RECONNECT_DELAY_S)

    async def _get_stream(self) -> IOStream:
        if self._stream is not None and not self._stream.closed():
            return self._stream
        host, port = self._address
        self._stream = await TCPClient().connect(host, port, timeout=CONNECT_TIMEOUT_S)
        self._stream.set_nodelay(True)
        tcp_socket = self._stream.socket
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        return self._stream
