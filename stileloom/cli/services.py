"""`stileloom gateway` and `stileloom ledger-node`: server processes for routes and batch jobs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from stileloom.cli.errors import exit_on_error
from stileloom.clock import run_main
from stileloom.daemon.gateway import serve_gateway
from stileloom.daemon.ledger_node import serve_ledger_node
from stileloom.daemon.native_object_store import NativeObjectStore
from stileloom.daemon.platform_client import ObjectApi
from stileloom.http.native_dialect import NativeDialect
from stileloom.logging import configure_logs, open_output_stream
from stileloom.service_settings import ServiceSettings
from stileloom.settings_file import load_settings

ConfigOption = Annotated[Path, typer.Option(help="Settings of the process (TOML).")]


def gateway(config: ConfigOption) -> None:
    """Runs a gateway for routes and batch jobs until SIGTERM, then drains it.

    Example: stileloom gateway --config gateway.toml
    """
    with exit_on_error():
        settings = load_settings(config, ServiceSettings)
        configure_logs(settings.log.level, open_output_stream())
        run_main(serve_gateway(settings, _object_store(settings), NativeDialect()))


def ledger_node(config: ConfigOption) -> None:
    """Runs a ledger node, which replicates the job ledger and runs the jobs while it is leader.

    Example: stileloom ledger-node --config ledger.toml
    """
    with exit_on_error():
        settings = load_settings(config, ServiceSettings)
        configure_logs(settings.log.level, open_output_stream())
        run_main(serve_ledger_node(settings, _object_store(settings), NativeDialect()))


def _object_store(settings: ServiceSettings) -> NativeObjectStore:
    return NativeObjectStore(ObjectApi(settings.store))


def register(app: typer.Typer) -> None:
    """Registers the commands of this module."""
    app.command()(gateway)
    app.command()(ledger_node)
