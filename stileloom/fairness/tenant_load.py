"""What each tenant has waiting and holds, for metrics and logs. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from stileloom.fairness.shares import DominantShares
from stileloom.jobs.open_items import OpenItem

MAX_REPORTED_TENANTS = 10
"""Bounds the number of time series and of log lines."""


class TenantLoad(msgspec.Struct):
    """Waiting items and dominant share of a tenant at one service."""

    service: str
    tenant: str
    share: float = 0.0
    waiting: int = 0
    waiting_since: float = float("inf")
    """When the oldest of its waiting items began to wait, in monotonic seconds."""
    priority: int = 0
    """Priority of that item."""


def tenant_loads(
    waiting: Iterable[OpenItem], shares: Mapping[str, DominantShares]
) -> list[TenantLoad]:
    """The load of each tenant with runs or waiting items; `shares` is by service."""
    loads: dict[tuple[str, str], TenantLoad] = {}
    for service, service_shares in shares.items():
        for tenant in service_shares.tenants():
            load = TenantLoad(service, tenant, service_shares.share(tenant))
            loads[service, tenant] = load
    for item in waiting:
        key = (item.service, item.tenant)
        load = loads.setdefault(key, TenantLoad(item.service, item.tenant))
        load.waiting += 1
        if item.waiting_since < load.waiting_since:
            load.waiting_since = item.waiting_since
            load.priority = item.priority
    return list(loads.values())


def largest_by_waiting(loads: list[TenantLoad]) -> list[TenantLoad]:
    """The loads with the most waiting items."""
    chosen = sorted(loads, key=lambda load: (-load.waiting, load.tenant, load.service))
    return [load for load in chosen if load.waiting][:MAX_REPORTED_TENANTS]


def largest_by_share(loads: list[TenantLoad]) -> list[TenantLoad]:
    """The loads with the greatest dominant shares."""
    chosen = sorted(loads, key=lambda load: (-load.share, load.tenant, load.service))
    return [load for load in chosen if load.share][:MAX_REPORTED_TENANTS]
