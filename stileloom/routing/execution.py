"""One lookup under way: its attempts, its tokens, and what is known of its outcome.

The outcome rule: a request is `not_run` only while no byte of any attempt has gone to an
engine that may have begun it, or after the engine confirmed that it never began.
"""

from __future__ import annotations

import enum

import msgspec

from stileloom.api.engine import GenerateRequest, StreamChunk, StreamEnd
from stileloom.api.samples import Segment, extend_segments
from stileloom.errors import Outcome
from stileloom.routing.messages import LookupRequest


def is_attempt_id(request_id: str) -> bool:
    """Whether a stream's id is that of a lookup's attempt, not of a generation."""
    return "#" in request_id


class ExecutionState(enum.Enum):
    """Where a request is."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    CONFIRMING = "confirming"
    """Its only attempt failed; the engine is asked whether it began."""


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
    may_have_begun: bool = False
    """Whether an engine may have begun any attempt."""
    may_have_begun_before: bool = False
    """The same, leaving out the newest attempt."""
    tokens: list[int] = msgspec.field(default_factory=list)
    segments: list[Segment] = msgspec.field(default_factory=list)
    progress_at: float = 0.0
    """When the last token or the start of the attempt was."""
    tried: list[str] = msgspec.field(default_factory=list)

    @property
    def outcome_if_given_up(self) -> Outcome:
        """What may be said if it ends now without an answer."""
        return Outcome.UNKNOWN if self.may_have_begun else Outcome.NOT_RUN

    @property
    def may_be_sent_again(self) -> bool:
        """Whether a further attempt keeps `at most once`."""
        return self.request.repeatable or not self.may_have_begun

    def begin_attempt(self, now: float, sampler_id: str) -> GenerateRequest:
        """The request of the next attempt; it resumes behind the tokens that are here."""
        self.attempts += 1
        self.attempt_id = f"{self.request.request_id}#{self.attempts}"
        self.sampler_id = sampler_id
        self.state = ExecutionState.RUNNING
        self.may_have_begun_before = self.may_have_begun
        self.may_have_begun = True
        self.progress_at = now
        self.tried.append(sampler_id)
        return GenerateRequest(
            request_id=self.attempt_id,
            model=self.model,
            prompt=self.request.prompt,
            max_tokens=self.request.max_tokens,
            first_token=len(self.tokens),
            priority=self.priority,
            prefix_key=self.request.prefix_key,
        )

    def attempt_never_began(self) -> None:
        """The newest attempt surely did not begin."""
        self.may_have_begun = self.may_have_begun_before

    def take_chunk(self, now: float, chunk: StreamChunk) -> list[int] | None:
        """Adds a chunk's tokens and returns them; None where the chunk leaves a gap."""
        self.progress_at = now
        skip = len(self.tokens) - chunk.first_token
        if skip < 0:
            return None
        fresh = chunk.tokens[skip:]
        self.tokens.extend(fresh)
        version = chunk.weight_version if chunk.weight_version is not None else 0
        self.segments = extend_segments(self.segments, version, len(fresh))
        return fresh

    def is_whole(self, end: StreamEnd) -> bool:
        """Whether the counted last frame agrees with what arrived."""
        return end.token_count == len(self.tokens) and end.finish_reason != "cancelled"
