"""Hollow nodes for scale tests: many nodes in one process, without engines.

Hollow nodes run the real node core and exchange real messages for membership, configuration,
machine list and load reports. Engine load is random, and hollow nodes serve no HTTP.
"""

from __future__ import annotations

import asyncio
import random
import resource
import signal
import sys
import time
from pathlib import Path

import msgspec

from stileloom.api.engine import EngineState, LoadReport
from stileloom.api.objects import SamplerRole
from stileloom.clock import steady_time
from stileloom.daemon.platform_client import MachineList, ObjectApi
from stileloom.daemon.shell import Shell
from stileloom.lease import FencingToken
from stileloom.logging import EventLog, configure_logs
from stileloom.membership import Member, Seed
from stileloom.node import NodeCore
from stileloom.samplers.effects import OpenStream, QueryLoad, SendOrder
from stileloom.settings_file import Address, Port, split_address

MAX_RUNNING = 32
REPORT_INTERVAL_S = 1.0


class HollowNode(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a hollow node."""

    node_id: str
    zone: str
    port: Port


class HollowSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a process with hollow nodes."""

    nodes: list[HollowNode]
    seeds: list[Address]
    object_api: Address
    machine_list: Address
    report: str
    """File to which the report is written, once per second."""
    host: str = "127.0.0.1"


class NodeCount(msgspec.Struct):
    """Traffic and state of a node; byte and message counts are since its start."""

    node_id: str
    sent_bytes: int
    sent_messages: int
    received_bytes: int
    received_messages: int
    revision: int
    members: int


class HollowReport(msgspec.Struct):
    """Resource usage of a process and the counts of its nodes."""

    at_s: float
    cpu_s: float
    """CPU time of the process since its start."""
    memory_bytes: int
    """Peak resident set size of the process."""
    nodes: list[NodeCount]


class HollowShell(Shell):
    """A shell that simulates engines with random load and fails all streams."""

    def __init__(self, core: NodeCore, api: ObjectApi, machines: MachineList, seed: int) -> None:
        super().__init__(core, EventLog(core.node_id), api, machines, None)
        self._rng = random.Random(seed)

    async def _query_load(self, effect: QueryLoad) -> None:
        sampler = self.core.table.get(effect.sampler_id)
        if sampler is None:
            return
        lookup = sampler.machine.pool.startswith("lookup")
        load = LoadReport(
            sampler_id=effect.sampler_id,
            state=EngineState.SERVING,
            role=SamplerRole.LOOKUP if lookup else SamplerRole.ROLLOUT,
            model="model",
            weight_version=1,
            running=self._rng.randrange(MAX_RUNNING),
            waiting=0,
            max_running=MAX_RUNNING,
            last_order=FencingToken(0, 0),
        )
        self.run(self.core.load_reported(self.now(), effect.sampler_id, load))

    async def _stream(self, effect: OpenStream) -> None:
        request_id = effect.request.request_id
        self.run(
            self.core.stream_failed(self.now(), request_id, True, "hollow nodes have no engines")
        )

    async def _send_order(self, effect: SendOrder) -> None:
        return


async def run_hollow(settings: HollowSettings) -> None:
    """Runs the hollow nodes of one process until SIGTERM."""
    configure_logs("error")
    shells = [await _start(settings, node) for node in settings.nodes]
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    while not stop.is_set():
        _write_report(Path(settings.report), shells)
        try:
            async with asyncio.timeout(REPORT_INTERVAL_S):
                await stop.wait()
        except TimeoutError:
            continue
    for shell in shells:
        shell.stop()


async def _start(settings: HollowSettings, node: HollowNode) -> HollowShell:
    member = Member(
        node_id=node.node_id,
        zone=node.zone,
        region="region",
        host=settings.host,
        port=node.port,
        http_port=0,
        incarnation=time.time_ns() // 1_000_000,
    )
    rng = random.Random()
    seeds = [Seed(*split_address(seed)) for seed in settings.seeds]
    core = NodeCore(member, seeds, rng, steady_time())
    api = ObjectApi(settings.object_api)
    shell = HollowShell(core, api, MachineList(settings.machine_list), node.port)
    await shell.start(settings.host, node.port)
    return shell


def _write_report(path: Path, shells: list[HollowShell]) -> None:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    unit = 1 if sys.platform == "darwin" else 1024
    report = HollowReport(
        at_s=steady_time(),
        cpu_s=usage.ru_utime + usage.ru_stime,
        memory_bytes=usage.ru_maxrss * unit,
        nodes=[_node_count(shell) for shell in shells],
    )
    temporary = path.with_suffix(".new")
    temporary.write_bytes(msgspec.json.encode(report))
    temporary.rename(path)


def _node_count(shell: HollowShell) -> NodeCount:
    traffic = shell.network.traffic
    return NodeCount(
        node_id=shell.core.node_id,
        sent_bytes=traffic.sent_bytes,
        sent_messages=traffic.sent_messages,
        received_bytes=traffic.received_bytes,
        received_messages=traffic.received_messages,
        revision=shell.core.revision,
        members=len(shell.core.membership.alive()),
    )
