"""The routes in force: match by host and longest prefix, and the weighted choice of a backend."""

from __future__ import annotations

import random

from stileloom.api.routes import Route, RouteConfiguration, Service

GOLDEN_RATIO_FRACTION = 0.6180339887498949


class RouteTable:
    """Routes of the newest configuration known; its version never goes back in one life."""

    def __init__(self, rng: random.Random) -> None:
        self.configuration: RouteConfiguration | None = None
        self._rng = rng
        self._by_host: dict[str, list[Route]] = {}
        self._services: dict[str, Service] = {}
        self._phases: dict[str, float] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 where none is known."""
        return self.configuration.version if self.configuration is not None else 0

    def adopt(self, configuration: RouteConfiguration) -> bool:
        """Puts a configuration in force; False where it is not newer."""
        if configuration.version <= self.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self.configuration = configuration
        self._by_host = by_host
        self._services = {service.name: service for service in configuration.services}
        return True

    def match(self, host: str, path: str) -> Route | None:
        """The route of the host with the longest prefix that begins the path."""
        bare_host = host.lower().partition(":")[0]
        for route in self._by_host.get(bare_host, []):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> Service | None:
        """A service by its name."""
        return self._services.get(name)

    def services(self) -> list[Service]:
        """All services."""
        return list(self._services.values())

    def choose_backend(self, route: Route) -> str:
        """A service of the route, by weight.

        A low-discrepancy sequence with a random start keeps each node's shares close to the
        weights after a few requests, and nodes apart from each other.
        """
        if len(route.backends) == 1:
            return route.backends[0].service
        phase = self._phases.get(route.name)
        if phase is None:
            phase = self._rng.random()
        phase = (phase + GOLDEN_RATIO_FRACTION) % 1.0
        self._phases[route.name] = phase
        total = sum(backend.weight for backend in route.backends)
        left = phase * total
        for backend in route.backends:
            left -= backend.weight
            if left < 0:
                return backend.service
        return route.backends[-1].service
