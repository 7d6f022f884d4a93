"""Collects a response in memory."""

from __future__ import annotations

import asyncio

from stileloom.clock import steady_time
from stileloom.http1.connection import ExchangeEnd
from stileloom.http1.response_decoder import ResponseHead
from stileloom.http1.response_memory import ResponseMemory


class BufferedResponse:
    """An `ExchangeSink` that buffers a response; `done` resolves when the exchange ends.

    `memory` may end it early as malformed; then its connection must be closed.
    """

    def __init__(self, memory: ResponseMemory | None = None) -> None:
        self._memory = memory
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
        if self.done.done():
            return
        self._parts.append(data)
        if self._memory is not None:
            self._memory.grow(self._cut, len(data))

    def on_end(self, end: ExchangeEnd) -> None:
        """Implements `ExchangeSink`."""
        self.release_memory()
        if not self.done.done():
            self.done.set_result(end)

    def release_memory(self) -> None:
        """Stops counting this response; called for an exchange that was abandoned."""
        if self._memory is not None:
            self._memory.release(self._cut)

    def _cut(self) -> None:
        self._parts.clear()
        if not self.done.done():
            self.done.set_result(ExchangeEnd.MALFORMED)
