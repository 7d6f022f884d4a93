"""Counters of the job runner."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter


class JobMetrics:
    """Metrics of items, results and orders at one ledger node."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.runs_started = Counter(
            "stileloom_item_runs_started", "Runs of items begun", registry=registry
        )
        self.runs_ended = Counter(
            "stileloom_item_runs_ended", "Runs of items by outcome", ["outcome"], registry=registry
        )
        self.results_listed = Counter(
            "stileloom_results_listed", "Results committed to the ledger", registry=registry
        )
        self.orders = Counter(
            "stileloom_orders", "Orders to samplers by outcome", ["outcome"], registry=registry
        )
