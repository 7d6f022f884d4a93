"""Open-loop load generator for lookups that verifies each response."""

from __future__ import annotations

import asyncio
import random
import uuid

import msgspec
from hdrh.histogram import HdrHistogram

from stileloom.client import LookupClient
from stileloom.clock import steady_time
from stileloom.emulator.deployment import LookupDescription
from stileloom.emulator.engine_model import (
    EngineParameters,
    generated_length,
    make_tokens,
    token_content,
)
from stileloom.errors import Outcome, StileloomError
from stileloom.http.lookups import LookupResult

MAX_LATENCY_US = 60_000_000


class LookupCounts(msgspec.Struct):
    """Number of lookups by outcome, as seen by the callers."""

    sent: int = 0
    completed: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong_answer: int = 0


class LookupLoad:
    """Sends lookups at a fixed mean rate, independent of earlier responses."""

    def __init__(
        self,
        gateways: list[str],
        description: LookupDescription,
        engine: EngineParameters,
        seed: int,
    ) -> None:
        self.counts = LookupCounts()
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._clients = {gateway: LookupClient([gateway]) for gateway in gateways}
        self._description = description
        self._engine = engine
        self._rng = random.Random(f"{seed}/lookups")
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False

    def remove_gateway(self, gateway: str) -> None:
        """Stops sending to a gateway."""
        self._clients.pop(gateway, None)

    async def run(self) -> None:
        """Sends lookups until `stop` is called."""
        number = 0
        next_at = steady_time()
        while not self._stopped:
            next_at += self._rng.expovariate(self._description.rate_per_s)
            await asyncio.sleep(max(0.0, next_at - steady_time()))
            if self._stopped:
                return
            number += 1
            task = asyncio.get_running_loop().create_task(self._send(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Stops sending and waits for open lookups."""
        self._stopped = True
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _send(self, number: int) -> None:
        client = self._clients[self._rng.choice(sorted(self._clients))]
        query = f"parcel {number} of {self._rng.randrange(1_000_000)}"
        headers = {"X-Tenant": self._rng.choice(self._description.tenants)}
        if self._rng.random() < self._description.non_repeatable_fraction:
            headers["X-Repeatable"] = "false"
            headers["Idempotency-Key"] = uuid.UUID(int=self._rng.getrandbits(128)).hex
        self.counts.sent += 1
        started_at = steady_time()
        try:
            result = await client.lookup(
                self._description.service, query, self._description.max_tokens, headers
            )
        except StileloomError as error:
            self._count_error(error)
            return
        self.latency_us.record_value(int((steady_time() - started_at) * 1e6))
        self.counts.completed += 1
        if not self._is_correct(query, result):
            self.counts.wrong_answer += 1

    def _count_error(self, error: StileloomError) -> None:
        if error.outcome is Outcome.NOT_RUN:
            self.counts.not_run += 1
        else:
            self.counts.unknown += 1

    def _is_correct(self, query: str, result: LookupResult) -> bool:
        length = generated_length(query, self._description.max_tokens, self._engine)
        expected = [token_content(token) for token in make_tokens(query, 0, length, 0)]
        return [token_content(token) for token in result.tokens] == expected
