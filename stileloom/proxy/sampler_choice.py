"""Selects the sampler of a lookup by its expected time to completion. Performs no I/O.

Answers a load in which samplers are uneven, slow for moments or full, while each of many gateways
sees few lookups. The gateways know the same samplers to be free, so a gateway that sent to the best
one would do what all others do. Two samplers are drawn at random, those that are expected to end
sooner with greater probability, and the better of the two is selected.
"""

from __future__ import annotations

import random

import msgspec

from stileloom.load import LoadEstimate, LoadView
from stileloom.proxy.sampler_table import TrackedSampler

DRAWN = 2


class RatedSampler(msgspec.Struct, frozen=True):
    """A sampler that was drawn, and the figures that determine the selection."""

    tracked: TrackedSampler
    estimate: LoadEstimate
    expected_time: float
    """Expected time to completion in units of the usual work."""


class SamplerChoice:
    """Selects samplers with the figures of a load view."""

    def __init__(self, view: LoadView, rng: random.Random) -> None:
        self._view = view
        self._rng = rng

    def is_in_use(self, service: str, now: float) -> bool:
        """Whether samplers of the service are selected by their expected time to completion."""
        return self._view.is_in_use(service, now)

    def choose(self, candidates: list[TrackedSampler], zone: str, now: float) -> TrackedSampler:
        """Selects one of the candidates, of which there is at least one."""
        return self.draw(candidates, zone, now)[0].tracked

    def draw(self, candidates: list[TrackedSampler], zone: str, now: float) -> list[RatedSampler]:
        """Draws up to two candidates; returns them with the one to select first.

        Samplers that failed recently are drawn only if there are no others.
        """
        healthy = [tracked for tracked in candidates if tracked.avoid_until <= now]
        remaining = [self._rate(tracked, now) for tracked in healthy or candidates]
        drawn: list[RatedSampler] = []
        while remaining and len(drawn) < DRAWN:
            weights = [1.0 / rated.expected_time for rated in remaining]
            (position,) = self._rng.choices(range(len(remaining)), weights)
            drawn.append(remaining.pop(position))
        drawn.sort(key=lambda rated: (rated.expected_time, rated.tracked.entry.zone != zone))
        return drawn

    def _rate(self, tracked: TrackedSampler, now: float) -> RatedSampler:
        estimate = self._view.estimate(tracked.entry, now)
        slots = max(1, tracked.entry.slots)
        excess = max(0.0, estimate.occupancy * slots + tracked.open_requests + 1 - slots)
        # A full sampler refuses the lookup, which costs another send: the excess is not divided by
        # the slots.
        return RatedSampler(tracked, estimate, estimate.slowness * (1.0 + excess))
