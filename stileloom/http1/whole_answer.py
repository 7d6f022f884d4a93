"""Collects a response until nothing more follows."""

from __future__ import annotations

import asyncio

from stileloom.http1.connection import ExchangeEnd
from stileloom.http1.response_decoder import ResponseHead


class WholeAnswer:
    """Takes one response; the future is done when nothing more follows."""

    def __init__(self) -> None:
        self.done: asyncio.Future[ExchangeEnd] = asyncio.get_running_loop().create_future()
        self.head: ResponseHead | None = None
        self._parts: list[bytes] = []

    @property
    def body(self) -> bytes:
        """All of the body so far."""
        return b"".join(self._parts)

    @property
    def whole(self) -> bool:
        """Whether the answer came to its end."""
        return self.done.done() and self.done.result() is ExchangeEnd.COMPLETE

    def on_head(self, head: ResponseHead) -> None:
        """The status and headers."""
        self.head = head

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self._parts.append(data)

    def on_end(self, end: ExchangeEnd) -> None:
        """Nothing more follows."""
        if not self.done.done():
            self.done.set_result(end)
