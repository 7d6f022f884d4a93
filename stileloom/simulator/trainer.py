"""A trainer in virtual time: the same steps as the stand-in process, with crashes."""

from __future__ import annotations

import functools
import itertools
import random
from collections.abc import Callable

import msgspec

from stileloom.api.samples import Prompt
from stileloom.effects import Effect
from stileloom.emulator.sample_audit import SampleAudit
from stileloom.emulator.workload import LengthDistribution, generate_prompt
from stileloom.errors import ErrorKind
from stileloom.http.rounds import DeliveryResult, delivery_result
from stileloom.ledger.client import CommandFinished
from stileloom.ledger.commands import (
    AcknowledgeDeliveries,
    Command,
    CommandResult,
    PublishVersion,
    Refused,
    SubmitPrompts,
)
from stileloom.node import DeliveryFinished
from stileloom.rollout.messages import DeliveryAnswer, DeliveryRequest
from stileloom.simulator.machine import MachineDirectory, SimulatedMachine
from stileloom.simulator.world import World

CALL_TIMEOUT_S = 3.0
RETRY_PAUSE_S = 0.2


class TrainerParameters(msgspec.Struct, frozen=True):
    """The work of a trainer."""

    round_name: str
    staleness_bound: int
    samples_per_step: int
    train_s: float
    lengths: LengthDistribution
    prompts_ahead: int = 3
    steps_per_version: int = 1
    steps: int | None = None
    """Steps until it stops; None: goes on."""


class SubmittedStep(msgspec.Struct, frozen=True):
    """The work in one step's prompts."""

    tokens: int
    longest_tokens: int


