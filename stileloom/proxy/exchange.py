"""One attempt of a lookup: a sampler's complete response, or the reason why there is none."""

from __future__ import annotations

import asyncio
import enum

import msgspec

from stileloom.api.headers import HeaderNames
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.http1.buffered_response import BufferedResponse
from stileloom.http1.connection import ExchangeEnd, SamplerConnection
from stileloom.http1.limits import MAX_RESPONSE_BYTES
from stileloom.http1.response_decoder import ResponseHead
from stileloom.http1.response_memory import ResponseMemory


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """The sampler confirmed that the request did not run."""
    MISDIRECTED = "misdirected"
    """A sampler with another id has the address (status 421); the request did not run."""
    NOT_CONNECTED = "not_connected"
    """No connection could be opened; nothing was sent."""
    BROKEN = "broken"
    """The connection broke; the request may have run."""


class Attempt(msgspec.Struct, frozen=True):
    """Result of one attempt."""

    sampler_id: str
    outcome: AttemptOutcome
    head: ResponseHead | None = None
    body: bytes = b""
    detail: str = ""
    entry: SamplerEntry | None = None
    """The sampler's entry when the attempt started."""
    started_at: float = 0.0
    """When the request was sent, in monotonic seconds."""
    head_at: float = 0.0
    """When the head of the response was received, in monotonic seconds."""


async def run_exchange(
    connection: SamplerConnection,
    request: bytes,
    sampler_id: str,
    request_id: str,
    names: HeaderNames,
    method: str = "GET",
    memory: ResponseMemory | None = None,
) -> Attempt:
    """Sends a request on a connection and classifies the outcome."""
    response = BufferedResponse(memory)
    connection.exchange(request, response, method, MAX_RESPONSE_BYTES)
    try:
        end = await response.done
    except asyncio.CancelledError:
        connection.close()
        response.release_memory()
        raise
    head = response.head
    if end is not ExchangeEnd.COMPLETE or head is None:
        connection.close()
        return Attempt(sampler_id, AttemptOutcome.BROKEN, detail=end.value)
    if head.headers.get(names.request_id, request_id) != request_id:
        # A late response to an earlier request. The outcome of this one is unknown.
        connection.close()
        return Attempt(sampler_id, AttemptOutcome.BROKEN, detail="response to another request")
    if head.status == 421:
        return Attempt(sampler_id, AttemptOutcome.MISDIRECTED, head)
    if names.not_run in head.headers:
        return Attempt(sampler_id, AttemptOutcome.REFUSED, head, head_at=response.head_at)
    return Attempt(
        sampler_id, AttemptOutcome.ANSWERED, head, response.body, head_at=response.head_at
    )
