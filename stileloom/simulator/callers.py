"""Callers in virtual time: open-loop lookups, some of them not repeatable and sent twice."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
from hdrh.histogram import HdrHistogram

from stileloom.effects import Effect
from stileloom.emulator.engine_model import EngineParameters, generated_length
from stileloom.errors import Outcome
from stileloom.routing import AnswerReady, LookupAnswer, LookupRequest
from stileloom.simulator.machine import MachineDirectory
from stileloom.simulator.network import CLIENT_ZONE, SimulatedNetwork
from stileloom.simulator.oracle import LookupFact, Oracle
from stileloom.simulator.world import World

MAX_LATENCY_US = 120_000_000


class CallerParameters(msgspec.Struct, frozen=True):
    """The load."""

    service: str
    max_tokens: int
    deadline_s: float = 10.0
    non_repeatable_fraction: float = 0.0
    duplicate_fraction: float = 0.0
    """Share of non-repeatable lookups that are sent again under the same key elsewhere."""
    tenants: tuple[str, ...] = ("anonymous",)


class LookupTotals(msgspec.Struct):
    """Lookups by what their callers were told."""

    sent: int = 0
    completed: int = 0
    not_run: int = 0
    unknown: int = 0


class SimulatedCallers:
    """Sends lookups and hands what comes back to the oracle."""

    def __init__(
        self,
        world: World,
        network: SimulatedNetwork,
        directory: MachineDirectory,
        oracle: Oracle,
        engine: EngineParameters,
        parameters: CallerParameters,
        seed: int,
    ) -> None:
        self.totals = LookupTotals()
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._world = world
        self._network = network
        self._directory = directory
        self._oracle = oracle
        self._engine = engine
        self._parameters = parameters
        self._rng = random.Random(f"{seed}/callers")
        self._number = 0
        self._open: dict[str, float] = {}
        self._rate: Callable[[float], float] | None = None

    def attach(self) -> None:
        """Listens to every machine; call it once they exist."""
        for machine in self._directory.machines.values():
            machine.listeners.append(self._heard)

    def run(self, rate: Callable[[float], float]) -> None:
        """Sends at a rate that depends on the time, until `stop`."""
        self._rate = rate
        self._schedule_next()

    def stop(self) -> None:
        """Sends no more."""
        self._rate = None

    def _schedule_next(self) -> None:
        rate = self._rate
        if rate is None:
            return
        gap_s = self._rng.expovariate(max(1e-3, rate(self._world.now)))
        self._world.after(gap_s, self._send_one)

    def _send_one(self) -> None:
        if self._rate is None:
            return
        self.send()
        self._schedule_next()

    def send(self) -> None:
        """Sends one lookup to some gateway, and maybe the same key to another."""
        parameters = self._parameters
        self._number += 1
        repeatable = self._rng.random() >= parameters.non_repeatable_fraction
        key = "" if repeatable else f"key-{self._number}"
        prompt = f"lookup {self._number} of {self._rng.randrange(1_000_000)}"
        copies = 1
        if key and self._rng.random() < parameters.duplicate_fraction:
            copies = 2
        nodes = sorted(self._directory.machines)
        for copy, node_id in enumerate(self._rng.sample(nodes, copies)):
            self._send_to(node_id, f"lookup-{self._number}-{copy}", prompt, repeatable, key)

    def _send_to(
        self, node_id: str, request_id: str, prompt: str, repeatable: bool, key: str
    ) -> None:
        parameters = self._parameters
        machine = self._directory.machines[node_id]
        length = generated_length(prompt, parameters.max_tokens, self._engine)
        self._oracle.sent(LookupFact(request_id, prompt, length, repeatable, key))
        self.totals.sent += 1
        self._open[request_id] = self._world.now
        if not machine.alive:
            self._settle(request_id, Outcome.NOT_RUN, [])
            return

        def arrive() -> None:
            if not machine.alive:
                # Nobody listens: the connection is refused and nothing was sent.
                self._settle(request_id, Outcome.NOT_RUN, [])
                return
            request = LookupRequest(
                request_id=request_id,
                service=parameters.service,
                prompt=prompt,
                max_tokens=parameters.max_tokens,
                tenant=self._rng.choice(parameters.tenants),
                priority=50,
                repeatable=repeatable,
                deadline_at=self._world.now + parameters.deadline_s,
                idempotency_key=key,
                body_digest=len(prompt),
            )
            machine.call(lambda core: core.submit_lookup(self._world.now, request))

        self._world.after(self._network.latency(CLIENT_ZONE, machine.member.zone), arrive)

    def _heard(self, effect: Effect) -> None:
        if not isinstance(effect, AnswerReady):
            return
        answer = effect.answer
        back_s = self._network.latency(CLIENT_ZONE, CLIENT_ZONE)
        self._world.after(back_s, lambda: self._answered(answer))

    def _answered(self, answer: LookupAnswer) -> None:
        sent_at = self._open.get(answer.request_id)
        if answer.outcome is Outcome.COMPLETED and sent_at is not None:
            self.latency_us.record_value(int((self._world.now - sent_at) * 1e6))
        self._settle(answer.request_id, answer.outcome, answer.tokens)

    def _settle(self, request_id: str, outcome: Outcome, tokens: list[int]) -> None:
        self._open.pop(request_id, None)
        self._oracle.answered(request_id, outcome, tokens)
        if outcome is Outcome.COMPLETED:
            self.totals.completed += 1
        elif outcome is Outcome.NOT_RUN:
            self.totals.not_run += 1
        else:
            self.totals.unknown += 1

    @property
    def open_count(self) -> int:
        """Lookups without an answer; those of dead gateways never get one."""
        return len(self._open)
