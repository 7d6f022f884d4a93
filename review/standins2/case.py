"""Runs a case: starts the deployment and its samplers, plays, and ends all that was started."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins2.platform import Deployment, Record
from standins2.sampler import Sampler

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place."""
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Case:
    """The deployment of a case, with its samplers."""

    def __init__(self, record: Record, ledgers: int = 3, gateways: int = 1) -> None:
        self.record = record
        self.deployment = Deployment(record, ledgers, gateways)
        self.samplers: list[Sampler] = []

    async def add_sampler(self, sampler: Sampler) -> Sampler:
        """Starts a sampler at an address of its own."""
        self.samplers.append(sampler)
        await sampler.start(f"{self.deployment.net}.3.{len(self.samplers)}")
        return sampler

    async def stop(self) -> None:
        """Ends everything."""
        for sampler in self.samplers:
            sampler.stop()
        await self.deployment.stop()


def run_case(
    folder: Path, play: Callable[[Case], Awaitable[bool]], ledgers: int = 3, gateways: int = 1
) -> None:
    """Exits with 1 if `play` returns True (the rule was broken), 0 if not, 2 if it could not."""
    record = Record(folder)
    record.note(f"with the disruption: {TROUBLE}")

    async def run() -> int:
        case = Case(record, ledgers, gateways)
        try:
            return BROKEN if await play(case) else HELD
        finally:
            await case.stop()

    try:
        code = asyncio.run(run())
    except Exception as error:
        # Whatever fails here says nothing about the rule.
        record.note(f"could not run: {error!r}")
        code = NOT_RUN
    record.note(f"exit code {code}")
    record.save()
    sys.exit(code)
