"""One attempt of a lookup: the whole answer of a sampler, or why there is none."""

from __future__ import annotations

import asyncio
import enum

import msgspec

from stileloom.api.headers import HeaderNames
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.http1.connection import ExchangeEnd, SamplerConnection
from stileloom.http1.response_decoder import ResponseHead
from stileloom.http1.whole_answer import WholeAnswer


class AttemptOutcome(enum.Enum):
    """How one attempt ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """The sampler promised that the request did not run."""
    MISDIRECTED = "misdirected"
    """Another sampler has the address; not run."""
    NOT_CONNECTED = "not_connected"
    """Nothing was sent."""
    BROKEN = "broken"
    """It may have run."""


class Attempt(msgspec.Struct, frozen=True):
    """The result of one attempt."""

    sampler_id: str
    outcome: AttemptOutcome
    head: ResponseHead | None = None
    body: bytes = b""
    detail: str = ""
    entry: SamplerEntry | None = None
    """The sampler as it was listed when the attempt began."""
    began_at: float = 0.0
    """Monotonic seconds: when the request was sent."""


async def run_exchange(
    connection: SamplerConnection,
    request: bytes,
    sampler_id: str,
    request_id: str,
    names: HeaderNames,
    method: str = "GET",
) -> Attempt:
    """Sends a request on a connection and judges the answer."""
    answer = WholeAnswer()
    connection.exchange(request, answer, method)
    try:
        end = await answer.done
    except asyncio.CancelledError:
        connection.close()
        raise
    head = answer.head
    if end is not ExchangeEnd.COMPLETE or head is None:
        return Attempt(sampler_id, AttemptOutcome.BROKEN, detail=end.value)
    if head.headers.get(names.request_id, request_id) != request_id:
        # A late answer to an earlier request: nothing is known of this one.
        connection.close()
        return Attempt(sampler_id, AttemptOutcome.BROKEN, detail="answer to another request")
    if head.status == 421:
        return Attempt(sampler_id, AttemptOutcome.MISDIRECTED, head)
    if names.not_run in head.headers:
        return Attempt(sampler_id, AttemptOutcome.REFUSED, head)
    return Attempt(sampler_id, AttemptOutcome.ANSWERED, head, answer.body)
