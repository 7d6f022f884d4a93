"""Lookups of many gateways at samplers of uneven speed, in virtual time.

Attempts, hedges and refusals are those of the product; gateways of a zone learn the readings of
full or slow samplers from each other after `SHARING_S`.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import msgspec

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.errors import StileloomError
from stileloom.load import LoadReading, LoadView
from stileloom.proxy.admission import wait_or_refuse
from stileloom.proxy.attempt_plan import AttemptPlan
from stileloom.proxy.sampler_choice import SamplerChoice
from stileloom.proxy.sampler_table import SamplerTable, TrackedSampler

SERVICE = "lookups"
PERIOD_S = 0.6
"""How long the speed of a sampler stays the same."""
ONE_WAY_S = 0.0005
SHARING_S = 0.2
ZONES = "abcd"


class LookupLoad(msgspec.Struct, frozen=True):
    """The second deployment, with the slowness of each sampler by number of the period."""

    slowness: Callable[[int, int], float]
    per_second: float = 6.0
    seconds: float = 8.0
    one_zone: bool = False
    """Whether all lookups arrive at the gateways of one zone."""
    gateways: int = 76
    samplers: int = 4
    slots: int = 6
    work_s: float = 0.028
    target_s: float = 0.178
    deadline_s: float = 2.013


class Gateway:
    """What one gateway knows of the samplers."""

    def __init__(self, zone: str, entries: list[SamplerEntry], seed: str) -> None:
        self.zone = zone
        self.rng = random.Random(seed)
        self.samplers = SamplerTable()
        self.samplers.replace_all(entries)
        self.view = LoadView()
        self.choice = SamplerChoice(self.view, self.rng)


class _Lookup(msgspec.Struct):
    gateway: Gateway
    plan: AttemptPlan
    arrived_at: float
    """Of the caller's first request."""
    is_retry: bool
    ended: bool = False
    waits: bool = False
    cancels: list[Callable[[], None]] = []


