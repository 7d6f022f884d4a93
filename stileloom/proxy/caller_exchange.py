"""One request on a caller's connection: reads it, has it served and writes the response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from stileloom.clock import steady_time
from stileloom.http1.request_encoder import end_to_end_headers
from stileloom.http1.response_decoder import ResponseHead
from stileloom.proxy.caller_messages import CallerRequest, CallerResponse

if TYPE_CHECKING:
    from stileloom.proxy.front import GatewayServer


class CallerExchange(HTTPMessageDelegate):
    """Receives a request from tornado; implements `StreamWriter` for a response in parts."""

    def __init__(self, front: GatewayServer, connection: HTTPConnection) -> None:
        self._front = front
        self._connection = connection
        self._start: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._parts: list[bytes] = []
        self._size = 0
        self._task: asyncio.Task[None] | None = None
        self._streaming = False
        self._cut = False

    # Implementation of `StreamWriter`.

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the caller; only the streams of `CallerServer` count them."""
        return int(getattr(getattr(self._connection, "stream", None), "unsent_bytes", 0))

    def start(self, head: ResponseHead) -> None:
        """Sends the head of the response."""
        self._streaming = True
        headers = HTTPHeaders()
        for name, value in end_to_end_headers(
            head.headers.get_all(), head.headers.get("Connection", "")
        ):
            headers.add(name, value)
        if self._front.draining:
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        self._connection.write_headers(start_line, headers)

    def write(self, data: bytes) -> None:
        """Sends events."""
        self._connection.write(data)

    def end_stream(self) -> None:
        """Ends the response as complete."""
        self._connection.finish()

    def abort(self) -> None:
        """Aborts the response: without the last chunk the caller detects the truncation."""
        stream = getattr(self._connection, "stream", None)
        if stream is not None:
            stream.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Called by tornado with the request's head."""
        assert isinstance(start_line, RequestStartLine)
        self._start = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Called by tornado with a part of the body."""
        self._size += len(chunk)
        self._parts.append(chunk)

    def finish(self) -> None:
        """Called by tornado when the request is complete."""
        assert self._start is not None
        request = CallerRequest(
            self._start.method,
            self._start.path,
            self._headers,
            b"".join(self._parts),
            steady_time(),
            getattr(getattr(self._connection, "context", None), "remote_ip", "") or "",
        )
        self._parts.clear()
        set_close_callback: Callable[[Callable[[], None]], None] | None = getattr(
            self._connection, "set_close_callback", None
        )
        if set_close_callback is not None:
            set_close_callback(self._on_disconnect)
        self._task = asyncio.get_running_loop().create_task(self._serve(request))
        self._front.opened(self)
        self._task.add_done_callback(lambda task: self._front.closed(self))

    def on_connection_close(self) -> None:
        """Called by tornado when the connection closed before the request was complete."""
        # The exchange may be part of a reference cycle, which would keep the body.
        self._parts.clear()
        self._on_disconnect()

    def cut(self) -> asyncio.Task[None]:
        """Ends the request; the returned task is done once its last response is written."""
        assert self._task is not None
        self._cut = True
        self._task.cancel()
        return self._task

    def _on_disconnect(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _serve(self, request: CallerRequest) -> None:
        try:
            response = await self._front.serve(request, self)
        except asyncio.CancelledError:
            if not self._cut:
                raise
            if self._streaming:
                self.abort()
                return
            response = self._front.cut_response(request)
        except Exception as error:
            self._front.log_internal_error(request, error)
            if self._streaming:
                self.abort()
                return
            response = CallerResponse(500, "Internal Server Error", [], b"")
        if response is None:
            return
        headers = HTTPHeaders()
        for name, value in response.headers:
            headers.add(name, value)
        headers["Content-Length"] = str(len(response.body))
        if self._front.draining:
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", response.status, response.reason)
        body = response.body if request.method != "HEAD" else b""
        self._connection.write_headers(start_line, headers, body)
        self._connection.finish()
