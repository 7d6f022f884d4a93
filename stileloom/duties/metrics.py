"""Metrics of duties at a ledger node."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge


class DutyMetrics:
    """Calls to the operator's service, and what is still to be reported."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.calls = Counter(
            "stileloom_duty_calls",
            "Calls to the operator's service, by duty and outcome",
            ["duty", "outcome"],
            registry=registry,
        )
        self._unsent = Gauge(
            "stileloom_usage_windows_unsent",
            "Closed usage windows that are not reported yet",
            registry=registry,
        )

    def observe_unsent(self, unsent: Callable[[], int]) -> None:
        """Sets the source of the number of unsent windows."""
        self._unsent.set_function(unsent)
