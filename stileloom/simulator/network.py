"""The simulated network: latency by zone, loss, doubling, reordering, one-way cuts."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stileloom.simulator.world import World

CLIENT_ZONE = "clients"
PLATFORM_ZONE = "platform"


class NetworkParameters(msgspec.Struct):
    """How the network behaves; it may be changed while the simulation runs."""

    same_zone_s: float = 0.0002
    between_zones_s: float = 0.0005
    clients_s: float = 0.003
    jitter: float = 0.5
    """Share of the latency that is drawn anew for each message."""
    loss: float = 0.0
    """Chance that a message between nodes is lost."""
    duplication: float = 0.0
    """Chance that a message between nodes arrives twice."""
    late: float = 0.0
    """Chance that a message between nodes is late by up to `late_s`."""
    late_s: float = 1.0


class SimulatedNetwork:
    """Carries messages and tells which zones reach one another."""

    def __init__(self, world: World, parameters: NetworkParameters) -> None:
        self.parameters = parameters
        self.messages = 0
        self._world = world
        self._cuts: dict[tuple[str, str], float] = {}

    def cut(self, source: str, target: str, seconds: float) -> None:
        """Nothing goes from one zone to another for a while; the way back is another cut."""
        until = self._world.now + seconds
        self._cuts[(source, target)] = max(self._cuts.get((source, target), 0.0), until)

    def heal(self) -> None:
        """Ends every cut."""
        self._cuts.clear()

    def reaches(self, source: str, target: str) -> bool:
        """Whether messages go from one zone to another now."""
        return self._world.now >= self._cuts.get((source, target), 0.0)

    def connected(self, one: str, other: str) -> bool:
        """Whether messages go both ways, as a connection needs."""
        return self.reaches(one, other) and self.reaches(other, one)

    def latency(self, source: str, target: str) -> float:
        """One way, drawn anew each time."""
        parameters = self.parameters
        if CLIENT_ZONE in (source, target):
            base = parameters.clients_s
        elif source == target:
            base = parameters.same_zone_s
        else:
            base = parameters.between_zones_s
        return base * (1 + parameters.jitter * self._world.rng.random())

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Carries one message between nodes, with all that can befall it."""
        parameters = self.parameters
        rng = self._world.rng
        self.messages += 1
        if not self.reaches(source, target) or rng.random() < parameters.loss:
            return
        copies = 2 if rng.random() < parameters.duplication else 1
        for _ in range(copies):
            delay = self.latency(source, target)
            if rng.random() < parameters.late:
                delay += rng.random() * parameters.late_s
            self._world.after(delay, deliver)
