"""Metrics of the load view and of its sharing."""

from __future__ import annotations

import math
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge

from stileloom.clock import steady_time
from stileloom.load.view import LoadView


class LoadMetrics:
    """Metrics of one process."""

    def __init__(self, registry: CollectorRegistry, view: LoadView) -> None:
        self.exchanges = Counter(
            "stileloom_load_exchanges",
            "Exchanges of load readings within the zone, by outcome",
            ["outcome"],
            registry=registry,
        )
        readings = Gauge(
            "stileloom_load_readings",
            "Samplers of which a load reading has not expired, by who measured it",
            ["source"],
            registry=registry,
        )
        age = Gauge(
            "stileloom_load_reading_age_seconds",
            "Age of the newest load reading, by who measured it",
            ["source"],
            registry=registry,
        )

        def ages_s(shared: bool) -> list[float]:
            now = steady_time()
            unexpired = view.unexpired(now)
            return [now - known.measured_at for known in unexpired if known.shared == shared]

        def count(shared: bool) -> float:
            return float(len(ages_s(shared)))

        def newest_age_s(shared: bool) -> float:
            return min(ages_s(shared), default=math.inf)

        for source, shared in (("own", False), ("shared", True)):
            readings.labels(source).set_function(partial(count, shared))
            age.labels(source).set_function(partial(newest_age_s, shared))
