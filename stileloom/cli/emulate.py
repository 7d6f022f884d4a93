"""`stileloom emulate`: emulators of platform services, one process each."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from stileloom.cli.errors import exit_on_error
from stileloom.clock import run_main
from stileloom.emulator import engine_server, object_api_server, platform_servers
from stileloom.emulator.run_server import run_until_stopped
from stileloom.emulator.settings import EmulatorSettings
from stileloom.emulator.trainer import run_trainer
from stileloom.errors import ErrorKind, StileloomError
from stileloom.settings_file import load_settings

app = typer.Typer(help="Emulators of the platform: engines, stores, machine list, trainer.")

ConfigOption = Annotated[Path, typer.Option("--config", help="Emulator settings (TOML).")]


def _load(config: Path) -> EmulatorSettings:
    return load_settings(config, EmulatorSettings)


@app.command("object-api")
def object_api(config: ConfigOption) -> None:
    """Runs the object API, with watches, compare-and-swap and fault injection."""
    with exit_on_error():
        settings = _load(config)
        application = object_api_server.object_api_application(settings)
        port = settings.object_api.port
        run_main(run_until_stopped(application, settings.host, port))


@app.command()
def machines(config: ConfigOption) -> None:
    """Runs the list of live and leaving machines, which lags behind their actual state."""
    with exit_on_error():
        settings = _load(config)
        application = platform_servers.machine_list_application(settings)
        port = settings.machine_list.port
        run_main(run_until_stopped(application, settings.host, port))


@app.command()
def weights(config: ConfigOption) -> None:
    """Runs the rate-limited weight store."""
    with exit_on_error():
        settings = _load(config)
        application = platform_servers.weight_store_application(settings)
        port = settings.weight_store.port
        run_main(run_until_stopped(application, settings.host, port))


@app.command()
def engine(
    config: ConfigOption,
    sampler: Annotated[str, typer.Option(help="Id of the sampler in the settings.")],
) -> None:
    """Runs a model engine. On SIGTERM it rejects new requests and finishes those running."""
    with exit_on_error():
        settings = _load(config)
        selected = next((s for s in settings.samplers if s.sampler_id == sampler), None)
        if selected is None:
            raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{config}: no sampler {sampler!r}")
        service = engine_server.EngineService(settings, selected)
        application = engine_server.engine_application(service)
        run_main(run_until_stopped(application, settings.host, selected.port, service))


@app.command()
def trainer(
    config: ConfigOption,
    staleness_bound: Annotated[
        int, typer.Option(help="Staleness bound that the trainer verifies.")
    ],
) -> None:
    """Runs a trainer until the end of its round and writes a report."""
    with exit_on_error():
        settings = _load(config)
        if settings.trainer is None:
            raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{config}: `$.trainer` is missing")
        run_main(run_trainer(settings, staleness_bound))
