"""Gateways and ledger nodes as processes, started, signalled and ended by their own ids only."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

from stileloom.clock import steady_time

KILL_WAIT_S = 10.0
GRACE_S = 8.0
STARTED = b'"event": "node_started"'
"""A program logs this once its handlers of signals stand."""
ELECTED = b'"event": "leader_elected"'


class Program:
    """One program with its settings file; each start is a new process."""

    def __init__(self, name: str, role: str, folder: Path) -> None:
        self.name = name
        self.lives = 0
        """How often it was started."""
        self.paused = False
        self._role = role
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._ended_by_us = False
        self._life_begins = 0
        """Where the log of this life begins, in bytes."""

    @property
    def settings_file(self) -> Path:
        """Where its settings are read from."""
        return self._folder / f"{self.name}.toml"

    @property
    def log_file(self) -> Path:
        """Where its output goes."""
        return self._folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Whether the process goes, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process, if none runs: a second one could never be ended by its id."""
        if self.running:
            return
        self.lives += 1
        self.paused = False
        self._ended_by_us = False
        with self.log_file.open("ab") as log:
            self._life_begins = log.tell()
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "stileloom.cli.main",
                    self._role,
                    "--config",
                    str(self.settings_file),
                ],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    async def started(self) -> None:
        """Returns once this life logged its start, or has ended."""
        while self.running and STARTED not in self.log_file.read_bytes()[self._life_begins :]:
            await asyncio.sleep(0.05)

    def newest_epoch(self) -> int:
        """The last epoch in which this ledger node was elected; 0 if it never was."""
        log = self.log_file.read_bytes() if self.log_file.exists() else b""
        lines = [line for line in log.splitlines() if ELECTED in line]
        return int(msgspec.json.decode(lines[-1])["epoch"]) if lines else 0

    def peak_mb(self) -> int:
        """The most memory that this life has held; 0 if it has ended."""
        if not self.running or self._process is None:
            return 0
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) // 1024

    def ended_by_itself(self) -> int | None:
        """The exit code of a process that nobody told to end, or None."""
        if self._process is None or self._ended_by_us:
            return None
        return self._process.poll()

    async def kill(self) -> None:
        """SIGKILL."""
        await self._end(signal.SIGKILL, KILL_WAIT_S)

    async def terminate(self) -> bool:
        """SIGTERM; whether it ended within its grace, and as it should."""
        self.resume()
        has_started = STARTED in self.log_file.read_bytes()[self._life_begins :]
        code = await self._end(signal.SIGTERM, GRACE_S)
        if code is None:
            await self.kill()
        # Before it has set up its handlers a process ends by the signal; it has read nothing.
        return code == 0 or (not has_started and code == -signal.SIGTERM)

    def refuse_writes(self, refuse: bool) -> None:
        """Files may not grow, as on a full disk: a limit that is set from outside."""
        if self.running and self._process is not None:
            _, hard = resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE)
            limit = 0 if refuse else hard
            resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE, (limit, hard))

    def pause(self) -> None:
        """SIGSTOP."""
        if self.running and self._process is not None:
            self._process.send_signal(signal.SIGSTOP)
            self.paused = True

    def resume(self) -> None:
        """SIGCONT."""
        if self.running and self._process is not None:
            self._process.send_signal(signal.SIGCONT)
        self.paused = False

    async def _end(self, number: signal.Signals, wait_s: float) -> int | None:
        process = self._process
        if process is None or process.poll() is not None:
            return process.returncode if process is not None else None
        self._ended_by_us = True
        os.kill(process.pid, number)
        give_up_at = steady_time() + wait_s
        while process.poll() is None and steady_time() < give_up_at:
            looked_at = steady_time()
            await asyncio.sleep(0.02)
            if self.paused:
                # Another fault paused it meanwhile; it can end only once it goes on.
                give_up_at += steady_time() - looked_at
        return process.poll()
