"""State of one in-flight lookup: its attempts, its tokens and its outcome.

A request is reported as `not_run` only if no attempt was sent to an engine, or if the engine
confirmed that the attempt was never started.
"""

from __future__ import annotations

import enum

import msgspec

from stileloom.api.engine import GenerateRequest, StreamChunk, StreamEnd
from stileloom.api.samples import Segment, extend_segments
from stileloom.errors import Outcome
from stileloom.routing.messages import LookupRequest


def is_attempt_id(request_id: str) -> bool:
    """Whether a stream ID belongs to a lookup attempt rather than to a generation."""
    return "#" in request_id


class ExecutionState(enum.Enum):
    """State of a request in the gateway."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    CONFIRMING = "confirming"
    """The last attempt failed; the engine has yet to reply whether it started that attempt."""


class Execution(msgspec.Struct):
    """A request and the attempts made for it."""

    request: LookupRequest
    priority: int
    state: ExecutionState
    model: str
    arrived_at: float
    attempts: int = 0
    attempt_id: str = ""
    sampler_id: str = ""
    may_have_started: bool = False
    """Whether an engine may have started any attempt."""
    earlier_may_have_started: bool = False
    """Whether an engine may have started any attempt before the current one."""
    tokens: list[int] = msgspec.field(default_factory=list)
    segments: list[Segment] = msgspec.field(default_factory=list)
    last_progress_at: float = 0.0
    """Time of the last token, of the start of the attempt, or of the confirmation request."""
    tried_samplers: list[str] = msgspec.field(default_factory=list)

    @property
    def outcome_on_failure(self) -> Outcome:
        """The outcome to report if the request fails now."""
        return Outcome.UNKNOWN if self.may_have_started else Outcome.NOT_RUN

    @property
    def can_retry(self) -> bool:
        """Whether another attempt is allowed under the at-most-once guarantee."""
        return self.request.repeatable or not self.may_have_started

    def begin_attempt(self, now: float, sampler_id: str) -> GenerateRequest:
        """Starts the next attempt, which resumes after the tokens received so far."""
        self.attempts += 1
        self.attempt_id = f"{self.request.request_id}#{self.attempts}"
        self.sampler_id = sampler_id
        self.state = ExecutionState.RUNNING
        self.earlier_may_have_started = self.may_have_started
        self.may_have_started = True
        self.last_progress_at = now
        self.tried_samplers.append(sampler_id)
        return GenerateRequest(
            request_id=self.attempt_id,
            model=self.model,
            prompt=self.request.prompt,
            max_tokens=self.request.max_tokens,
            first_token=len(self.tokens),
            priority=self.priority,
            prefix_key=self.request.prefix_key,
        )

    def mark_attempt_not_started(self) -> None:
        """Records that the engine did not start the current attempt."""
        self.may_have_started = self.earlier_may_have_started

    def append_chunk(self, now: float, chunk: StreamChunk) -> list[int] | None:
        """Appends a chunk and returns its new tokens, or None if tokens before it are missing."""
        self.last_progress_at = now
        skip = len(self.tokens) - chunk.first_token
        if skip < 0:
            return None
        new_tokens = chunk.tokens[skip:]
        self.tokens.extend(new_tokens)
        version = chunk.weight_version if chunk.weight_version is not None else 0
        self.segments = extend_segments(self.segments, version, len(new_tokens))
        return new_tokens

    def is_complete(self, end: StreamEnd) -> bool:
        """Whether all tokens counted in the end frame were received."""
        return end.token_count == len(self.tokens) and end.finish_reason != "cancelled"
