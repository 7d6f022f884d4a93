"""How long a new version takes to reach every sampler, in virtual time over the real parts."""

from __future__ import annotations

import functools

import msgspec

from stileloom.api.objects import SamplerRole
from stileloom.clock import steady_time
from stileloom.effects import Effect
from stileloom.emulator.engine_model import EngineParameters
from stileloom.emulator.workload import LengthDistribution
from stileloom.ledger.commands import PublishVersion
from stileloom.node import NodeCore
from stileloom.simulator.callers import CallerParameters
from stileloom.simulator.cluster import Cluster, ClusterPlan, PoolPlan
from stileloom.simulator.trainer import TrainerParameters

ROUND = "bench"
WARM_UP_S = 12.0
GIVE_UP_S = 120.0
STEP_S = 0.05
FIRST_VERSION = 2


class WeightsBenchParameters(msgspec.Struct, frozen=True):
    """The pool and the rates."""

    samplers: int = 1200
    zones: int = 9
    weight_bytes: int = 10_000_000_000
    store_bytes_per_s: float = 60e9
    """All zones together: the store is rate-limited."""
    peer_bytes_per_s: float = 25e9
    """One engine to another."""
    versions: int = 3


class WeightsBenchResult(msgspec.Struct):
    """Times of each version."""

    parameters: WeightsBenchParameters
    all_loaded_s: list[float]
    """From the publication to the last sampler that serves the version."""
    half_loaded_s: list[float]
    wall_s: float


def run_weights_bench(parameters: WeightsBenchParameters) -> WeightsBenchResult:
    """Publishes versions one after another."""
    started_at = steady_time()
    cluster = Cluster(_plan(parameters), seed=1)
    cluster.run_for(WARM_UP_S)
    all_loaded: list[float] = []
    half_loaded: list[float] = []
    for version in range(FIRST_VERSION, FIRST_VERSION + parameters.versions):
        node = cluster.machine(cluster.nodes[0])
        command = PublishVersion(ROUND, version)
        node.call(functools.partial(_submit, cluster.world.now, command))
        half, whole = _watch(cluster, version)
        half_loaded.append(half)
        all_loaded.append(whole)
    return WeightsBenchResult(
        parameters, all_loaded, half_loaded, round(steady_time() - started_at, 1)
    )


def _watch(cluster: Cluster, version: int) -> tuple[float, float]:
    begin = cluster.world.now
    engines = list(cluster.directory.engines.values())
    half = float("inf")
    while cluster.world.now < begin + GIVE_UP_S:
        cluster.run_for(STEP_S)
        loaded = sum(1 for engine in engines if engine.model.version == version)
        elapsed = round(cluster.world.now - begin, 2)
        if loaded * 2 >= len(engines):
            half = min(half, elapsed)
        if loaded == len(engines):
            return half, elapsed
    return half, float("inf")


def _plan(parameters: WeightsBenchParameters) -> ClusterPlan:
    zones = [f"zone-{number}" for number in range(parameters.zones)]
    placed = [zones[number % len(zones)] for number in range(parameters.samplers)]
    lengths = LengthDistribution(10, 0.1, 0.0, 1, 10, 1)
    return ClusterPlan(
        zones=zones,
        nodes_per_zone=1,
        pools=[PoolPlan("rollouts", SamplerRole.ROLLOUT, "model", placed)],
        objects={
            "pool": {"rollouts": {"home_role": "rollout", "model": "model"}},
            "round": {
                ROUND: {
                    "pool": "rollouts",
                    "model": "model",
                    "samples_per_step": 1024,
                    "staleness_bound": 1,
                }
            },
        },
        engine=EngineParameters(
            weight_bytes=parameters.weight_bytes, peer_bytes_per_s=parameters.peer_bytes_per_s
        ),
        trainer=TrainerParameters(ROUND, 1, 1024, 1.0, lengths),
        callers=CallerParameters("none", 1),
        store_bytes_per_s=parameters.store_bytes_per_s,
        tick_s=0.05,
        encode=False,
    )


def _submit(now: float, command: PublishVersion, core: NodeCore) -> list[Effect]:
    return core.submit_command(now, command)[1]
