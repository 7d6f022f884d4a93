"""HTTP server that applies the limits on callers (`callers/limits.py`) to their connections."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream
from tornado.netutil import add_accept_handler

from stileloom.callers.limits import (
    CallerLimits,
    CallerState,
    Close,
    ConnectionLimits,
    Refuse,
)
from stileloom.callers.metrics import CallerMetrics
from stileloom.clock import steady_time
from stileloom.daemon.descriptors import DescriptorReserve, SparingListener, sparing_listeners
from stileloom.errors import ErrorKind, StileloomError, problem_document
from stileloom.events import LogEvent
from stileloom.logging import EventLog

CHECK_INTERVAL_S = 0.25
BACKLOG = 1024
READ_CHUNK_BYTES = 16_384
"""Each read allocates as much, also for a single byte."""
SEND_BUFFER_BYTES = 65_536
"""Limit of what the kernel buffers of a response, doubled by the kernel. Without it the kernel took
1.6 MB of a stream that nobody read before the gateway noticed. It allows 20 MB/s at a round trip of
3 ms, which is more than the link of a gateway carries."""
HEADER_FIELD_BYTES = 400
"""Memory of a decoded header field besides its text. A section of many short fields takes a hundred
times its size."""
MIN_PART_BYTES = 4096
"""Smaller parts of a body are joined: each part takes 33 bytes besides its content, so that a body
sent byte by byte would take many times its size."""
REFUSAL_TIMEOUT_S = 1.0
"""Time for which a refused connection may send its request and read its refusal. If it were closed
at once, the kernel would reset it, and the caller might lose the refusal."""
MAX_REFUSALS = 32
"""Refused connections that are open at the same time; the oldest ones are closed beyond that."""
_LINE_OVERHEAD_BYTES = 4
"""The colon, the space and the line end of a header field."""


def resident_bytes() -> int:
    """Physical memory that this process uses."""
    status = Path("/proc/self/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
    return int(fields["VmRSS"].split()[0]) * 1024


class CallerStream(IOStream):
    """A caller's stream that reports what is received and sent, and counts unsent bytes."""

    def __init__(self, connection: socket.socket, **parameters: Any) -> None:
        self.unsent_bytes = 0
        self.on_received: Callable[[int], None] = lambda count: None
        self.on_sent: Callable[[bool], None] = lambda progress: None
        """Called after bytes were written; the argument says whether the caller took some."""
        self.on_closed: Callable[[], None] = lambda: None
        self._writing = False
        super().__init__(connection, **parameters)

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Implements `BaseIOStream`."""
        self.unsent_bytes += len(data)
        self._writing = True
        try:
            return super().write(data)
        finally:
            self._writing = False
            self.on_sent(False)

    def write_to_fd(self, data: memoryview) -> int:
        """Implements `BaseIOStream`."""
        count = super().write_to_fd(data)
        self.unsent_bytes -= count
        if not self._writing:
            self.on_sent(count > 0)
        return count

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Implements `BaseIOStream`."""
        count = super().read_from_fd(buf)
        if count:
            self.on_received(count)
        return count

    def close_fd(self) -> None:
        """Implements `BaseIOStream`."""
        super().close_fd()
        self.on_closed()
        # They refer to the stream: without this it is kept until the next collection of cycles.
        self.on_received = lambda count: None
        self.on_sent = lambda progress: None
        self.on_closed = lambda: None

    def kernel_bytes(self) -> int:
        """Bytes that the kernel has sent and the caller has not acknowledged, or not sent yet."""
        buffer = fcntl.ioctl(self.socket, termios.TIOCOUTQ, struct.pack("i", 0))
        return int(struct.unpack("i", buffer)[0])


class _CallerConnection:
    """One connection, with what the limits need to know about it."""

    def __init__(
        self, connection_id: int, stream: CallerStream, report: Callable[[_CallerConnection], None]
    ) -> None:
        self.connection_id = connection_id
        self.stream = stream
        self.state = CallerState.IDLE
        self.held_bytes = 0
        self.closing = False
        """Whether a limit closed it; a request that it completes nevertheless is not run."""
        self.kernel_bytes = 0
        """Unacknowledged bytes at the last check."""
        self._request_bytes = 0
        self._bytes_ahead = 0
        """Bytes received after the end of the current request."""
        self._report = report

    def on_received(self, count: int) -> None:
        """Counts received bytes."""
        if self.state in (CallerState.RUNNING, CallerState.RESPONSE):
            self._bytes_ahead += count
            return
        self._request_bytes += count
        self._update(CallerState.HEADER if self.state is CallerState.IDLE else self.state)

    def on_sent(self) -> None:
        """Determines whether a part of the response waits for the caller."""
        if self.state in (CallerState.RUNNING, CallerState.RESPONSE):
            waiting = self.stream.unsent_bytes > 0
            self._update(CallerState.RESPONSE if waiting else CallerState.RUNNING)

    def on_next_request(self) -> None:
        """The server waits for the next request."""
        self._request_bytes, self._bytes_ahead = self._bytes_ahead, 0
        self._update(CallerState.HEADER if self._request_bytes else CallerState.IDLE)

    def on_headers(self, headers: HTTPHeaders) -> None:
        """The header section is complete."""
        received = self._request_bytes
        fields = list(headers.get_all())
        text = sum(len(name) + len(value) + _LINE_OVERHEAD_BYTES for name, value in fields)
        decoded = len(fields) * HEADER_FIELD_BYTES
        # The rest of what was received belongs to the body.
        self._request_bytes = min(text, received) + decoded
        self._update(CallerState.BODY)
        self._request_bytes = received + decoded
        self._update(CallerState.BODY)

    def on_request_complete(self) -> None:
        """The request is complete and runs from now on."""
        self._update(CallerState.RUNNING)

    def _update(self, state: CallerState) -> None:
        held_bytes = self._request_bytes + self.stream.unsent_bytes
        if self.closing or (state is self.state and held_bytes == self.held_bytes):
            return
        self.state = state
        self.held_bytes = held_bytes
        self._report(self)


