"""`stileloom demo`: runs a deployment as separate local processes."""

from __future__ import annotations

import enum
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from stileloom.cli.errors import exit_on_error
from stileloom.clock import run_main
from stileloom.emulator.demo import Demo, DemoReport
from stileloom.emulator.deployment import load_deployment, write_run_files
from stileloom.errors import ErrorKind, StileloomError
from stileloom.rollout import SchedulerKind


class DeploymentName(enum.Enum):
    """Deployments under `examples/`."""

    CORRIB = "corrib"
    CARTAS = "cartas"


ExamplesOption = Annotated[
    Path, typer.Option(help="Directory with one subdirectory of settings per deployment.")
]


def demo(
    deployment: Annotated[DeploymentName, typer.Option(help="Deployment to run.")],
    report: Annotated[
        Path | None, typer.Option(help="Write the report to this file (JSON).")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the load and the emulators.")] = 1,
    scheduler: Annotated[SchedulerKind, typer.Option(help="Scheduler.")] = SchedulerKind.DEFAULT,
    examples: ExamplesOption = Path("examples"),
    keep: Annotated[
        Path | None, typer.Option(help="Keep settings and logs in this directory.")
    ] = None,
) -> None:
    """Runs a deployment with emulated engines, a round, lookups, a node kill and a drain.

    Example: stileloom demo --deployment corrib --report report.json
    """
    with exit_on_error():
        result = _run(deployment, seed, scheduler, examples, keep)
        if report is not None:
            body = msgspec.json.format(msgspec.json.encode(result), indent=2)
            report.write_bytes(body + b"\n")
        _print_report(result)
        if result.failures:
            raise StileloomError(ErrorKind.PROMISE_BROKEN, "; ".join(result.failures))


def _run(
    name: DeploymentName,
    seed: int,
    scheduler: SchedulerKind,
    examples: Path,
    keep: Path | None,
) -> DemoReport:
    folder = examples / name.value
    deployment = load_deployment(folder)
    with tempfile.TemporaryDirectory(prefix="stileloom-demo-") as temporary_folder:
        run_folder = keep if keep is not None else Path(temporary_folder)
        run_folder.mkdir(parents=True, exist_ok=True)
        files = write_run_files(
            deployment, folder / deployment.objects, run_folder, seed, scheduler.value
        )
        columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
        with Progress(*columns, disable=not sys.stdout.isatty()) as bar:
            task = bar.add_task("starting", total=1.0)
            runner = Demo(
                deployment,
                files,
                seed,
                scheduler.value,
                lambda text, done: bar.update(task, description=text, completed=done),
            )
            return run_main(runner.run())


def _print_report(report: DemoReport) -> None:
    table = Table(title=f"{report.deployment}, seed {report.seed}, {report.scheduler}")
    table.add_column("metric")
    table.add_column("value", justify="right")
    samples, lookups = report.samples, report.lookups
    rows = {
        "samples expected / delivered": f"{samples.expected} / {samples.delivered}",
        "lost / duplicated / over-age": (
            f"{samples.lost} / {samples.duplicated} / {samples.over_age}"
        ),
        "lookups sent / completed": f"{lookups.sent} / {lookups.completed}",
        "not run / unknown / wrong": (
            f"{lookups.not_run} / {lookups.unknown} / {lookups.wrong_answer}"
        ),
        "trainer idle fraction": f"{report.trainer_idle_fraction:.3f}",
        "staleness p50 / p99 / max (bound)": (
            f"{report.staleness.p50} / {report.staleness.p99} / {report.staleness.max} "
            f"({report.staleness.bound})"
        ),
        "lookup latency p50 / p99, ms": (
            f"{report.lookup_latency_ms.p50:.0f} / {report.lookup_latency_ms.p99:.0f}"
        ),
        "versions published": str(report.versions_published),
        "killed / drained": f"{report.killed_node} / {report.drained_node}",
        "duration, s": f"{report.duration_s}",
    }
    for label, value in rows.items():
        table.add_row(label, value)
    Console().print(table)
