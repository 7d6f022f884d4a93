"""A bounded, derandomized run of the stateful machine; `make fuzz` runs it for long."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

from tests.stateful import ClusterMachine

ClusterMachine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)

TestClusterMachine = ClusterMachine.TestCase
