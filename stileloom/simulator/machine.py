"""A node's process in virtual time: a node core with its disk, timers and connections."""

from __future__ import annotations

import random
from collections.abc import Callable

from stileloom.api.engine import LoadReport, StreamChunk, StreamEnd
from stileloom.api.objects import Configuration, Machine
from stileloom.configuration import FetchConfiguration, FetchMachines
from stileloom.effects import Effect, Emit, Send, SendToAddress
from stileloom.events import LogEvent
from stileloom.ledger import LedgerReplica, Persist
from stileloom.membership import Member, Seed
from stileloom.node import NodeCore
from stileloom.node.dispatch import DECODER, ENCODER, Envelope
from stileloom.rollout import Mechanism, SchedulerKind
from stileloom.samplers.effects import CloseStream, ConfirmNotRun, OpenStream, QueryLoad, SendOrder
from stileloom.simulator.disk import SimulatedDisk
from stileloom.simulator.engines import SimulatedEngine, StreamReader
from stileloom.simulator.network import SimulatedNetwork
from stileloom.simulator.platform import SimulatedPlatform
from stileloom.simulator.world import World

SYNC_S = 0.003
WALL_EPOCH_S = 1_700_000_000.0

Listener = Callable[[Effect], None]


class MachineDirectory:
    """Finds machines and engines by name or address."""

    def __init__(self) -> None:
        self.machines: dict[str, SimulatedMachine] = {}
        self.engines: dict[str, SimulatedEngine] = {}

    def by_port(self, port: int) -> SimulatedMachine | None:
        """The machine that listens on a port."""
        return next((m for m in self.machines.values() if m.member.port == port), None)


