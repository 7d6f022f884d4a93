"""Role shifts: lookup samplers are lent to rounds while demand is low, with hysteresis.

Demand is the number of lookups under way on each home sampler: their latency grows with it, long
before the sampler is full.
"""

from __future__ import annotations

import msgspec

LEND_AFTER_S = 20.0
"""How long demand must stay low before a sampler is lent; going home takes no waiting."""
RETURN_SPACING_S = 1.0
SMOOTHING_S = 5.0


class PoolDemand(msgspec.Struct, frozen=True):
    """One pool as the rule sees it at one moment."""

    samplers: list[str]
    """Usable samplers, in the order in which they are lent."""
    keep_home: int
    running: int
    """Lookups running or waiting on the samplers that are at home."""
    lend_below: float
    """Lookups by sampler, after lending, under which one more may be lent."""
    return_above: float
    """Lookups by sampler over which a lent one goes home."""


class RoleShifter:
    """Decides which samplers of one pool are lent."""

    def __init__(self) -> None:
        self.lent: list[str] = []
        self._use = 0.0
        self._seen_at: float | None = None
        self._low_since: float | None = None
        self._returned_at = float("-inf")

    def update(self, now: float, demand: PoolDemand) -> list[str]:
        """The samplers to be lent from now on."""
        self.lent = [sampler for sampler in self.lent if sampler in demand.samplers]
        home = max(1, len(demand.samplers) - len(self.lent))
        use = demand.running / home
        self._smooth(now, use)
        self._return_some(now, demand)
        self._lend_one(now, demand, home)
        return self.lent

    def _smooth(self, now: float, use: float) -> None:
        elapsed = now - self._seen_at if self._seen_at is not None else SMOOTHING_S
        self._seen_at = now
        self._use += min(1.0, elapsed / SMOOTHING_S) * (use - self._use)

    def _return_some(self, now: float, demand: PoolDemand) -> None:
        too_few = len(demand.samplers) - len(self.lent) < demand.keep_home
        pressed = self._use > demand.return_above
        if self.lent and (too_few or (pressed and now >= self._returned_at + RETURN_SPACING_S)):
            self.lent = self.lent[:-1]
            self._returned_at = now
            self._low_since = None

    def _lend_one(self, now: float, demand: PoolDemand, home: int) -> None:
        after = self._use * home / max(1, home - 1)
        if after >= demand.lend_below or home <= demand.keep_home:
            self._low_since = None
            return
        if self._low_since is None:
            self._low_since = now
        if now < self._low_since + LEND_AFTER_S:
            return
        candidates = [sampler for sampler in demand.samplers if sampler not in self.lent]
        self.lent = [*self.lent, candidates[-1]]
        self._low_since = None
