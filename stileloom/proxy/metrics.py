"""Metrics of gateways and other processes that send requests to samplers."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
WAIT_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.025, 0.05, 0.1, 0.25)


class AttemptMetrics:
    """Counters of attempts and connections."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.attempts = Counter(
            "stileloom_attempts",
            "Attempts of lookups and reward calls at samplers, by outcome",
            ["outcome"],
            registry=registry,
        )
        self._connections = Counter(
            "stileloom_sampler_connections",
            "Connections to samplers opened since the start",
            registry=registry,
        )
        self.admission_queue_length = Gauge(
            "stileloom_admission_queue_length",
            "Lookups and reward calls that wait for a slot, by service",
            ["service"],
            registry=registry,
        )
        self.admission_wait = Histogram(
            "stileloom_admission_wait_seconds",
            "Time that lookups and reward calls waited for a turn, or until they were refused",
            buckets=WAIT_BUCKETS_S,
            registry=registry,
        )
        self.admission_refusals = Counter(
            "stileloom_admission_refusals",
            "Lookups and reward calls that the admission queue refused, by reason",
            ["reason"],
            registry=registry,
        )
        self.retry_budget_exhausted = Counter(
            "stileloom_retry_budget_exhausted",
            "Repeats and hedges that the retry budget did not allow",
            registry=registry,
        )

    def connection_opened(self) -> None:
        """Counts a new connection to a sampler."""
        self._connections.inc()


class ProxyMetrics(AttemptMetrics):
    """Metrics of one gateway."""

    def __init__(self, registry: CollectorRegistry) -> None:
        super().__init__(registry)
        self.requests = Counter(
            "stileloom_requests",
            "Answers passed on, by route and status",
            ["route", "status"],
            registry=registry,
        )
        self.latency = Histogram(
            "stileloom_request_latency_seconds",
            "Time from a request's arrival to its final answer, by route",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.refusals = Counter(
            "stileloom_refusals",
            "Final answers of our own, by error code",
            ["code"],
            registry=registry,
        )
        self._open = Gauge(
            "stileloom_requests_open", "Requests without a final answer", registry=registry
        )

    def observe_open(self, open_requests: Callable[[], int]) -> None:
        """Sets the callback that reads the number of open requests."""
        self._open.set_function(open_requests)
