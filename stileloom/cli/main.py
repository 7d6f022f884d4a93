"""Entry point of the `stileloom` command."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from stileloom.cli import bench, emulate, operate, quarantine, services
from stileloom.cli.demo import demo
from stileloom.cli.errors import exit_on_error
from stileloom.cli.explain_request import explain_request
from stileloom.cli.trace import trace
from stileloom.clock import run_main
from stileloom.daemon.process import serve as serve_node
from stileloom.logging import configure_logs
from stileloom.settings import NodeSettings
from stileloom.settings_file import load_settings

app = typer.Typer(
    no_args_is_help=True,
    help="A rollout service for reinforcement learning. Exit codes: docs/ERRORS.md.",
    pretty_exceptions_enable=False,
)
app.add_typer(emulate.app, name="emulate")
app.add_typer(bench.app, name="bench")
app.add_typer(quarantine.app, name="quarantine")
app.command()(demo)
app.command()(trace)
app.command()(explain_request)
operate.register(app)
services.register(app)


@app.command()
def serve(
    config: Annotated[Path, typer.Option(help="Settings of the node (TOML).")],
    node_id: Annotated[str | None, typer.Option(help="Overrides `node_id`.")] = None,
    zone: Annotated[str | None, typer.Option(help="Overrides `zone`.")] = None,
    host: Annotated[str | None, typer.Option(help="Overrides `host`, an IP address.")] = None,
    port: Annotated[int | None, typer.Option(help="Overrides `port`.")] = None,
    http_port: Annotated[int | None, typer.Option(help="Overrides `http_port`.")] = None,
) -> None:
    """Runs a node until SIGTERM, then drains it.

    Example: stileloom serve --config node.toml --port 7400
    """
    overrides: dict[str, object] = {
        "node_id": node_id,
        "zone": zone,
        "host": host,
        "port": port,
        "http_port": http_port,
    }
    with exit_on_error():
        settings = load_settings(config, NodeSettings, overrides)
        configure_logs(settings.log.level)
        run_main(serve_node(settings))


if __name__ == "__main__":
    app()
