"""Shares of the samplers that the models of a service get, in proportion to their demand."""

from __future__ import annotations

from collections.abc import Callable

from stileloom.jobs.model_versions import SamplerModels, assign_samplers
from stileloom.jobs.open_items import DEFAULT_EXPECTED_TOKENS

DEMAND_CHANGE_FACTOR = 1.4
"""Samplers are reassigned when a model's share of the demand changes by this factor."""


class SamplerShares:
    """The model assigned to each sampler. Performs no I/O and reads no clock."""

    def __init__(self, models_of: Callable[[str], SamplerModels]) -> None:
        """`models_of` returns the known model versions of a sampler."""
        self._models_of = models_of
        self._assignment: dict[str, str] = {}
        self._inputs: tuple[frozenset[str], frozenset[str]] | None = None
        self._demand: dict[str, float] = {}
        """Expected output tokens of the last adopted job, by model."""
        self._assigned_demand: dict[str, float] = {}

    def set_demand(self, model: str, tokens: float) -> None:
        """Records the expected output tokens of the last adopted job of a model."""
        self._demand[model] = tokens

    def assign(self, sampler_ids: frozenset[str], models: list[str]) -> dict[str, str]:
        """Returns the model assigned to each sampler; empty if every sampler serves all models."""
        demand = {model: self._demand.get(model, DEFAULT_EXPECTED_TOKENS) for model in models}
        inputs = (sampler_ids, frozenset(models))
        if inputs != self._inputs or self._has_changed(demand):
            current = {**self._assignment_from_versions(sampler_ids, models), **self._assignment}
            self._assignment = assign_samplers(sorted(sampler_ids), demand, current)
            self._inputs = inputs
            self._assigned_demand = demand
        return self._assignment

    def serves(self, sampler_id: str, model: str) -> bool:
        """Whether the sampler may run items of the model."""
        return self._assignment.get(sampler_id, model) == model

    def _assignment_from_versions(
        self, sampler_ids: frozenset[str], models: list[str]
    ) -> dict[str, str]:
        """Reconstructs the assignment of an earlier leader from the samplers' versions.

        A sampler only receives new versions of its assigned model. A different assignment after
        an election would require most samplers to load weights before any item can start.
        """
        assignment: dict[str, str] = {}
        for sampler_id in sampler_ids:
            versions = self._models_of(sampler_id).versions
            newest = max(models, key=lambda model: versions.get(model, 0))
            outdated = [
                model for model in models if versions.get(model, 0) < versions.get(newest, 0)
            ]
            if outdated:
                assignment[sampler_id] = newest
        return assignment

    def _has_changed(self, demand: dict[str, float]) -> bool:
        if set(demand) != set(self._assigned_demand):
            return True
        total = sum(demand.values()) or 1.0
        assigned_total = sum(self._assigned_demand.values()) or 1.0
        for model, amount in demand.items():
            share = amount / total
            assigned_share = self._assigned_demand[model] / assigned_total
            if (
                share > assigned_share * DEMAND_CHANGE_FACTOR
                or assigned_share > share * DEMAND_CHANGE_FACTOR
            ):
                return True
        return False
