"""Controller benchmark: duration of a tick for many rounds and samplers."""

from __future__ import annotations

import itertools
import statistics
import time

import msgspec

from stileloom.api.engine import EngineState
from stileloom.api.objects import Configuration, Machine, Pool, Round, SamplerRole
from stileloom.api.samples import Prompt
from stileloom.effects import Send
from stileloom.lease import FencingToken
from stileloom.ledger.commands import RegisterRound, SubmitPrompts
from stileloom.ledger.state import LedgerState
from stileloom.policy import PolicyRegistry
from stileloom.rollout.controller import Controller
from stileloom.rollout.scheduler import DefaultScheduler
from stileloom.rollout.view import ControllerView
from stileloom.samplers.messages import (
    GenerationFinished,
    LoadRow,
    SamplerReport,
    StartGeneration,
)
from stileloom.samplers.table import SamplerTable

ZONES = 9
MAX_RUNNING = 32
TICK_S = 0.1
STALENESS_BOUND = 1
RUNNING_PER_COMPLETION = 600
"""At each tick, one in this many running generations completes."""


class ControllerBenchResult(msgspec.Struct):
    """Duration of the controller's ticks."""

    rounds: int
    samples_per_step: int
    samplers: int
    first_tick_ms: float
    """The first tick starts the generations of all open slots."""
    tick_ms_mean: float
    tick_ms_p99: float
    core_fraction: float
    """Fraction of a core at one tick per `TICK_S`."""


def run_controller_bench(
    rounds: int, samples_per_step: int, samplers: int, ticks: int = 100
) -> ControllerBenchResult:
    """Runs `ticks` ticks with a constant share of generations finishing in each."""
    view = _controller_view(rounds, samples_per_step, samplers)
    controller = Controller(1, DefaultScheduler(), 0.0, itertools.count(1))
    now = 10.0
    _report_load(view.table, samplers, now)
    started = time.perf_counter()
    effects = controller.tick(now, view)
    first_ms = (time.perf_counter() - started) * 1000
    running = [e.message for e in effects if isinstance(e, Send)]
    open_starts = [message for message in running if isinstance(message, StartGeneration)]
    times: list[float] = []
    for _ in range(ticks):
        now += TICK_S
        completions = max(1, len(open_starts) // RUNNING_PER_COMPLETION)
        finished, open_starts = open_starts[:completions], open_starts[completions:]
        started = time.perf_counter()
        for start in finished:
            message = GenerationFinished(start.key, start.sampler_id, 100, True)
            controller.handle(now, "node", message, view)
            view.state.rounds[start.key.round_name].open_slots.pop(start.key.slot, None)
        effects = controller.tick(now, view)
        times.append((time.perf_counter() - started) * 1000)
        sent = [e.message for e in effects if isinstance(e, Send)]
        open_starts += [message for message in sent if isinstance(message, StartGeneration)]
        _report_load(view.table, samplers, now)
    ordered = sorted(times)
    mean_ms = statistics.fmean(times)
    return ControllerBenchResult(
        rounds=rounds,
        samples_per_step=samples_per_step,
        samplers=samplers,
        first_tick_ms=round(first_ms, 1),
        tick_ms_mean=round(mean_ms, 2),
        tick_ms_p99=round(ordered[int(0.99 * len(ordered))], 2),
        core_fraction=round(mean_ms / 1000 / TICK_S, 4),
    )


def _controller_view(rounds: int, samples_per_step: int, samplers: int) -> ControllerView:
    state = LedgerState()
    names = [f"round-{number}" for number in range(rounds)]
    for name in names:
        state.apply(RegisterRound(name, STALENESS_BOUND, samples_per_step, 1, 1))
        for step in range(STALENESS_BOUND + 2):
            prompts = [
                Prompt(f"{name}-{step}-{number}", "text", 1000, f"group-{number % 4}")
                for number in range(samples_per_step)
            ]
            state.apply(SubmitPrompts(name, f"step-{step}", prompts))
    table = SamplerTable()
    table.set_machines(
        [
            Machine(f"s{number}", f"pool-{number % rounds}", f"zone-{number % ZONES}", "h", 1)
            for number in range(samplers)
        ]
    )
    return ControllerView(
        state=state,
        configuration=Configuration(
            1,
            pools={
                f"pool-{number}": Pool(SamplerRole.ROLLOUT, f"m-{number}")
                for number in range(rounds)
            },
            rounds={
                name: Round(f"pool-{number}", f"m-{number}", samples_per_step, STALENESS_BOUND)
                for number, name in enumerate(names)
            },
        ),
        policies=PolicyRegistry({}),
        table=table,
        owner_of=lambda sampler_id: "node",
        is_healthy=lambda node_id: True,
        wall_time_s=0.0,
        admits_rollouts=True,
    )


def _report_load(table: SamplerTable, samplers: int, now: float) -> None:
    rows = [
        LoadRow(
            view.sampler_id,
            EngineState.SERVING,
            SamplerRole.ROLLOUT,
            view.machine.pool.replace("pool", "m"),
            1,
            8,
            0,
            MAX_RUNNING,
            FencingToken(0, 0),
        )
        for view in table.views()
    ]
    table.on_report(now, SamplerReport(rows, []))
