"""Assignment of samplers to models, and the last known weight versions of each sampler.

Versions never decrease within one incarnation of a sampler, so the highest version seen in the
directory or in a report is the latest known one.
"""

from __future__ import annotations

import msgspec


class SamplerModels(msgspec.Struct):
    """Last known model versions of one sampler."""

    versions: dict[str, int] = msgspec.field(default_factory=dict)
    loading: str | None = None
    """The model that is being loaded, if any."""
    load_ended_at: float = float("-inf")
    """When the last load was seen to have ended, in monotonic seconds."""

    def record_version(self, model: str, version: int) -> None:
        """Records an observed version."""
        self.versions[model] = max(version, self.versions.get(model, 0))


def assign_samplers(
    sampler_ids: list[str], demand: dict[str, float], current: dict[str, str]
) -> dict[str, str]:
    """Assigns each sampler one model in proportion to demand, with few changes to `current`.

    Every model gets at least one sampler. Returns the model by sampler id, or an empty mapping
    if there are fewer samplers than models; then every sampler serves all models.
    """
    models = sorted(demand)
    if not models or len(sampler_ids) < len(models):
        return {}
    total = sum(demand.values()) or 1.0
    spare = len(sampler_ids) - len(models)
    exact = {model: spare * demand[model] / total for model in models}
    counts = {model: 1 + int(exact[model]) for model in models}
    by_remainder = sorted(models, key=lambda model: (int(exact[model]) - exact[model], model))
    for model in by_remainder[: len(sampler_ids) - sum(counts.values())]:
        counts[model] += 1
    assignment: dict[str, str] = {}
    unassigned: list[str] = []
    for sampler_id in sorted(sampler_ids):
        current_model = current.get(sampler_id)
        if current_model is not None and counts.get(current_model, 0) > 0:
            counts[current_model] -= 1
            assignment[sampler_id] = current_model
        else:
            unassigned.append(sampler_id)
    for sampler_id in unassigned:
        model = max(models, key=lambda name: counts[name])
        counts[model] -= 1
        assignment[sampler_id] = model
    return assignment
