"""Forwarders, samplers and callers in virtual time, without a network.

The forwarders are those of the programs; only the clock and the connections to samplers are
replaced. With the admission queue inactive they are the earlier design.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random
import selectors
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

import msgspec
from prometheus_client import CollectorRegistry
from tornado.httputil import HTTPHeaders

from stileloom.api.headers import HeaderNames
from stileloom.api.routes import Backend, Route, RouteKind
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.errors import StileloomError
from stileloom.http1.connection import ExchangeEnd, ExchangeSink
from stileloom.http1.response_decoder import ResponseHead
from stileloom.logging import EventLog
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.lookup import Lookup
from stileloom.proxy.metrics import AttemptMetrics
from stileloom.proxy.sampler_access import SamplerAccess
from stileloom.proxy.sampler_table import SamplerTable
from stileloom.quarantine.guard import QuarantineGuard
from stileloom.quarantine.metrics import QuarantineMetrics

SERVICE = "charts"
NAMES = HeaderNames()
Work = Callable[[int, float], float]
"""Duration of the work that begins at a time, by the sampler's number."""
TRIP_S = 0.0007
"""Time of a message between a gateway and a sampler."""
CALLER_TRIP_S = 0.001
CLOCKS = ("proxy.forwarder", "proxy.admission_waiters", "quarantine.guard")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting."""

    def __init__(self) -> None:
        self._now = 0.0
        selector = selectors.SelectSelector()
        selector.select = self._advance  # type: ignore[method-assign]
        super().__init__(selector)

    def _advance(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "all tasks wait and no timer is set"
        self._now += max(0.0, timeout)
        return []

    def time(self) -> float:
        return self._now


def run_virtual(scenario: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Runs a scenario from time 0."""
    with contextlib.ExitStack() as stack:
        runner = stack.enter_context(asyncio.Runner(loop_factory=VirtualTimeLoop))
        for module in CLOCKS:
            clock = runner.get_loop().time
            stack.enter_context(mock.patch(f"stileloom.{module}.steady_time", clock))
        return runner.run(scenario())


class Sampler(msgspec.Struct):
    """A sampler that refuses requests beyond its slots."""

    number: int
    slots: int
    work_s: Work
    status: int = 200
    running: int = 0
    received: int = 0
    refused: int = 0
    opened: int = 0
    trace: list[tuple[float, str, bool]] = []
    """Time and target of each request that was received, and whether it ran."""

    def receive(self, connection: Connection, request: bytes) -> None:
        loop = asyncio.get_running_loop()
        self.received += 1
        runs = self.running < self.slots
        self.trace.append((round(loop.time(), 6), request.split(b" ", 2)[1].decode(), runs))
        if not runs:
            self.refused += 1
            loop.call_later(TRIP_S, connection.respond, 503, {NAMES.not_run: "1"})
            return
        self.running += 1
        connection.runs = True
        loop.call_later(self.work_s(self.number, loop.time()), self.end, connection)

    def end(self, connection: Connection) -> None:
        """Ends a request that still runs."""
        if connection.runs:
            connection.runs = False
            self.running -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(TRIP_S, connection.respond, self.status, {})


class Connection:
    """Replaces `SamplerConnection`."""

    def __init__(self, sampler: Sampler) -> None:
        self.runs = False
        self.usable = True
        self._sampler = sampler
        self._sink: ExchangeSink | None = None
        self._headers: dict[str, str] = {}
        """Headers that each answer to the current request has."""

    def exchange(
        self, request: bytes, sink: ExchangeSink, method: str, max_body_bytes: int
    ) -> None:
        self._sink = sink
        request_id = f"r{request.split(b' ', 2)[1].decode().removeprefix('/')}"
        self._headers = {NAMES.request_id: request_id, NAMES.signature: "signed"}
        loop = asyncio.get_running_loop()
        loop.call_later(TRIP_S, self._sampler.receive, self, request)

    def respond(self, status: int, headers: dict[str, str]) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_head(ResponseHead(status, "", HTTPHeaders(self._headers | headers)))
            sink.on_end(ExchangeEnd.COMPLETE)

    def close(self) -> None:
        self.usable = False
        self._sink = None
        if self.runs:
            self.runs = False
            self._sampler.running -= 1


class Call(msgspec.Struct):
    """One request of a caller, which returns once if it is refused."""

    number: int
    tenant: str
    priority: int
    arrived_at: float
    refused_after_s: list[float] = []
    retry_after_s: list[float] = []
    returned_at: float | None = None
    status: int = 0
    """Of a sampler's response; 0 without one."""
    took_s: float = 0.0
    error: str = ""


class Load(msgspec.Struct, frozen=True):
    """Calls per second of a tenant, at random times."""

    per_second: float
    start_s: float
    end_s: float
    tenant: str = ""
    priority: int = 5
    gateways: range = range(1)


