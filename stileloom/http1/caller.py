"""Single requests over pooled connections, with a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from stileloom.http1.buffered_response import BufferedResponse
from stileloom.http1.limits import MAX_CONTROL_RESPONSE_BYTES
from stileloom.http1.pool import ConnectionPool
from stileloom.http1.request_encoder import encode_request
from stileloom.http1.response_decoder import ResponseHead


class NotSent(Exception):
    """The request was not sent because `may_send` returned False."""


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete response."""

    head: ResponseHead
    body: bytes


async def send_request(
    pool: ConnectionPool,
    sampler_id: str,
    address: tuple[str, int],
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
    timeout_s: float,
    may_send: Callable[[], bool] = lambda: True,
    max_body_bytes: int = MAX_CONTROL_RESPONSE_BYTES,
) -> HttpResponse | None:
    """Sends a request; returns None if connecting fails or no complete response arrives in time.

    On a timeout the connection is closed instead of being returned to the pool. `may_send` is
    called after connecting, right before the request is sent; if it returns False, `NotSent` is
    raised.
    """
    all_headers = [("Host", f"{address[0]}:{address[1]}"), *headers]
    if body:
        all_headers.append(("Content-Type", "application/json"))
    try:
        connection = await pool.acquire(sampler_id, address)
    except (OSError, TimeoutError):
        return None
    if not may_send():
        pool.release(sampler_id, connection)
        raise NotSent
    response = BufferedResponse()
    request = encode_request(method, target, all_headers, body)
    connection.exchange(request, response, max_body_bytes=max_body_bytes)
    try:
        async with asyncio.timeout(timeout_s):
            await response.done
    except TimeoutError:
        connection.close()
        return None
    except asyncio.CancelledError:
        connection.close()
        raise
    pool.release(sampler_id, connection)
    if not response.complete or response.head is None:
        return None
    return HttpResponse(response.head, response.body)
