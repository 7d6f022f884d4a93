"""Small simulated clusters for tests, in virtual time."""

from __future__ import annotations

import msgspec

from stileloom.api.objects import ObjectKind, SamplerRole
from stileloom.emulator.engine_model import EngineParameters
from stileloom.emulator.workload import LengthDistribution
from stileloom.simulator.callers import CallerParameters
from stileloom.simulator.cluster import Cluster, ClusterPlan, PoolPlan
from stileloom.simulator.trainer import TrainerParameters

ZONES = ["a", "b", "c"]
ROUND = "drafts"
STALENESS_BOUND = 1
SAMPLES_PER_STEP = 6
WARM_UP_S = 6.0

LENGTHS = LengthDistribution(
    median_tokens=30, sigma=0.4, long_fraction=0.05, long_factor=4, max_tokens=200, groups=3
)

OBJECTS: dict[str, dict[str, dict[str, object]]] = {
    "pool": {
        "rollouts": {"home_role": "rollout", "model": "drafts-model"},
        "lookups": {"home_role": "lookup", "model": "chart-model"},
    },
    "service": {"charts": {"pool": "lookups"}},
    "round": {
        ROUND: {
            "pool": "rollouts",
            "model": "drafts-model",
            "samples_per_step": SAMPLES_PER_STEP,
            "staleness_bound": STALENESS_BOUND,
        }
    },
}


def small_plan() -> ClusterPlan:
    """Returns a plan of three zones with two nodes, one rollout and one lookup sampler each."""
    return ClusterPlan(
        zones=ZONES,
        nodes_per_zone=2,
        pools=[
            PoolPlan("rollouts", SamplerRole.ROLLOUT, "drafts-model", ZONES),
            PoolPlan("lookups", SamplerRole.LOOKUP, "chart-model", ZONES),
        ],
        objects=OBJECTS,
        engine=EngineParameters(max_running=8, weight_bytes=400_000_000),
        trainer=TrainerParameters(
            round_name=ROUND,
            staleness_bound=STALENESS_BOUND,
            samples_per_step=SAMPLES_PER_STEP,
            train_s=0.5,
            lengths=LENGTHS,
        ),
        callers=CallerParameters(
            service="charts",
            max_tokens=20,
            deadline_s=6.0,
            non_repeatable_fraction=0.4,
            duplicate_fraction=0.5,
        ),
        tick_s=0.05,
        poll_s=0.1,
    )


def start_cluster(seed: int = 1, lookups_per_s: float = 4.0, **changes: object) -> Cluster:
    """Starts a cluster, runs it for `WARM_UP_S`, then starts its trainer and lookup callers."""
    cluster = Cluster(msgspec.structs.replace(small_plan(), **changes), seed)
    cluster.run_for(WARM_UP_S)
    cluster.trainer.start()
    if lookups_per_s > 0:
        cluster.callers.run(lambda now: lookups_per_s)
    return cluster


def round_spec(staleness_bound: int) -> dict[str, object]:
    """Returns the specification of the round with the given staleness bound."""
    return {**OBJECTS["round"][ROUND], "staleness_bound": staleness_bound}


def service_spec(queue_limit: int) -> dict[str, object]:
    """Returns the specification of the lookup service with the given queue limit."""
    return {**OBJECTS["service"]["charts"], "queue_limit": queue_limit}


SERVICE = (ObjectKind.SERVICE, "charts")
