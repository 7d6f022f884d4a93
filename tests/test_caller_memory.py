"""Memory, descriptors and readiness of one gateway process under callers that press on all limits.

The process has the settings of the smallest gateway of the second deployment. Its share of a core
is not limited here.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
import subprocess
import sys
from collections import Counter
from pathlib import Path

import msgspec
import testtools
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPTimeoutError

from stileloom.clock import steady_time
from stileloom.http.native_dialect import NativeDialect
from tests.ports import free_port
from tests.service_cluster import HOST, HOSTNAME, ServiceCluster, with_cluster

MEMORY_MB = 88
DESCRIPTORS = 1638
FEW_DESCRIPTORS = 150
PRESSURE_S = 12.0
RECONNECT_PAUSE_S = 0.25
HOLD_S = 6.0
PART_BYTES = 65_536
READY_TIMEOUT_S = 1.0
PROGRAM = """
import gc, sys
import msgspec
from stileloom.clock import run_main
from stileloom.daemon.gateway import serve_gateway
from stileloom.daemon.native_object_store import NativeObjectStore
from stileloom.daemon.platform_client import ObjectApi
from stileloom.http.native_dialect import NativeDialect
from stileloom.logging import configure_logs
from stileloom.service_settings import ServiceSettings
settings = msgspec.json.decode(sys.argv[1], type=ServiceSettings)
configure_logs("error")
gc.freeze()
store = NativeObjectStore(ObjectApi(settings.store))
run_main(serve_gateway(settings, store, NativeDialect()))
"""
"""Starts a gateway as platform/run.py does, without the command line's libraries."""
HEAD = f"POST /charts/7 HTTP/1.1\r\nHost: {HOSTNAME}\r\n{NativeDialect.names.request_id}: x\r\n"


class GatewayProcess:
    """A gateway in a process of its own, with the ledger nodes and samplers of a cluster."""

    def __init__(self, cluster: ServiceCluster, descriptors: int, known_descriptors: int) -> None:
        self.front_port = free_port()
        settings = cluster.settings("gateway-0")
        self.ready_port = free_port()
        self.metrics_port = free_port()
        spec = {
            "node_id": "pressed",
            "zone": "a",
            "host": HOST,
            "store": settings.store,
            "peers": settings.peers,
            "calls_port": settings.calls_port,
            "front": f"{HOST}:{self.front_port}",
            "ready": f"{HOST}:{self.ready_port}",
            "metrics_port": self.metrics_port,
            "limits": {"memory_mb": MEMORY_MB, "descriptors": known_descriptors},
            "callers": {"limited": True},
        }
        self._process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM, msgspec.json.encode(spec).decode()]
        )
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))

    def memory_mb(self, field: str) -> float:
        """Returns a figure of the process's memory, such as `VmHWM`."""
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name == field:
                return int(value.split()[0]) * 1024 / 1e6
        raise AssertionError(f"no field {field}")

    def open_descriptors(self) -> int:
        """Returns the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    async def is_ready(self) -> bool:
        """Returns whether the readiness endpoint answers 200 on a new connection in time."""
        client = AsyncHTTPClient(force_instance=True)
        try:
            answer = await client.fetch(
                f"http://{HOST}:{self.ready_port}/",
                raise_error=False,
                request_timeout=READY_TIMEOUT_S,
                connect_timeout=READY_TIMEOUT_S,
            )
        except (OSError, HTTPTimeoutError):
            return False
        finally:
            client.close()
        return answer.code == 200

    async def wait_ready(self) -> None:
        """Waits until the process is ready."""
        async with asyncio.timeout(30.0):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Kills the process."""
        self._process.kill()
        await asyncio.to_thread(self._process.wait)


class Pressure:
    """Callers from several addresses, each of which opens a new connection when one ends."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, count: int, address: str, data: bytes, interval_s: float) -> None:
        """Starts `count` callers that send `data` in parts, and again on the next connection."""
        for _ in range(count):
            self._tasks.add(asyncio.ensure_future(self._press(address, data, interval_s)))

    async def stop(self) -> None:
        """Ends all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _press(self, address: str, data: bytes, interval_s: float) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._press_once(address, data, interval_s)
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _press_once(self, address: str, data: bytes, interval_s: float) -> None:
        connection = socket.socket()
        with connection:
            connection.setblocking(False)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            connection.bind((address, 0))
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, (HOST, self._port))
            for start in range(0, len(data), PART_BYTES):
                await loop.sock_sendall(connection, data[start : start + PART_BYTES])
                await asyncio.sleep(interval_s)
            # Nothing is read, so that a response fills the buffers.
            holds_until = steady_time() + HOLD_S
            while steady_time() < holds_until:
                await asyncio.sleep(0.5)
                with contextlib.suppress(BlockingIOError):
                    if not connection.recv(1, socket.MSG_PEEK):
                        return


