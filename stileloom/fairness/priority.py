"""Priorities of requests and items: 0 is the most urgent, 9 the least. Performs no I/O."""

from __future__ import annotations

from stileloom.api.routes import Route, RouteConfiguration

MOST_URGENT = 0
DEFAULT_PRIORITY = 5
LEAST_URGENT = 9


def effective_priority(tenant_priority: int | None, route: Route) -> int:
    """The priority of the tenant, else that of the route, within the range that samplers know."""
    priority = route.priority if tenant_priority is None else tenant_priority
    return min(LEAST_URGENT, max(MOST_URGENT, priority))


def priority_of(configuration: RouteConfiguration | None, tenant: str, route: Route) -> int:
    """The priority of a tenant's requests on a route; an unknown tenant has none of its own."""
    tenants = (configuration.tenants if configuration is not None else None) or []
    own = next((known.priority for known in tenants if known.name == tenant), None)
    return effective_priority(own, route)
