"""Callers that send or read slowly, at a gateway with limits on callers.

They send nothing that the record judges: what they show is that the others are served beside them
and that the gateway keeps within its memory.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from stileloom.http.native_dialect import NativeDialect
from tests.soak.deployment import HOST, HOSTNAME

ADDRESS = "127.0.9.1"
"""Their own address, so that the limit on connections of one address holds for them alone."""
SLOW_HEADERS = 40
SLOW_BODIES = 8
UNREAD = 8
PAUSE_S = 0.5
BODY_BYTES = 300_000
READ_PAUSE_S = 0.25
READ_BYTES = 20_000
RECEIVE_BUFFER_BYTES = 8192
HEAD = f"POST /charts/slow HTTP/1.1\r\nHost: {HOSTNAME}\r\n"


class SlowCallers:
    """All loops of slow callers; each ends when it is cancelled."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._number = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begins all loops."""
        kinds = [self._send_header] * SLOW_HEADERS + [self._send_body] * SLOW_BODIES
        kinds += [self._read_slowly, self._read_nothing] * (UNREAD // 2)
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._repeat(kind)) for kind in kinds]

    async def stop(self) -> None:
        """Ends all loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _repeat(self, kind: object) -> None:
        assert callable(kind)
        while True:
            with contextlib.suppress(OSError), socket.socket() as connection:
                connection.setblocking(False)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                connection.bind((ADDRESS, 0))
                await asyncio.get_running_loop().sock_connect(connection, (HOST, self._port))
                await kind(connection)
            await asyncio.sleep(PAUSE_S)

    def _request(self) -> bytes:
        self._number += 1
        head = f"{HEAD}{NativeDialect.names.request_id}: slow-{self._number}\r\n"
        return f"{head}Content-Length: {BODY_BYTES}\r\n\r\n".encode()

    async def _send_header(self, connection: socket.socket) -> None:
        """A byte of a header section now and then."""
        for byte in HEAD.encode():
            await asyncio.get_running_loop().sock_sendall(connection, bytes([byte]))
            await asyncio.sleep(PAUSE_S)

    async def _send_body(self, connection: socket.socket) -> None:
        """A body of less than 2 kB/s."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, self._request())
        for _ in range(BODY_BYTES // 500):
            await loop.sock_sendall(connection, b"x" * 500)
            await asyncio.sleep(PAUSE_S)

    async def _read_nothing(self, connection: socket.socket) -> None:
        """A response that is not read for longer than its gateway allows."""
        await self._send_all(connection)
        await asyncio.sleep(8.0)

    async def _read_slowly(self, connection: socket.socket) -> None:
        """A response that is read late, but to its end."""
        await self._send_all(connection)
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(connection, READ_BYTES):
            await asyncio.sleep(READ_PAUSE_S)

    async def _send_all(self, connection: socket.socket) -> None:
        data = self._request() + b"x" * BODY_BYTES
        await asyncio.get_running_loop().sock_sendall(connection, data)
