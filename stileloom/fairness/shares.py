"""Dominant shares of tenants (dominant resource fairness). Performs no I/O and reads no clock.

Answers a load in which tenants need slots and cache memory in different proportions: equal numbers
of runs would leave most of the memory to the tenant with the longest items.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

DEFAULT_WEIGHT = 1.0


class Usage(msgspec.Struct):
    """Slots and cache tokens of samplers."""

    slots: float
    tokens: float


class DominantShares:
    """What the runs of each tenant occupy, as a share of the capacity of one service."""

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        """Tenants that `weights` does not name have the weight 1."""
        self._weights = dict(weights or {})
        self._capacity = Usage(0.0, 0.0)
        self._usage: dict[str, Usage] = {}
        self._runs: dict[str, int] = {}

    def set_capacity(self, capacity: Usage) -> None:
        """Sets the capacity of all samplers together."""
        self._capacity = capacity

    def acquire(self, tenant: str, usage: Usage) -> None:
        """Adds a run of a tenant."""
        held = self._usage.setdefault(tenant, Usage(0.0, 0.0))
        held.slots += usage.slots
        held.tokens += usage.tokens
        self._runs[tenant] = self._runs.get(tenant, 0) + 1

    def release(self, tenant: str, usage: Usage) -> None:
        """Removes a run of a tenant; the usage is that of its acquisition."""
        held = self._usage.get(tenant)
        if held is None:
            raise ValueError(f"tenant {tenant!r} has no run")
        self._runs[tenant] -= 1
        if self._runs[tenant] == 0:
            # Sums of floats do not return to exactly zero, and equal shares must compare equal.
            del self._usage[tenant], self._runs[tenant]
            return
        held.slots -= usage.slots
        held.tokens -= usage.tokens

    def share(self, tenant: str) -> float:
        """The greater of the tenant's shares of slots and of tokens, divided by its weight."""
        held = self._usage.get(tenant)
        if held is None:
            return 0.0
        share = max(
            _fraction(held.slots, self._capacity.slots),
            _fraction(held.tokens, self._capacity.tokens),
        )
        return share / self._weights.get(tenant, DEFAULT_WEIGHT)

    def tenants(self) -> list[str]:
        """The tenants with a run."""
        return list(self._usage)


def _fraction(amount: float, capacity: float) -> float:
    if amount <= 0.0:
        return 0.0
    return amount / capacity if capacity > 0.0 else float("inf")
