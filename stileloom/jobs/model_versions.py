"""Which samplers serve which model, and which version each is believed to have.

A version only rises in one incarnation of a sampler, so the newest sign wins: the directory's
listing, an answer, or a report.
"""

from __future__ import annotations

import msgspec


class SamplerModels(msgspec.Struct):
    """Beliefs on one sampler."""

    versions: dict[str, int] = msgspec.field(default_factory=dict)
    loading: str | None = None
    """The model that it loads now."""

    def saw(self, model: str, version: int) -> None:
        """A sign of the version that the sampler has."""
        self.versions[model] = max(version, self.versions.get(model, 0))


def share_samplers(
    sampler_ids: list[str], demand: dict[str, float], current: dict[str, str]
) -> dict[str, str]:
    """Gives each sampler one model, in proportion to the demand, moving as few as possible.

    Every model gets one where there are enough. Returns the model by sampler id; empty where
    there are fewer samplers than models: then each sampler serves all.
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
    shares: dict[str, str] = {}
    homeless: list[str] = []
    for sampler_id in sorted(sampler_ids):
        held = current.get(sampler_id)
        if held is not None and counts.get(held, 0) > 0:
            counts[held] -= 1
            shares[sampler_id] = held
        else:
            homeless.append(sampler_id)
    for sampler_id in homeless:
        model = max(models, key=lambda name: counts[name])
        counts[model] -= 1
        shares[sampler_id] = model
    return shares
