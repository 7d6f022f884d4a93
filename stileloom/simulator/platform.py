"""The platform in virtual time: object API with faults, lagging machine list, weight store."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stileloom.api.objects import Configuration, Machine, MachineState
from stileloom.daemon.platform_client import ObjectList, StoredObject, configuration_of
from stileloom.emulator.object_api_model import CasConflictError, ObjectApiModel
from stileloom.emulator.rate_limit import RateLimit
from stileloom.simulator.network import PLATFORM_ZONE, SimulatedNetwork
from stileloom.simulator.world import World

WATCH_POLL_S = 0.1
WATCH_WAIT_S = 1.0
DOWN_ANSWER_S = 0.5


class SimulatedPlatform:
    """What the platform gives, with faults on request."""

    def __init__(
        self, world: World, network: SimulatedNetwork, machine_lag_s: float, bytes_per_s: float
    ) -> None:
        self.objects = ObjectApiModel()
        self.weight_store = RateLimit(bytes_per_s)
        self.down_until = 0.0
        self.delay_s = 0.002
        self.lost_answer_probability = 0.0
        self._world = world
        self._network = network
        self._machine_lag_s = machine_lag_s
        self._machines: dict[str, Machine] = {}

    def is_down(self) -> bool:
        """Whether the object API answers nobody."""
        return self._world.now < self.down_until

    # Object API.

    def watch(
        self,
        zone: str,
        after_revision: int,
        answer: Callable[[Configuration | None], None],
        give_up_at: float | None = None,
    ) -> None:
        """Answers with the configuration above a revision, or None."""
        until = give_up_at if give_up_at is not None else self._world.now + WATCH_WAIT_S
        if self.is_down() or not self._network.connected(zone, PLATFORM_ZONE):
            self._world.after(DOWN_ANSWER_S, lambda: answer(None))
            return
        if self.objects.revision > after_revision:
            configuration = self.configuration()
            self._world.after(self.delay_s, lambda: answer(configuration))
            return
        if self._world.now >= until:
            answer(None)
            return
        self._world.after(WATCH_POLL_S, lambda: self.watch(zone, after_revision, answer, until))

    def configuration(self) -> Configuration:
        """What is stored now."""
        stored = [
            msgspec.convert(msgspec.to_builtins(found), StoredObject)
            for found in self.objects.list()
        ]
        return configuration_of(ObjectList(self.objects.revision, stored))

    def write(
        self, kind: str, name: str, expected: int | None, change_id: str, spec: dict[str, object]
    ) -> int | None:
        """A gateway's write; None where its answer is lost or the API is down.

        Raises `CasConflictError`.
        """
        if self.is_down():
            return None
        revision = self.objects.write(kind, name, expected, change_id, spec)
        lost = self._world.rng.random() < self.lost_answer_probability
        return None if lost else revision

    # Machine list.

    def add_machine(self, machine: Machine) -> None:
        """A machine that the list shows from the start."""
        self._machines[machine.sampler_id] = machine

    def machines(self) -> list[Machine]:
        """The list as it shows now."""
        return [self._machines[name] for name in sorted(self._machines)]

    def set_machine_state(self, sampler_id: str, state: MachineState) -> None:
        """A machine changes; the list shows it after its lag."""

        def show() -> None:
            machine = self._machines[sampler_id]
            self._machines[sampler_id] = msgspec.structs.replace(machine, state=state)

        self._world.after(self._machine_lag_s, show)

    def read_machines(self, zone: str, answer: Callable[[list[Machine] | None], None]) -> None:
        """Answers with the list as it shows now."""
        machines = self.machines()
        if not self._network.connected(zone, PLATFORM_ZONE):
            self._world.after(DOWN_ANSWER_S, lambda: answer(None))
            return
        self._world.after(self.delay_s, lambda: answer(machines))


__all__ = ["CasConflictError", "SimulatedPlatform"]
