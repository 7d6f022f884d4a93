"""Plans of the two deployments for simulations, from their settings under `examples/`."""

from __future__ import annotations

from pathlib import Path

import msgspec

from stileloom.cli.manifests import load_manifests
from stileloom.emulator.deployment import Deployment, load_deployment
from stileloom.emulator.workload import LengthDistribution
from stileloom.simulator.callers import CallerParameters
from stileloom.simulator.cluster import ClusterPlan, PoolPlan
from stileloom.simulator.network import NetworkParameters
from stileloom.simulator.trainer import TrainerParameters

PROMPT_GROUPS = 4


def plan_of(folder: Path) -> ClusterPlan:
    """The plan of a deployment's folder. Raises `StileloomError`."""
    deployment = load_deployment(folder)
    return ClusterPlan(
        zones=deployment.zones,
        nodes_per_zone=deployment.nodes_per_zone,
        pools=[PoolPlan(p.name, p.role, p.model, p.samplers) for p in deployment.pools],
        objects=_objects(folder / deployment.objects),
        engine=deployment.engine,
        trainer=_trainer(deployment),
        callers=CallerParameters(
            service=deployment.lookups.service,
            max_tokens=deployment.lookups.max_tokens,
            non_repeatable_fraction=deployment.lookups.non_repeatable_fraction,
            tenants=tuple(deployment.lookups.tenants),
        ),
        store_bytes_per_s=deployment.weight_store.bytes_per_s,
        network=NetworkParameters(
            between_zones_s=deployment.zone_latency_ms / 1000.0,
            clients_s=deployment.client_latency_ms / 1000.0,
        ),
    )


def _objects(path: Path) -> dict[str, dict[str, dict[str, object]]]:
    objects: dict[str, dict[str, dict[str, object]]] = {}
    for manifest in load_manifests(path):
        objects.setdefault(manifest.kind.value, {})[manifest.name] = manifest.spec
    return objects


def _trainer(deployment: Deployment) -> TrainerParameters:
    trainer = deployment.trainer
    return TrainerParameters(
        round_name=trainer.round_name,
        staleness_bound=trainer.staleness_bound,
        samples_per_step=trainer.samples_per_step,
        train_s=trainer.train_s,
        lengths=LengthDistribution(
            trainer.length_median_tokens,
            trainer.length_sigma,
            trainer.long_fraction,
            trainer.long_factor,
            trainer.max_tokens,
            PROMPT_GROUPS,
        ),
    )


def with_trainer(plan: ClusterPlan, **changes: object) -> ClusterPlan:
    """A plan whose trainer has other parameters."""
    trainer = msgspec.structs.replace(plan.trainer, **changes)
    return msgspec.structs.replace(plan, trainer=trainer)
