"""Metrics of requests under which samplers ended."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge


class QuarantineMetrics:
    """Counters of one program."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.probes = Counter(
            "stileloom_quarantine_probes",
            "Samplers asked for a connection after they broke a request off, by sign",
            ["sign"],
            registry=registry,
        )
        self.reported = Counter(
            "stileloom_quarantine_reports",
            "Sampler ends under a request, and good answers of suspects, told to the ledger",
            ["what"],
            registry=registry,
        )
        self.refused = Counter(
            "stileloom_quarantine_refused",
            "Requests refused since samplers ended under them",
            registry=registry,
        )
        self.trials = Counter(
            "stileloom_quarantine_trials",
            "Runs of a held request that were asked for, by answer",
            ["answer"],
            registry=registry,
        )
        self._held = Gauge(
            "stileloom_quarantine_held",
            "Requests that this program refuses, as the ledger's list says",
            registry=registry,
        )

    def observe_held(self, held: Callable[[], float]) -> None:
        """Where the number of held requests is read."""
        self._held.set_function(held)
