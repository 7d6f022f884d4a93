"""Metrics shared by gateways and ledger nodes: object store, active routes and logs."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge

from stileloom.clock import steady_time
from stileloom.logging import EventLog


class ProcessMetrics:
    """Metrics of one process."""

    def __init__(self, registry: CollectorRegistry, log: EventLog) -> None:
        self.store_calls = Counter(
            "stileloom_store_calls",
            "Calls that follow the store, by kind of objects and outcome",
            ["kind", "outcome"],
            registry=registry,
        )
        self.store_reads = Counter(
            "stileloom_store_reads",
            "Lists and watches of the store, by who answered: a node's cache or the store",
            ["source"],
            registry=registry,
        )
        self._ages = Gauge(
            "stileloom_store_age_seconds",
            "Time since the store last answered about a kind of objects",
            ["kind"],
            registry=registry,
        )
        self._routes = Gauge(
            "stileloom_routes_version", "Version of the routes in force", registry=registry
        )
        suppressed = Gauge(
            "stileloom_log_lines_suppressed",
            "Log lines left out since the start, over their budget",
            registry=registry,
        )
        suppressed.set_function(lambda: float(log.rate_limiter.suppressed_total))

    def observe_routes(self, version: Callable[[], int]) -> None:
        """Registers the source of the active routes version."""
        self._routes.set_function(version)

    def observe_age(self, kind: str, synced_at: Callable[[], float | None]) -> None:
        """Registers the source of the time of the last response for a kind."""

        def age_s() -> float:
            at = synced_at()
            return steady_time() - at if at is not None else float("inf")

        self._ages.labels(kind).set_function(age_s)
