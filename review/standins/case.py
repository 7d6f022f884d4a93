"""Runs a case: record, exit code, and the end of all processes that it started."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.programs import Deployment, NotRunnable

BROKEN, HELD, NOT_RUN = 1, 0, 2
TIME_LIMIT_S = 110.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place."""


class Record:
    """Lines of `record.txt`, with seconds since the start."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._started_at: float | None = None
        file.write_text("")

    def write(self, line: str) -> None:
        """Adds a line."""
        now = asyncio.get_running_loop().time()
        if self._started_at is None:
            self._started_at = now
        text = f"{now - self._started_at:8.3f}  {line}"
        print(text)
        with self._file.open("a") as file:
            file.write(text + "\n")


Scenario = Callable[[Path, Record], Awaitable[int]]


def run_case(folder: Path, scenario: Scenario) -> None:
    """Runs a scenario in a temporary folder and exits with its code."""
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            code = asyncio.run(_limited(Path(temporary), record, scenario))
        except (NotRunnable, OSError, asyncio.CancelledError) as error:
            print(f"cannot run: {error!r}")
            code = NOT_RUN
    sys.exit(code)


async def _limited(temporary: Path, record: Record, scenario: Scenario) -> int:
    record.write(f"the disruption {'takes place' if TROUBLE else 'is left out'}")
    scenario_task = asyncio.current_task()
    assert scenario_task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        # The scenario ends its processes when it is cancelled.
        asyncio.get_running_loop().add_signal_handler(number, scenario_task.cancel)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            code = await scenario(temporary, record)
    except TimeoutError:
        record.write("the time is up")
        code = NOT_RUN
    outcome = {BROKEN: "the rule is broken", HELD: "the rule holds", NOT_RUN: "not run"}[code]
    record.write(outcome)
    return code


async def start_all(deployment: Deployment, record: Record) -> None:
    """Starts all machines for the first time, ledger nodes first."""
    for role in ("ledger", "gateway"):
        for machine in deployment.of_role(role):
            machine.start(first=True)
            record.write(f"{machine.name} starts")
