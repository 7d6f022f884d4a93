"""`stileloom emulate`: the platform's stand-ins, one process each."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from stileloom.cli.errors import exit_on_error
from stileloom.clock import run_program
from stileloom.emulator import engine_server, object_api_server, platform_servers
from stileloom.emulator.hollow import HollowSettings, run_hollow
from stileloom.emulator.run_server import run_until_stopped
from stileloom.emulator.settings import EmulatorSettings
from stileloom.emulator.trainer import run_trainer
from stileloom.errors import ErrorKind, StileloomError
from stileloom.settings_file import load_settings

app = typer.Typer(help="Stand-ins for the platform: engines, stores, lists, trainers.")

ConfigOption = Annotated[Path, typer.Option("--config", help="The emulator's settings (TOML).")]


def _load(config: Path) -> EmulatorSettings:
    return load_settings(config, EmulatorSettings)


@app.command("object-api")
def object_api(config: ConfigOption) -> None:
    """The object API: versions, watches, compare-and-swap, faults on request."""
    with exit_on_error():
        settings = _load(config)
        application = object_api_server.object_api_application(settings)
        port = settings.object_api.port
        run_program(run_until_stopped(application, settings.host, port))


@app.command()
def machines(config: ConfigOption) -> None:
    """The lagging list of live and leaving machines."""
    with exit_on_error():
        settings = _load(config)
        application = platform_servers.machine_list_application(settings)
        port = settings.machine_list.port
        run_program(run_until_stopped(application, settings.host, port))


@app.command()
def weights(config: ConfigOption) -> None:
    """The rate-limited weight store."""
    with exit_on_error():
        settings = _load(config)
        application = platform_servers.weight_store_application(settings)
        port = settings.weight_store.port
        run_program(run_until_stopped(application, settings.host, port))


@app.command()
def engine(
    config: ConfigOption,
    sampler: Annotated[str, typer.Option(help="Id of the sampler in the settings.")],
) -> None:
    """One model engine. SIGTERM: no new work, what runs is finished."""
    with exit_on_error():
        settings = _load(config)
        chosen = next((s for s in settings.samplers if s.sampler_id == sampler), None)
        if chosen is None:
            raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{config}: no sampler {sampler!r}")
        service = engine_server.EngineService(settings, chosen)
        application = engine_server.engine_application(service)
        run_program(run_until_stopped(application, settings.host, chosen.port, service))


@app.command()
def hollow(config: ConfigOption) -> None:
    """Hollow nodes, many in one process, for scale runs."""
    with exit_on_error():
        run_program(run_hollow(load_settings(config, HollowSettings)))


@app.command()
def trainer(
    config: ConfigOption,
    staleness_bound: Annotated[int, typer.Option(help="Bound that the trainer checks.")],
) -> None:
    """A trainer that runs a round to its end and writes its report."""
    with exit_on_error():
        settings = _load(config)
        if settings.trainer is None:
            raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{config}: `$.trainer` is missing")
        run_program(run_trainer(settings, staleness_bound))