def raise_descriptor_limit() -> None:
    """Allows this process the sockets of all callers."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class PressedGatewayTest(testtools.TestCase):
    """One gateway process with the memory and descriptors of the smallest machine."""

    def test_memory_and_readiness_under_all_kinds_of_pressure(self) -> None:
        """A gateway over its memory is killed, and with it the requests of all callers."""

        async def scenario(cluster: ServiceCluster) -> None:
            gateway = GatewayProcess(cluster, DESCRIPTORS, DESCRIPTORS)
            pressure = Pressure(gateway.front_port)
            try:
                await gateway.wait_ready()
                await self.press(cluster, gateway, pressure)
            finally:
                await pressure.stop()
                await gateway.stop()

        raise_descriptor_limit()
        with_cluster(scenario)

    async def press(
        self, cluster: ServiceCluster, gateway: GatewayProcess, pressure: Pressure
    ) -> None:
        started_mb = gateway.memory_mb("VmRSS")
        large = HEAD + "".join(f"F{n}: x\r\n" for n in range(1_500))
        unread = HEAD + "Content-Length: 400000\r\n\r\n" + "x" * 400_000
        endless = HEAD + "Content-Length: 30000000\r\n\r\n" + "x" * 10_000_000
        for number in range(1, 6):
            pressure.start(180, f"127.0.1.{number}", HEAD.encode(), 0.0)
        pressure.start(100, "127.0.2.1", b"", 0.0)
        pressure.start(100, "127.0.3.1", large.encode(), 0.0)
        pressure.start(60, "127.0.4.1", unread.encode(), 0.0)
        pressure.start(40, "127.0.5.1", endless.encode(), 0.05)
        cluster.front_ports.append(gateway.front_port)
        codes: list[int] = []
        ready: list[bool] = []
        highest_descriptors = 0
        ends_at = steady_time() + PRESSURE_S
        while steady_time() < ends_at:
            answer = await cluster.call(
                "POST", "/charts/7", b"x", len(cluster.front_ports) - 1, request_id=f"o{len(codes)}"
            )
            codes.append(answer.code)
            ready.append(await gateway.is_ready())
            highest_descriptors = max(highest_descriptors, gateway.open_descriptors())
            await asyncio.sleep(0.05)
        highest_mb = gateway.memory_mb("VmHWM")
        figures = (
            f"at the start {started_mb:.1f} MB, highest {highest_mb:.1f} MB, "
            f"descriptors {highest_descriptors}, answers {Counter(codes)}, ready {Counter(ready)}"
        )
        self.assertTrue(highest_mb <= MEMORY_MB, figures)
        self.assertTrue(all(ready), figures)
        self.assertTrue(set(codes) <= {200, 503}, figures)
        self.assertTrue(codes.count(200) >= 0.95 * len(codes), figures)
        self.assertTrue(highest_descriptors < DESCRIPTORS, figures)

    def test_readiness_answers_while_callers_take_all_descriptors(self) -> None:
        """The settings do not name the descriptors, so that nothing but the process limits them.

        First all are taken by header sections, and then by requests that run, which are not closed.
        """

        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].faults.work_s = 4.0
            gateway = GatewayProcess(cluster, FEW_DESCRIPTORS, 0)
            pressure = Pressure(gateway.front_port)
            running = HEAD + "Content-Length: 1\r\n\r\nx"
            try:
                await gateway.wait_ready()
                for data in (HEAD, running):
                    pressure.start(FEW_DESCRIPTORS, "127.0.1.1", data.encode(), 0.0)
                    highest = 0
                    for _ in range(30):
                        self.assertTrue(await gateway.is_ready())
                        highest = max(highest, gateway.open_descriptors())
                        await asyncio.sleep(0.1)
                    self.assertTrue(highest >= FEW_DESCRIPTORS - 10, highest)
            finally:
                await pressure.stop()
                await gateway.stop()

        raise_descriptor_limit()
        with_cluster(scenario)
