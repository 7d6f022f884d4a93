"""Rows of crashes of the samplers that run items, while all else goes wrong."""

from __future__ import annotations

import asyncio
import random

from stileloom.clock import steady_time
from tests.soak.deployment import Deployment
from tests.soak.record import Record

SERVICE = "drafts"
PAUSE_S = (4.0, 9.0)
ROW = (4, 7)
GAP_S = (0.1, 0.3)
"""Within the time that an item takes, so that a row strikes the same items again."""
RUNNING_S = 1.5
"""Crashes strike a sampler on which an item began so recently, if there is one."""


class CrashRows:
    """Crashes samplers in rows, and replaces each one at once.

    It draws from a generator of its own: seeds that ever failed still draw the same faults.
    """

    def __init__(self, deployment: Deployment, record: Record, seed: int) -> None:
        self._deployment = deployment
        self._record = record
        self._rng = random.Random(seed)
        self._removals: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Rows one after another, until it is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            for _ in range(self._rng.randint(*ROW)):
                await self._crash_one()
                await asyncio.sleep(self._rng.uniform(*GAP_S))

    async def finish(self) -> None:
        """Waits until the entries of all crashed samplers are removed."""
        if self._removals:
            await asyncio.wait(self._removals)

    async def _crash_one(self) -> None:
        name = self._victim()
        if name is None:
            return
        self._record.counts["samplers crashed in rows"] += 1
        self._deployment.stop_listening(name)
        removal = asyncio.get_running_loop().create_task(self._deployment.crash_sampler(name))
        self._removals.add(removal)
        removal.add_done_callback(self._removals.discard)
        await self._deployment.add_sampler(SERVICE)

    def _victim(self) -> str | None:
        """The sampler that began most items lately; None if only one is left."""
        names = sorted(name for name in self._deployment.samplers if name.startswith(SERVICE))
        if len(names) < 2:
            return None
        now = steady_time()
        recent = {
            name: sum(
                run.started_at > now - RUNNING_S for run in self._deployment.samplers[name].runs
            )
            for name in names
        }
        return max(names, key=lambda name: (recent[name], self._rng.random()))
