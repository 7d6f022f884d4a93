"""The deployment under test: programs, their proxies, samplers and the object API."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from stileloom.daemon.platform_client import ObjectApi
from stileloom.emulator.http_sampler import HttpSampler
from stileloom.errors import StileloomError
from tests.object_api import object_api
from tests.ports import free_port
from tests.soak.loopback_proxy import Link, LinkFault, TcpProxy, UdpProxy
from tests.soak.programs import Program
from tests.soak.record import EVENTS, Record

HOST = "127.0.0.1"
HOSTNAME = "rollouts.example"
MODEL = "drafts"
LEDGER_NODES = 4
SEED_NODES = 3
MOST_LEDGER_NODES = 8
"""Over the whole run, with those that replace others."""
GATEWAYS = 2
LIMITED_GATEWAY = 1
"""Number of the gateway with limits on callers."""
GATEWAY_MEMORY_MB = 110
LIMITED: dict[str, object] = {
    "callers": {"limited": True},
    "limits": {"memory_mb": GATEWAY_MEMORY_MB, "descriptors": 1638},
}
SAMPLERS = {"charts": 2, "drafts": 3}
EVENT_INTERVAL_S = 0.02
"""Slow enough that a large job has items waiting for longer than ends are judged."""
DATAGRAM_LOSS = 0.01
LISTED_AFTER_END_S = 1.0
WRITE_RETRY_S = 0.2


class Deployment:
    """Everything that runs."""

    def __init__(
        self, folder: Path, rng: random.Random, record: Record, gateways: int = GATEWAYS
    ) -> None:
        self._gateways = gateways
        self.programs: dict[str, Program] = {}
        self.links: dict[str, Link] = {}
        self.fronts: list[int] = []
        self.samplers: dict[str, HttpSampler] = {}
        self.api: ObjectApi
        self.api_address = ""
        self._open = contextlib.ExitStack()
        self._folder = folder
        self._rng = rng
        self._record = record
        self._tcp: dict[str, list[TcpProxy]] = {}
        self._udp: list[UdpProxy] = []
        self._sampler_proxies: dict[str, TcpProxy] = {}
        self._next_sampler = 0
        self._next_ledger_node = 1
        self.poison_targets: frozenset[str] = frozenset()
        """Requests that end every sampler from its start on."""
        numbers = range(1, MOST_LEDGER_NODES + 1)
        hosts = [f"127.0.{net}.{number}" for net in (1, 2) for number in numbers]
        self._calls_port = free_port(*hosts)
        self._ledger_port = free_port(*hosts)

    async def start(self, configuration: dict[str, Any]) -> None:
        """Starts the object API, samplers and programs."""
        self.api_address = self._open.enter_context(object_api())
        self.api = ObjectApi(self.api_address)
        await self.write("configuration", "main", configuration)
        for service, count in SAMPLERS.items():
            for _ in range(count):
                await self.add_sampler(service)
        for number in range(1, LEDGER_NODES + 1):
            await self._add_ledger_node(number)
        self._next_ledger_node = LEDGER_NODES + 1
        for number in range(1, self._gateways + 1):
            await self._add_gateway(number)
        for program in self.programs.values():
            program.start()

    async def write(self, kind: str, name: str, spec: dict[str, Any] | None) -> None:
        """Writes an object as an operator or trainer does: not through any faulty link.

        Tries again while the store itself is down.
        """
        change_id = f"{kind}/{name}/{self._rng.random()}"
        while True:
            try:
                await self.api.write(kind, name, None, change_id, spec)
                return
            except StileloomError:
                await asyncio.sleep(WRITE_RETRY_S)

    async def set_store_faults(self, faults: dict[str, float]) -> None:
        """Faults of the object API from now on, beside those of the links."""
        body = msgspec.json.encode(faults)
        url = f"http://{self.api_address}/faults"
        await AsyncHTTPClient().fetch(HTTPRequest(url, method="POST", body=body))

    async def _proxy(self, link_name: str, target: tuple[str, int], host: str, port: int) -> int:
        link = self.links.setdefault(link_name, Link())
        proxy = TcpProxy(link, target)
        self._tcp.setdefault(link_name, []).append(proxy)
        return await proxy.start(host, port)

    async def _store_address(self, name: str) -> str:
        host, _, port = self.api_address.rpartition(":")
        return f"{HOST}:{await self._proxy(f'{name} to store', (host, int(port)), HOST, 0)}"

    async def _add_ledger_node(self, number: int, first_start: bool = True) -> str:
        name = f"ledger-{number}"
        reached_at, bound_to = f"127.0.1.{number}", f"127.0.2.{number}"
        link_name = f"to {name}"
        for port in (self._ledger_port, self._calls_port):
            await self._proxy(link_name, (bound_to, port), reached_at, port)
        target = (bound_to, self._ledger_port)
        datagrams = UdpProxy(self.links[link_name], target, self._rng, DATAGRAM_LOSS)
        await datagrams.start(reached_at, self._ledger_port)
        self._udp.append(datagrams)
        self._settings(
            Program(name, "ledger-node", self._folder),
            host=reached_at,
            bind_host=bound_to,
            store=await self._store_address(name),
            ledger=f"{reached_at}:{self._ledger_port}",
            data_folder=str(self.data_folder(name)),
            first_start=first_start,
        )
        return name

    def may_replace(self, name: str) -> bool:
        """Whether a ledger node may be replaced: one of the seeds stays, and numbers are left."""
        seeds = [f"ledger-{number}" for number in range(1, SEED_NODES + 1)]
        remaining = [seed for seed in seeds if seed in self.programs and seed != name]
        return bool(remaining) and self._next_ledger_node <= MOST_LEDGER_NODES

    async def replace_ledger_node(self, name: str) -> str:
        """A ledger node is gone for good, and another one starts; returns the name of that.

        Connections to the old address are neither refused nor answered, as with a machine that
        has lost its power.
        """
        program = self.programs.pop(name)
        self.links.pop(f"to {name}").set(LinkFault.SILENT)
        self.links.pop(f"{name} to store")
        await program.kill()
        self._next_ledger_node += 1
        added = await self._add_ledger_node(self._next_ledger_node - 1, first_start=False)
        self.programs[added].start()
        return added

    async def _add_gateway(self, number: int) -> None:
        name = f"gateway-{number}"
        front = free_port()
        self.fronts.append(front)
        self._settings(
            Program(name, "gateway", self._folder),
            host=HOST,
            store=await self._store_address(name),
            front=f"{HOST}:{front}",
            ready=f"{HOST}:{free_port()}",
            **(LIMITED if number == LIMITED_GATEWAY else {}),
        )

    def _settings(self, program: Program, **fields: object) -> None:
        peers = [f"127.0.1.{number}:{self._ledger_port}" for number in range(1, SEED_NODES + 1)]
        every: dict[str, object] = {
            "node_id": program.name,
            "zone": "a",
            "peers": peers,
            "calls_port": self._calls_port,
            **fields,
        }
        lines = [f"{name} = {_toml(value)}" for name, value in every.items()]
        program.settings_file.write_text("\n".join(lines) + "\n")
        self.programs[program.name] = program

    def leader(self) -> str | None:
        """The ledger node that was elected last, by the logs; it may be gone by now."""
        newest: tuple[int, str] | None = None
        for name, program in self.programs.items():
            if name.startswith("ledger") and (epoch := program.newest_epoch()):
                newest = max(newest or (0, ""), (epoch, name))
        return newest[1] if newest is not None else None

    def data_folder(self, name: str) -> Path:
        """Where a ledger node keeps its files."""
        return self._folder / f"{name}-data"

    def wipe(self, name: str) -> None:
        """Removes a stopped ledger node's files; its next start is not the first one."""
        for file in self.data_folder(name).iterdir():
            file.unlink()
        settings = self.programs[name].settings_file
        settings.write_text(
            settings.read_text().replace("first_start = true", "first_start = false")
        )

    def tear_journal(self, name: str) -> None:
        """Leaves a torn record behind the synced end of a stopped node's journal."""
        journal = self.data_folder(name) / "journal"
        if journal.exists():
            with journal.open("ab") as file:
                file.write(self._rng.randbytes(self._rng.randint(1, 200)))

    # Samplers.

    async def add_sampler(self, service: str) -> str:
        """Starts a sampler behind a link of its own, and lists it."""
        self._next_sampler += 1
        name = f"{service}-{self._next_sampler}"
        versions = {MODEL: 1} if service == "drafts" else {}
        earlier = [s for s in self.samplers.values() if s.model_versions]
        if versions and earlier:
            versions = {MODEL: max(s.model_versions[MODEL] for s in earlier)}
        sampler = HttpSampler(name, versions, EVENTS, EVENT_INTERVAL_S)
        sampler.permanent_crash_targets = self.poison_targets
        sampler.on_crash = lambda: self.stop_listening(name)
        self.samplers[name] = sampler
        self._record.samplers.append(sampler)
        port = sampler.listen(HOST)
        link_name = f"to {name}"
        # The port stays held: lookups to an ended sampler must not reach that of another run.
        address = await self._proxy(link_name, (HOST, port), HOST, free_port())
        spec = {
            "service": service,
            "address": f"{HOST}:{address}",
            "zone": "a",
            "slots": 4,
            "model_versions": versions,
        }
        await self.write("samplers", name, spec)
        return name

    async def crash_sampler(self, name: str) -> None:
        """The sampler is gone at once; its entry stays for a moment."""
        sampler = self.samplers.pop(name)
        self.reset(f"to {name}")
        await sampler.stop()
        await asyncio.sleep(LISTED_AFTER_END_S)
        await self.write("samplers", name, None)

    def stop_listening(self, name: str) -> None:
        """A sampler's process is gone: nobody accepts connections at its address any more."""
        for proxy in self._tcp[f"to {name}"]:
            proxy.stop()

    # Links.

    def reset(self, link_name: str) -> None:
        """Resets the connections of a link."""
        for proxy in self._tcp[link_name]:
            proxy.reset()

    def stall_open_connections(self, link_name: str) -> None:
        """What is open on a link is silent for good, without a reset."""
        for proxy in self._tcp[link_name]:
            proxy.stall_open_connections()

    async def stop(self) -> None:
        """Ends all that this deployment started."""
        for program in list(self.programs.values()):
            program.resume()
            await program.kill()
        for proxies in self._tcp.values():
            for proxy in proxies:
                proxy.stop()
        for datagrams in self._udp:
            datagrams.stop()
        for sampler in self.samplers.values():
            await sampler.stop()
        self._open.close()


def _toml(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{name} = {_toml(item)}" for name, item in value.items()) + "}"
    return f'"{value}"' if isinstance(value, str) else str(value)
