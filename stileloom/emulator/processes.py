"""Starts and stops the processes of a run, for the demo, the scale benchmark and tests."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from stileloom.clock import steady_time
from stileloom.emulator.deployment import NodeAddress, RunFiles
from stileloom.errors import ErrorKind, StileloomError

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


class Processes:
    """The processes of one run, by name; `stop_all` stops those still running."""

    def __init__(self, files: RunFiles) -> None:
        self.files = files
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, *arguments: str) -> None:
        """Starts a `stileloom` process that logs to `{name}.log`."""
        log = (Path(self.files.folder) / f"{name}.log").open("ab")
        with log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", "stileloom.cli.main", *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def start_platform(self) -> None:
        """Starts the object API, machine list, weight store and all engines."""
        config = ("--config", self.files.emulator_file)
        self.start("object-api", "emulate", "object-api", *config)
        self.start("machines", "emulate", "machines", *config)
        self.start("weights", "emulate", "weights", *config)
        for sampler in self.files.samplers:
            self.start(f"engine-{sampler}", "emulate", "engine", *config, "--sampler", sampler)

    def start_node(self, node: NodeAddress) -> None:
        self.start(node.node_id, "serve", "--config", node.settings_file)

    def start_trainer(self, staleness_bound: int) -> None:
        self.start(
            "trainer",
            "emulate",
            "trainer",
            "--config",
            self.files.emulator_file,
            "--staleness-bound",
            str(staleness_bound),
        )

    def is_running(self, name: str) -> bool:
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        return self._running[name].pid

    def exit_code(self, name: str) -> int | None:
        """Returns the exit code of a process, or None while it is running."""
        return self._running[name].poll()

    def send(self, name: str, number: signal.Signals) -> None:
        self._running[name].send_signal(number)

    async def wait_ended(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Waits for a process to exit. Returns its exit code, or None on a timeout."""
        deadline = steady_time() + timeout_s
        while self.is_running(name) and steady_time() < deadline:
            await asyncio.sleep(0.02)
        return self.exit_code(name)

    async def wait_listening(self, port: int) -> None:
        """Waits until a port accepts connections. Raises `StileloomError` (INTERNAL)."""
        deadline = steady_time() + START_TIMEOUT_S
        while steady_time() < deadline:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                if probe.connect_ex(("127.0.0.1", port)) == 0:
                    return
            await asyncio.sleep(0.05)
        raise StileloomError(ErrorKind.INTERNAL, f"nothing listens on port {port}")

    def stop_all(self) -> None:
        """Terminates all running processes, and kills those that do not exit in time."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = steady_time() + STOP_TIMEOUT_S
        for process in self._running.values():
            try:
                process.wait(max(0.1, deadline - steady_time()))
            except subprocess.TimeoutExpired:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
