"""Starts, signals and ends the project's programs as the users' platform does."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from standins2.store import Store

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 8.0
CONTRACTS = ["base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch"]
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "leaseMs": 3000,
    "thawMs": 300,
    "fencingEnforced": True,
}
HOST = "maps.example"


class Record:
    """Lines with the time since the start; written to `record.txt` at the end."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._started_at = time.perf_counter()
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Adds a line."""
        self._lines.append(f"{time.perf_counter() - self._started_at:8.3f} {text}")

    def save(self) -> None:
        """Writes all lines."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Program:
    """A gateway or ledger node; each start is a new process with the settings of that moment."""

    def __init__(self, name: str, role: str, settings: dict[str, Any], folder: Path) -> None:
        self.name = name
        self.settings = settings
        self._role = role
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def log(self) -> Path:
        """Where its output goes."""
        return self._folder / f"{self.name}.log"

    def start(self) -> None:
        """Writes the settings file from the template of the deploy file and starts the process."""
        template = (ROOT / "deploy" / f"{self._role}.toml.in").read_text()
        boot = self._folder / f"{self.name}.toml"
        boot.write_text(fill(template, self.settings))
        command = [sys.executable, "platform/run.py", self._role]
        if self._role == "gateway":
            command.append(",".join(self.settings["contracts"]))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["STILELOOM_BOOT"] = str(boot)
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.running and self._process is not None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL; returns once the process has ended."""
        self.send(signal.SIGKILL)
        await self.ended(5.0)

    async def terminate(self) -> None:
        """SIGTERM, then SIGKILL after the grace."""
        self.send(signal.SIGTERM)
        if not await self.ended(GRACE_S):
            await self.kill()

    async def ended(self, within_s: float) -> bool:
        """Waits for the end of the process; whether it came in time."""
        give_up_at = time.perf_counter() + within_s
        while self.running and time.perf_counter() < give_up_at:
            await asyncio.sleep(0.02)
        return not self.running


class Deployment:
    """The store and the programs of a small deployment, each machine with its own address."""

    def __init__(self, record: Record, ledgers: int = 3, gateways: int = 1) -> None:
        self.record = record
        self.store = Store()
        self.folder = Path(tempfile.mkdtemp(prefix="stileloom-review-"))
        self.net = f"127.{random.randint(20, 250)}"
        self.ledgers: list[Program] = []
        self.gateways: list[Program] = []
        self._ledger_count = ledgers
        self._gateway_count = gateways
        self._ports: list[int] = []
        self._seeds: list[str] = []

    async def start(
        self, configuration: dict[str, Any], contracts: list[str] | None = None
    ) -> None:
        """Starts the store and all programs; the configuration precedes them."""
        await self.prepare(configuration, contracts)
        for program in [*self.ledgers, *self.gateways]:
            program.start()
        await self.gateways_ready()

    async def prepare(
        self, configuration: dict[str, Any], contracts: list[str] | None = None
    ) -> None:
        """Starts the store and lays out the programs without starting them."""
        await self.store.start(f"{self.net}.0.1")
        self.store.put("config", "main", configuration)
        self.record.note(f"configuration {configuration['version']} is in the store")
        hosts = [f"{self.net}.1.{number}" for number in range(1, self._ledger_count + 1)]
        fronts = [f"{self.net}.2.{number}" for number in range(1, self._gateway_count + 1)]
        self._ports = free_ports([*hosts, *fronts], 4)
        self._seeds = hosts
        for host in hosts:
            self._add_ledger(host, contracts)
        for number, host in enumerate(fronts, start=1):
            name = f"edge-{number}"
            settings = self._settings(name, "edge", host, hosts, contracts)
            self.gateways.append(Program(name, "gateway", settings, self.folder))

    def add_ledger(self) -> Program:
        """A new machine with an empty disk, at another address."""
        program = self._add_ledger(f"{self.net}.1.{len(self.ledgers) + 1}", None)
        program.settings["bootstrap"] = False
        return program

    def _add_ledger(self, host: str, contracts: list[str] | None) -> Program:
        name = f"storage-{len(self.ledgers) + 1}"
        settings = self._settings(name, "storage", host, self._seeds, contracts)
        settings["dataDir"] = str(self.folder / f"{name}-data")
        program = Program(name, "ledger", settings, self.folder)
        self.ledgers.append(program)
        return program

    def _settings(
        self, name: str, role: str, host: str, seeds: list[str], contracts: list[str] | None
    ) -> dict[str, Any]:
        front, ready, control, calls = self._ports
        store_host, store_port = self.store.address
        return {
            "nodeName": name,
            "machineClass": role,
            "ip": host,
            "zone": "zone-a",
            "listen": {
                "front": f"{host}:{front}",
                "ready": f"{host}:{ready}",
                "control": f"{host}:{control}",
            },
            "portRange": [calls, calls],
            "seeds": [f"{seed}:{control}" for seed in seeds],
            "bootstrap": True,
            "limits": {"memoryMb": 300, "maxFds": 4100, "diskMb": 400},
            "dataDir": None,
            "contracts": contracts or [*CONTRACTS, "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "provider": {"address": f"{store_host}:{store_port}"},
        }

    def front(self, number: int = 0) -> tuple[str, int]:
        """The address of a gateway for callers."""
        return _split(self.gateways[number].settings["listen"]["front"])

    async def gateways_ready(self, within_s: float = 20.0) -> None:
        """Waits until all gateways answer 200 at their ready address, as the platform does."""
        give_up_at = time.perf_counter() + within_s
        for gateway in self.gateways:
            while not await is_ready(_split(gateway.settings["listen"]["ready"])):
                if time.perf_counter() > give_up_at:
                    raise CannotRun(f"{gateway.name} does not get ready")
                await asyncio.sleep(0.1)
        self.record.note("all gateways are ready")

    def leader(self) -> Program | None:
        """The ledger node that was elected last, by the logs."""
        newest: tuple[int, Program] | None = None
        for program in self.ledgers:
            text = program.log.read_text(errors="replace") if program.log.exists() else ""
            epochs = [
                json.loads(line)["epoch"]
                for line in text.splitlines()
                if '"event": "leader_elected"' in line
            ]
            if epochs and (newest is None or epochs[-1] > newest[0]):
                newest = (epochs[-1], program)
        return newest[1] if newest is not None else None

    async def stop(self) -> None:
        """Ends all processes and removes their files."""
        for program in [*self.ledgers, *self.gateways]:
            program.send(signal.SIGCONT)
            await program.kill()
        self.store.stop()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


async def is_ready(address: tuple[str, int]) -> bool:
    """Asks a gateway's ready address."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await reader.readline()
            writer.close()
            return b" 200 " in head
    except (OSError, TimeoutError):
        return False


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Ports that are free on all these addresses."""
    found: list[int] = []
    while len(found) < count:
        port = random.randint(20_000, 32_000)
        if port not in found and all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def fill(template: str, settings: dict[str, Any]) -> str:
    """Fills the gaps of a settings template; sections whose value is absent are left out."""
    section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.DOTALL)
    while (match := section.search(template)) is not None:
        kept = match.group(2) if _value(settings, match.group(1)) else ""
        template = template[: match.start()] + kept + template[match.end() :]
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", lambda gap: _gap(gap, settings), template)


def _gap(gap: re.Match[str], settings: dict[str, Any]) -> str:
    value = _value(settings, gap.group(1))
    if gap.group(2) is not None or isinstance(value, bool):
        return json.dumps(value)
    if value is None:
        return ""
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def _value(settings: dict[str, Any], path: str) -> Any:
    value: Any = settings
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value
