"""Single calls over kept connections, with a time limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from stileloom.http1.pool import ConnectionPool
from stileloom.http1.request_encoder import encode_request
from stileloom.http1.response_decoder import ResponseHead
from stileloom.http1.whole_answer import WholeAnswer


class NotSent(Exception):
    """The caller no longer wanted the request sent when the connection stood."""


class CallAnswer(msgspec.Struct, frozen=True):
    """A whole answer."""

    head: ResponseHead
    body: bytes


async def call(
    pool: ConnectionPool,
    peer_id: str,
    address: tuple[str, int],
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
    timeout_s: float,
    may_send: Callable[[], bool] = lambda: True,
) -> CallAnswer | None:
    """Sends one request; None where no whole answer came in time.

    A connection that did not answer is closed: nothing more can be expected of it. Raises
    `NotSent` where `may_send` says no when the connection stands.
    """
    all_headers = [("Host", f"{address[0]}:{address[1]}"), *headers]
    if body:
        all_headers.append(("Content-Type", "application/json"))
    try:
        connection = await pool.acquire(peer_id, address)
    except (OSError, TimeoutError):
        return None
    if not may_send():
        pool.release(peer_id, connection)
        raise NotSent
    answer = WholeAnswer()
    connection.exchange(encode_request(method, target, all_headers, body), answer)
    try:
        async with asyncio.timeout(timeout_s):
            await answer.done
    except TimeoutError:
        connection.close()
        return None
    except asyncio.CancelledError:
        connection.close()
        raise
    pool.release(peer_id, connection)
    if not answer.whole or answer.head is None:
        return None
    return CallAnswer(answer.head, answer.body)
