"""Requests, answers and effects of the gateway."""

from __future__ import annotations

import msgspec

from stileloom.errors import Outcome, StileloomError


class LookupRequest(msgspec.Struct, frozen=True):
    """A validated lookup request."""

    request_id: str
    service: str
    prompt: str
    max_tokens: int
    tenant: str
    priority: int
    repeatable: bool
    deadline_at: float
    """Deadline in seconds on this gateway's monotonic clock."""
    idempotency_key: str = ""
    body_digest: int = 0
    prefix_key: str = ""
    stream: bool = False


class LookupAnswer(msgspec.Struct, frozen=True):
    """The final answer to a request: the complete tokens, or an error with its outcome."""

    request_id: str
    tokens: list[int]
    weight_versions: list[int]
    """Weight versions that produced the tokens, oldest first."""
    outcome: Outcome
    finish_reason: str = ""
    error: StileloomError | None = None
    attempts: int = 0
    revision: int = 0
    revision_age_s: float = 0.0
    """Seconds since the configuration lease expired, 0 while it is valid."""


class AnswerReady(msgspec.Struct, frozen=True):
    """Effect: send the final answer to the caller."""

    answer: LookupAnswer


class TokensReady(msgspec.Struct, frozen=True):
    """Effect: send tokens to a caller that requested streaming."""

    request_id: str
    first_token: int
    tokens: list[int]


class ClaimIdempotencyKey(msgspec.Struct, frozen=True):
    """Effect: claim the idempotency key in the ledger and call `Gateway.on_claim_result`."""

    request: LookupRequest


class ReleaseIdempotencyKey(msgspec.Struct, frozen=True):
    """Effect: release the idempotency key of a request that was not run."""

    request: LookupRequest


class CandidateView(msgspec.Struct, frozen=True):
    """Eligibility of one sampler for a request, as shown by `explain`."""

    sampler_id: str
    zone: str
    eligible: bool
    reason: str
    load: int


class Explanation(msgspec.Struct, frozen=True):
    """How a request would be routed, and why."""

    service: str
    pool: str
    priority: int
    chosen: str | None
    rules: list[str]
    candidates: list[CandidateView]
