"""Operator commands: check, apply, get, delete, status, explain, drain."""

from __future__ import annotations

import asyncio
import enum
import uuid
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from stileloom.api.objects import ObjectKind, ObjectManifest
from stileloom.cli.errors import exit_on_error
from stileloom.cli.manifests import load_manifests
from stileloom.client import HttpCaller
from stileloom.clock import run_main, steady_time
from stileloom.daemon.platform_client import ObjectList, StoredObject
from stileloom.emulator.settings import EmulatorSettings
from stileloom.errors import ErrorKind, StileloomError
from stileloom.http.operations import Status
from stileloom.routing.messages import Explanation
from stileloom.settings import NodeSettings
from stileloom.settings_file import load_settings

IN_FORCE_POLL_INTERVAL_S = 0.1


class Output(enum.Enum):
    """Output formats of `-o`."""

    TABLE = "table"
    JSON = "json"


ServerOption = Annotated[
    str, typer.Option("--server", "-s", help="HTTP address of any node, as 10.0.0.7:7500.")
]
OutputOption = Annotated[Output, typer.Option("-o", "--output", help="Format of the output.")]


def register(app: typer.Typer) -> None:
    """Registers the commands of this module."""
    for command in (check, apply, get, delete, status, explain, drain):
        app.command()(command)


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def check(
    file: Annotated[Path, typer.Argument(help="A settings file or a file of objects (TOML).")],
) -> None:
    """Validates a file without applying it.

    Example: stileloom check examples/corrib/objects.toml
    """
    with exit_on_error():
        kind = _check_file(file)
        typer.echo(f"{file}: valid {kind}")


def _check_file(file: Path) -> str:
    try:
        raw = msgspec.toml.decode(file.read_bytes())
    except OSError as error:
        raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{file}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{file}: {error}") from error
    if "object" in raw:
        load_manifests(file)
        return "objects"
    if "samplers" in raw:
        load_settings(file, EmulatorSettings)
        return "emulator settings"
    load_settings(file, NodeSettings)
    return "node settings"


def apply(
    server: ServerOption,
    file: Annotated[Path, typer.Option("-f", "--file", help="File of objects (TOML).")],
    revision: Annotated[
        int | None,
        typer.Option(help="Required current revision of a single object; 0: must not exist."),
    ] = None,
    wait_s: Annotated[
        float, typer.Option(help="Seconds to wait until the change is in force in every zone.")
    ] = 0.0,
) -> None:
    """Creates or updates the objects of a file.

    Each write is a compare-and-swap. Without --revision it uses the current revision, read just
    before, so a concurrent change is rejected rather than overwritten.
    """
    with exit_on_error():
        manifests = load_manifests(file)
        run_main(_apply(server, manifests, revision, wait_s))


async def _apply(
    server: str, manifests: list[ObjectManifest], revision: int | None, wait_s: float
) -> None:
    caller = HttpCaller([server])
    newest = 0
    for manifest in manifests:
        newest = await _apply_one(caller, manifest, revision)
        typer.echo(f"{manifest.kind.value}/{manifest.name}: stored at revision {newest}")
    if wait_s > 0 and manifests:
        await _wait_in_force(caller, newest, wait_s)


async def _apply_one(caller: HttpCaller, manifest: ObjectManifest, revision: int | None) -> int:
    path = f"/v1/objects/{manifest.kind.value}/{manifest.name}"
    if revision is None:
        revision = await _current_revision(caller, path)
    headers = {"If-Match": str(revision), "X-Change-Id": uuid.uuid4().hex}
    response = await caller.call("PUT", path, manifest.spec, headers)
    return msgspec.json.decode(response.body, type=_WriteResult).revision


class _WriteResult(msgspec.Struct):
    """Response to a change of an object."""

    revision: int


async def _current_revision(caller: HttpCaller, path: str) -> int:
    try:
        response = await caller.call("GET", path)
    except StileloomError as error:
        if error.kind is ErrorKind.UNKNOWN_OBJECT:
            return 0
        raise
    return msgspec.json.decode(response.body, type=StoredObject).revision


async def _wait_in_force(caller: HttpCaller, revision: int, wait_s: float) -> None:
    started_at = steady_time()
    while steady_time() < started_at + wait_s:
        current = await _read_status(caller)
        if current.in_force >= revision:
            waited_s = steady_time() - started_at
            typer.echo(f"revision {revision} in force in every zone after {waited_s:.1f} s")
            return
        await asyncio.sleep(IN_FORCE_POLL_INTERVAL_S)
    raise StileloomError(
        ErrorKind.PLATFORM_UNAVAILABLE, f"revision {revision} is stored but not in force yet"
    )


