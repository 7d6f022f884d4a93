"""Dominant shares of tenants at each service, of the capacity that its listed samplers have.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from stileloom.fairness.shares import DominantShares, Usage
from stileloom.fairness.tenant_load import TenantLoad, tenant_loads
from stileloom.jobs.open_items import ItemRun, OpenItem
from stileloom.proxy.sampler_table import SamplerTable


class ServiceShares:
    """What the runs of tenants occupy, by service."""

    def __init__(self, samplers: SamplerTable, cache_tokens: Mapping[str, float]) -> None:
        """`cache_tokens` is the capacity of each sampler, by service."""
        self._samplers = samplers
        self._cache_tokens = cache_tokens
        self._shares: dict[str, DominantShares] = {}

    def start_run(self, tenant: str, run: ItemRun) -> None:
        """Adds a run, which occupies a slot and its tokens."""
        self._of(run.service).acquire(tenant, Usage(1.0, run.tokens))

    def end_run(self, tenant: str, run: ItemRun) -> None:
        """Removes a run."""
        self._of(run.service).release(tenant, Usage(1.0, run.tokens))

    def current(self, service: str) -> DominantShares:
        """The shares of the capacity that is listed now."""
        shares = self._of(service)
        samplers = self._samplers.of_service(service)
        slots = sum(sampler.entry.slots for sampler in samplers)
        tokens = len(samplers) * self._cache_tokens.get(service, math.inf) if samplers else 0.0
        shares.set_capacity(Usage(slots, tokens))
        return shares

    def share_of(self, item: OpenItem) -> float | None:
        """The share of an item's tenant; None if its service has no samplers."""
        share = self.current(item.service).share(item.tenant)
        return share if math.isfinite(share) else None

    def loads(self, waiting: Iterable[OpenItem]) -> list[TenantLoad]:
        """Waiting items and dominant share of each tenant, by service."""
        return tenant_loads(waiting, {service: self.current(service) for service in self._shares})

    def _of(self, service: str) -> DominantShares:
        return self._shares.setdefault(service, DominantShares())
