"""Items without a listed result, their runs, and the pace of samplers: what the scheduler knows."""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import JobItem
from stileloom.jobs.partial_text import PartialText

ItemKey = tuple[str, str]
"""Job id and item id: a later job may carry an item again under the same id."""

DEFAULT_EXPECTED_TOKENS = 1000.0
DEFAULT_TOKENS_PER_EVENT = 1.0
"""Where a service does not tell how many tokens its events carry."""
HELD_SHARE = 0.4
"""Of its expected output a run holds about half on average, and groups share their prompts; a
sampler that runs out preempts the newest run, which costs less than a slot that stays empty."""
FIRST_INTERVAL_S = 0.045


class ItemSize(msgspec.Struct, frozen=True):
    """What an item is expected to take, in tokens."""

    expected_tokens: float = DEFAULT_EXPECTED_TOKENS
    prompt_tokens: float = 0.0


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
    give_up_at: float
    carried: bool = False
    partial: PartialText = msgspec.field(default_factory=PartialText)
    failures: int = 0
    rejections: int = 0
    not_before: float = 0.0
    run: ItemRun | None = None
    finished: bool = False
    """Its result is on the way to the ledger."""
    avoid: str = ""
    """The sampler that its last run was taken from: any other one comes first."""
    began: bool = False
    """Whether it ever ran under this leader."""
    saved_parts: int = 0
    """Events that the ledger holds, or that are on their way there."""

    @property
    def tokens_held(self) -> float:
        """Tokens that a sampler holds for it, now or by what is expected."""
        made = len(self.partial.parts) * self.tokens_per_event
        return self.prompt_tokens + max(self.expected_tokens * HELD_SHARE, made)


class ItemRun(msgspec.Struct):
    """An item that runs at a sampler."""

    sampler_id: str
    started_at: float
    last_event_at: float
    events: int = 0
    tokens: float = 0.0


class StartRun(msgspec.Struct, frozen=True):
    """Start an item at a sampler, from where its text ends."""

    item: OpenItem
    sampler_id: str
    run: ItemRun
    """The run that was planned: the item may have another one by the time it begins."""


class SamplerPace(msgspec.Struct):
    """How fast a sampler makes events, and what runs there."""

    interval_s: float = FIRST_INTERVAL_S
    measured: bool = False
    running: int = 0
    tokens: float = 0.0
    """Tokens that its runs are expected to hold."""
    refused_until: float = 0.0
    groups: set[str] = msgspec.field(default_factory=set)