def get(
    server: ServerOption,
    kind: Annotated[ObjectKind | None, typer.Argument(help="Kind; all if omitted.")] = None,
    name: Annotated[str | None, typer.Argument(help="Name; all if omitted.")] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Lists objects, or shows one."""
    with exit_on_error():
        listed = run_main(_list(server))
        selected = [
            stored
            for stored in listed.objects
            if (kind is None or stored.kind == kind.value) and name in (None, stored.name)
        ]
        if name is not None and not selected:
            raise StileloomError(ErrorKind.UNKNOWN_OBJECT, name)
        if output is Output.JSON:
            print_json({"revision": listed.revision, "objects": selected})
            return
        table = Table("kind", "name", "revision", "spec")
        for stored in selected:
            spec = msgspec.json.encode(stored.spec).decode()
            table.add_row(stored.kind, stored.name, str(stored.revision), spec)
        Console().print(table)


async def _list(server: str) -> ObjectList:
    response = await HttpCaller([server]).call("GET", "/v1/objects")
    return msgspec.json.decode(response.body, type=ObjectList)


def delete(
    server: ServerOption,
    kind: Annotated[ObjectKind, typer.Argument(help="Kind of the object.")],
    name: Annotated[str, typer.Argument(help="Name of the object.")],
    revision: Annotated[int | None, typer.Option(help="Required current revision.")] = None,
) -> None:
    """Deletes an object."""
    with exit_on_error():
        path = f"/v1/objects/{kind.value}/{name}"
        headers = {"If-Match": str(revision)} if revision is not None else None
        response = run_main(HttpCaller([server]).call("DELETE", path, headers=headers))
        result = msgspec.json.decode(response.body, type=_WriteResult)
        typer.echo(f"{kind.value}/{name}: deleted at revision {result.revision}")


async def _read_status(caller: HttpCaller) -> Status:
    response = await caller.call("GET", "/v1/status")
    return msgspec.json.decode(response.body, type=Status)


def status(server: ServerOption, output: OutputOption = Output.TABLE) -> None:
    """Shows nodes, leader, revisions per zone, samplers and the progress of rounds."""
    with exit_on_error():
        current = run_main(_read_status(HttpCaller([server])))
        if output is Output.JSON:
            print_json(current)
        else:
            _print_status(Console(), current)


def _print_status(console: Console, current: Status) -> None:
    lease = "valid" if current.lease_valid else "expired"
    console.print(
        f"revision {current.revision}, in force {current.in_force}, configuration lease {lease}"
    )
    nodes = Table("node", "zone", "state", "voter")
    for node in current.nodes:
        state = "leaving" if node.leaving else node.state
        nodes.add_row(node.node_id, node.zone, state, "yes" if node.voter else "")
    console.print(nodes)
    leader = current.leader
    if leader is None:
        console.print("no response from a leader")
        return
    console.print(
        f"leader {leader.leader}, epoch {leader.epoch}, revisions by zone {leader.zone_revisions}"
    )
    console.print(f"ledger voters ({len(leader.voters)}): {', '.join(leader.voters)}")
    rounds = Table("round", "version", "bound", "open", "under way", "ready", "handed over")
    for row in leader.rounds:
        numbers = (row.version, row.staleness_bound, row.open_slots, row.under_way, row.ready)
        rounds.add_row(row.name, *map(str, numbers), str(row.handed_over))
    console.print(rounds)
    samplers = Table("sampler", "pool", "zone", "state", "role", "model", "version", "running")
    for sampler in leader.samplers:
        state = "leaving" if sampler.leaving else sampler.state
        samplers.add_row(
            sampler.sampler_id,
            sampler.pool,
            sampler.zone,
            state,
            sampler.role,
            sampler.model,
            str(sampler.weight_version),
            str(sampler.running),
        )
    console.print(samplers)


def explain(
    server: ServerOption,
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    tenant: Annotated[str, typer.Option(help="Tenant of the request.")] = "anonymous",
    priority: Annotated[int, typer.Option(help="Priority of the request.")] = 50,
    prefix_key: Annotated[str, typer.Option(help="Prefix key of the request.")] = "",
    output: OutputOption = Output.TABLE,
) -> None:
    """Explains the routing decision for a lookup: applied rules and candidate samplers."""
    body = {
        "service": service,
        "tenant": tenant,
        "priority": priority,
        "prefix_key": prefix_key,
    }
    with exit_on_error():
        response = run_main(HttpCaller([server]).call("POST", "/v1/explain", body))
        explanation = msgspec.json.decode(response.body, type=Explanation)
        if output is Output.JSON:
            print_json(explanation)
            return
        console = Console()
        console.print(
            f"service {explanation.service}: pool {explanation.pool}, "
            f"priority {explanation.priority}, routed to {explanation.chosen}"
        )
        for rule in explanation.rules:
            console.print(f"  rule {rule}")
        table = Table("sampler", "zone", "load", "eligible", "reason")
        for row in explanation.candidates:
            eligible = "yes" if row.eligible else "no"
            table.add_row(row.sampler_id, row.zone, str(row.load), eligible, row.reason)
        console.print(table)


def drain(
    server: ServerOption,
    sampler: Annotated[
        str | None, typer.Option(help="Id of a sampler; the node itself if omitted.")
    ] = None,
) -> None:
    """Drains the addressed node, or a sampler. A drain cannot be undone."""
    with exit_on_error():
        path = "/v1/drain" if sampler is None else f"/v1/samplers/{sampler}/drain"
        run_main(HttpCaller([server]).call("POST", path, {}))
        typer.echo(f"draining {sampler or server}")
