"""Test cluster of gateways, ledger nodes and samplers in one event loop, over real sockets.

Ports are chosen by the kernel. Tests wait for conditions, not for fixed times.
"""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from stileloom.daemon.directory import Directory
from stileloom.daemon.gateway import Gateway
from stileloom.daemon.ledger_node import LedgerNode
from stileloom.daemon.native_object_store import NativeObjectStore
from stileloom.daemon.platform_client import ObjectApi
from stileloom.emulator.http_sampler import EVENT_INTERVAL_S, HttpSampler
from stileloom.http.native_dialect import NativeDialect
from stileloom.logging import configure_logs
from stileloom.service_settings import ServiceSettings, TimeBounds
from stileloom.settings_file import split_address
from tests.object_api import object_api
from tests.ports import free_port
from tests.soak.loopback_proxy import Link, TcpProxy

HOST = "127.0.0.1"
LEDGER_HOSTS = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]
"""Of the three ledger nodes that a cluster has unless a test asks for more."""
HOSTNAME = "rollouts.example"
MODEL = "drafts"
ATTEMPTS = 3
BOUNDS = TimeBounds(stop_grace_s=4.0, order_lease_s=0.3)
TIMEOUT_S = 30.0


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Returns a configuration of two routes over two services."""
    lookup = {
        "name": "charts",
        "host": HOSTNAME,
        "path_prefix": "/charts/",
        "kind": "safe",
        "backends": [{"service": "charts", "weight": 1}],
        "timeout_s": 5.0,
        "target_latency_s": 1.0,
        "max_attempts": ATTEMPTS,
    }
    batch = {
        **lookup,
        "name": "drafts",
        "path_prefix": "/drafts/",
        "kind": "batch",
        "backends": [{"service": "drafts", "weight": 1}],
        "max_wait_s": 60.0,
        "job_deadline_s": 30.0,
    }
    engine = {"slots": 4, "cache_tokens": 10000, "models": [MODEL]}
    services = [
        {"name": "charts", "max_connections": 50},
        {"name": "drafts", "max_connections": 50, "engine": engine},
    ]
    return {"version": version, "routes": [lookup | changes, batch], "services": services}


def reward_call(item: str) -> list[str]:
    """Returns the reward call of an item, over the lookup route."""
    return [f"score-{item}", HOSTNAME, f"/charts/score/{item}", "dGV4dA=="]


class ServiceCluster:
    """Ledger nodes, gateways, samplers and the object API."""

    def __init__(
        self, gateways: int = 2, ledger_hosts: list[str] = LEDGER_HOSTS, losses_borne: int = 1
    ) -> None:
        self.samplers: dict[str, HttpSampler] = {}
        self.event_interval_s = EVENT_INTERVAL_S
        """Of samplers that are added from now on."""
        self.ledger_nodes: dict[str, LedgerNode] = {}
        self.gateways: list[Gateway] = []
        self.front_ports: list[int] = []
        self.metrics_addresses: dict[str, str] = {}
        """By name of the process."""
        self._gateway_count = gateways
        self._ledger_hosts = ledger_hosts
        self._losses_borne = losses_borne
        self._folder = tempfile.TemporaryDirectory()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._http = AsyncHTTPClient(force_instance=True, max_clients=100)
        self._settings: dict[str, ServiceSettings] = {}
        self._exit_stack = contextlib.ExitStack()
        self.api: ObjectApi

    async def __aenter__(self) -> ServiceCluster:
        """Starts all components and waits until jobs can be accepted."""
        self._api_address = self._exit_stack.enter_context(object_api())
        self.api = ObjectApi(self._api_address)
        await self.write("configuration", "main", configuration(1))
        for number in (1, 2):
            await self.add_sampler(f"chart-{number}", "charts")
            await self.add_sampler(f"draft-{number}", "drafts")
        # All ledger nodes of a deployment use the same ports, so each has its own host address.
        self._calls_port = free_port(*self._ledger_hosts)
        self._ledger_port = free_port(*self._ledger_hosts)
        for number, host in enumerate(self._ledger_hosts, start=1):
            self.start_ledger_node(f"ledger-{number}", host)
        for number in range(self._gateway_count):
            self.start_gateway(f"gateway-{number}")
        for gateway in self.gateways:
            await self.wait_until(lambda: gateway.directory.is_initialized)  # noqa: B023
            await self.wait_until(lambda: len(gateway.directory.samplers.of_service("charts")) == 2)  # noqa: B023
        await self.wait_until(lambda: self.leader() is not None)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stops all components."""
        for task in self._tasks.values():
            task.cancel()
        for gateway in self.gateways:
            gateway.abort()
        for node in self.ledger_nodes.values():
            node.abort()
        for sampler in self.samplers.values():
            await sampler.stop()
        self._exit_stack.close()
        self._folder.cleanup()
        await self._check_all_tasks_ended()

    async def _check_all_tasks_ended(self) -> None:
        """Checks that no task ignores its cancellation, which would block process shutdown."""
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        if others:
            _, remaining = await asyncio.wait(others, timeout=TIMEOUT_S)
            assert not remaining, f"tasks still running after cancellation: {remaining}"

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition is true. Raises `TimeoutError`."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                self._raise_task_errors()
                await asyncio.sleep(0.01)

    def _raise_task_errors(self) -> None:
        """Raises the error of a process task that failed, as the likely cause of a timeout."""
        for task in self._tasks.values():
            if task.done() and not task.cancelled() and task.exception() is not None:
                task.result()

    async def write(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Writes an object without a revision check, as an operator or trainer does."""
        await self.api.write(kind, name, None, f"{kind}/{name}", spec)

    async def remove_sampler_entry(self, name: str) -> None:
        """Removes a sampler's entry and waits until every gateway has applied the removal."""
        await self.api.write("samplers", name, None, f"unlist/{name}", None)
        for gateway in self.gateways:
            await self.wait_until(lambda: gateway.directory.samplers.get(name) is None)  # noqa: B023

    async def wait_until_listed(self, name: str) -> None:
        """Waits until every gateway has listed the sampler."""
        for gateway in self.gateways:
            await self.wait_until(lambda: gateway.directory.samplers.get(name) is not None)  # noqa: B023

    async def add_sampler(self, name: str, service: str) -> HttpSampler:
        """Starts a sampler and registers it in the object store."""
        versions = {MODEL: 1} if service == "drafts" else {}
        sampler = HttpSampler(name, versions, event_interval_s=self.event_interval_s)
        # The port stays reserved after the sampler has stopped, so that a concurrent test run
        # cannot start a sampler with the same id on it and receive requests of this run.
        port = sampler.listen(HOST, free_port())
        self.samplers[name] = sampler
        spec = {
            "service": service,
            "address": f"{HOST}:{port}",
            "zone": "a",
            "slots": 4,
            "model_versions": versions,
        }
        await self.write("samplers", name, spec)
        return sampler

    async def add_proxy(self, name: str) -> TcpProxy:
        """Puts a TCP proxy before a sampler and waits until every node uses its address."""
        stored = await self.api.get("samplers", name)
        assert stored is not None
        host, _, port = str(stored.spec["address"]).rpartition(":")
        proxy = TcpProxy(Link(), (host, int(port)))
        address = f"{HOST}:{await proxy.start(HOST)}"
        await self.write("samplers", name, {**stored.spec, "address": address})
        proxy_address = split_address(address)
        for node in (*self.gateways, *self.ledger_nodes.values()):
            directory = node.directory if isinstance(node, Gateway) else node._directory
            await self.wait_until(lambda: _address_of(directory, name) == proxy_address)  # noqa: B023
        return proxy

    def start_ledger_node(self, name: str, host: str, first_start: bool = True) -> None:
        """Starts a ledger node on its data folder."""
        peers = [f"{host}:{self._ledger_port}" for host in self._ledger_hosts]
        settings = ServiceSettings(
            node_id=name,
            zone="a",
            host=host,
            store=self._api_address,
            peers=peers,
            ledger=f"{host}:{self._ledger_port}",
            calls_port=self._calls_port,
            data_folder=str(Path(self._folder.name) / name),
            first_start=first_start,
            metrics_port=self._metrics_port(name, host),
            losses_borne=self._losses_borne,
            bounds=BOUNDS,
        )
        node = LedgerNode(settings, NativeObjectStore(self.api), NativeDialect())
        self.ledger_nodes[name] = node
        self._settings[name] = settings
        self._tasks[name] = asyncio.get_running_loop().create_task(node.run())

    def delete_data(self, name: str) -> None:
        """Removes the data files of a stopped node."""
        folder = Path(self._folder.name) / name
        for file in folder.iterdir():
            file.unlink()

    def settings(self, name: str) -> ServiceSettings:
        """Returns the settings of a node."""
        return self._settings[name]

    def restart(self, name: str) -> None:
        """Starts a killed ledger node again."""
        settings = self._settings[name]
        self.start_ledger_node(name, settings.host, first_start=False)

    async def kill(self, name: str) -> None:
        """Stops a ledger node without a graceful shutdown."""
        node = self.ledger_nodes.pop(name)
        self._tasks.pop(name).cancel()
        node.abort()

    def leader(self) -> str | None:
        """Returns the name of the leader, or None."""
        for name, node in self.ledger_nodes.items():
            if node.is_leading():
                return name
        return None

    def start_gateway(self, name: str, **changes: Any) -> Gateway:
        """Starts a gateway with changed settings and appends it to `gateways`."""
        front = free_port()
        settings = ServiceSettings(
            node_id=name,
            zone="a",
            host=HOST,
            store=self._api_address,
            peers=[f"{host}:{self._ledger_port}" for host in self._ledger_hosts],
            front=f"{HOST}:{front}",
            ready=f"{HOST}:{free_port()}",
            calls_port=self._calls_port,
            metrics_port=self._metrics_port(name, HOST),
            bounds=BOUNDS,
            **changes,
        )
        self._settings[name] = settings
        gateway = Gateway(settings, NativeObjectStore(self.api), NativeDialect())
        self.gateways.append(gateway)
        self.front_ports.append(front)
        self._tasks[name] = asyncio.get_running_loop().create_task(gateway.run())
        return gateway

    def _metrics_port(self, name: str, host: str) -> int:
        """The port for metrics; a process that starts again keeps it."""
        address = self.metrics_addresses.setdefault(name, f"{host}:{free_port(host)}")
        return split_address(address)[1]

    # Callers.

    async def call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        gateway: int = 0,
        **headers: str,
    ) -> HTTPResponse:
        """Sends a request to a gateway."""
        names = NativeDialect.names
        all_headers = {"Host": HOSTNAME}
        if "request_id" in headers:
            all_headers[names.request_id] = headers["request_id"]
        if "model" in headers:
            all_headers["model"] = headers["model"]
        if "authorization" in headers:
            all_headers["Authorization"] = headers["authorization"]
        if "tenant" in headers:
            all_headers[names.tenant] = headers["tenant"]
        if "priority" in headers:
            all_headers[names.priority] = headers["priority"]
        if "deadline_ms" in headers:
            all_headers[names.deadline_ms] = headers["deadline_ms"]
        request = HTTPRequest(
            f"http://{HOST}:{self.front_ports[gateway]}{target}",
            method=method,
            headers=all_headers,
            body=body,
            request_timeout=TIMEOUT_S,
            allow_nonstandard_methods=True,
        )
        return await self._http.fetch(request, raise_error=False)

    async def submit(
        self,
        job_id: str,
        items: list[str],
        rewards: bool = False,
        authorization: str | None = None,
        **fields: Any,
    ) -> HTTPResponse:
        """Submits a job, optionally with a reward call for each item."""
        rows: list[list[Any]] = [
            [item, f"/drafts/{item}", {"model": MODEL}, "Ym9keQ==", "g"] for item in items
        ]
        if rewards:
            for row in rows:
                row.append(reward_call(row[0]))
        body = {"model": MODEL, "items": rows, **fields}
        headers = {"authorization": authorization} if authorization is not None else {}
        return await self.call(
            "POST", "/drafts/j", msgspec.json.encode(body), request_id=job_id, **headers
        )

    async def results(
        self, job_id: str, count: int, gateway: int = 0, **headers: str
    ) -> list[list[Any]]:
        """Reads the results of a job until there are at least `count` of them."""
        results: list[list[Any]] = []
        async with asyncio.timeout(TIMEOUT_S):
            while len(results) < count:
                target = f"/v1/jobs/{job_id}/results?position={len(results)}&wait_s=0.5"
                answer = await self.call("GET", target, gateway=gateway, **headers)
                if answer.code == 200:
                    results += msgspec.json.decode(answer.body)["results"]
        return results


def _address_of(directory: Directory, name: str) -> tuple[str, int] | None:
    tracked = directory.samplers.get(name)
    return tracked.entry.address if tracked is not None else None


def with_cluster(scenario: Callable[[ServiceCluster], Awaitable[None]]) -> None:
    """Runs a scenario on a new cluster."""

    async def run() -> None:
        async with ServiceCluster() as cluster:
            await scenario(cluster)

    configure_logs("error")
    asyncio.run(run())
