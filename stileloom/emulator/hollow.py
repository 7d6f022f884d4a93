"""Hollow nodes: real node cores and sockets, many in a process, without engines behind them.

Everything between the nodes is real: membership, configuration, machine list, load reports.
Engines are not asked; their load is drawn. A hollow node serves no HTTP.
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
REPORT_EVERY_S = 1.0


class HollowNode(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One hollow node."""

    node_id: str
    zone: str
    port: Port


class HollowSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The hollow nodes of one process."""

    nodes: list[HollowNode]
    seeds: list[Address]
    object_api: Address
    machine_list: Address
    report: str
    """File that the counts are written to, once a second."""
    host: str = "127.0.0.1"


class NodeCount(msgspec.Struct):
    """Traffic of one node since its start."""

    node_id: str
    sent_bytes: int
    sent_messages: int
    received_bytes: int
    received_messages: int
    revision: int
    members: int


class HollowReport(msgspec.Struct):
    """Counts of one process."""

    at_s: float
    cpu_s: float
    """Processor time of the whole process since its start."""
    memory_bytes: int
    """Largest resident size of the process."""
    nodes: list[NodeCount]


class HollowShell(Shell):
    """A shell whose engines only pretend."""

    def __init__(self, core: NodeCore, api: ObjectApi, machines: MachineList, seed: int) -> None:
        super().__init__(core, EventLog(core.node_id), api, machines, None)
        self._draws = random.Random(seed)

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
            running=self._draws.randrange(MAX_RUNNING),
            waiting=0,
            max_running=MAX_RUNNING,
            last_order=FencingToken(0, 0),
        )
        self.run(self.core.load_reported(self.now(), effect.sampler_id, load))

    async def _stream(self, effect: OpenStream) -> None:
        request_id = effect.request.request_id
        self.run(self.core.stream_failed(self.now(), request_id, True, "hollow"))

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
            async with asyncio.timeout(REPORT_EVERY_S):
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
        nodes=[_count(shell) for shell in shells],
    )
    aside = path.with_suffix(".new")
    aside.write_bytes(msgspec.json.encode(report))
    aside.rename(path)


def _count(shell: HollowShell) -> NodeCount:
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
