"""Counters and histograms of a gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram

LATENCY_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)


class ProxyMetrics:
    """Metrics of lookups and job calls at one gateway."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            "stileloom_requests",
            "Requests by route and status",
            ["route", "status"],
            registry=registry,
        )
        self.latency = Histogram(
            "stileloom_request_latency_seconds",
            "Time from a request's arrival to its answer",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "stileloom_attempts", "Attempts at samplers by outcome", ["outcome"], registry=registry
        )
        self.refusals = Counter(
            "stileloom_refusals", "Refused requests by error code", ["code"], registry=registry
        )