class SimulatedTrainer:
    """Submits, reads, trains, acknowledges, publishes; measures its idle time."""

    def __init__(
        self, world: World, directory: MachineDirectory, parameters: TrainerParameters, seed: int
    ) -> None:
        self.parameters = parameters
        self.audit = SampleAudit(parameters.staleness_bound)
        self.idle_s = 0.0
        self.steps_done = 0
        self.version = 1
        self.step_ended_at: list[float] = []
        self.step_idle_s: list[float] = []
        self.submitted_steps: list[SubmittedStep] = []
        self.trained_tokens = 0
        self._world = world
        self._directory = directory
        self._seed = seed
        self._submitted_steps = 0
        self._acknowledged_steps = 0
        self._waiting_since: float | None = None
        self._turn = 0
        self._tickets = itertools.count(1)
        self._expected_command: tuple[str, int] | None = None
        self._expected_ticket = 0
        self._on_result: Callable[[CommandResult], None] | None = None
        self._call_number = 0
        self._batch: list[DeliveryResult] = []
        self._read_before: dict[int, str] = {}
        self._life = 0

    def attach(self) -> None:
        """Listens to every machine; call it once they exist."""
        for machine in self._directory.machines.values():
            machine.listeners.append(functools.partial(self._heard, machine.node_id))

    def idle_so_far(self) -> float:
        """Seconds spent waiting, with the wait that goes on."""
        waiting = self._world.now - self._waiting_since if self._waiting_since is not None else 0.0
        return self.idle_s + waiting

    @property
    def offset(self) -> int:
        """Offset of the next step's first sample."""
        return self.steps_done * self.parameters.samples_per_step

    @property
    def finished(self) -> bool:
        """Whether all steps are done."""
        steps = self.parameters.steps
        return steps is not None and self.steps_done >= steps

    def start(self) -> None:
        """Begins, or begins again after a crash, at the last completed step."""
        self._life += 1
        self._next_step()

    def crash(self, down_s: float) -> None:
        """Loses what it read and did not finish; comes back at its last checkpoint."""
        self._life += 1
        self._call_number += 1
        self._batch = []
        self._waiting_since = None
        # Answers to calls of the life before must not reach this one.
        self._expected_command = None
        self._expected_ticket = 0
        self._on_result = None
        life = self._life

        def come_back() -> None:
            if life == self._life:
                self._next_step()

        self._world.after(down_s, come_back)

    # Steps.

    def _next_step(self) -> None:
        """Goes on from the last checkpoint, finishing what a crash left open of its step."""
        if self._acknowledged_steps < self.steps_done:
            self._acknowledge()
            return
        if self.finished:
            return
        limit = self.steps_done + self.parameters.prompts_ahead
        if self.parameters.steps is not None:
            limit = min(limit, self.parameters.steps)
        if self._submitted_steps < limit:
            self._submit_step()
            return
        self._waiting_since = self._world.now
        self._read()

    def _submit_step(self) -> None:
        parameters = self.parameters
        step = self._submitted_steps
        # Drawn by step, so that a repeat after a crash submits the same prompts.
        rng = random.Random(f"{self._seed}/{parameters.round_name}/{step}")
        first = step * parameters.samples_per_step
        drawn = [
            generate_prompt(rng, parameters.round_name, first + number, parameters.lengths)
            for number in range(parameters.samples_per_step)
        ]
        for prompt in drawn:
            self.audit.expect(prompt.prompt_id, prompt.text, prompt.length)
        prompts = [Prompt(p.prompt_id, p.text, p.max_tokens, p.group) for p in drawn]

        def submitted(result: CommandResult) -> None:
            if step >= self._submitted_steps:
                lengths = [prompt.length for prompt in drawn]
                self.submitted_steps.append(SubmittedStep(sum(lengths), max(lengths)))
            self._submitted_steps = max(self._submitted_steps, step + 1)
            self._next_step()

        self._command(SubmitPrompts(parameters.round_name, f"step-{step}", prompts), submitted)

    def _train(self, batch: list[DeliveryResult]) -> None:
        for delivery in batch:
            before = self._read_before.setdefault(delivery.offset, delivery.attempt)
            if before != delivery.attempt:
                # The same offset must hold the same sample at every read.
                self.audit.report.duplicated += 1
        if self._waiting_since is not None:
            waited_s = self._world.now - self._waiting_since
            self.idle_s += waited_s
            self.step_idle_s.append(waited_s)
        self._waiting_since = None
        self._batch = batch
        life = self._life
        self._world.after(self.parameters.train_s, lambda: self._trained(life))

    def _trained(self, life: int) -> None:
        """The step's result and its offset are kept together: this is the checkpoint."""
        if life != self._life:
            return
        for delivery in self._batch:
            self.audit.check(delivery, self.version)
            self.trained_tokens += len(delivery.tokens)
        self.steps_done += 1
        self.step_ended_at.append(self._world.now)
        self._acknowledge()

    def _acknowledge(self) -> None:
        name = self.parameters.round_name
        steps = self.steps_done

        def acknowledged(result: CommandResult) -> None:
            if steps % self.parameters.steps_per_version == 0:
                self._publish()
            else:
                self._acknowledged_steps = steps
                self._next_step()

        self._command(AcknowledgeDeliveries(name, self.offset), acknowledged)

    def _publish(self) -> None:
        version = self.version + 1

        def published(result: CommandResult) -> None:
            self.version = version
            self._acknowledged_steps = self.steps_done
            self._next_step()

        self._command(PublishVersion(self.parameters.round_name, version), published)

    # Calls.

    def _gateway(self) -> SimulatedMachine | None:
        machines = list(self._directory.machines.values())
        self._turn += 1
        machine = machines[self._turn % len(machines)]
        return machine if machine.alive else None

    def _command(self, command: Command, on_result: Callable[[CommandResult], None]) -> None:
        """Repeats a command at one gateway after another until it is answered."""
        self._call_number += 1
        self._on_result = on_result
        self._send_command(command, self._call_number)

    def _send_command(self, command: Command, number: int) -> None:
        if number != self._call_number:
            return
        machine = self._gateway()
        self._expected_command = None
        if machine is not None and not machine.paused and machine.core is not None:
            ticket, effects = machine.core.submit_command(self._world.now, command)
            self._expected_command = (machine.node_id, ticket)
            machine.carry_out(effects)
        wait_s = CALL_TIMEOUT_S if machine is not None else RETRY_PAUSE_S
        self._world.after(wait_s, lambda: self._send_command(command, number))

    def _read(self) -> None:
        self._call_number += 1
        self._send_read(self._call_number)

    def _send_read(self, number: int) -> None:
        if number != self._call_number:
            return
        machine = self._gateway()
        if machine is not None:
            self._expected_ticket = next(self._tickets)
            request = DeliveryRequest(
                self._expected_ticket,
                self.parameters.round_name,
                self.offset,
                self.parameters.samples_per_step,
            )
            machine.call(lambda core: core.request_deliveries(self._world.now, request))
        wait_s = 1.0 if machine is not None else RETRY_PAUSE_S
        self._world.after(wait_s, lambda: self._send_read(number))

    def _heard(self, node_id: str, effect: Effect) -> None:
        if isinstance(effect, CommandFinished):
            self._heard_command(node_id, effect)
        elif isinstance(effect, DeliveryFinished):
            self._heard_delivery(effect.answer)

    def _heard_command(self, node_id: str, effect: CommandFinished) -> None:
        if self._expected_command != (node_id, effect.ticket) or self._on_result is None:
            return
        self._expected_command = None
        if effect.result is None:
            return
        refused = effect.result if isinstance(effect.result, Refused) else None
        if refused is not None and refused.kind is ErrorKind.UNKNOWN_ROUND:
            # The round is not registered yet: the timer asks again.
            return
        on_result, self._on_result = self._on_result, None
        self._call_number += 1
        on_result(effect.result)

    def _heard_delivery(self, answer: DeliveryAnswer) -> None:
        if answer.ticket != self._expected_ticket or answer.page is None:
            return
        self._expected_ticket = 0
        self._call_number += 1
        self._train([delivery_result(delivery) for delivery in answer.page.deliveries])
