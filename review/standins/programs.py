"""The project's programs as processes of a small deployment, on loopback addresses.

The commands come from the deploy file and the settings from its templates. Only processes that
were started here are signalled.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
VENV_PYTHON = ROOT / ".venv" / "bin" / "python"
CONTRACTS = "base,drain,config,cost,recover,samples,stream,engine,batch,platform"
BOUNDS = {"drainMs": 2000, "configMs": 2000, "graceS": 8, "leaseMs": 3000, "statusS": 120}
"""Those of the small deployments."""
METRICS_LINE = re.compile(r"^metrics_port = \d+$", re.MULTILINE)
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


class NotRunnable(Exception):
    """The case cannot run here."""


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Ports that are free for TCP and UDP on all of the hosts."""
    found: list[int] = []
    for _ in range(200):
        port = random.randrange(20_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        tried = stack.enter_context(socket.socket(socket.AF_INET, kind))
                        tried.bind((host, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
        if len(found) == count:
            return found
    raise NotRunnable("no free ports")


def loopback_hosts(count: int) -> list[str]:
    """Addresses in the loopback range, one for each machine."""
    second, third = random.randrange(20, 250), random.randrange(1, 250)
    return [f"127.{second}.{third}.{number}" for number in range(10, 10 + count)]


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills a settings template: values, values as JSON, and sections of what is given."""

    def section(match: re.Match[str]) -> str:
        return render(match[2], fields) if _lookup(fields, match[1]) else ""

    def value(match: re.Match[str]) -> str:
        found = _lookup(fields, match[1])
        if match[2] or isinstance(found, bool):
            return json.dumps(found)
        return "" if found is None else str(found)

    return VALUE.sub(value, SECTION.sub(section, template))


def _lookup(fields: Any, path: str) -> Any:
    for key in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(key)]
        else:
            fields = fields.get(key) if isinstance(fields, dict) else None
    return fields


@dataclasses.dataclass
class Machine:
    """One machine with one program; it may be started several times."""

    name: str
    role: str
    zone: str
    host: str
    fields: dict[str, Any]
    folder: Path
    metrics_port: int
    process: subprocess.Popen[bytes] | None = None

    def start(self, first: bool) -> None:
        """Starts the program; `first` only at the first start of the whole system."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"][self.role]
        template = (ROOT / role["template"]).read_text()
        settings = render(template, {**self.fields, "bootstrap": first})
        settings = METRICS_LINE.sub(f"metrics_port = {self.metrics_port}", settings)
        settings_file = self.folder / f"{self.name}.toml"
        settings_file.write_text(settings)
        words = role["run"].replace("{{contracts}}", CONTRACTS).split()
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["STILELOOM_BOOT"] = str(settings_file)
        if DEPENDENCIES.is_dir():
            environment["PYTHONPATH"] = str(DEPENDENCIES)
        elif VENV_PYTHON.exists():
            words[0] = str(VENV_PYTHON)
        else:
            raise NotRunnable("neither target/deps nor .venv is built")
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    @property
    def log_file(self) -> Path:
        """Its output, of all starts."""
        return self.folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Signals its process, if it runs."""
        if self.running and self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends its process at once."""
        if self.running and self.process is not None:
            self.process.kill()
            self.process.wait()

    def lose_disk(self) -> None:
        """Removes its data folder; its process must have ended."""
        if self.fields["dataDir"]:
            shutil.rmtree(self.fields["dataDir"], ignore_errors=True)

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """The lines of its log with this event."""
        if not self.log_file.exists():
            return []
        lines = self.log_file.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if f'"event": "{event}"' in line]


class Deployment:
    """Gateways and ledger nodes in three zones, and the address of the store."""

    def __init__(self, folder: Path, gateways: int, ledger_nodes: int, spares: int = 0) -> None:
        count = gateways + ledger_nodes + spares
        hosts = loopback_hosts(count + 2)
        ports = free_ports(hosts, 6)
        control, first_port, front, ready, metrics, store = ports
        self.store_address = (hosts[-1], store)
        self.sampler_host = hosts[-2]
        self.folder = folder
        self._control = control
        seeds = [f"{host}:{control}" for host in hosts[gateways : gateways + ledger_nodes]]
        self.machines: dict[str, Machine] = {}
        for index in range(count):
            is_gateway = index < gateways
            role = "gateway" if is_gateway else "ledger"
            name = f"{'edge' if is_gateway else 'storage'}-{index + 1}"
            zone = f"zone-{index % 3}"
            fields: dict[str, Any] = {
                "nodeName": name,
                "ip": hosts[index],
                "zone": zone,
                "provider": {"address": f"{hosts[-1]}:{store}"},
                "seeds": seeds,
                "listen": {
                    "front": f"{hosts[index]}:{front}",
                    "ready": f"{hosts[index]}:{ready}",
                    "control": f"{hosts[index]}:{control}",
                },
                "portRange": [first_port, first_port + 15],
                "tolerate": {"machines": 1},
                "limits": {"memoryMb": 300 if is_gateway else 360, "maxFds": 4100, "diskMb": 620},
                "bounds": BOUNDS,
                "dataDir": None if is_gateway else str(folder / f"{name}-data"),
            }
            self.machines[name] = Machine(name, role, zone, hosts[index], fields, folder, metrics)
        self.front_port = front
        self.ready_port = ready
        self.spares = list(self.machines)[gateways + ledger_nodes :]

    def of_role(self, role: str) -> list[Machine]:
        """The machines of a role that are not spare."""
        return [
            machine
            for machine in self.machines.values()
            if machine.role == role and machine.name not in self.spares
        ]

    def front(self, machine: Machine) -> tuple[str, int]:
        """The address for clients of a gateway."""
        return (machine.host, self.front_port)

    def ready(self, machine: Machine) -> tuple[str, int]:
        """The readiness address of a gateway."""
        return (machine.host, self.ready_port)

    def kill_all(self) -> None:
        """Ends all processes that were started."""
        for machine in self.machines.values():
            machine.kill()
