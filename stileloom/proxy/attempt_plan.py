"""Decides, for one lookup, whether and where another attempt starts. No I/O.

A repeatable lookup may run at several samplers, up to its route's attempts; any other runs
once, and is sent again only after a sampler's promise that it did not run.
"""

from __future__ import annotations

import random

import msgspec

from stileloom.proxy.sampler_table import SamplerBelief, SamplerTable

HEDGE_SHARE_OF_TARGET = 0.45
"""A second attempt starts when this share of the target latency has passed without an answer."""


class AttemptPlan(msgspec.Struct):
    """What was tried so far for one lookup."""

    service: str
    zone: str
    repeatable: bool
    max_attempts: int
    target_latency_s: float
    started_at: float
    hedges: bool = True
    may_have_run: int = 0
    running: int = 0
    last_started_at: float = 0.0
    refused_by: set[str] = msgspec.field(default_factory=set)
    tried: set[str] = msgspec.field(default_factory=set)
    unreachable: set[str] = msgspec.field(default_factory=set)
    """Samplers to which no connection came up. They are not asked again: a process that ended is
    back after seconds, and asking on drew 2,000 refused connections a second at one gateway."""
    full: bool = False
    """Whether a sampler has said that it takes nothing now."""

    def may_start(self) -> bool:
        """Whether the rules allow one more attempt."""
        if not self.repeatable:
            return self.running == 0 and self.may_have_run == 0
        return self.may_have_run + self.running < self.max_attempts

    def hedge_at(self) -> float:
        """When another attempt starts beside the running one."""
        if not self.hedges:
            return float("inf")
        return self.last_started_at + self.target_latency_s * HEDGE_SHARE_OF_TARGET

    def choose(
        self, samplers: SamplerTable, now: float, rng: random.Random
    ) -> SamplerBelief | None:
        """The sampler for the next attempt, or None where none is left to ask."""
        candidates = [
            belief
            for belief in samplers.of_service(self.service)
            if belief.entry.sampler_id not in self.refused_by
            and belief.entry.sampler_id not in self.unreachable
            and belief.entry.sampler_id not in self.tried
        ]
        if not candidates:
            candidates = [
                belief
                for belief in samplers.of_service(self.service)
                if belief.entry.sampler_id in self.tried
                and belief.entry.sampler_id not in self.refused_by
                and belief.entry.sampler_id not in self.unreachable
                and self.running == 0
            ]
        if not candidates:
            return None

        def cost(belief: SamplerBelief) -> tuple[bool, float, bool, float]:
            load = belief.open_requests / max(1, belief.entry.slots)
            busy_rank = 0.0 if load < 0.5 else load
            remote = belief.entry.zone != self.zone
            return (belief.suspect_until > now, busy_rank, remote, rng.random())

        return min(candidates, key=cost)

    def started(self, sampler_id: str, now: float) -> None:
        """An attempt was sent."""
        self.running += 1
        self.last_started_at = now
        self.tried.add(sampler_id)

    def refused(self, sampler_id: str, full: bool = True) -> None:
        """The sampler promised that it did not run the request; `full` where it may do so soon."""
        self.running -= 1
        self.refused_by.add(sampler_id)
        self.full |= full

    def not_sent(self, sampler_id: str) -> None:
        """No connection came up: surely not run there."""
        self.running -= 1
        self.unreachable.add(sampler_id)

    def ask_again(self) -> None:
        """After a pause: samplers that were full may have a place."""
        self.refused_by.clear()
        self.full = False

    def ran(self) -> None:
        """The attempt ended and may have run."""
        self.running -= 1
        self.may_have_run += 1
