"""Scale benchmark: resource usage per node, with hollow nodes and three complete daemons."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Callable
from pathlib import Path

import msgspec

from stileloom.client import HttpCaller
from stileloom.clock import steady_time
from stileloom.emulator.deployment import NodeAddress, PortAllocator, RunFiles, to_toml
from stileloom.emulator.hollow import HollowReport
from stileloom.emulator.processes import Processes
from stileloom.errors import ErrorKind, StileloomError
from stileloom.http.operations import Status

ZONES = 9
VOTERS = 3
HOLLOW_NODES_PER_PROCESS = 50
SAMPLERS_PER_NODE = 1200 / 390
SAMPLERS_PER_LOOKUP_SAMPLER = 6
"""One in this many samplers belongs to the lookup pool."""
START_TIMEOUT_S = 150.0
WARMUP_S = 12.0
POLL_S = 0.2
PROCESS_START_INTERVAL_S = 4.0
"""Processes are started one after the other, as in a rolling deployment."""
CLOCK_TICKS_PER_S = 100


class Distribution(msgspec.Struct):
    """Distribution of a metric over nodes."""

    mean: float
    p99: float
    max: float


class ScaleResult(msgspec.Struct):
    """Resource usage for a number of nodes, measured without configuration changes."""

    nodes: int
    samplers: int
    window_s: float
    sent_bytes_per_s: Distribution
    """Per hollow node."""
    received_bytes_per_s: Distribution
    sent_messages_per_s: Distribution
    cpu_fraction: float
    """Fraction of a core per hollow node: CPU time of the processes divided by their nodes."""
    memory_mb: float
    """Per hollow node: peak resident size of the processes divided by their nodes."""
    leader_sent_bytes_per_s: float
    leader_received_bytes_per_s: float
    leader_cpu_fraction: float
    leader_memory_mb: float
    joined_s: float
    """Seconds until every node knows all others, from `PROCESS_START_INTERVAL_S` after the start of
    the last process."""
    in_force_s: float
    """Seconds from storing a change until it is in force in all zones."""


class _Snapshot(msgspec.Struct):
    """Counters at one point in time."""

    at_s: float
    reports: list[HollowReport]
    leader: dict[str, float]


class ScaleRun:
    """A benchmark run with a given number of nodes."""

    def __init__(self, folder: Path, nodes: int, progress: Callable[[str], None]) -> None:
        self._folder = folder
        self._nodes = nodes
        self._samplers = round(nodes * SAMPLERS_PER_NODE)
        self._progress = progress
        self._ports = PortAllocator()
        self._voters: list[NodeAddress] = []
        self._reports: list[Path] = []
        self._processes: Processes | None = None

    async def run(self, window_s: float) -> ScaleResult:
        """Runs the benchmark. Raises `StileloomError`."""
        try:
            await self._start()
            joined_s = await self._wait_joined()
            self._progress(f"{self._nodes} nodes: all joined after {joined_s:.0f} s, warming up")
            await asyncio.sleep(WARMUP_S)
            before = await self._take_snapshot()
            await asyncio.sleep(window_s)
            after = await self._take_snapshot()
            in_force_s = await self._measure_change()
            return self._result(before, after, joined_s, in_force_s)
        finally:
            if self._processes is not None:
                self._processes.stop_all()

    # Starting.

    def _write_files(self) -> RunFiles:
        zones = [f"zone-{number}" for number in range(ZONES)]
        api_port, list_port, store_port = (self._ports.allocate() for _ in range(3))
        for number in range(VOTERS):
            name = f"voter-{number}"
            self._voters.append(
                NodeAddress(
                    name,
                    zones[number],
                    self._ports.allocate(),
                    self._ports.allocate(),
                    str(self._folder / f"{name}.data"),
                    str(self._folder / f"{name}.toml"),
                )
            )
        seeds = [f"127.0.0.1:{node.port}" for node in self._voters]
        platform = {
            "object_api": f"127.0.0.1:{api_port}",
            "machine_list": f"127.0.0.1:{list_port}",
        }
        hollow = [
            {
                "node_id": f"hollow-{number}",
                "zone": zones[number % ZONES],
                "port": self._ports.allocate(),
            }
            for number in range(self._nodes - VOTERS)
        ]
        self._ports.release()
        for start in range(0, len(hollow), HOLLOW_NODES_PER_PROCESS):
            report = self._folder / f"hollow-{start}.json"
            self._reports.append(report)
            table: dict[str, object] = {
                "seeds": seeds,
                **platform,
                "report": str(report),
                "nodes": hollow[start : start + HOLLOW_NODES_PER_PROCESS],
            }
            (self._folder / f"hollow-{start}.toml").write_text(to_toml(table))
        for node in self._voters:
            table = {
                "node_id": node.node_id,
                "zone": node.zone,
                "region": "region",
                "port": node.port,
                "http_port": node.http_port,
                "seeds": seeds,
                "platform": platform,
                "ledger": {"data_folder": node.data_folder, "voters": VOTERS},
                "log": {"level": "error"},
            }
            Path(node.settings_file).write_text(to_toml(table))
        emulator: dict[str, object] = {
            "seed": 1,
            "object_api": {"port": api_port},
            "machine_list": {"port": list_port},
            "weight_store": {"port": store_port},
            "samplers": [self._sampler(number, zones) for number in range(self._samplers)],
        }
        emulator_file = self._folder / "emulator.toml"
        emulator_file.write_text(to_toml(emulator))
        return RunFiles(str(self._folder), str(emulator_file), "", self._voters, [], api_port, "")

    def _sampler(self, number: int, zones: list[str]) -> dict[str, object]:
        lookup = number % SAMPLERS_PER_LOOKUP_SAMPLER == 0
        return {
            "sampler_id": f"sampler-{number}",
            "pool": "lookups" if lookup else "rollouts",
            "zone": zones[number % ZONES],
            "port": 1,
            "role": "lookup" if lookup else "rollout",
            "model": "model",
        }

    async def _start(self) -> None:
        files = self._write_files()
        processes = Processes(files)
        self._processes = processes
        config = ("--config", files.emulator_file)
        processes.start("object-api", "emulate", "object-api", *config)
        processes.start("machines", "emulate", "machines", *config)
        await processes.wait_listening(files.object_api_port)
        for node in self._voters:
            processes.start_node(node)
        for node in self._voters:
            await processes.wait_listening(node.http_port)
        await self._put_object("pool", "rollouts", {"home_role": "rollout", "model": "model"})
        await self._put_object("pool", "lookups", {"home_role": "lookup", "model": "model"})
        await self._put_object("service", "charts", {"pool": "lookups"})
        for report in self._reports:
            settings = str(report.with_suffix(".toml"))
            processes.start(report.stem, "emulate", "hollow", "--config", settings)
            await asyncio.sleep(PROCESS_START_INTERVAL_S)

    async def _put_object(self, kind: str, name: str, spec: dict[str, object]) -> int:
        caller = HttpCaller([f"127.0.0.1:{node.http_port}" for node in self._voters])
        response = await caller.call("PUT", f"/v1/objects/{kind}/{name}", spec)
        return int(msgspec.json.decode(response.body)["revision"])

    # Waiting.

    async def _wait_joined(self) -> float:
        started_at = steady_time()
        while steady_time() < started_at + START_TIMEOUT_S:
            reports = [_read_report(path) for path in self._reports if path.exists()]
            counts = [count for report in reports for count in report.nodes]
            joined = [c for c in counts if c.members >= self._nodes and c.revision > 0]
            if len(joined) == self._nodes - VOTERS:
                return steady_time() - started_at
            await asyncio.sleep(POLL_S)
        raise StileloomError(
            ErrorKind.NOT_READY, f"nodes did not all join within {START_TIMEOUT_S:.0f} s"
        )

    async def _status(self) -> Status:
        caller = HttpCaller([f"127.0.0.1:{self._voters[0].http_port}"])
        response = await caller.call("GET", "/v1/status")
        return msgspec.json.decode(response.body, type=Status)

    async def _measure_change(self) -> float:
        """Stores a change and returns the time until the leader reports it in force everywhere."""
        revision = await self._put_object(
            "service", "charts", {"pool": "lookups", "queue_limit": 65}
        )
        stored_at = steady_time()
        while steady_time() < stored_at + START_TIMEOUT_S:
            status = await self._status()
            if status.leader is not None and status.leader.in_force >= revision:
                return steady_time() - stored_at
            await asyncio.sleep(POLL_S / 4)
        raise StileloomError(ErrorKind.NOT_READY, "the change was not in force everywhere in time")

    # Measuring.

    async def _take_snapshot(self) -> _Snapshot:
        return _Snapshot(
            steady_time(),
            [_read_report(path) for path in self._reports],
            await self._leader_counts(),
        )

    async def _leader_counts(self) -> dict[str, float]:
        status = await self._status()
        name = status.leader.leader if status.leader is not None else self._voters[0].node_id
        node = next(node for node in self._voters if node.node_id == name)
        response = await HttpCaller([f"127.0.0.1:{node.http_port}"]).call("GET", "/metrics")
        counts = {
            line.split()[0]: float(line.split()[1])
            for line in response.body.decode().splitlines()
            if line.startswith("stileloom_internal")
        }
        assert self._processes is not None
        pid = self._processes.pid(name)
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        counts["cpu_s"] = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        counts["memory"] = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096.0
        return counts

    def _result(
        self, before: _Snapshot, after: _Snapshot, joined_s: float, in_force_s: float
    ) -> ScaleResult:
        window_s = after.at_s - before.at_s
        rates = _rates(before, after)
        cpu_s = sum(report.cpu_s for report in after.reports)
        cpu_s -= sum(report.cpu_s for report in before.reports)
        report_s = after.reports[0].at_s - before.reports[0].at_s
        hollow = self._nodes - VOTERS
        memory = sum(report.memory_bytes for report in after.reports)

        def leader(name: str) -> float:
            return (after.leader[name] - before.leader[name]) / window_s

        return ScaleResult(
            nodes=self._nodes,
            samplers=self._samplers,
            window_s=round(window_s, 1),
            sent_bytes_per_s=_distribution(rates["sent_bytes"]),
            received_bytes_per_s=_distribution(rates["received_bytes"]),
            sent_messages_per_s=_distribution(rates["sent_messages"]),
            cpu_fraction=round(cpu_s / report_s / hollow, 5),
            memory_mb=round(memory / hollow / 1e6, 2),
            leader_sent_bytes_per_s=round(leader("stileloom_internal_sent_bytes_total")),
            leader_received_bytes_per_s=round(leader("stileloom_internal_received_bytes_total")),
            leader_cpu_fraction=round(leader("cpu_s"), 4),
            leader_memory_mb=round(after.leader["memory"] / 1e6, 1),
            joined_s=round(joined_s, 1),
            in_force_s=round(in_force_s, 2),
        )


def _read_report(path: Path) -> HollowReport:
    return msgspec.json.decode(path.read_bytes(), type=HollowReport)


def _rates(before: _Snapshot, after: _Snapshot) -> dict[str, list[float]]:
    """Returns, by metric, the rates of all hollow nodes."""
    rates: dict[str, list[float]] = {}
    for earlier, later in zip(before.reports, after.reports, strict=True):
        seconds = later.at_s - earlier.at_s
        for first, last in zip(earlier.nodes, later.nodes, strict=True):
            for name in ("sent_bytes", "received_bytes", "sent_messages"):
                rate = (getattr(last, name) - getattr(first, name)) / seconds
                rates.setdefault(name, []).append(rate)
    return rates


def _distribution(values: list[float]) -> Distribution:
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    return Distribution(round(statistics.fmean(ordered), 1), round(p99, 1), round(ordered[-1], 1))
