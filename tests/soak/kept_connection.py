"""A client that keeps using its connection until that breaks, whatever the answers announce."""

from __future__ import annotations

import asyncio
import contextlib

UNKNOWN_STATUS = 599


class KeptConnection:
    """One connection, opened again only after it broke or an answer did not come."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def post(
        self, target: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Status and body of the answer; status 599 stands for none."""
        fields = {**headers, "Content-Length": str(len(body))}
        lines = [f"POST {target} HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields)]
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange("\r\n".join([*lines, "", ""]).encode() + body)
        except (OSError, EOFError, LookupError, ValueError, TimeoutError):
            self.close()
            return UNKNOWN_STATUS, b""

    def close(self) -> None:
        """Closes the connection, if one is open."""
        if self._streams is not None:
            with contextlib.suppress(OSError):
                self._streams[1].close()
        self._streams = None

    async def _exchange(self, request: bytes) -> tuple[int, bytes]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        writer.write(request)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(":", 1) for line in head[1:] if line)
        answer = await reader.readexactly(int(fields["content-length"]))
        return int(head[0].split()[1]), answer
