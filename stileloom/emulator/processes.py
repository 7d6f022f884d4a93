"""Starts and ends the processes of a run; only the demo and tests use it."""

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
    """The processes of one run, by name; each ends with `stop_all` at the latest."""

    def __init__(self, files: RunFiles) -> None:
        self.files = files
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, *arguments: str) -> None:
        """Starts one `stileloom` process; its logs go to a file of its name."""
        log = (Path(self.files.folder) / f"{name}.log").open("ab")
        with log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", "stileloom.cli.main", *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def start_platform(self) -> None:
        """Starts object API, machine list, weight store and every engine."""
        config = ("--config", self.files.emulator_file)
        self.start("object-api", "emulate", "object-api", *config)
        self.start("machines", "emulate", "machines", *config)
        self.start("weights", "emulate", "weights", *config)
        for sampler in self.files.samplers:
            self.start(f"engine-{sampler}", "emulate", "engine", *config, "--sampler", sampler)

    def start_node(self, node: NodeAddress) -> None:
        """Starts one node."""
        self.start(node.node_id, "serve", "--config", node.settings_file)

    def start_trainer(self, staleness_bound: int) -> None:
        """Starts the trainer."""
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
        """Whether a process has not ended."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """The process id of a process of this run."""
        return self._running[name].pid

    def exit_code(self, name: str) -> int | None:
        """The exit code of a process that has ended."""
        return self._running[name].poll()

    def send(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this run."""
        self._running[name].send_signal(number)

    async def wait_ended(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Waits until a process has ended; its exit code, or None where it goes on."""
        give_up_at = steady_time() + timeout_s
        while self.is_running(name) and steady_time() < give_up_at:
            await asyncio.sleep(0.02)
        return self.exit_code(name)

    async def wait_listening(self, port: int) -> None:
        """Waits until a port takes connections. Raises `StileloomError` (INTERNAL)."""
        give_up_at = steady_time() + START_TIMEOUT_S
        while steady_time() < give_up_at:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                if probe.connect_ex(("127.0.0.1", port)) == 0:
                    return
            await asyncio.sleep(0.05)
        raise StileloomError(ErrorKind.INTERNAL, f"nothing listens on port {port}")

    def stop_all(self) -> None:
        """Ends every process of the run that still goes."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        give_up_at = steady_time() + STOP_TIMEOUT_S
        for process in self._running.values():
            try:
                process.wait(max(0.1, give_up_at - steady_time()))
            except subprocess.TimeoutExpired:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
