"""A lookup that ends every sampler that runs it, sent again and again while all else goes wrong."""

from __future__ import annotations

import asyncio
import random

import msgspec
from tornado.httpclient import HTTPResponse

from stileloom.quarantine.book import CRASH_THRESHOLD, SHARED_CRASH_THRESHOLD
from tests.soak.callers import Callers
from tests.soak.deployment import Deployment
from tests.soak.record import Record

TARGET = "/charts/poison"
BODY = b"poison"
PAUSE_S = (0.2, 1.2)
WATCH_S = 0.05
DOWN_S = 1.0
"""How long a sampler that ended stays away."""
CALM_ARRIVALS = 12
CALM_PAUSE_S = 0.2


class PoisonLookup:
    """Sends it, and replaces the samplers that it ends.

    It draws from a generator of its own: seeds that ever failed still draw the same faults.
    """

    def __init__(self, deployment: Deployment, callers: Callers, record: Record, seed: int) -> None:
        self.stopped = False
        self.ended = 0
        self._deployment = deployment
        deployment.poison_targets = frozenset({TARGET})
        self._callers = callers
        self._record = record
        self._rng = random.Random(seed)
        self._number = 0

    async def arrive(self) -> None:
        """Arrivals at any gateway, under a new id each, until it is stopped."""
        while not self.stopped:
            await self._send()
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def replace_ended(self) -> None:
        """A sampler that ended is replaced by another after a while, as a platform would."""
        while not self.stopped:
            for name, sampler in list(self._deployment.samplers.items()):
                if not sampler.crashed_by:
                    continue
                self.ended += 1
                self._record.counts["samplers ended"] += 1
                # A fault may have crashed it as well, and replaces it then.
                if self._deployment.samplers.pop(name, None) is not None:
                    await asyncio.sleep(DOWN_S)
                    await self._deployment.write("samplers", name, None)
                    await self._deployment.add_sampler("charts")
            await asyncio.sleep(WATCH_S)

    async def _send(self) -> HTTPResponse:
        self._number += 1
        gateway = self._rng.randrange(len(self._deployment.fronts))
        answer = await self._callers.send(f"poison-{self._number}", TARGET, BODY, gateway)
        self._record.counts[f"poison {answer.code}"] += 1
        return answer

    def judge_total(self, gateway_lives: int) -> None:
        """Each life of a gateway that never reached the ledger may end three; the fleet four."""
        most = SHARED_CRASH_THRESHOLD + CRASH_THRESHOLD * gateway_lives
        if self.ended > most:
            self._record.breaks("a poison lookup ends few samplers", f"{self.ended} over {most}")

    async def judge_in_calm(self) -> None:
        """Once all faults are over it settles: the last arrivals end nothing and are refused."""
        for _ in range(CALM_ARRIVALS):
            await self._send()
            await asyncio.sleep(CALM_PAUSE_S)
        before = self.ended
        for _ in range(CALM_ARRIVALS):
            answer = await self._send()
            code = msgspec.json.decode(answer.body).get("code") if answer.code == 503 else ""
            if code != "quarantined":
                self._record.breaks("a poison lookup is refused", f"{answer.code} {code}")
            await asyncio.sleep(CALM_PAUSE_S)
        if self.ended > before:
            facts = f"{self.ended - before} in calm"
            self._record.breaks("a poison lookup that is known ends nothing", facts)
