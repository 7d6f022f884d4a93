"""HTTP client of the engines: streams, cancellations, load reports and fenced orders."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPTimeoutError

from stileloom.api.engine import (
    CancelReply,
    CancelState,
    EngineOrder,
    GenerateRequest,
    LoadReport,
    StreamChunk,
    StreamEnd,
)

STREAM_TIMEOUT_S = 3600.0
CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 2.0

Frame = StreamChunk | StreamEnd
_FRAME_DECODER = msgspec.json.Decoder(Frame)


class StreamFailure(msgspec.Struct, frozen=True):
    """Why a stream ended without its final frame."""

    never_started: bool
    detail: str


class FrameParser:
    """Decodes frames from a stream of server-sent events."""

    def __init__(self, on_frame: Callable[[Frame], None]) -> None:
        self._on_frame = on_frame
        self._buffer = b""

    def feed(self, data: bytes) -> None:
        """Parses the next bytes. Raises `msgspec.DecodeError` on a malformed frame."""
        self._buffer += data
        while True:
            event, separator, rest = self._buffer.partition(b"\n\n")
            if not separator:
                return
            self._buffer = rest
            if event.startswith(b"data: "):
                self._on_frame(_FRAME_DECODER.decode(event[len(b"data: ") :]))


class EngineClient:
    """One client for all engines; `address` is `host:port`."""

    def __init__(self) -> None:
        self._http = AsyncHTTPClient(force_instance=True, max_clients=4096)

    async def stream(
        self, address: str, request: GenerateRequest, on_frame: Callable[[Frame], None]
    ) -> StreamFailure | None:
        """Runs a generation; returns None if the stream ended with its final frame."""
        ended = False

        def handle_frame(frame: Frame) -> None:
            nonlocal ended
            ended = ended or isinstance(frame, StreamEnd)
            on_frame(frame)

        parser = FrameParser(handle_frame)
        http_request = HTTPRequest(
            f"http://{address}/v1/completions",
            method="POST",
            body=msgspec.json.encode(request),
            headers={"Content-Type": "application/json"},
            streaming_callback=parser.feed,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=STREAM_TIMEOUT_S,
        )
        try:
            await self._http.fetch(http_request)
        except HTTPTimeoutError as error:
            return StreamFailure("connecting" in str(error), str(error))
        except HTTPClientError as error:
            # An engine returns these codes only before it starts a generation.
            refused = error.code in (400, 404, 409, 429, 503)
            return StreamFailure(refused, f"engine answered {error.code}")
        except ConnectionRefusedError as error:
            return StreamFailure(True, str(error))
        except (OSError, msgspec.DecodeError) as error:
            return StreamFailure(False, str(error))
        return None if ended else StreamFailure(False, "the stream ended without its final frame")

    async def cancel(self, address: str, request_id: str) -> CancelState | None:
        """Cancels a request by id; returns None if the engine did not respond."""
        request = HTTPRequest(
            f"http://{address}/v1/cancellations",
            method="POST",
            body=msgspec.json.encode({"request_id": request_id}),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=CONTROL_TIMEOUT_S,
        )
        body = await self._fetch_body(request)
        return msgspec.json.decode(body, type=CancelReply).state if body is not None else None

    async def read_load(self, address: str) -> LoadReport | None:
        """Reads the load report; returns None if the engine did not respond."""
        request = HTTPRequest(
            f"http://{address}/v1/load",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=CONTROL_TIMEOUT_S,
        )
        body = await self._fetch_body(request)
        return msgspec.json.decode(body, type=LoadReport) if body is not None else None

    async def send_order(self, address: str, order: EngineOrder) -> bool:
        """Sends a fenced order; returns False if it was rejected or the engine did not respond.

        The next load report shows whether the order was executed.
        """
        request = HTTPRequest(
            f"http://{address}/v1/orders",
            method="POST",
            body=msgspec.json.encode(order),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=ORDER_TIMEOUT_S,
        )
        return await self._fetch_body(request) is not None

    async def _fetch_body(self, request: HTTPRequest) -> bytes | None:
        try:
            response = await self._http.fetch(request)
        except (TimeoutError, HTTPClientError, OSError):
            return None
        return response.body
