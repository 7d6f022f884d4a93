"""Demo: runs a deployment as separate processes, injects faults and checks the results."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

import msgspec

from stileloom.cli.manifests import load_manifests
from stileloom.client import HttpCaller
from stileloom.clock import steady_time
from stileloom.emulator.deployment import Deployment, NodeAddress, RunFiles
from stileloom.emulator.lookup_load import LookupCounts, LookupLoad
from stileloom.emulator.processes import Processes
from stileloom.emulator.trainer import TrainerProgress, TrainerReport
from stileloom.errors import ErrorKind, StileloomError
from stileloom.http.operations import Status

RUN_TIMEOUT_S = 55.0
POLL_S = 0.1

Progress = Callable[[str, float], None]
"""Called with a description of the current step and the completed fraction."""


class SampleCounts(msgspec.Struct):
    """Sample counts as measured by the trainer."""

    expected: int
    delivered: int
    lost: int
    duplicated: int
    over_age: int


class StalenessReport(msgspec.Struct):
    """Distribution of the version current at training minus the oldest one in a sample."""

    p50: float
    p99: float
    max: int
    bound: int


class LatencyReport(msgspec.Struct):
    """Milliseconds from sending a lookup to its complete response."""

    p50: float
    p99: float


class DemoReport(msgspec.Struct):
    """Report of a run; all counts are measured by the trainer or the callers."""

    deployment: str
    seed: int
    scheduler: str
    samples: SampleCounts
    lookups: LookupCounts
    trainer_idle_fraction: float
    staleness: StalenessReport
    lookup_latency_ms: LatencyReport
    versions_per_sample_named: bool
    wrong_tokens: int
    versions_published: int
    killed_node: str
    drained_node: str
    drained_exit_code: int | None
    duration_s: float
    failures: list[str]
    """Guarantees that the run violated."""


class Demo:
    """One run of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        files: RunFiles,
        seed: int,
        scheduler: str,
        progress: Progress,
    ) -> None:
        self._deployment = deployment
        self._files = files
        self._seed = seed
        self._scheduler = scheduler
        self._progress = progress
        self._processes = Processes(files)
        self._killed: NodeAddress | None = None
        self._drained: NodeAddress | None = None
        self._drained_exit_code: int | None = None

    async def run(self) -> DemoReport:
        """Runs the demo. Raises `StileloomError` if it cannot be completed."""
        started_at = steady_time()
        try:
            await self._start()
            load = self._make_load()
            load_task = asyncio.get_running_loop().create_task(load.run())
            self._processes.start_trainer(self._deployment.trainer.staleness_bound)
            trainer = await self._watch_trainer(load, started_at)
            await load.stop()
            await load_task
            return self._report(trainer, load, steady_time() - started_at)
        finally:
            self._processes.stop_all()

    async def _start(self) -> None:
        self._progress("starting the platform", 0.02)
        self._processes.start_platform()
        await self._processes.wait_listening(self._files.object_api_port)
        self._progress("starting the nodes", 0.08)
        for node in self._files.nodes:
            self._processes.start_node(node)
        for node in self._files.nodes:
            await self._processes.wait_listening(node.http_port)
        self._progress("applying services, pools, a round and a policy", 0.15)
        await self._apply_objects()
        for node in self._files.nodes:
            await self._wait_ready(node)
        await self._wait_serving()

    async def _apply_objects(self) -> None:
        caller = HttpCaller([_http_address(node) for node in self._files.nodes])
        for manifest in load_manifests(Path(self._files.objects_file)):
            path = f"/v1/objects/{manifest.kind.value}/{manifest.name}"
            await caller.call("PUT", path, manifest.spec, {"If-Match": "0"})

    async def _wait_ready(self, node: NodeAddress) -> None:
        caller = HttpCaller([_http_address(node)])
        deadline = steady_time() + RUN_TIMEOUT_S / 2
        while True:
            try:
                await caller.call("GET", "/readyz")
                return
            except StileloomError:
                if steady_time() >= deadline:
                    raise
            await asyncio.sleep(POLL_S)

    async def _wait_serving(self) -> None:
        """Waits until the leader reports every sampler as serving."""
        deadline = steady_time() + RUN_TIMEOUT_S / 2
        while steady_time() < deadline:
            status = await self._status(self._files.nodes[0])
            leader = status.leader
            if leader is not None and leader.samplers:
                is_serving = [sampler.state == "serving" for sampler in leader.samplers]
                if all(is_serving) and len(is_serving) == len(self._files.samplers):
                    return
            await asyncio.sleep(POLL_S)
        raise StileloomError(ErrorKind.NO_SAMPLER, "not every sampler is serving")

    async def _status(self, node: NodeAddress) -> Status:
        response = await HttpCaller([_http_address(node)]).call("GET", "/v1/status")
        return msgspec.json.decode(response.body, type=Status)

    def _make_load(self) -> LookupLoad:
        gateways = [_http_address(node) for node in self._files.nodes]
        return LookupLoad(gateways, self._deployment.lookups, self._deployment.engine, self._seed)

    async def _watch_trainer(self, load: LookupLoad, started_at: float) -> TrainerReport:
        """Waits for the trainer; kills the leader after one version and drains a node after two."""
        report = Path(self._files.trainer_report)
        while not report.exists():
            if not self._processes.is_running("trainer") and not report.exists():
                raise StileloomError(ErrorKind.INTERNAL, "the trainer exited without a report")
            if steady_time() >= started_at + RUN_TIMEOUT_S:
                raise StileloomError(ErrorKind.INTERNAL, "the run did not finish in time")
            published = self._published()
            steps = self._deployment.trainer.steps
            self._progress(f"{published} weight versions published", 0.2 + 0.75 * published / steps)
            if published >= 1 and self._killed is None:
                await self._kill_leader(load)
            if published >= 2 and self._drained is None:
                await self._drain_node(load)
            await asyncio.sleep(POLL_S)
        if self._drained is not None:
            self._drained_exit_code = await self._processes.wait_ended(self._drained.node_id)
        return msgspec.json.decode(report.read_bytes(), type=TrainerReport)

    def _published(self) -> int:
        path = Path(f"{self._files.trainer_report}.progress")
        if not path.exists():
            return 0
        return msgspec.json.decode(path.read_bytes(), type=TrainerProgress).versions_published

    async def _kill_leader(self, load: LookupLoad) -> None:
        status = await self._status(self._files.nodes[-1])
        leader = status.leader.leader if status.leader is not None else self._files.nodes[0].node_id
        node = next(node for node in self._files.nodes if node.node_id == leader)
        self._killed = node
        self._processes.send(node.node_id, signal.SIGKILL)
        load.remove_gateway(_http_address(node))

    async def _drain_node(self, load: LookupLoad) -> None:
        """Drains a node without a ledger in another zone, so that the ledger keeps its majority."""
        killed_zone = self._killed.zone if self._killed is not None else ""
        node = next(
            node for node in self._files.nodes if not node.data_folder and node.zone != killed_zone
        )
        self._drained = node
        self._processes.send(node.node_id, signal.SIGTERM)
        load.remove_gateway(_http_address(node))

    def _report(self, trainer: TrainerReport, load: LookupLoad, duration_s: float) -> DemoReport:
        audit = trainer.audit
        bound = self._deployment.trainer.staleness_bound
        report = DemoReport(
            deployment=self._deployment.name,
            seed=self._seed,
            scheduler=self._scheduler,
            samples=SampleCounts(
                trainer.expected, audit.delivered, trainer.lost, audit.duplicated, audit.over_age
            ),
            lookups=load.counts,
            trainer_idle_fraction=round(trainer.idle_s / trainer.total_s, 4),
            staleness=staleness_report(audit.ages, bound),
            lookup_latency_ms=LatencyReport(
                load.latency_us.get_value_at_percentile(50) / 1000,
                load.latency_us.get_value_at_percentile(99) / 1000,
            ),
            versions_per_sample_named=audit.wrong_versions == 0,
            wrong_tokens=audit.wrong_tokens,
            versions_published=trainer.versions_published,
            killed_node=self._killed.node_id if self._killed is not None else "",
            drained_node=self._drained.node_id if self._drained is not None else "",
            drained_exit_code=self._drained_exit_code,
            duration_s=round(duration_s, 1),
            failures=[],
        )
        report.failures = _failures(report)
        return report


def staleness_report(ages: list[int], bound: int) -> StalenessReport:
    """Returns the median, 99th percentile and maximum of the ages."""
    ordered = sorted(ages) or [0]

    def percentile(fraction: float) -> int:
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]

    return StalenessReport(percentile(0.50), percentile(0.99), ordered[-1], bound)


def _failures(report: DemoReport) -> list[str]:
    samples = report.samples
    checks = {
        "a sample was lost": samples.lost > 0 or samples.delivered < samples.expected,
        "a sample was delivered twice": samples.duplicated > 0,
        "a sample was over-age": samples.over_age > 0,
        "a sample did not name its versions": not report.versions_per_sample_named,
        "a sample's tokens were wrong": report.wrong_tokens > 0,
        "a lookup got a wrong answer": report.lookups.wrong_answer > 0,
        "the drained node did not exit with 0": report.drained_exit_code != 0,
        "no lookup was completed": report.lookups.completed == 0,
    }
    return [text for text, failed in checks.items() if failed]


def _http_address(node: NodeAddress) -> str:
    return f"127.0.0.1:{node.http_port}"