class SimulatedMachine:
    """One node process; it can be killed, paused, restarted, with or without its disk."""

    def __init__(
        self,
        world: World,
        network: SimulatedNetwork,
        platform: SimulatedPlatform,
        directory: MachineDirectory,
        member: Member,
        seeds: list[Member],
        disk: SimulatedDisk | None,
        tick_s: float,
        scheduler: SchedulerKind,
        disabled_mechanisms: frozenset[Mechanism],
        encode: bool,
    ) -> None:
        self.member = member
        self.disk = disk
        self.core: NodeCore | None = None
        self.listeners: list[Listener] = []
        self.events: list[tuple[float, LogEvent, dict[str, object]]] = []
        self._world = world
        self._network = network
        self._platform = platform
        self._directory = directory
        self._seeds = seeds
        self._tick_s = tick_s
        self._scheduler = scheduler
        self._disabled_mechanisms = disabled_mechanisms
        self._encode = encode
        self._life = 0
        self._paused_until = 0.0
        self._inbox: list[Callable[[], None]] = []
        self._streams: dict[str, str] = {}

    @property
    def node_id(self) -> str:
        """The node's id."""
        return self.member.node_id

    @property
    def alive(self) -> bool:
        """Whether the process runs (it may be paused)."""
        return self.core is not None

    @property
    def paused(self) -> bool:
        """Whether the process is stopped for a while."""
        return self._world.now < self._paused_until

    # Life.

    def start(self) -> None:
        """Starts a process; its incarnation is above those before."""
        self._life += 1
        incarnation = int(self._world.now * 1000) + self._life
        self.member = Member(
            node_id=self.member.node_id,
            zone=self.member.zone,
            region=self.member.region,
            host=self.member.host,
            port=self.member.port,
            http_port=self.member.http_port,
            incarnation=incarnation,
            voter=self.disk is not None,
        )
        rng = random.Random(self._world.rng.getrandbits(64))
        now = self._world.now
        replica = None
        if self.disk is not None:
            replica = LedgerReplica(self.disk.identity, self.disk.recover(), rng, now)
        seeds = [Seed(seed.host, seed.port) for seed in self._seeds if seed != self.member]
        self.core = NodeCore(
            self.member, seeds, rng, now, replica, self._scheduler, self._disabled_mechanisms
        )
        self._paused_until = 0.0
        self._inbox.clear()
        self._schedule_tick(self._life, self._world.rng.random() * self._tick_s)

    def kill(self) -> None:
        """SIGKILL: memory is gone, writes that were not synced may be."""
        if self.core is None:
            return
        self.core = None
        self._life += 1
        self._inbox.clear()
        if self.disk is not None:
            self.disk.crash(self._world.rng.randint(0, self.disk.pending_count))
        streams, self._streams = self._streams, {}
        for request_id, sampler_id in streams.items():
            engine = self._directory.engines.get(sampler_id)
            if engine is not None:
                engine.close_stream(request_id)

    def pause(self, seconds: float) -> None:
        """SIGSTOP and, after a while, SIGCONT; what arrives meanwhile waits."""
        self._paused_until = max(self._paused_until, self._world.now + seconds)
        life = self._life
        self._world.after(self._paused_until - self._world.now, lambda: self._wake(life))

    def _wake(self, life: int) -> None:
        if life != self._life or self.paused:
            return
        waiting, self._inbox = self._inbox, []
        for action in waiting:
            action()

    def _guard(self, action: Callable[[NodeCore], list[Effect]]) -> Callable[[], None]:
        """An action on this life of the process: dropped if it died, late if it is paused."""
        life = self._life

        def run() -> None:
            if life != self._life or self.core is None:
                return
            if self.paused:
                self._inbox.append(run)
                return
            self.carry_out(action(self.core))

        return run

    def _schedule_tick(self, life: int, delay_s: float) -> None:
        def run() -> None:
            if life != self._life or self.core is None:
                return
            if not self.paused:
                wall_time_s = WALL_EPOCH_S + self._world.now
                self.carry_out(self.core.tick(self._world.now, wall_time_s))
            self._schedule_tick(life, self._tick_s)

        self._world.after(delay_s, run)

    def call(self, action: Callable[[NodeCore], list[Effect]]) -> None:
        """Calls the core now, or when it wakes."""
        self._guard(action)()

    # Effects.

    def carry_out(self, effects: list[Effect]) -> None:
        """Carries out effects in order."""
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._send(self._directory.machines.get(effect.to), effect.message)
        elif isinstance(effect, SendToAddress):
            self._send(self._directory.by_port(effect.port), effect.message)
        elif isinstance(effect, Emit):
            self.events.append((self._world.now, effect.event, effect.fields))
        elif isinstance(effect, Persist):
            self._persist(effect)
        elif isinstance(effect, OpenStream):
            self._open_stream(effect)
        elif isinstance(effect, CloseStream):
            self._close_stream(effect)
        elif isinstance(effect, ConfirmNotRun):
            self._confirm_not_run(effect)
        elif isinstance(effect, QueryLoad):
            self._query_load(effect)
        elif isinstance(effect, SendOrder):
            engine = self._directory.engines.get(effect.sampler_id)
            if engine is not None:
                engine.order(self.member.zone, effect.order)
        elif isinstance(effect, FetchConfiguration):
            self._fetch_configuration(effect)
        elif isinstance(effect, FetchMachines):
            self._fetch_machines()
        else:
            for listener in list(self.listeners):
                listener(effect)

    def _send(self, target: SimulatedMachine | None, message: object) -> None:
        if target is None:
            return
        sender = self.node_id
        if self._encode:
            frame = ENCODER.encode(Envelope(sender, message))  # type: ignore[arg-type]

            def deliver() -> None:
                envelope = DECODER.decode(frame)
                target.receive(envelope.sender, envelope.message)

        else:

            def deliver() -> None:
                target.receive(sender, message)

        self._network.send(self.member.zone, target.member.zone, deliver)

    def receive(self, sender: str, message: object) -> None:
        """A message arrives."""
        self.call(lambda core: core.receive(self._world.now, sender, message))

    def _persist(self, effect: Persist) -> None:
        disk = self.disk
        assert disk is not None
        disk.submit(effect)
        life = self._life
        done = self._guard(lambda core: core.persisted(self._world.now, effect.write_id))

        def synced() -> None:
            # The kernel syncs on while the process is stopped; a dead one's writes are lost.
            if life == self._life:
                disk.complete(effect.write_id)
                done()

        self._world.after(SYNC_S, synced)

    def _open_stream(self, effect: OpenStream) -> None:
        request = effect.request
        engine = self._directory.engines.get(effect.sampler_id)
        life = self._life
        if engine is None:
            self.call(
                lambda core: core.stream_failed(self._world.now, request.request_id, True, "")
            )
            return
        self._streams[request.request_id] = effect.sampler_id

        def on_frame(frame: StreamChunk | StreamEnd) -> None:
            if life != self._life:
                return
            if isinstance(frame, StreamEnd):
                self._streams.pop(request.request_id, None)
                self.call(lambda core: core.stream_end(self._world.now, request.request_id, frame))
            else:
                self.call(
                    lambda core: core.stream_chunk(self._world.now, request.request_id, frame)
                )

        def on_failure(never_started: bool, detail: str) -> None:
            if life != self._life:
                return
            self._streams.pop(request.request_id, None)
            self.call(
                lambda core: core.stream_failed(
                    self._world.now, request.request_id, never_started, detail
                )
            )

        engine.open_stream(request, StreamReader(self.member.zone, on_frame, on_failure))

    def _close_stream(self, effect: CloseStream) -> None:
        self._streams.pop(effect.request_id, None)
        engine = self._directory.engines.get(effect.sampler_id)
        if engine is not None:
            engine.cancel(self.member.zone, effect.request_id, lambda state: None)

    def _confirm_not_run(self, effect: ConfirmNotRun) -> None:
        engine = self._directory.engines.get(effect.sampler_id)
        request_id = effect.request_id
        if engine is None:
            self.call(lambda core: core.cancel_confirmed(self._world.now, request_id, None))
            return
        engine.cancel(
            self.member.zone,
            request_id,
            lambda state: self.call(
                lambda core: core.cancel_confirmed(self._world.now, request_id, state)
            ),
        )

    def _query_load(self, effect: QueryLoad) -> None:
        engine = self._directory.engines.get(effect.sampler_id)
        if engine is None:
            return
        life = self._life

        def answer(load: LoadReport | None) -> None:
            if life == self._life:
                self.call(lambda core: core.load_reported(self._world.now, effect.sampler_id, load))

        engine.load(self.member.zone, answer)

    def _fetch_configuration(self, effect: FetchConfiguration) -> None:
        life = self._life

        def answer(configuration: Configuration | None) -> None:
            if life == self._life:
                self.call(lambda core: core.configuration_fetched(self._world.now, configuration))

        self._platform.watch(self.member.zone, effect.after_revision, answer)

    def _fetch_machines(self) -> None:
        life = self._life

        def answer(machines: list[Machine] | None) -> None:
            if life == self._life:
                self.call(lambda core: core.machines_fetched(self._world.now, machines))

        self._platform.read_machines(self.member.zone, answer)
