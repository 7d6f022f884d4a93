"""Whole processes over loopback: kill -9, SIGSTOP past a lease, SIGTERM, a platform that is down.

Nothing here judges times: each wait ends when its condition holds, or fails the test after a
bound that is far above what is usual.
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
    """A small deployment as processes, for each test anew."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        folder = EXAMPLES / "corrib"
        self.deployment = self.small(load_deployment(folder))
        self.files: RunFiles = write_run_files(
            self.deployment, folder / self.deployment.objects, Path(scratch.name), 1, "default"
        )
        self.processes = Processes(self.files)
        self.addCleanup(self.processes.stop_all)

    def small(self, deployment: Deployment) -> Deployment:
        """One node in each zone, and short steps."""
        trainer = msgspec.structs.replace(
            deployment.trainer, steps=4, samples_per_step=12, train_s=0.5, long_fraction=0.0
        )
        return msgspec.structs.replace(deployment, nodes_per_zone=1, trainer=trainer)

    async def start(self) -> None:
        """Platform, nodes, objects; until every node is ready."""
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
        await self.until(self.all_heard, "every sampler is heard of")

    def address(self, node: NodeAddress) -> str:
        """HTTP address of a node."""
        return f"127.0.0.1:{node.http_port}"

    async def until(self, condition: Callable[[], Awaitable[bool]], what: str) -> None:
        """Waits for a condition."""
        give_up_at = steady_time() + WAIT_S
        while not await condition():
            self.assertLess(steady_time(), give_up_at, f"waited too long: {what}")
            await asyncio.sleep(0.1)

    async def status(self, node: NodeAddress) -> Status | None:
        """What a node says; None where it does not answer."""
        try:
            response = await HttpCaller([self.address(node)]).call("GET", "/v1/status")
        except StileloomError:
            return None
        return msgspec.json.decode(response.body, type=Status)

    async def leader(self) -> NodeAddress | None:
        """The node that leads, as any node that answers knows it."""
        for node in self.files.nodes:
            status = await self.status(node) if self.processes.is_running(node.node_id) else None
            if status is not None and status.leader is not None:
                name = status.leader.leader
                return next(other for other in self.files.nodes if other.node_id == name)
        return None

    async def all_heard(self) -> bool:
        status = await self.status(self.files.nodes[0])
        if status is None or status.leader is None or not status.ready:
            return False
        states = [sampler.state for sampler in status.leader.samplers]
        return len(states) == len(self.files.samplers) and set(states) == {"serving"}

    def published(self) -> int:
        """Versions that the trainer has published."""
        path = Path(f"{self.files.trainer_report}.progress")
        if not path.exists():
            return 0
        return msgspec.json.decode(path.read_bytes(), type=TrainerProgress).versions_published

    async def trainer_report(self) -> TrainerReport:
        """The trainer's report, at the end of its round."""
        path = Path(self.files.trainer_report)

        async def ended() -> bool:
            return path.exists()

        await self.until(ended, "the round is done")
        return msgspec.json.decode(path.read_bytes(), type=TrainerReport)

    def assert_whole(self, report: TrainerReport) -> None:
        """Every sample once, young enough, with its own versions."""
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

    async def first_version(self) -> None:
        """Until the trainer has published one version."""

        async def published() -> bool:
            return self.published() >= 1

        await self.until(published, "a version is published")

    def test_the_controller_is_killed_in_the_middle_of_a_round(self) -> None:
        async def run() -> None:
            await self.start()
            self.processes.start_trainer(self.deployment.trainer.staleness_bound)
            await self.first_version()
            leader = await self.leader()
            assert leader is not None
            self.processes.send(leader.node_id, signal.SIGKILL)
            await self.processes.wait_ended(leader.node_id)
            self.processes.start_node(leader)
            self.assert_whole(await self.trainer_report())

        asyncio.run(run())

    def test_the_controller_is_stopped_past_its_lease_and_wakes(self) -> None:
        async def run() -> None:
            await self.start()
            self.processes.start_trainer(self.deployment.trainer.staleness_bound)
            await self.first_version()
            paused = await self.leader()
            assert paused is not None
            others = [node for node in self.files.nodes if node != paused]
            self.processes.send(paused.node_id, signal.SIGSTOP)

            async def another_leads() -> bool:
                status = await self.status(others[0])
                return (
                    status is not None
                    and status.leader is not None
                    and status.leader.leader != paused.node_id
                )

            await self.until(another_leads, "another node leads")
            self.processes.send(paused.node_id, signal.SIGCONT)
            self.assert_whole(await self.trainer_report())

        asyncio.run(run())

    def test_a_node_is_drained_with_a_stream_in_flight(self) -> None:
        async def run() -> None:
            await self.start()
            node = self.files.nodes[1]

            async def routes() -> bool:
                caller = HttpCaller([self.address(node)])
                body = {"service": "viewer-app"}
                response = await caller.call("POST", "/v1/explain", body)
                return msgspec.json.decode(response.body, type=Explanation).chosen is not None

            await self.until(routes, "the gateway has heard of a sampler")
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
            self.assert_whole(await self.trainer_report())

        asyncio.run(run())
