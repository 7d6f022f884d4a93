"""Records of the controller's work: open slots, assignments, what a scheduler sees."""

from __future__ import annotations

import msgspec

from stileloom.api.samples import Prompt, oldest_version
from stileloom.ledger.state import RoundState
from stileloom.rollout.lead import LeadEstimate
from stileloom.samplers.messages import GenerationKey, PartialGeneration
from stileloom.samplers.table import SamplerView

NO_PARTIAL = PartialGeneration([], [])


class Assignment(msgspec.Struct):
    """A slot that is being generated."""

    key: GenerationKey
    prompt: Prompt
    sampler_id: str
    owner: str
    """Node that runs it; it may own the sampler no longer."""
    started_at: float
    tokens_at_start: int
    """Tokens when it was last heard of."""
    first_token: int
    """Tokens that an earlier attempt had made."""
    oldest_version: int | None
    """Oldest version in its tokens, as far as known here."""
    confirmed_at: float
    """When its owner last reported it as running."""
    stopping: bool = False


class PendingSlot(msgspec.Struct):
    """An open slot that nobody generates for."""

    slot: int
    prompt: Prompt
    priority: int
    partial: PartialGeneration
    blocking: bool = False
    """The step that a trainer waits for can not be handed over without it."""

    @property
    def oldest_version(self) -> int | None:
        """Oldest version of the tokens that an earlier attempt left."""
        return oldest_version(self.partial.segments)


class SamplerCapacity(msgspec.Struct):
    """A sampler that may take generations of a round, and how many it has."""

    view: SamplerView
    assigned: int
    limit: int
    current: bool
    """Whether it holds the round's current version."""

    @property
    def free(self) -> int:
        """Generations that it may still take."""
        return max(0, self.limit - self.assigned)


class RoundWork(msgspec.Struct):
    """All that a scheduler may look at to plan one round."""

    state: RoundState
    staleness_bound: int
    pending: list[PendingSlot]
    assignments: list[Assignment]
    samplers: list[SamplerCapacity]
    has_blocking: bool = False
    """Whether a pending slot is blocking."""
    wanted_until: int = 0
    """Offset up to which a trainer waits for deliveries now."""
    version_age_s: float = 0.0
    """How long ago the current version was first seen here."""
    lead: LeadEstimate = msgspec.field(default_factory=LeadEstimate)
    """The round's measured pace."""


class Start(msgspec.Struct, frozen=True):
    """Plan: generate for a slot on a sampler."""

    pending: PendingSlot
    sampler_id: str


class Shift(msgspec.Struct, frozen=True):
    """Plan: stop an assignment; its partial is started again where there is room."""

    key: GenerationKey
