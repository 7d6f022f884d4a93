"""Metrics of the limits on callers."""

from __future__ import annotations

from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge

from stileloom.callers.limits import CallerState, ConnectionLimits


class CallerMetrics:
    """Gauges and counters of one gateway."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._connections = Gauge(
            "stileloom_caller_connections",
            "Connections of callers, by state",
            ["state"],
            registry=registry,
        )
        self._held_bytes = Gauge(
            "stileloom_caller_bytes_held",
            "Bytes of requests and responses held for callers",
            registry=registry,
        )
        self.closed = Counter(
            "stileloom_caller_connections_closed",
            "Connections of callers closed by a limit, by limit",
            ["reason"],
            registry=registry,
        )
        self.refused = Counter(
            "stileloom_caller_connections_refused",
            "New connections of callers refused by a limit, by limit",
            ["reason"],
            registry=registry,
        )

    def observe(self, limits: ConnectionLimits) -> None:
        """Sets the source of the gauges."""
        for state in CallerState:
            self._connections.labels(state.value).set_function(partial(limits.count, state))
        self._held_bytes.set_function(lambda: limits.held_bytes)
