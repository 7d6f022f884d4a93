"""Slots, assignments and scheduler inputs."""

from __future__ import annotations

import msgspec

from stileloom.api.samples import Prompt, oldest_version
from stileloom.ledger.state import RoundState
from stileloom.rollout.lead import LeadEstimate
from stileloom.samplers.messages import GenerationKey, PartialGeneration
from stileloom.samplers.table import SamplerView

NO_PARTIAL = PartialGeneration([], [])


class Assignment(msgspec.Struct):
    """A running generation for a slot."""

    key: GenerationKey
    prompt: Prompt
    sampler_id: str
    owner: str
    """Node that runs the generation; it may no longer own the sampler."""
    started_at: float
    known_token_count: int
    """Token count in the last report."""
    first_token: int
    """Number of tokens that earlier attempts generated."""
    oldest_version: int | None
    """Oldest weight version in its tokens, if known."""
    confirmed_at: float
    """Time of the owner's last report."""
    stopping: bool = False


class PendingSlot(msgspec.Struct):
    """An open slot without an assignment."""

    number: int
    prompt: Prompt
    priority: int
    partial: PartialGeneration
    blocking: bool = False
    """Whether the step that a trainer waits for needs this slot."""

    @property
    def oldest_version(self) -> int | None:
        """Oldest weight version in the partial generation."""
        return oldest_version(self.partial.segments)


class SamplerCapacity(msgspec.Struct):
    """A sampler available to a round, and its load."""

    view: SamplerView
    assigned: int
    limit: int
    current: bool
    """Whether it holds the round's current version."""

    @property
    def free(self) -> int:
        """Remaining capacity in generations."""
        return max(0, self.limit - self.assigned)


class RoundWork(msgspec.Struct):
    """Scheduler input for planning one round."""

    state: RoundState
    staleness_bound: int
    pending: list[PendingSlot]
    assignments: list[Assignment]
    samplers: list[SamplerCapacity]
    has_blocking: bool = False
    requested_until: int = 0
    """End offset of the trainer's pending reads."""
    version_age_s: float = 0.0
    """Seconds since the controller first saw the current version."""
    lead: LeadEstimate = msgspec.field(default_factory=LeadEstimate)
    """Measured step and token times of the round."""


class Start(msgspec.Struct, frozen=True):
    """Planned start of a slot on a sampler."""

    pending: PendingSlot
    sampler_id: str


class Migration(msgspec.Struct, frozen=True):
    """Planned move of a generation: it is stopped, then resumed on a sampler with capacity."""

    key: GenerationKey
