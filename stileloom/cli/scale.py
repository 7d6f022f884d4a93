"""`stileloom scale`: resource usage per node at increasing cluster sizes."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from stileloom.cli.errors import exit_on_error
from stileloom.cli.operate import Output, OutputOption
from stileloom.clock import run_main
from stileloom.emulator.scale import ScaleResult, ScaleRun

CLUSTER_SIZES = (50, 100, 200, 390)


def scale(
    nodes: Annotated[int, typer.Option(help="Largest number of nodes.")] = 390,
    window_s: Annotated[
        float, typer.Option(help="Duration of the measurement at each size.")
    ] = 20.0,
    output: OutputOption = Output.TABLE,
) -> None:
    """Measures hollow nodes with three real daemons, at 50, 100, 200 and 390 nodes by default.

    Example: stileloom scale --nodes 200 -o json
    """
    sizes = [size for size in CLUSTER_SIZES if size < nodes] + [nodes]
    results: list[ScaleResult] = []
    with exit_on_error():
        for size in sizes:
            with tempfile.TemporaryDirectory(prefix="stileloom-scale-") as folder:
                run = ScaleRun(Path(folder), size, lambda text: typer.echo(text, err=True))
                results.append(run_main(run.run(window_s)))
    if output is Output.JSON:
        typer.echo(msgspec.json.format(msgspec.json.encode(results), indent=2).decode())
        return
    table = Table("metric", *[f"{result.nodes} nodes" for result in results])
    for label, values in _rows(results).items():
        table.add_row(label, *values)
    Console(width=120).print(table)


def _rows(results: list[ScaleResult]) -> dict[str, list[str]]:
    return {
        "samplers": [str(r.samplers) for r in results],
        "sent bytes/s by node, mean": [f"{r.sent_bytes_per_s.mean:.0f}" for r in results],
        "sent bytes/s by node, p99": [f"{r.sent_bytes_per_s.p99:.0f}" for r in results],
        "sent bytes/s by node, max": [f"{r.sent_bytes_per_s.max:.0f}" for r in results],
        "received bytes/s by node, mean": [f"{r.received_bytes_per_s.mean:.0f}" for r in results],
        "received bytes/s by node, max": [f"{r.received_bytes_per_s.max:.0f}" for r in results],
        "messages/s by node, mean": [f"{r.sent_messages_per_s.mean:.1f}" for r in results],
        "CPU by node, % of a core": [f"{100 * r.cpu_fraction:.2f}" for r in results],
        "memory by node, MB (shared process)": [f"{r.memory_mb:.1f}" for r in results],
        "leader sent bytes/s": [f"{r.leader_sent_bytes_per_s:.0f}" for r in results],
        "leader received bytes/s": [f"{r.leader_received_bytes_per_s:.0f}" for r in results],
        "leader CPU, % of a core": [f"{100 * r.leader_cpu_fraction:.1f}" for r in results],
        "leader memory, MB": [f"{r.leader_memory_mb:.0f}" for r in results],
        "all joined after, s": [f"{r.joined_s:.1f}" for r in results],
        "change in force after, s": [f"{r.in_force_s:.2f}" for r in results],
    }
