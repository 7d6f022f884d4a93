"""Collects a response in memory."""

from __future__ import annotations

import asyncio

from stileloom.clock import steady_time
from stileloom.http1.connection import ExchangeEnd
from stileloom.http1.response_decoder import ResponseHead


class BufferedResponse:
    """An `ExchangeSink` that buffers a response; `done` resolves when the exchange ends."""

    def __init__(self) -> None:
        self.done: asyncio.Future[ExchangeEnd] = asyncio.get_running_loop().create_future()
        self.head: ResponseHead | None = None
        self.head_at = 0.0
        """When the head was received, in monotonic seconds."""
        self._parts: list[bytes] = []

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return b"".join(self._parts)

    @property
    def complete(self) -> bool:
        """Whether the exchange ended with a complete response."""
        return self.done.done() and self.done.result() is ExchangeEnd.COMPLETE

    def on_head(self, head: ResponseHead) -> None:
        """Implements `ExchangeSink`."""
        self.head = head
        self.head_at = steady_time()

    def on_body(self, data: bytes) -> None:
        """Implements `ExchangeSink`."""
        self._parts.append(data)

    def on_end(self, end: ExchangeEnd) -> None:
        """Implements `ExchangeSink`."""
        if not self.done.done():
            self.done.set_result(end)
