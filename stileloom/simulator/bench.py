"""The benchmark: hours of service in virtual time over the real parts.

Open-loop lookups follow a day's demand curve, a trainer takes steps as fast as it is served,
lengths have a heavy tail, weights change at every step. The same seed gives the same result.
Figures are those of the trainer and the callers.
"""

from __future__ import annotations

import math
from pathlib import Path

import msgspec

from stileloom.clock import steady_time
from stileloom.emulator.demo import StalenessReport, staleness_report
from stileloom.emulator.engine_model import EngineParameters
from stileloom.rollout import Mechanism, SchedulerKind
from stileloom.simulator.cluster import Cluster, ClusterPlan
from stileloom.simulator.plans import plan_of
from stileloom.simulator.trainer import SubmittedStep

WARM_UP_S = 8.0
SAMPLE_EVERY_S = 5.0
QUIET_SHARE = 0.1
"""Demand at night as a share of the day's peak."""


class BenchParameters(msgspec.Struct, frozen=True):
    """What a run does; all of it is in the result."""

    deployment: str
    scheduler: SchedulerKind
    seed: int
    duration_s: float = 1800.0
    without: frozenset[Mechanism] = frozenset()
    """Parts of the default scheduler that are left out."""
    """Virtual time; one whole day's curve is squeezed into it."""
    peak_lookups_per_s: float = 20.0
    training: bool = True
    """Off: the lookups alone, as their yardstick."""
    samples_per_step: int = 384
    train_s: float = 120.0
    length_median_tokens: int = 800
    length_sigma: float = 0.5
    long_fraction: float = 0.03
    long_factor: int = 20
    """A few samples are this many times longer than the median."""
    max_tokens: int = 24_000
    staleness_bound: int = 2


class LookupLatency(msgspec.Struct):
    """Milliseconds from sending a lookup to its whole answer."""

    p50: float
    p99: float
    p999: float


class LowerBound(msgspec.Struct):
    """What no scheduler can beat, from the work and the engines' speed."""

    step_s: float
    """Mean over the steps of the longest of: training; the step's tokens at the full speed of
    all rollout engines; and what its longest sample asks for. That one takes L alone on an
    engine; from the publication of the version it starts at to its hand-over, `staleness_bound`
    versions later, lie as many whole steps and one more wait, so step_s >= (L + train_s) /
    (staleness_bound + 1)."""
    trainer_idle_fraction: float
    """Idle that is left if steps take `step_s`."""


class SamplePoint(msgspec.Struct):
    """One moment of a run, for the plot."""

    at_s: float
    lookups_per_s: float
    idle_fraction: float
    """Since the moment before."""
    staleness_mean: float
    lookup_samplers: int
    rollout_samplers: int


class BenchResult(msgspec.Struct):
    """The result of a run."""

    parameters: BenchParameters
    seed: int
    trainer_idle_fraction: float
    staleness: StalenessReport
    staleness_mean: float
    lookup_latency_ms: LookupLatency
    lookups_sent: int
    lookups_completed: int
    lookups_not_run: int
    lookups_unknown: int
    steps: int
    samples: int
    goodput_tokens_per_s: float
    """Tokens of samples that were trained on."""
    discarded_tokens: int
    """Tokens of refused samples, at the ledger."""
    generated_tokens: int
    lower_bound: LowerBound
    violations: list[str]
    wall_s: float
    points: list[SamplePoint]


def demand(at_s: float, duration_s: float, peak: float) -> float:
    """Lookups a second: a day from midnight to midnight, with its peak at two in the afternoon."""
    hour = 24.0 * at_s / duration_s
    day = max(0.0, math.cos((hour - 14.0) / 24.0 * 2 * math.pi))
    return peak * (QUIET_SHARE + (1 - QUIET_SHARE) * day)


def bench_plan(parameters: BenchParameters, examples: Path) -> ClusterPlan:
    """The deployment with the bench's work, and one node in each zone."""
    plan = plan_of(examples / parameters.deployment)
    lengths = msgspec.structs.replace(
        plan.trainer.lengths,
        median_tokens=parameters.length_median_tokens,
        sigma=parameters.length_sigma,
        long_fraction=parameters.long_fraction,
        long_factor=parameters.long_factor,
        max_tokens=parameters.max_tokens,
    )
    trainer = msgspec.structs.replace(
        plan.trainer,
        samples_per_step=parameters.samples_per_step,
        train_s=parameters.train_s,
        staleness_bound=parameters.staleness_bound,
        lengths=lengths,
        prompts_ahead=parameters.staleness_bound + 2,
    )
    round_spec = {
        **plan.objects["round"][trainer.round_name],
        "samples_per_step": parameters.samples_per_step,
        "staleness_bound": parameters.staleness_bound,
    }
    objects = {**plan.objects, "round": {trainer.round_name: round_spec}}
    callers = msgspec.structs.replace(plan.callers, non_repeatable_fraction=0.0)
    return msgspec.structs.replace(
        plan,
        nodes_per_zone=1,
        trainer=trainer,
        callers=callers,
        objects=objects,
        scheduler=parameters.scheduler,
        disabled_mechanisms=parameters.without,
        tick_s=0.2,
        poll_s=2.0,
        encode=False,
    )


