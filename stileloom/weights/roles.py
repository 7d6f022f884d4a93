"""Role shifts: lends lookup samplers to rounds while demand is low, with hysteresis.

Demand is the number of running lookups per sampler that is not lent. Lookup latency grows with it
well before a sampler is full.
"""

from __future__ import annotations

import msgspec

LEND_DELAY_S = 20.0
"""Time for which demand must stay low before a sampler is lent; it is returned without delay."""
MIN_RETURN_INTERVAL_S = 1.0
SMOOTHING_TIME_S = 5.0


class PoolDemand(msgspec.Struct, frozen=True):
    """Demand and thresholds of one pool."""

    samplers: list[str]
    """Usable samplers; the last ones are lent first."""
    keep_home: int
    """Minimum number of samplers that are not lent."""
    running: int
    """Lookups running or waiting on samplers that are not lent."""
    lend_below: float
    """Lookups per sampler, after lending, below which another sampler may be lent."""
    return_above: float
    """Lookups per sampler above which a lent sampler is returned."""


class RoleShifter:
    """Decides which samplers of a pool are lent."""

    def __init__(self) -> None:
        self.lent: list[str] = []
        self._lookups_per_sampler = 0.0
        self._updated_at: float | None = None
        self._low_demand_since: float | None = None
        self._last_return_at = float("-inf")

    def update(self, now: float, demand: PoolDemand) -> list[str]:
        """Returns the samplers that should be lent."""
        self.lent = [sampler for sampler in self.lent if sampler in demand.samplers]
        home_count = max(1, len(demand.samplers) - len(self.lent))
        lookups_per_sampler = demand.running / home_count
        self._update_average(now, lookups_per_sampler)
        self._return_some(now, demand)
        self._lend_one(now, demand, home_count)
        return self.lent

    def _update_average(self, now: float, lookups_per_sampler: float) -> None:
        elapsed = now - self._updated_at if self._updated_at is not None else SMOOTHING_TIME_S
        self._updated_at = now
        self._lookups_per_sampler += min(1.0, elapsed / SMOOTHING_TIME_S) * (
            lookups_per_sampler - self._lookups_per_sampler
        )

    def _return_some(self, now: float, demand: PoolDemand) -> None:
        below_minimum = len(demand.samplers) - len(self.lent) < demand.keep_home
        overloaded = self._lookups_per_sampler > demand.return_above
        if self.lent and (
            below_minimum or (overloaded and now >= self._last_return_at + MIN_RETURN_INTERVAL_S)
        ):
            self.lent = self.lent[:-1]
            self._last_return_at = now
            self._low_demand_since = None

    def _lend_one(self, now: float, demand: PoolDemand, home_count: int) -> None:
        lookups_after_lending = self._lookups_per_sampler * home_count / max(1, home_count - 1)
        if lookups_after_lending >= demand.lend_below or home_count <= demand.keep_home:
            self._low_demand_since = None
            return
        if self._low_demand_since is None:
            self._low_demand_since = now
        if now < self._low_demand_since + LEND_DELAY_S:
            return
        candidates = [sampler for sampler in demand.samplers if sampler not in self.lent]
        self.lent = [*self.lent, candidates[-1]]
        self._low_demand_since = None
