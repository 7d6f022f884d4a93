"""Distributes samplers over zones by what their work costs. Performs no I/O, reads no clock."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from stileloom.api.routes import Autoscale


class ZoneState(msgspec.Struct, frozen=True):
    """What is known about the samplers of one zone."""

    listed: int
    """Samplers that are listed and not draining."""
    interval_s: float | None = None
    """Median time between two events of a run; None if it was not measured."""


def distribute(
    samplers: int, autoscale: Autoscale, zones: Mapping[str, ZoneState]
) -> dict[str, int]:
    """Returns the number of samplers to order by zone.

    Zones are filled in the order of the price of an event, so a slow zone counts as expensive.
    Every zone keeps the minimum.
    """
    measured = [state.interval_s for state in zones.values() if state.interval_s is not None]
    unknown_s = min(measured, default=1.0)

    def event_price(zone: str) -> tuple[float, str]:
        interval_s = zones[zone].interval_s or unknown_s
        return autoscale.zone_prices.get(zone, 1.0) * interval_s, zone

    remaining = samplers
    ordered: dict[str, int] = {}
    for zone in sorted(zones, key=event_price):
        ordered[zone] = max(autoscale.min_samplers, min(remaining, autoscale.max_samplers))
        remaining -= ordered[zone]
    return ordered


def samplers_for(slots_needed: float, slots_per_sampler: int) -> int:
    """Samplers that have so many slots together."""
    return math.ceil(slots_needed / max(1, slots_per_sampler))
