"""Deployment descriptions and the settings files generated from them."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import msgspec

from stileloom.api.objects import SamplerRole
from stileloom.emulator.engine_model import EngineParameters
from stileloom.errors import ErrorKind, StileloomError
from stileloom.settings_file import load_settings


class PoolDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool; `samplers` lists the zone of each sampler."""

    name: str
    role: SamplerRole
    model: str
    samplers: list[str]


class WeightStoreDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Transfer rate of the weight store."""

    bytes_per_s: float


class TrainerDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Trainer of the demo and the benchmark."""

    round_name: str
    staleness_bound: int
    steps: int
    samples_per_step: int
    train_s: float
    max_tokens: int
    length_median_tokens: int
    length_sigma: float
    long_fraction: float
    long_factor: int


class LookupDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Lookup load of the demo."""

    service: str
    rate_per_s: float
    max_tokens: int
    tenants: list[str]
    non_repeatable_fraction: float


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete deployment on one machine."""

    name: str
    region: str
    zones: list[str]
    nodes_per_zone: int
    objects: str
    zone_latency_ms: float
    client_latency_ms: float
    pools: list[PoolDescription]
    engine: EngineParameters
    weight_store: WeightStoreDescription
    trainer: TrainerDescription
    lookups: LookupDescription


class NodeAddress(msgspec.Struct, frozen=True):
    """Addresses and files of a node."""

    node_id: str
    zone: str
    port: int
    http_port: int
    data_folder: str
    """Empty on nodes without a ledger."""
    settings_file: str


class RunFiles(msgspec.Struct, frozen=True):
    """Files and addresses of one run."""

    folder: str
    emulator_file: str
    objects_file: str
    nodes: list[NodeAddress]
    samplers: list[str]
    object_api_port: int
    trainer_report: str


def load_deployment(folder: Path) -> Deployment:
    """Reads `deployment.toml`. Raises `StileloomError` (SETTINGS_INVALID)."""
    path = folder / "deployment.toml"
    if not path.exists():
        raise StileloomError(ErrorKind.SETTINGS_INVALID, f"{path}: no such file")
    return load_settings(path, Deployment)


class PortAllocator:
    """Allocates free ports; their sockets stay bound until `release`, to avoid duplicates."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def allocate(self) -> int:
        """Returns a port that is free for both TCP and UDP."""
        while True:
            tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._sockets.append(tcp)
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            self._sockets.append(udp)
            return port

    def release(self) -> None:
        """Closes the sockets of all allocated ports."""
        for bound_socket in self._sockets:
            bound_socket.close()


def write_run_files(
    deployment: Deployment, objects_file: Path, folder: Path, seed: int, scheduler: str
) -> RunFiles:
    """Writes the settings files of all processes of a run."""
    ports = PortAllocator()
    nodes = _node_addresses(deployment, folder, ports)
    object_api_port, machines_port, weights_port = (
        ports.allocate(),
        ports.allocate(),
        ports.allocate(),
    )
    samplers = _sampler_tables(deployment, ports)
    ports.release()
    report_file = folder / "trainer-report.json"
    emulator = {
        "seed": seed,
        "object_api": {"port": object_api_port},
        "machine_list": {"port": machines_port, "lag_s": 1.0},
        "weight_store": {"port": weights_port, "bytes_per_s": deployment.weight_store.bytes_per_s},
        "samplers": samplers,
        "trainer": _trainer_table(deployment, nodes, report_file),
    }
    emulator_file = folder / "emulator.toml"
    emulator_file.write_text(to_toml(emulator))
    for node in nodes:
        table = _node_table(deployment, node, nodes, object_api_port, machines_port, scheduler)
        Path(node.settings_file).write_text(to_toml(table))
    return RunFiles(
        folder=str(folder),
        emulator_file=str(emulator_file),
        objects_file=str(objects_file),
        nodes=nodes,
        samplers=[str(sampler["sampler_id"]) for sampler in samplers],
        object_api_port=object_api_port,
        trainer_report=str(report_file),
    )


def _node_addresses(
    deployment: Deployment, folder: Path, ports: PortAllocator
) -> list[NodeAddress]:
    nodes: list[NodeAddress] = []
    for zone in deployment.zones:
        for number in range(1, deployment.nodes_per_zone + 1):
            node_id = f"{zone}-{number}"
            data = str(folder / f"{node_id}.data") if number == 1 else ""
            settings_file = str(folder / f"{node_id}.toml")
            nodes.append(
                NodeAddress(node_id, zone, ports.allocate(), ports.allocate(), data, settings_file)
            )
    return nodes


def _sampler_tables(deployment: Deployment, ports: PortAllocator) -> list[dict[str, object]]:
    tables: list[dict[str, object]] = []
    engine = msgspec.to_builtins(deployment.engine)
    for pool in deployment.pools:
        for number, zone in enumerate(pool.samplers, start=1):
            tables.append(
                {
                    "sampler_id": f"{pool.name}-{number}",
                    "pool": pool.name,
                    "zone": zone,
                    "port": ports.allocate(),
                    "role": pool.role.value,
                    "model": pool.model,
                    "engine": engine,
                }
            )
    return tables


def _trainer_table(
    deployment: Deployment, nodes: list[NodeAddress], report_file: Path
) -> dict[str, object]:
    table = msgspec.to_builtins(deployment.trainer)
    del table["staleness_bound"]
    table["gateways"] = [f"127.0.0.1:{node.http_port}" for node in nodes]
    table["report"] = str(report_file)
    return table


def _node_table(
    deployment: Deployment,
    node: NodeAddress,
    nodes: list[NodeAddress],
    object_api_port: int,
    machines_port: int,
    scheduler: str,
) -> dict[str, object]:
    return {
        "node_id": node.node_id,
        "zone": node.zone,
        "region": deployment.region,
        "port": node.port,
        "http_port": node.http_port,
        "seeds": [f"127.0.0.1:{other.port}" for other in nodes if other is not node][:3],
        "scheduler": scheduler,
        "platform": {
            "object_api": f"127.0.0.1:{object_api_port}",
            "machine_list": f"127.0.0.1:{machines_port}",
        },
        "ledger": {
            "data_folder": node.data_folder,
            "voters": sum(1 for other in nodes if other.data_folder),
        },
    }


def to_toml(table: dict[str, object]) -> str:
    """Returns a table as TOML; scalars are written as JSON, which is valid TOML for them."""
    lines: list[str] = []
    for key, value in table.items():
        lines.append(f"{key} = {_toml_value(value)}")
    return "\n".join(lines) + "\n"


def _toml_value(value: object) -> str:
    if isinstance(value, dict):
        return (
            "{ " + ", ".join(f"{key} = {_toml_value(item)}" for key, item in value.items()) + " }"
        )
    if isinstance(value, list):
        return "[" + ", ".join(_toml_value(item) for item in value) + "]"
    return json.dumps(value)