class _LimitedExchange(HTTPMessageDelegate):
    """Passes a request on and reports its progress; a request that a limit ended is dropped."""

    def __init__(self, connection: _CallerConnection, inner: HTTPMessageDelegate) -> None:
        self._connection = connection
        self._inner = inner
        self._pending = bytearray()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Implements `HTTPMessageDelegate`."""
        self._connection.on_headers(headers)
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Implements `HTTPMessageDelegate`."""
        if self._connection.closing:
            return None
        if len(self._pending) + len(chunk) < MIN_PART_BYTES:
            self._pending += chunk
            return None
        return self._pass_on(chunk)

    def _pass_on(self, chunk: bytes = b"") -> Awaitable[None] | None:
        data = bytes(self._pending) + chunk if self._pending else chunk
        self._pending.clear()
        return self._inner.data_received(data)

    def finish(self) -> None:
        """Implements `HTTPMessageDelegate`."""
        if self._connection.closing:
            return
        if self._pending:
            self._pass_on()
        self._connection.on_request_complete()
        if not self._connection.closing:
            self._inner.finish()

    def on_connection_close(self) -> None:
        """Implements `HTTPMessageDelegate`."""
        self._pending.clear()
        self._inner.on_connection_close()


class CallerServer(HTTPServer):
    """A server whose connections are limited; `limit` is called before it listens."""

    def limit(self, limits: CallerLimits, log: EventLog, metrics: CallerMetrics) -> None:
        """Sets the limits and logs them."""
        self._limits = ConnectionLimits(limits)
        self._log = log
        self._metrics = metrics
        self._next_id = 0
        self._callers: dict[int, _CallerConnection] = {}
        self._by_stream: dict[object, _CallerConnection] = {}
        self._refusals: dict[asyncio.Task[None], IOStream] = {}
        self._reserve = DescriptorReserve()
        self._listeners: list[tuple[SparingListener, Callable[[], None]]] = []
        metrics.observe(self._limits)
        fields: dict[str, object] = {
            "connections": limits.connections,
            "address_connections": limits.address_connections,
            "held_bytes": limits.held_bytes,
        }
        log.emit(LogEvent.CALLER_LIMITS_SET, fields)

    def listen_to_callers(self, host: str, port: int) -> None:
        """Starts listening. Raises `OSError`."""
        for listener in sparing_listeners(host, port, self._close_for_descriptor, BACKLOG):
            self._listeners.append((listener, add_accept_handler(listener, self._accepted)))

    def stop(self) -> None:
        """Stops listening and ends refused connections."""
        super().stop()
        for listener, remove_handler in self._listeners:
            remove_handler()
            listener.close()
        self._listeners.clear()
        for task in self._refusals:
            task.cancel()
        self._reserve.close()

    async def watch(self, max_header_bytes: Callable[[], int]) -> None:
        """Closes connections whose time has passed, and applies the limit on header sections that
        is in force; runs until it is cancelled."""
        while True:
            self.conn_params.max_header_size = max_header_bytes()
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check()

    def free_descriptor(self) -> bool:
        """Frees a descriptor for the readiness and metrics ports; returns False if it cannot."""
        return self._reserve.release() or self._close_for_descriptor()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Implements `HTTPServerConnectionDelegate`."""
        delegate = super().start_request(server_conn, request_conn)
        connection = self._by_stream.get(getattr(request_conn, "stream", None))
        if connection is None:
            return delegate
        connection.on_next_request()
        return _LimitedExchange(connection, delegate)

    def _close_for_descriptor(self) -> bool:
        freed = self._limits.descriptors_exhausted(steady_time())
        if isinstance(freed, Refuse):
            return False
        self._close_connections(freed)
        return True

    def _accepted(self, accepted: socket.socket, address: Any) -> None:
        self._next_id += 1
        connection_id = self._next_id
        verdict = self._limits.opened(connection_id, str(address[0]), steady_time())
        if isinstance(verdict, Refuse):
            self._record_refusal(verdict, str(address[0]))
            self._refuse(IOStream(accepted, read_chunk_size=READ_CHUNK_BYTES), verdict)
            return
        self._close_connections(verdict)
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        stream = CallerStream(
            accepted, max_buffer_size=self.max_buffer_size, read_chunk_size=READ_CHUNK_BYTES
        )
        connection = _CallerConnection(connection_id, stream, self._report)
        stream.on_received = connection.on_received
        stream.on_sent = lambda progress: self._sent(connection, progress)
        stream.on_closed = lambda: self._forget(connection)
        self._callers[connection_id] = connection
        self._by_stream[stream] = connection
        self.handle_stream(stream, address)

    def _sent(self, connection: _CallerConnection, progress: bool) -> None:
        connection.on_sent()
        if progress:
            self._limits.response_read(connection.connection_id, steady_time())

    def _report(self, connection: _CallerConnection) -> None:
        closes = self._limits.state_changed(
            connection.connection_id, connection.state, connection.held_bytes, steady_time()
        )
        self._close_connections(closes, connection.connection_id)

    def _forget(self, connection: _CallerConnection) -> None:
        self._limits.closed(connection.connection_id)
        self._callers.pop(connection.connection_id, None)
        self._by_stream.pop(connection.stream, None)

    def _close_connections(self, closes: list[Close], reporting_id: int | None = None) -> None:
        """Closes connections; the one that reports is closed after its stream's callback."""
        for close in closes:
            connection = self._callers.get(close.connection_id)
            if connection is None:
                continue
            connection.closing = True
            self._metrics.closed.labels(close.limit.value).inc()
            fields: dict[str, object] = {
                "limit": close.limit.value,
                "state": close.state.value,
                "caller": close.address,
                "held_bytes": close.held_bytes,
            }
            self._log.emit(LogEvent.CALLER_CONNECTION_CLOSED, fields)
            if close.connection_id == reporting_id:
                asyncio.get_running_loop().call_soon(_close_stream, connection.stream, close)
            else:
                _close_stream(connection.stream, close)

    def _check(self) -> None:
        now = steady_time()
        for connection in self._callers.values():
            if connection.state is not CallerState.RESPONSE:
                continue
            kernel_bytes = connection.stream.kernel_bytes()
            if kernel_bytes < connection.kernel_bytes:
                self._limits.response_read(connection.connection_id, now)
            connection.kernel_bytes = kernel_bytes
        self._close_connections(self._limits.expired(now))
        self._reserve.refill()

    # Refused connections.

    def _record_refusal(self, refusal: Refuse, address: str) -> None:
        self._metrics.refused.labels(refusal.limit.value).inc()
        fields: dict[str, object] = {
            "limit": refusal.limit.value,
            "caller": address,
            "retry_after_s": refusal.retry_after_s,
        }
        self._log.emit(LogEvent.CALLER_CONNECTION_REFUSED, fields)

    def _refuse(self, stream: IOStream, refusal: Refuse) -> None:
        if len(self._refusals) >= MAX_REFUSALS:
            oldest = next(iter(self._refusals))
            self._refusals.pop(oldest).close()
            oldest.cancel()
        task = asyncio.get_running_loop().create_task(_send_refusal(stream, refusal.retry_after_s))
        self._refusals[task] = stream
        task.add_done_callback(self._refusal_ended)

    def _refusal_ended(self, task: asyncio.Task[None]) -> None:
        """Also called for a task that was cancelled before it started."""
        stream = self._refusals.pop(task, None)
        if stream is not None:
            stream.close()


def _close_stream(stream: CallerStream, close: Close) -> None:
    if close.retry_after_s is not None and not stream.closed():
        stream.write(_refusal(close.retry_after_s))
    stream.close()


async def _send_refusal(stream: IOStream, retry_after_s: float) -> None:
    """Answers the first bytes of a refused connection, and discards the rest of its request."""
    try:
        async with asyncio.timeout(REFUSAL_TIMEOUT_S):
            await stream.read_bytes(READ_CHUNK_BYTES, partial=True)
            await stream.write(_refusal(retry_after_s))
            if not stream.closed():
                stream.socket.shutdown(socket.SHUT_WR)
            while True:
                await stream.read_bytes(READ_CHUNK_BYTES, partial=True)
    except (TimeoutError, OSError):
        # `StreamClosedError` is an `OSError`.
        pass


def _refusal(retry_after_s: float) -> bytes:
    """A complete response that says that the request has not run."""
    error = StileloomError(
        ErrorKind.OVERLOADED, "the gateway has no room for this connection", None, retry_after_s
    )
    body = msgspec.json.encode(problem_document(error))
    head = (
        "HTTP/1.1 503 Service Unavailable\r\n"
        "Content-Type: application/problem+json\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Retry-After: {retry_after_s:g}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