class LookupSimulation:
    """Plays a load; `active` tells whether samplers report how long work takes."""

    def __init__(self, load: LookupLoad, seed: int, active: bool) -> None:
        self.load = load
        self.latencies_s: list[float] = []
        """Of each caller's first request; inf if it got no response."""
        self.sends = 0
        self._active = active
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._order = 0
        self._running = [0] * load.samplers
        entries = [
            SamplerEntry(str(number), SERVICE, ("", 1), ZONES[number % 4], load.slots, False, {})
            for number in range(load.samplers)
        ]
        self._gateways = [
            Gateway(ZONES[number % 4], entries, f"{seed} {number}")
            for number in range(load.gateways)
        ]
        rng = random.Random(seed)
        receivers = [
            gateway for gateway in self._gateways if gateway.zone == ZONES[0] or not load.one_zone
        ]
        for _ in range(int(load.per_second * load.seconds)):
            at, gateway = rng.uniform(0.0, load.seconds), rng.choice(receivers)
            self._schedule(at, lambda gateway=gateway: self._arrive(gateway, self._now, False))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()

    @property
    def in_time(self) -> float:
        """Share of the callers that were answered within the target latency."""
        return sum(took <= self.load.target_s for took in self.latencies_s) / len(self.latencies_s)

    @property
    def answered_s(self) -> list[float]:
        """Latencies of the callers that got a response."""
        return [took for took in self.latencies_s if took < float("inf")]

    @property
    def wasted(self) -> int:
        """Sends that brought no response to a caller: refused at full samplers, or hedges."""
        return self.sends - len(self.answered_s)

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (at, self._order, action))

    def _arrive(self, gateway: Gateway, arrived_at: float, is_retry: bool) -> None:
        plan = AttemptPlan(
            SERVICE, gateway.zone, True, 3, self.load.target_s, self._now, hedges=True
        )
        self._drive(_Lookup(gateway, plan, arrived_at, is_retry))

    def _drive(self, lookup: _Lookup) -> None:
        """Does what the forwarder does next."""
        plan, gateway = lookup.plan, lookup.gateway
        while not lookup.ended and plan.may_start():
            if plan.running and self._now < plan.hedge_at():
                self._schedule(plan.hedge_at(), lambda: self._drive(lookup))
                return
            tracked = plan.select_sampler(gateway.samplers, self._now, gateway.rng, gateway.choice)
            if tracked is not None:
                self._send(lookup, tracked)
                continue
            if plan.running:
                return
            deadline_at = lookup.arrived_at + self.load.deadline_s
            decision = wait_or_refuse(plan, self.load.samplers, deadline_at, self._now)
            if isinstance(decision, StileloomError):
                self._refuse(lookup, decision.retry_after_s or 0.0)
            else:
                plan.reset_refusals()
                self._schedule(self._now + decision, lambda: self._drive(lookup))
            return

    def _refuse(self, lookup: _Lookup, retry_after_s: float) -> None:
        lookup.ended = True
        if lookup.is_retry:
            self.latencies_s.append(float("inf"))
            return
        self._schedule(
            self._now + retry_after_s,
            lambda: self._arrive(lookup.gateway, lookup.arrived_at, True),
        )

    def _send(self, lookup: _Lookup, tracked: TrackedSampler) -> None:
        self.sends += 1
        tracked.open_requests += 1
        lookup.plan.record_start(tracked.entry.sampler_id, self._now)
        self._schedule(self._now + ONE_WAY_S, lambda: self._receive(lookup, tracked))

    def _receive(self, lookup: _Lookup, tracked: TrackedSampler) -> None:
        number = int(tracked.entry.sampler_id)
        if lookup.ended:
            tracked.open_requests -= 1
            return
        if self._running[number] >= self.load.slots:
            self._respond(lookup, tracked, refused=True)
            return
        self._running[number] += 1
        is_open = [True]

        def end(responds: bool) -> None:
            if not is_open[0]:
                return
            is_open[0] = False
            self._running[number] -= 1
            if responds:
                self._respond(lookup, tracked, refused=False)
            else:
                tracked.open_requests -= 1

        lookup.cancels = [*lookup.cancels, lambda: end(responds=False)]
        self._schedule(self._ends_at(number), lambda: end(responds=True))

    def _ends_at(self, number: int) -> float:
        """When work that begins now ends, at the speeds of the periods until then."""
        at, work_s = self._now, self.load.work_s
        while True:
            period = int(at / PERIOD_S + 1e-9)
            slowness = self.load.slowness(number, period)
            left_s = (period + 1) * PERIOD_S - at
            if work_s * slowness <= left_s:
                return at + work_s * slowness
            at, work_s = (period + 1) * PERIOD_S, work_s - left_s / slowness

    def _respond(self, lookup: _Lookup, tracked: TrackedSampler, refused: bool) -> None:
        number, measured_at = int(tracked.entry.sampler_id), self._now
        slowness = self.load.slowness(number, int(measured_at / PERIOD_S + 1e-9))
        reading = LoadReading(
            self._running[number], 0, self.load.slots, slowness if self._active else None
        )

        def receive() -> None:
            tracked.open_requests -= 1
            lookup.gateway.view.record(tracked.entry, reading, measured_at, self._now)
            if self._active and (reading.is_full or reading.is_slow):
                self._schedule(
                    self._now + SHARING_S, lambda: self._share(lookup.gateway, tracked, reading)
                )
            if refused:
                lookup.plan.record_refusal(tracked.entry.sampler_id)
                self._drive(lookup)
            elif not lookup.ended:
                lookup.plan.record_run()
                lookup.ended = True
                self.latencies_s.append(self._now - lookup.arrived_at)
                for cancel in lookup.cancels:
                    cancel()

        self._schedule(measured_at + ONE_WAY_S, receive)

    def _share(self, source: Gateway, tracked: TrackedSampler, reading: LoadReading) -> None:
        for gateway in self._gateways:
            if gateway.zone == source.zone and gateway is not source:
                gateway.view.record(
                    tracked.entry, reading, self._now - SHARING_S, self._now, shared=True
                )
