"""The internal protocol over sockets: datagrams for small messages, framed TCP for the rest.

Delivery is best effort, as the parts expect: a datagram may be lost, and frames that wait
for a peer that does not answer are dropped once there are too many.
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

from stileloom.transport.codec import Codec

FRAME_HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 256 * 1024 * 1024
MAX_DATAGRAM_BYTES = 8192
"""A larger message goes by TCP, whatever its kind."""
MAX_QUEUED_FRAMES = 1024
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.2

TCP_USER_TIMEOUT_MS = 1500
"""How long sent bytes may go without an acknowledgement before the connection ends."""

Receiver = Callable[[str, Any], None]


class TrafficCount(msgspec.Struct):
    """Bytes and messages of the internal protocol since the start."""

    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    received_messages: int = 0


class Network:
    """Sends and receives messages of one node."""

    def __init__(self, codec: Codec, receiver: Receiver) -> None:
        self.traffic = TrafficCount()
        self._codec = codec
        self._receiver = receiver
        self._peers: dict[tuple[str, int], _Peer] = {}
        self._datagrams: asyncio.DatagramTransport | None = None
        self._server = _FrameServer(self._received)

    async def start(self, host: str, port: int) -> None:
        """Listens on TCP and UDP. Raises `OSError` where the port is taken."""
        self._server.listen(port, address=host)
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self._received), local_addr=(host, port)
        )

    def send(self, address: tuple[str, int], message: object) -> None:
        """Sends a message, best effort."""
        frame = self._codec.encode(message)
        self.traffic.sent_bytes += len(frame)
        self.traffic.sent_messages += 1
        small = len(frame) <= MAX_DATAGRAM_BYTES and self._codec.uses_datagram(message)
        if small and self._datagrams is not None:
            self._datagrams.sendto(frame, address)
            return
        peer = self._peers.get(address)
        if peer is None:
            peer = _Peer(address)
            self._peers[address] = peer
        peer.send(frame)

    def stop(self) -> None:
        """Closes every socket."""
        self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        for peer in self._peers.values():
            peer.close()

    def _received(self, frame: bytes) -> None:
        self.traffic.received_bytes += len(frame)
        self.traffic.received_messages += 1
        try:
            sender, message = self._codec.decode(frame)
        except msgspec.DecodeError:
            # Not from a node of this version: nothing can be done with it.
            return
        self._receiver(sender, message)


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Hands datagrams on."""

    def __init__(self, received: Callable[[bytes], None]) -> None:
        self._received = received

    def datagram_received(self, data: bytes, addr: object) -> None:
        """One datagram arrived."""
        self._received(data)


class _FrameServer(TCPServer):
    """Reads frames from peers."""

    def __init__(self, received: Callable[[bytes], None]) -> None:
        super().__init__(max_buffer_size=MAX_FRAME_BYTES)
        self._received = received
        self._accepted: set[IOStream] = set()

    def close(self) -> None:
        """Stops listening and closes what was accepted."""
        self.stop()
        for stream in list(self._accepted):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Reads frames until the peer closes."""
        self._accepted.add(stream)
        try:
            while True:
                header = await stream.read_bytes(FRAME_HEADER.size)
                (length,) = FRAME_HEADER.unpack(header)
                if length > MAX_FRAME_BYTES:
                    stream.close()
                    return
                self._received(await stream.read_bytes(length))
        except StreamClosedError:
            return
        finally:
            self._accepted.discard(stream)


class _Peer:
    """An outgoing connection that is opened when needed and again after it broke."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._queue: collections.deque[bytes] = collections.deque(maxlen=MAX_QUEUED_FRAMES)
        self._stream: IOStream | None = None
        self._writer: asyncio.Task[None] | None = None

    def send(self, frame: bytes) -> None:
        """Queues a frame; the oldest one is dropped where too many wait."""
        self._queue.append(frame)
        if self._writer is None or self._writer.done():
            self._writer = asyncio.get_running_loop().create_task(self._write())

    def close(self) -> None:
        """Closes the connection and drops what waits."""
        self._queue.clear()
        if self._writer is not None:
            self._writer.cancel()
        if self._stream is not None:
            self._stream.close()

    async def _write(self) -> None:
        while self._queue:
            try:
                stream = await self._connected()
                frame = self._queue.popleft()
                await stream.write(FRAME_HEADER.pack(len(frame)) + frame)
            except (StreamClosedError, OSError, TimeoutError):
                self._stream = None
                # What waited so long is out of date; the parts send again what matters.
                self._queue.clear()
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _connected(self) -> IOStream:
        if self._stream is not None and not self._stream.closed():
            return self._stream
        host, port = self._address
        self._stream = await TCPClient().connect(host, port, timeout=CONNECT_TIMEOUT_S)
        self._stream.set_nodelay(True)
        connected = self._stream.socket
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        return self._stream
