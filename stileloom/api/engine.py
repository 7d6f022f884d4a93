"""Contracts of a model engine: generations, load reports, fenced orders, cancellation.

These are the shapes of the engines' published protocol as this product uses it.
"""

from __future__ import annotations

import enum

import msgspec

from stileloom.api.objects import SamplerRole
from stileloom.lease import FencingToken


class GenerateRequest(msgspec.Struct, frozen=True):
    """One generation on one engine."""

    request_id: str
    """Unique for each attempt: an engine runs an id at most once."""
    model: str
    prompt: str
    max_tokens: int
    first_token: int = 0
    """Token offset to resume at; earlier tokens are known to the caller."""
    priority: int = 50
    role: SamplerRole = SamplerRole.LOOKUP
    """An engine in another role refuses, so a stale view at the sender does no harm."""
    prefix_key: str = ""
    """Requests with the same key share a prompt prefix."""


class StreamChunk(msgspec.Struct, frozen=True, tag="chunk"):
    """Consecutive tokens that one weight version produced."""

    first_token: int
    tokens: list[int]
    weight_version: int | None
    """None while the engine does not know its version; such tokens never count."""


class StreamEnd(msgspec.Struct, frozen=True, tag="end"):
    """The counted last frame of a stream; without it the stream was cut."""

    token_count: int
    """Tokens of the whole generation, including those before a resume."""
    finish_reason: str
    """`stop`, `length` or `cancelled`."""


class EngineState(enum.Enum):
    """State of an engine as it reports it."""

    SERVING = "serving"
    LOADING = "loading"
    UNKNOWN_VERSION = "unknown_version"
    LEAVING = "leaving"


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's own view of itself; it lags."""

    sampler_id: str
    state: EngineState
    role: SamplerRole
    model: str
    weight_version: int | None
    running: int
    waiting: int
    max_running: int
    last_order: FencingToken


class EngineOrder(msgspec.Struct, frozen=True):
    """A fenced order: hold this model at this version and work in this role."""

    token: FencingToken
    role: SamplerRole
    model: str
    version: int
    source: str = ""
    """Address of an engine that holds the weights already; empty: the weight store."""


class CancelState(enum.Enum):
    """What an engine knows of a request id once it has been told to cancel it."""

    NEVER_BEGAN = "never_began"
    """It did not run and, from now on, never will under this id."""
    BEGAN = "began"


class CancelReply(msgspec.Struct, frozen=True):
    """Answer to a cancellation."""

    state: CancelState


class EngineRefusal(msgspec.Struct, frozen=True):
    """An engine refused a generation before it began."""

    code: str
    detail: str = ""