class Fleet:
    """Gateways with the lookups' samplers of a deployment."""

    def __init__(
        self,
        active: bool,
        gateways: int,
        samplers: int = 5,
        slots: int = 6,
        work_s: Work = lambda number, now: 0.0357,
        target_s: float = 0.186,
        deadline_s: float = 1.507,
        max_attempts: int = 3,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.samplers = [Sampler(number, slots, work_s) for number in range(samplers)]
        self.calls: list[Call] = []
        self.log = mock.Mock(spec=EventLog)
        self.deadline_s = deadline_s
        self.route = Route(
            name="charts",
            host="h",
            path_prefix="/",
            kind=RouteKind.SAFE,
            backends=[Backend(SERVICE, 1.0)],
            timeout_s=deadline_s,
            target_latency_s=target_s,
            max_attempts=max_attempts,
        )
        self.registries = [CollectorRegistry() for _ in range(gateways)]
        self.forwarders = [self._forwarder(active, registry) for registry in self.registries]

    def _forwarder(self, active: bool, registry: CollectorRegistry) -> Forwarder:
        table = SamplerTable()
        for number, sampler in enumerate(self.samplers):
            name = f"s{number}"
            table.put(SamplerEntry(name, SERVICE, (name, 0), "a", sampler.slots, False, {}))
        metrics = AttemptMetrics(registry)
        guard = QuarantineGuard(mock.Mock(), self.log, QuarantineMetrics(registry))
        rng = random.Random(self.rng.random())
        access = SamplerAccess("a", table, NAMES, self.log, metrics, rng, guard)
        return Forwarder(access, True, lambda service, now: active)

    def run(self, loads: list[Load], returns: bool = True) -> list[Call]:
        """Runs all calls to their ends."""

        async def scenario() -> None:
            tasks = []
            for load in loads:
                count = round(load.per_second * (load.end_s - load.start_s))
                for _ in range(count):
                    at = self.rng.uniform(load.start_s, load.end_s)
                    call = Call(len(self.calls), load.tenant, load.priority, at)
                    self.calls.append(call)
                    gateway = self.rng.choice(load.gateways)
                    tasks.append(asyncio.ensure_future(self._call(call, gateway, returns)))
            with self.connections():
                await asyncio.gather(*tasks)

        run_virtual(scenario)
        return self.calls

    @contextlib.contextmanager
    def connections(self) -> Any:
        """Replaces connections to samplers."""

        async def open_connection(address: tuple[str, int]) -> Connection:
            sampler = self.samplers[int(address[0][1:])]
            sampler.opened += 1
            await asyncio.sleep(2 * TRIP_S)
            return Connection(sampler)

        with mock.patch("stileloom.http1.pool.SamplerConnection.open", open_connection):
            yield

    async def _call(self, call: Call, gateway: int, returns: bool) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(call.arrived_at)
        await self.send(call, gateway)
        if call.error and returns and call.retry_after_s:
            await asyncio.sleep(call.retry_after_s[-1] + 2 * CALLER_TRIP_S)
            call.returned_at = loop.time()
            await self.send(call, gateway)
        call.took_s = loop.time() - call.arrived_at

    async def send(self, call: Call, gateway: int) -> None:
        """Sends a call once and records its outcome."""
        now = asyncio.get_running_loop().time()
        lookup = self.lookup(call, now)
        call.error = ""
        try:
            response = await self.forwarders[gateway].forward(lookup, self.route, SERVICE)
            call.status = response.head.status
        except StileloomError as error:
            call.error = error.kind.value
            if error.kind.value == "overloaded":
                call.refused_after_s.append(asyncio.get_running_loop().time() - now)
                call.retry_after_s.append(error.retry_after_s or 0.0)

    def lookup(self, call: Call, now: float) -> Lookup:
        return Lookup(
            f"r{call.number}",
            "GET",
            f"/{call.number}",
            [],
            b"",
            now,
            now + self.deadline_s,
            tenant=call.tenant,
            priority=call.priority,
        )

    # Results.

    def in_time(self, calls: list[Call]) -> float:
        """Share of calls that were answered within the target latency of their first request."""
        target_s = self.route.target_latency_s
        return sum(c.status == 200 and c.took_s <= target_s for c in calls) / max(1, len(calls))

    def total(self, name: str) -> int:
        return sum(getattr(sampler, name) for sampler in self.samplers)

    def digest(self) -> str:
        """Digest of all decisions: what each sampler received when, and what callers got."""
        seen: list[Any] = [sampler.trace for sampler in self.samplers]
        seen += [
            (call.status, call.error, call.retry_after_s, round(call.took_s, 6))
            for call in self.calls
        ]
        return hashlib.sha256(repr(seen).encode()).hexdigest()


def noisy_work(usual_s: float, share: float, seed: int = 1) -> Work:
    """Work that takes 2.5 times as long at a different share of the samplers every 0.6 s."""

    def work_s(number: int, now: float) -> float:
        slow = random.Random(f"{seed}/{int(now / 0.6)}/{number}").random() < share
        return usual_s * (2.5 if slow else 1.0)

    return work_s


def mixed_decisions(fleet: Fleet) -> str:
    """Digest of a load with waits, refusals, repeats, hedges and failures."""
    fleet.samplers[0].status = 500
    fleet.run([Load(1000, 0.0, 1.0, gateways=range(6)), Load(100, 1.0, 2.0, gateways=range(6))])
    return fleet.digest()
