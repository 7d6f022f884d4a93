"""One attempt of a lookup: a sampler's complete response, or the reason why there is none."""

from __future__ import annotations

import asyncio
import enum

import msgspec

from stileloom.api.headers import HeaderNames
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.http1.answer import AnswerKind, NotAnAnswer, classify_answer
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
    """There was no answer, or the response was none; the request may have run."""


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
    try:
        kind = classify_answer(head, request_id, sampler_id, names)
    except NotAnAnswer as error:
        connection.close()
        return Attempt(sampler_id, AttemptOutcome.BROKEN, detail=str(error))
    if kind is AnswerKind.MISDIRECTED:
        return Attempt(sampler_id, AttemptOutcome.MISDIRECTED, head)
    if kind is AnswerKind.NOT_RUN:
        return Attempt(sampler_id, AttemptOutcome.REFUSED, head, head_at=response.head_at)
    return Attempt(
        sampler_id, AttemptOutcome.ANSWERED, head, response.body, head_at=response.head_at
    )
