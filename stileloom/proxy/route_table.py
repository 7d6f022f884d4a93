"""The active routes, matched by host and longest path prefix, and weighted choice of a backend."""

from __future__ import annotations

import random

from stileloom.api.routes import Route, RouteConfiguration, Service
from stileloom.tenants.key_table import KeyTable

GOLDEN_RATIO_CONJUGATE = 0.6180339887498949


class _HostRoutes:
    """Routes of one host, found by prefix in a time that does not grow with their number."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes
        self._by_prefix: dict[str, Route] = {}
        for route in routes:
            self._by_prefix.setdefault(route.path_prefix, route)
        self._lengths = sorted({len(prefix) for prefix in self._by_prefix}, reverse=True)

    def match(self, path: str) -> Route | None:
        """The route with the longest prefix that matches; the first one of equal prefixes."""
        for length in self._lengths:
            # A path that is shorter than the prefix is cut to itself and found under no key.
            route = self._by_prefix.get(path[:length])
            if route is not None and len(route.path_prefix) == length:
                return route
        return None


class RouteTable:
    """Routes of the latest configuration; its version never decreases while the process runs."""

    def __init__(self, rng: random.Random) -> None:
        self.configuration: RouteConfiguration | None = None
        self.keys: KeyTable | None = None
        """API keys of the configuration; None if requests need none."""
        self._rng = rng
        self._by_host: dict[str, _HostRoutes] = {}
        self._services: dict[str, Service] = {}
        self._phases: dict[str, float] = {}

    @property
    def version(self) -> int:
        """Active version, or 0 before the first configuration."""
        return self.configuration.version if self.configuration is not None else 0

    def adopt(self, configuration: RouteConfiguration) -> bool:
        """Activates a configuration; returns False if it is not newer than the active one."""
        if configuration.version <= self.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        tenants = configuration.tenants
        self.configuration = configuration
        self.keys = KeyTable(tenants) if tenants is not None else None
        self._by_host = {host: _HostRoutes(routes) for host, routes in by_host.items()}
        self._services = {service.name: service for service in configuration.services}
        return True

    def match(self, host: str, path: str) -> Route | None:
        """The route of the host with the longest prefix that matches the path."""
        routes = self._by_host.get(_hostname(host))
        return routes.match(path) if routes is not None else None

    def of_host(self, host: str) -> list[Route]:
        """All routes of a host."""
        routes = self._by_host.get(_hostname(host))
        return routes.routes if routes is not None else []

    def service(self, name: str) -> Service | None:
        return self._services.get(name)

    def services(self) -> list[Service]:
        return list(self._services.values())

    def choose_backend(self, route: Route) -> str:
        """Selects a service of the route by weight.

        Uses a low-discrepancy sequence, so that each node's shares are close to the weights after
        a few requests. Its start is random, so that nodes don't choose the same service in step.
        """
        if len(route.backends) == 1:
            return route.backends[0].service
        phase = self._phases.get(route.name)
        if phase is None:
            phase = self._rng.random()
        phase = (phase + GOLDEN_RATIO_CONJUGATE) % 1.0
        self._phases[route.name] = phase
        total = sum(backend.weight for backend in route.backends)
        remaining = phase * total
        for backend in route.backends:
            remaining -= backend.weight
            if remaining < 0:
                return backend.service
        return route.backends[-1].service


def _hostname(host: str) -> str:
    return host.lower().partition(":")[0]