def run_bench(parameters: BenchParameters, examples: Path) -> BenchResult:
    """One run."""
    started_at = steady_time()
    plan = bench_plan(parameters, examples)
    cluster = Cluster(plan, parameters.seed)
    cluster.run_for(WARM_UP_S)
    begin = cluster.world.now
    if parameters.training:
        cluster.trainer.start()
    cluster.callers.run(
        lambda now: demand(now - begin, parameters.duration_s, parameters.peak_lookups_per_s)
    )
    points = _run_sampled(cluster, parameters, begin)
    return _result(cluster, parameters, points, steady_time() - started_at)


def _run_sampled(cluster: Cluster, parameters: BenchParameters, begin: float) -> list[SamplePoint]:
    points: list[SamplePoint] = []
    idle_before, ages_before = 0.0, 0
    while cluster.world.now < begin + parameters.duration_s:
        cluster.run_for(SAMPLE_EVERY_S)
        idle = cluster.trainer.idle_so_far()
        ages = cluster.trainer.audit.report.ages
        recent = ages[ages_before:]
        roles = [engine.model.role.value for engine in cluster.directory.engines.values()]
        at_s = cluster.world.now - begin
        points.append(
            SamplePoint(
                at_s=round(at_s, 3),
                lookups_per_s=demand(at_s, parameters.duration_s, parameters.peak_lookups_per_s),
                idle_fraction=(idle - idle_before) / SAMPLE_EVERY_S,
                staleness_mean=sum(recent) / len(recent) if recent else 0.0,
                lookup_samplers=roles.count("lookup"),
                rollout_samplers=roles.count("rollout"),
            )
        )
        idle_before, ages_before = idle, len(ages)
    return points


def _result(
    cluster: Cluster, parameters: BenchParameters, points: list[SamplePoint], wall_s: float
) -> BenchResult:
    trainer, totals = cluster.trainer, cluster.callers.totals
    ages = trainer.audit.report.ages
    latency = cluster.callers.latency_us
    discarded = sum(state.discarded_tokens for state in _rounds(cluster))
    return BenchResult(
        parameters=parameters,
        seed=parameters.seed,
        trainer_idle_fraction=round(trainer.idle_so_far() / parameters.duration_s, 4),
        staleness=staleness_report(ages, parameters.staleness_bound),
        staleness_mean=round(sum(ages) / len(ages), 3) if ages else 0.0,
        lookup_latency_ms=LookupLatency(
            latency.get_value_at_percentile(50) / 1000,
            latency.get_value_at_percentile(99) / 1000,
            latency.get_value_at_percentile(99.9) / 1000,
        ),
        lookups_sent=totals.sent,
        lookups_completed=totals.completed,
        lookups_not_run=totals.not_run,
        lookups_unknown=totals.unknown,
        steps=trainer.steps_done,
        samples=len(ages),
        goodput_tokens_per_s=round(trainer.trained_tokens / parameters.duration_s, 1),
        discarded_tokens=discarded,
        generated_tokens=sum(e.model.generated_tokens for e in cluster.directory.engines.values()),
        lower_bound=lower_bound(cluster.plan, parameters, trainer.submitted_steps),
        violations=cluster.oracle.violations,
        wall_s=round(wall_s, 1),
        points=points,
    )


def _rounds(cluster: Cluster) -> list:
    leader = cluster.leader()
    core = cluster.machine(leader).core if leader is not None else None
    if core is None or core.replica is None:
        return []
    return list(core.replica.state.rounds.values())


def lower_bound(
    plan: ClusterPlan, parameters: BenchParameters, steps: list[SubmittedStep]
) -> LowerBound:
    """Step time that the work, the engines and the staleness bound allow at best."""
    engine = plan.engine
    rollout = sum(len(pool.zones) for pool in plan.pools if pool.role.value == "rollout")
    rate = max(1e-9, rollout * _full_speed(engine))
    alone_s = engine.step_base_s + engine.step_per_sequence_s
    spans = parameters.staleness_bound + 1
    times = [
        max(
            parameters.train_s,
            step.tokens / rate,
            (step.longest_tokens * alone_s + parameters.train_s) / spans,
        )
        for step in steps
    ]
    step_s = sum(times) / len(times) if times else parameters.train_s
    idle = max(0.0, 1.0 - parameters.train_s / step_s)
    return LowerBound(round(step_s, 2), round(idle, 4))


def _full_speed(engine: EngineParameters) -> float:
    """Tokens a second with every place taken."""
    step_s = engine.step_base_s + engine.max_running * engine.step_per_sequence_s
    return engine.max_running / step_s
