"""A connection to a sampler that carries one request at a time."""

from __future__ import annotations

import asyncio
import enum
import re
import socket
from typing import Protocol

from stileloom import abortive_close
from stileloom.clock import steady_time
from stileloom.http1.response_decoder import MalformedResponse, ResponseDecoder, ResponseHead

CONNECT_TIMEOUT_S = 0.5
"""Less than the kernel's first SYN retransmission timeout (1 s), as reconnecting is faster."""
TCP_USER_TIMEOUT_MS = 2000
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
IDLE_TIMEOUT_MARGIN_S = 1.0
"""Reuse of a connection stops this long before the idle timeout in its Keep-Alive header."""
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,9})")


class ExchangeEnd(enum.Enum):
    """How an exchange ended."""

    COMPLETE = "complete"
    NO_ANSWER = "no_answer"
    """The connection closed before a response head; the request may have been executed."""
    CUT = "cut"
    """The connection closed before the end of the response."""
    MALFORMED = "malformed"


class ExchangeSink(Protocol):
    """Receives the parts of one response."""

    def on_head(self, head: ResponseHead) -> None:
        """The status and headers."""

    def on_body(self, data: bytes) -> None:
        """A fragment of the body."""

    def on_end(self, end: ExchangeEnd) -> None:
        """The exchange ended; this is the last callback."""


class SamplerConnection(asyncio.Protocol):
    """One keep-alive connection; data received outside an exchange closes it."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._sink: ExchangeSink | None = None
        self._decoder = ResponseDecoder()
        self._reusable = True
        self._reusable_until = float("inf")
        self._rested_since = steady_time()

    @classmethod
    async def open(cls, address: tuple[str, int]) -> SamplerConnection:
        """Connects. Raises `OSError` or `TimeoutError`."""
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(cls, address[0], address[1])
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, protocol = await connecting
        return protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements `asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _set_socket_options(transport.get_extra_info("socket"))

    @property
    def usable(self) -> bool:
        """Whether another request can be sent now."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self._sink is None
            and self._reusable
            and steady_time() < self._reusable_until
        )

    def exchange(
        self,
        request: bytes,
        sink: ExchangeSink,
        method: str = "GET",
        max_body_bytes: int | None = None,
    ) -> None:
        """Sends a request and passes its response to `sink`.

        A response with a longer body ends as malformed; None for a sink that does not keep it.
        """
        assert self._sink is None and self._transport is not None
        self._sink = sink
        self._decoder = ResponseDecoder(method, max_body_bytes)
        self._transport.write(request)

    def pause_reading(self) -> None:
        """Stops reading the response, so that the sampler's writes wait."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continues after `pause_reading`."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        """Aborts the connection; the sink of an exchange in progress is not notified.

        An exchange in progress is reset, so that its request does not arrive later.
        """
        is_idle = self._sink is None
        self._sink = None
        self._reusable = False
        if self._transport is None:
            return
        if is_idle:
            self._transport.abort()
        else:
            abortive_close.reset(self._transport)

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol`."""
        sink = self._sink
        if sink is None:
            self.close()
            return
        had_head = self._decoder.head is not None
        try:
            parts = self._decoder.feed(data)
        except MalformedResponse:
            self._finish(ExchangeEnd.MALFORMED)
            return
        if not had_head and self._decoder.head is not None:
            self._apply_keep_alive_headers(self._decoder.head)
            sink.on_head(self._decoder.head)
        for part in parts:
            if self._sink is sink:
                sink.on_body(part)
        if self._sink is sink and self._decoder.done:
            if self._decoder.has_trailing_data:
                self._reusable = False
            self._finish(ExchangeEnd.COMPLETE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the current exchange, if any."""
        self._reusable = False
        if self._sink is None:
            return
        self._decoder.on_connection_closed(clean=exc is None)
        if self._decoder.done:
            self._finish(ExchangeEnd.COMPLETE)
        elif self._decoder.head is None:
            self._finish(ExchangeEnd.NO_ANSWER)
        else:
            self._finish(ExchangeEnd.CUT)

    def _finish(self, end: ExchangeEnd) -> None:
        sink = self._sink
        self._sink = None
        if end is not ExchangeEnd.COMPLETE:
            self._reusable = False
        if self._transport is not None and end is not ExchangeEnd.COMPLETE:
            abortive_close.reset(self._transport)
        elif self._transport is not None and not self._reusable:
            self._transport.abort()
        if sink is not None:
            sink.on_end(end)

    def _apply_keep_alive_headers(self, head: ResponseHead) -> None:
        if "close" in head.headers.get("Connection", "").lower():
            self._reusable = False
        match = _KEEP_ALIVE_TIMEOUT.search(head.headers.get("Keep-Alive", ""))
        if match is not None:
            idle_s = max(0.0, int(match.group(1)) - IDLE_TIMEOUT_MARGIN_S)
            self._reusable_until = steady_time() + idle_s


def _set_socket_options(tcp_socket: socket.socket) -> None:
    """Disables Nagle's algorithm and detects an unresponsive peer within seconds."""
    tcp = socket.IPPROTO_TCP
    tcp_socket.setsockopt(tcp, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
