"""Metrics of the quarantine."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge


class QuarantineMetrics:
    """Quarantine metrics of one process."""

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

    def observe_quarantined(self, count: Callable[[], float]) -> None:
        """Sets the callback that reads the number of quarantined requests."""
        self._held.set_function(count)
