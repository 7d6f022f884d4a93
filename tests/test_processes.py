"""System tests with real processes: SIGKILL, SIGSTOP past a lease, SIGTERM, object API outage.

Tests wait for conditions, with a generous timeout; they do not check timing.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import testtools
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from stileloom.cli.manifests import load_manifests
from stileloom.client import HttpCaller, LookupClient
from stileloom.clock import steady_time
from stileloom.emulator.deployment import (
    Deployment,
    NodeAddress,
    RunFiles,
    load_deployment,
    write_run_files,
)
from stileloom.emulator.processes import Processes
from stileloom.emulator.trainer import TrainerProgress, TrainerReport
from stileloom.errors import StileloomError
from stileloom.http.operations import Status
from stileloom.routing.messages import Explanation

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"
WAIT_S = 60.0


class SystemTest(testtools.TestCase):
    """Runs a small deployment as separate processes for each test."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        folder = EXAMPLES / "corrib"
        self.deployment = self.reduced(load_deployment(folder))
        self.files: RunFiles = write_run_files(
            self.deployment, folder / self.deployment.objects, Path(scratch.name), 1, "default"
        )
        self.processes = Processes(self.files)
        self.addCleanup(self.processes.stop_all)

    def reduced(self, deployment: Deployment) -> Deployment:
        """Reduces a deployment to one node per zone and short training steps."""
        trainer = msgspec.structs.replace(
            deployment.trainer, steps=4, samples_per_step=12, train_s=0.5, long_fraction=0.0
        )
        return msgspec.structs.replace(deployment, nodes_per_zone=1, trainer=trainer)

    async def start(self) -> None:
        """Starts the platform and nodes, stores the objects and waits until all samplers serve."""
        self.processes.start_platform()
        await self.processes.wait_listening(self.files.object_api_port)
        for node in self.files.nodes:
            self.processes.start_node(node)
        for node in self.files.nodes:
            await self.processes.wait_listening(node.http_port)
        caller = HttpCaller([self.address(node) for node in self.files.nodes])
        for manifest in load_manifests(Path(self.files.objects_file)):
            if manifest.kind.value == "round":
                manifest.spec["samples_per_step"] = self.deployment.trainer.samples_per_step
            path = f"/v1/objects/{manifest.kind.value}/{manifest.name}"
            await caller.call("PUT", path, manifest.spec, {"If-Match": "0"})
        await self.wait_until(self.all_serving, "every sampler is serving")

    def address(self, node: NodeAddress) -> str:
        """Returns the HTTP address of a node."""
        return f"127.0.0.1:{node.http_port}"

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], what: str) -> None:
        """Waits until a condition holds."""
        deadline = steady_time() + WAIT_S
        while not await condition():
            self.assertLess(steady_time(), deadline, f"timed out waiting for: {what}")
            await asyncio.sleep(0.1)

    async def status(self, node: NodeAddress) -> Status | None:
        """Returns the status of a node, or None if it does not respond."""
        try:
            response = await HttpCaller([self.address(node)]).call("GET", "/v1/status")
        except StileloomError:
            return None
        return msgspec.json.decode(response.body, type=Status)

    async def leader(self) -> NodeAddress | None:
        """Returns the leader as reported by the first node that responds with one, or None."""
        for node in self.files.nodes:
            status = await self.status(node) if self.processes.is_running(node.node_id) else None
            if status is not None and status.leader is not None:
                name = status.leader.leader
                return next(other for other in self.files.nodes if other.node_id == name)
        return None

    async def all_serving(self) -> bool:
        status = await self.status(self.files.nodes[0])
        if status is None or status.leader is None or not status.ready:
            return False
        states = [sampler.state for sampler in status.leader.samplers]
        return len(states) == len(self.files.samplers) and set(states) == {"serving"}

    def published_versions(self) -> int:
        """Returns the number of versions that the trainer has published."""
        path = Path(f"{self.files.trainer_report}.progress")
        if not path.exists():
            return 0
        return msgspec.json.decode(path.read_bytes(), type=TrainerProgress).versions_published

    async def trainer_report(self) -> TrainerReport:
        """Waits for the end of the round and returns the trainer's report."""
        path = Path(self.files.trainer_report)

        async def ended() -> bool:
            return path.exists()

        await self.wait_until(ended, "the round is done")
        return msgspec.json.decode(path.read_bytes(), type=TrainerReport)

    def assert_all_delivered(self, report: TrainerReport) -> None:
        """Checks that each sample was delivered once, intact and within the staleness bound."""
        audit = report.audit
        self.assertEqual(
            (report.expected, 0, 0, 0, 0, 0),
            (
                audit.delivered,
                report.lost,
                audit.duplicated,
                audit.over_age,
                audit.wrong_tokens,
                audit.wrong_versions,
            ),
        )

    async def wait_first_version(self) -> None:
        """Waits until the trainer has published one version."""

        async def published() -> bool:
            return self.published_versions() >= 1

        await self.wait_until(published, "a version is published")

    def test_the_controller_is_killed_in_the_middle_of_a_round(self) -> None:
        async def run() -> None:
            await self.start()
            self.processes.start_trainer(self.deployment.trainer.staleness_bound)
            await self.wait_first_version()
            leader = await self.leader()
            assert leader is not None
            self.processes.send(leader.node_id, signal.SIGKILL)
            await self.processes.wait_ended(leader.node_id)
            self.processes.start_node(leader)
            self.assert_all_delivered(await self.trainer_report())

        asyncio.run(run())

    def test_the_controller_is_stopped_past_its_lease_and_wakes(self) -> None:
        async def run() -> None:
            await self.start()
            self.processes.start_trainer(self.deployment.trainer.staleness_bound)
            await self.wait_first_version()
            paused = await self.leader()
            assert paused is not None
            others = [node for node in self.files.nodes if node != paused]
            self.processes.send(paused.node_id, signal.SIGSTOP)

            async def leader_changed() -> bool:
                status = await self.status(others[0])
                return (
                    status is not None
                    and status.leader is not None
                    and status.leader.leader != paused.node_id
                )

            await self.wait_until(leader_changed, "another node leads")
            self.processes.send(paused.node_id, signal.SIGCONT)
            self.assert_all_delivered(await self.trainer_report())

        asyncio.run(run())

    def test_a_node_is_drained_with_a_stream_in_flight(self) -> None:
        async def run() -> None:
            await self.start()
            node = self.files.nodes[1]

            async def has_route() -> bool:
                caller = HttpCaller([self.address(node)])
                body = {"service": "viewer-app"}
                response = await caller.call("POST", "/v1/explain", body)
                return msgspec.json.decode(response.body, type=Explanation).chosen is not None

            await self.wait_until(has_route, "the gateway has a route to a sampler")
            client = LookupClient([self.address(node)])
            query = "len:150|a long outline"
            running = asyncio.create_task(client.lookup("viewer-app", query, 150))
            await asyncio.sleep(0.5)
            self.processes.send(node.node_id, signal.SIGTERM)
            result = await running
            self.assertEqual("completed", result.outcome)
            self.assertEqual(150, result.token_count)
            self.assertEqual(0, await self.processes.wait_ended(node.node_id, WAIT_S))

        asyncio.run(run())

    def test_a_round_goes_on_while_the_object_api_is_down(self) -> None:
        async def run() -> None:
            await self.start()
            url = f"http://127.0.0.1:{self.files.object_api_port}/faults"
            body = msgspec.json.encode({"down_s": 600.0})
            await AsyncHTTPClient().fetch(HTTPRequest(url, method="POST", body=body))
            self.processes.start_trainer(self.deployment.trainer.staleness_bound)
            self.assert_all_delivered(await self.trainer_report())

        asyncio.run(run())
