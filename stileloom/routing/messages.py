"""Records of a lookup on its way through a gateway."""

from __future__ import annotations

import msgspec

from stileloom.errors import Outcome, StileloomError


class LookupRequest(msgspec.Struct, frozen=True):
    """A caller's request after its body and headers were checked."""

    request_id: str
    service: str
    prompt: str
    max_tokens: int
    tenant: str
    priority: int
    repeatable: bool
    deadline_at: float
    """Monotonic seconds on this gateway's clock."""
    idempotency_key: str = ""
    body_digest: int = 0
    prefix_key: str = ""
    stream: bool = False


class LookupAnswer(msgspec.Struct, frozen=True):
    """The final answer of a request: whole tokens, or an error with its outcome."""

    request_id: str
    tokens: list[int]
    weight_versions: list[int]
    """Versions that produced the tokens, oldest first."""
    outcome: Outcome
    finish_reason: str = ""
    error: StileloomError | None = None
    attempts: int = 0
    revision: int = 0
    revision_age_s: float = 0.0
    """How long the configuration lease had lapsed, 0 while it holds."""


class AnswerReady(msgspec.Struct, frozen=True):
    """Effect: send this answer to the caller now."""

    answer: LookupAnswer


class TokensReady(msgspec.Struct, frozen=True):
    """Effect: pass these tokens on to a caller that asked for a stream."""

    request_id: str
    first_token: int
    tokens: list[int]


class ClaimWanted(msgspec.Struct, frozen=True):
    """Effect: claim the request's idempotency key in the ledger; answer with `claimed`."""

    request: LookupRequest


class ReleaseWanted(msgspec.Struct, frozen=True):
    """Effect: release the key of a request that was surely not run."""

    request: LookupRequest


class CandidateView(msgspec.Struct, frozen=True):
    """Why a sampler would or would not take a request; for `explain`."""

    sampler_id: str
    zone: str
    eligible: bool
    reason: str
    load: int


class Explanation(msgspec.Struct, frozen=True):
    """Why a request would go where."""

    service: str
    pool: str
    priority: int
    chosen: str | None
    rules: list[str]
    candidates: list[CandidateView]
