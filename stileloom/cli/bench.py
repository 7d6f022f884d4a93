"""`stileloom bench`: benchmarks in virtual time, and comparison of two results."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from stileloom.cli.demo import DeploymentName, ExamplesOption
from stileloom.cli.errors import exit_on_error
from stileloom.cli.operate import Output, OutputOption
from stileloom.clock import run_main
from stileloom.errors import ErrorKind, StileloomError
from stileloom.rollout import Mechanism, SchedulerKind
from stileloom.simulator.bench import BenchParameters, BenchResult, run_bench

app = typer.Typer(
    invoke_without_command=True,
    help="Benchmarks in virtual time. Example: stileloom bench --deployment cartas --seed 1",
)


@app.callback()
def bench(
    context: typer.Context,
    deployment: Annotated[DeploymentName, typer.Option(help="Deployment to simulate.")] = (
        DeploymentName.CARTAS
    ),
    scheduler: Annotated[SchedulerKind, typer.Option(help="Scheduler.")] = SchedulerKind.DEFAULT,
    seed: Annotated[int, typer.Option(help="The same seed gives the same result.")] = 1,
    duration_s: Annotated[
        float, typer.Option(help="Virtual duration; covers one daily load curve.")
    ] = 1800.0,
    staleness_bound: Annotated[
        int, typer.Option(help="Staleness bound of the round, in versions.")
    ] = 2,
    samples_per_step: Annotated[int, typer.Option(help="Samples per training step.")] = 384,
    training: Annotated[bool, typer.Option(help="Run training; if off, only lookups.")] = True,
    without: Annotated[
        list[Mechanism] | None, typer.Option(help="Disable a mechanism of the default scheduler.")
    ] = None,
    output: OutputOption = Output.TABLE,
    save: Annotated[Path | None, typer.Option(help="Write the result to this file (JSON).")] = None,
    plot: Annotated[Path | None, typer.Option(help="Write a plot to this file (PNG).")] = None,
    examples: ExamplesOption = Path("examples"),
) -> None:
    """Runs a benchmark, unless a subcommand is given."""
    if context.invoked_subcommand is not None:
        return
    parameters = BenchParameters(
        deployment=deployment.value,
        scheduler=scheduler,
        seed=seed,
        duration_s=duration_s,
        staleness_bound=staleness_bound,
        samples_per_step=samples_per_step,
        training=training,
        without=frozenset(without or []),
    )
    with exit_on_error():
        result = run_bench(parameters, examples)
        if save is not None:
            save.write_bytes(msgspec.json.encode(result))
        if plot is not None:
            from stileloom.simulator.plot import plot_result  # noqa: PLC0415 (slow to import)

            plot_result(result, plot)
        if output is Output.JSON:
            typer.echo(msgspec.json.format(msgspec.json.encode(result), indent=2).decode())
        else:
            _print_results([result])
        if result.violations:
            raise StileloomError(ErrorKind.PROMISE_BROKEN, "; ".join(result.violations))


@app.command()
def compare(
    first: Annotated[Path, typer.Argument(help="First result (JSON).")],
    second: Annotated[Path, typer.Argument(help="Second result (JSON).")],
) -> None:
    """Prints two results side by side, with the ratio of the second to the first."""
    with exit_on_error():
        results = [_read(first), _read(second)]
        _print_results(results)


@app.command()
def ledger(
    seconds: Annotated[float, typer.Option(help="Duration of the load.")] = 10.0,
) -> None:
    """Measures commits per second, bytes and failover of three ledger nodes with fsync."""
    from stileloom.emulator.ledger_bench import run_ledger_bench  # noqa: PLC0415 (rarely used)

    with exit_on_error(), tempfile.TemporaryDirectory(prefix="stileloom-ledger-") as folder:
        result = run_main(run_ledger_bench(Path(folder), seconds))
        typer.echo(msgspec.json.format(msgspec.json.encode(result), indent=2).decode())


@app.command()
def weights(
    samplers: Annotated[int, typer.Option(help="Number of samplers in the pool.")] = 1200,
    zones: Annotated[int, typer.Option(help="Number of zones.")] = 9,
) -> None:
    """Measures the time to distribute a version to all samplers with a rate-limited store."""
    from stileloom.simulator.weights_bench import (  # noqa: PLC0415 (rarely used)
        WeightsBenchParameters,
        run_weights_bench,
    )

    result = run_weights_bench(WeightsBenchParameters(samplers=samplers, zones=zones))
    typer.echo(msgspec.json.format(msgspec.json.encode(result), indent=2).decode())


@app.command()
def controller(
    rounds: Annotated[int, typer.Option(help="Number of rounds, each with its own pool.")] = 16,
    samples_per_step: Annotated[int, typer.Option(help="Samples per step.")] = 1024,
    samplers: Annotated[int, typer.Option(help="Number of samplers across all pools.")] = 1200,
) -> None:
    """Measures the CPU time of a controller tick."""
    from stileloom.emulator.controller_bench import run_controller_bench  # noqa: PLC0415

    result = run_controller_bench(rounds, samples_per_step, samplers)
    typer.echo(msgspec.json.format(msgspec.json.encode(result), indent=2).decode())


def _read(path: Path) -> BenchResult:
    try:
        return msgspec.json.decode(path.read_bytes(), type=BenchResult)
    except (OSError, msgspec.DecodeError) as error:
        raise StileloomError(ErrorKind.BAD_REQUEST, f"{path}: {error}") from error


def _print_results(results: list[BenchResult]) -> None:
    table = Table("metric")
    for result in results:
        name = f"{result.parameters.deployment} {result.parameters.scheduler.value}"
        table.add_column(f"{name} #{result.seed}", justify="right")
    if len(results) == 2:
        table.add_column("ratio", justify="right")
    columns = [_measures(result) for result in results]
    for label in columns[0]:
        values = [column[label] for column in columns]
        cells = [f"{value:.4g}" for value in values]
        if len(values) == 2:
            cells.append(f"{values[1] / values[0]:.3f}" if values[0] else "-")
        table.add_row(label, *cells)
    Console().print(table)


def _measures(result: BenchResult) -> dict[str, float]:
    return {
        "trainer_idle_fraction": result.trainer_idle_fraction,
        "lower bound of trainer_idle_fraction": result.lower_bound.trainer_idle_fraction,
        "staleness mean": result.staleness_mean,
        "staleness p50": result.staleness.p50,
        "staleness p99": result.staleness.p99,
        "staleness max": result.staleness.max,
        "staleness bound": result.staleness.bound,
        "lookup latency p50, ms": result.lookup_latency_ms.p50,
        "lookup latency p99, ms": result.lookup_latency_ms.p99,
        "lookup latency p999, ms": result.lookup_latency_ms.p999,
        "lookups not completed": result.lookups_not_run + result.lookups_unknown,
        "steps": result.steps,
        "goodput, tokens/s": result.goodput_tokens_per_s,
        "discarded tokens": result.discarded_tokens,
        "wall time, s": result.wall_s,
    }
