"""Decides whether and where the next attempt of a lookup starts. Performs no I/O.

An idempotent lookup may run at several samplers, up to the route's `max_attempts`. Any other lookup
is sent again only if a sampler confirmed that it did not run.
"""

from __future__ import annotations

import random

import msgspec

from stileloom.proxy.sampler_choice import RatedSampler, SamplerChoice
from stileloom.proxy.sampler_table import SamplerTable, TrackedSampler

HEDGE_DELAY_FRACTION = 0.45
"""Share of the target latency after which a hedged attempt starts."""
MIN_HEDGE_DELAY_FRACTION = 0.3
MAX_HEDGE_DELAY_FRACTION = 0.6
"""Bounds of that share where it scales with the slowness of a sampler."""


class AttemptPlan(msgspec.Struct):
    """State of the attempts of one lookup."""

    service: str
    zone: str
    repeatable: bool
    max_attempts: int
    target_latency_s: float
    started_at: float
    hedges: bool = True
    possible_runs: int = 0
    """Number of ended attempts that ran, or may have run, at a sampler."""
    running: int = 0
    last_started_at: float = 0.0
    refused_by: set[str] = msgspec.field(default_factory=set)
    tried: set[str] = msgspec.field(default_factory=set)
    unreachable: set[str] = msgspec.field(default_factory=set)
    """Samplers to which no connection could be opened; they are not candidates."""
    sent_at: dict[str, float] = msgspec.field(default_factory=dict)
    """When the request was sent, by sampler that may have begun to run it."""
    sends: int = 0
    """Number of sends, also of those that were refused."""
    full: bool = False
    """Whether a sampler refused the lookup because it is full."""
    drawn: list[RatedSampler] = msgspec.field(default_factory=list)
    """Samplers that were drawn for the last attempt, the selected one first; empty without a load
    view in use."""
    hedge_delay_fraction: float = HEDGE_DELAY_FRACTION
    """Share of the target latency after which the current first attempt is hedged."""

    def may_start(self) -> bool:
        """Whether another attempt is allowed."""
        if not self.repeatable:
            return self.running == 0 and self.possible_runs == 0
        return self.possible_runs + self.running < self.max_attempts

    def hedge_at(self) -> float:
        """Earliest time of a hedged attempt, in monotonic seconds."""
        if not self.hedges:
            return float("inf")
        return self.last_started_at + self.target_latency_s * self.hedge_delay_fraction

    def select_sampler(
        self,
        samplers: SamplerTable,
        now: float,
        rng: random.Random,
        choice: SamplerChoice | None = None,
    ) -> TrackedSampler | None:
        """Selects the sampler for the next attempt, or None if there is no candidate.

        Samplers that were already tried are candidates only if there are no others and no attempt
        is running. `choice` selects among the candidates if its load view is in use for the
        service.
        """
        candidates = [
            tracked
            for tracked in samplers.of_service(self.service)
            if tracked.entry.sampler_id not in self.refused_by
            and tracked.entry.sampler_id not in self.unreachable
            and tracked.entry.sampler_id not in self.tried
        ]
        if not candidates:
            candidates = [
                tracked
                for tracked in samplers.of_service(self.service)
                if tracked.entry.sampler_id in self.tried
                and tracked.entry.sampler_id not in self.refused_by
                and tracked.entry.sampler_id not in self.unreachable
                and self.running == 0
            ]
        if not candidates:
            return None
        if choice is not None and choice.is_in_use(self.service, now):
            return self._choose(choice, candidates, now)
        self.drawn = []
        if not self.running:
            self.hedge_delay_fraction = HEDGE_DELAY_FRACTION

        def cost(tracked: TrackedSampler) -> tuple[bool, float, bool, float]:
            load = tracked.open_requests / max(1, tracked.entry.slots)
            load_rank = 0.0 if load < 0.5 else load
            remote = tracked.entry.zone != self.zone
            return (tracked.avoid_until > now, load_rank, remote, rng.random())

        return min(candidates, key=cost)

    def _choose(
        self, choice: SamplerChoice, candidates: list[TrackedSampler], now: float
    ) -> TrackedSampler:
        self.drawn = choice.draw(candidates, self.zone, now)
        selected = self.drawn[0]
        if not self.running:
            fraction = HEDGE_DELAY_FRACTION * selected.estimate.slowness
            self.hedge_delay_fraction = min(
                max(fraction, MIN_HEDGE_DELAY_FRACTION), MAX_HEDGE_DELAY_FRACTION
            )
        return selected.tracked

    def record_start(self, sampler_id: str, now: float) -> None:
        """Records the start of an attempt."""
        self.running += 1
        self.last_started_at = now
        self.tried.add(sampler_id)

    def record_sent(self, sampler_id: str, now: float) -> None:
        """Records that the request was sent to a sampler."""
        self.sent_at[sampler_id] = now
        self.sends += 1

    @property
    def began_at(self) -> float | None:
        """When a sampler first began the request, as far as is known; None if none did."""
        return min(self.sent_at.values(), default=None)

    def record_refusal(self, sampler_id: str, full: bool = True) -> None:
        """Records a refusal without a run; `full` tells whether the sampler had no free slot."""
        self.running -= 1
        self.sent_at.pop(sampler_id, None)
        self.refused_by.add(sampler_id)
        self.full |= full

    def record_connect_failure(self, sampler_id: str) -> None:
        """Records that no connection could be opened; the request was not sent."""
        self.running -= 1
        self.unreachable.add(sampler_id)

    def reset_refusals(self) -> None:
        """Makes samplers that refused the lookup candidates again."""
        self.refused_by.clear()
        self.full = False

    def record_run(self) -> None:
        """Records the end of an attempt that ran or may have run."""
        self.running -= 1
        self.possible_runs += 1
