"""State of the scheduler: items without a listed result, their runs, and sampler statistics."""

from __future__ import annotations

import enum

import msgspec

from stileloom.api.jobs import JobItem
from stileloom.jobs.partial_text import PartialText

ItemKey = tuple[str, str]
"""Job id and item id; a later job may reuse an item under the same item id."""

DEFAULT_EXPECTED_TOKENS = 1000.0
DEFAULT_TOKENS_PER_EVENT = 1.0
"""Used if the service does not configure the number of tokens per event."""
EXPECTED_OUTPUT_SHARE = 0.4
"""Fraction of the expected output for which a run reserves space in its sampler's KV cache.

On average a run holds about half of its expected output, and groups share their prompts. A sampler
without space preempts its newest run, which costs less than an unused slot.
"""
INITIAL_INTERVAL_S = 0.045


class ItemSize(msgspec.Struct, frozen=True):
    """Estimated size of an item in tokens."""

    expected_tokens: float = DEFAULT_EXPECTED_TOKENS
    prompt_tokens: float = 0.0
    max_tokens: float = float("inf")
    """Limit of the output."""


class WaitReason(enum.Enum):
    """Why an item has no run: the obstacle at the sampler that meets most of the conditions."""

    DELAYED = "delayed"
    """The delay after its last run has not passed."""
    NO_SAMPLER = "no_sampler"
    """The service has no sampler that accepts requests."""
    OTHER_MODEL = "other_model"
    """All samplers are assigned to other models."""
    AVOIDED = "avoided"
    """The samplers failed or refused a run a moment ago."""
    LOADING = "loading"
    OLD_VERSION = "old_version"
    """The samplers' weights are older than the job accepts."""
    OTHER_VERSION = "other_version"
    """The text was begun with other weights, and the route requires a single version."""
    NO_SLOT = "no_slot"
    PROBED = "probed"
    """The sampler failed, and its one run since then has no event yet."""
    NO_MEMORY = "no_memory"
    STARTING = "starting"
    """A sampler can run it: the run is planned, connects, or starts with the next step."""


class OpenItem(msgspec.Struct):
    """An item without a listed result."""

    key: ItemKey
    item: JobItem
    model: str
    step: int
    min_version: int
    single_version: bool
    service: str
    max_attempts: int
    expected_tokens: float
    prompt_tokens: float
    tokens_per_event: float
    adopted_at: float
    deadline: float
    tenant: str = ""
    priority: int = 5
    """Of the tenant, else of the route; 0 is the most urgent."""
    waiting_since: float = 0.0
    """When its job was submitted, in monotonic seconds; unlike `adopted_at` it survives a change of
    leader."""
    max_tokens: float = float("inf")
    """Limit of the output; generation stops there."""
    reused: bool = False
    """Whether an earlier job contained the item."""
    partial: PartialText = msgspec.field(default_factory=PartialText)
    failures: int = 0
    rejections: int = 0
    broken_runs: int = 0
    """Broken runs in a row in which no event came."""
    not_before: float = 0.0
    due_since: float | None = None
    """When it was first found due to start since its last run, in monotonic seconds."""
    run: ItemRun | None = None
    finished: bool = False
    """Whether its result was submitted to the ledger."""
    avoid_sampler_id: str = ""
    """Sampler of its last failed or moved run; any other sampler is preferred."""
    has_run: bool = False
    """Whether a run was started by this leader."""
    saved_parts: int = 0
    """Number of events that are saved in the ledger or are being saved."""

    def discard_text(self) -> None:
        """Drops the partial text: the next run begins with the first event."""
        self.partial = PartialText()
        self.saved_parts = 0

    @property
    def required_version(self) -> int | None:
        """The only version that may continue the text, or None if any accepted one may."""
        versions = self.partial.versions
        return versions[-1] if self.single_version and versions else None

    @property
    def waits_for_run(self) -> bool:
        """Whether its text is incomplete and no sampler has been asked for the rest."""
        has_run = self.run is not None and self.run.sent
        return not (has_run or self.finished or self.partial.whole)

    @property
    def estimated_tokens(self) -> float:
        """Estimates the tokens that a run of the item occupies in a sampler's cache."""
        generated = len(self.partial.parts) * self.tokens_per_event
        return self.prompt_tokens + max(self.expected_tokens * EXPECTED_OUTPUT_SHARE, generated)


class ItemRun(msgspec.Struct):
    """A run of an item on a sampler."""

    sampler_id: str
    service: str
    """Service of the sampler; that of the item may have changed since the start."""
    started_at: float
    last_event_at: float
    events: int = 0
    tokens: float = 0.0
    sent: bool = False
    """Whether the request was written to a connection."""


class PlannedRun(msgspec.Struct, frozen=True):
    """An item and its planned run, which resumes after the last event."""

    item: OpenItem
    sampler_id: str
    run: ItemRun
    """Compared with the item's current run before sending, because that may have changed."""


class SamplerStats(msgspec.Struct):
    """Event interval and current runs of a sampler."""

    interval_s: float = INITIAL_INTERVAL_S
    measured: bool = False
    running: int = 0
    tokens: float = 0.0
    """Estimated cache tokens of its runs."""
    refused_until: float = 0.0
    groups: set[str] = msgspec.field(default_factory=set)
    """Groups whose prompt the sampler has already processed."""
