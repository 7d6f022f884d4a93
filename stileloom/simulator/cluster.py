"""A whole deployment in virtual time: nodes, engines, platform, a trainer and callers."""

from __future__ import annotations

import random

import msgspec

from stileloom.api.objects import Machine, MachineState, ObjectKind, SamplerRole
from stileloom.emulator.engine_model import EngineModel, EngineParameters
from stileloom.events import LogEvent
from stileloom.ledger import empty_ledger
from stileloom.ledger.commands import Voter
from stileloom.membership import Member
from stileloom.rollout import Mechanism, SchedulerKind
from stileloom.simulator.callers import CallerParameters, SimulatedCallers
from stileloom.simulator.disk import SimulatedDisk
from stileloom.simulator.engines import SimulatedEngine
from stileloom.simulator.machine import MachineDirectory, SimulatedMachine
from stileloom.simulator.network import NetworkParameters, SimulatedNetwork
from stileloom.simulator.oracle import Oracle
from stileloom.simulator.platform import CasConflictError, SimulatedPlatform
from stileloom.simulator.trainer import SimulatedTrainer, TrainerParameters
from stileloom.simulator.world import World

FIRST_PORT = 7000
AUDIT_S = 0.25


class PoolPlan(msgspec.Struct, frozen=True):
    """A pool and the zones of its samplers."""

    name: str
    role: SamplerRole
    model: str
    zones: list[str]


class ClusterPlan(msgspec.Struct, frozen=True):
    """Everything that a simulation starts from."""

    zones: list[str]
    nodes_per_zone: int
    pools: list[PoolPlan]
    objects: dict[str, dict[str, dict[str, object]]]
    """By kind and name, the specs that are stored at the start."""
    engine: EngineParameters
    trainer: TrainerParameters
    callers: CallerParameters
    store_bytes_per_s: float = 4e9
    machine_lag_s: float = 1.0
    tick_s: float = 0.05
    poll_s: float = 0.05
    scheduler: SchedulerKind = SchedulerKind.DEFAULT
    disabled_mechanisms: frozenset[Mechanism] = frozenset()
    encode: bool = True
    """Whether messages go through the wire's encoding, as in the daemon."""
    network: NetworkParameters = msgspec.field(default_factory=NetworkParameters)


class Cluster:
    """A running simulation, with every fault that can be brought about."""

    def __init__(self, plan: ClusterPlan, seed: int) -> None:
        self.plan = plan
        self.world = World(seed)
        self.network = SimulatedNetwork(self.world, msgspec.structs.replace(plan.network))
        self.platform = SimulatedPlatform(
            self.world, self.network, plan.machine_lag_s, plan.store_bytes_per_s
        )
        self.directory = MachineDirectory()
        self.oracle = Oracle()
        self.faults_injected = 0
        self._seed = seed
        self._changes = 0
        self._store_objects()
        self._build_engines()
        self._build_machines()
        self.trainer = SimulatedTrainer(self.world, self.directory, plan.trainer, seed)
        self.callers = SimulatedCallers(
            self.world,
            self.network,
            self.directory,
            self.oracle,
            plan.engine,
            plan.callers,
            seed,
        )
        self.trainer.attach()
        self.callers.attach()
        for name in self.nodes:
            self.machine(name).start()
        self._schedule_audit()

    # Building.

    def _store_objects(self) -> None:
        for kind, named in self.plan.objects.items():
            for name, spec in named.items():
                self.platform.objects.write(kind, name, 0, "initial", spec)

    def _build_engines(self) -> None:
        port = 9000
        for pool in self.plan.pools:
            for number, zone in enumerate(pool.zones, start=1):
                port += 1
                sampler_id = f"{pool.name}-{number}"
                rng = random.Random(f"{self._seed}/{sampler_id}")
                model = EngineModel(sampler_id, self.plan.engine, pool.role, pool.model, 1, rng)
                engine = SimulatedEngine(
                    self.world, self.network, self.platform, model, zone, self.plan.poll_s
                )
                engine.find_engine = self._engine_at
                self.directory.engines[sampler_id] = engine
                machine = Machine(sampler_id, pool.name, zone, "10.0.0.1", port)
                self.platform.add_machine(machine)
        self._addresses = {
            f"{machine.host}:{machine.port}": machine.sampler_id
            for machine in self.platform.machines()
        }

    def _engine_at(self, address: str) -> SimulatedEngine | None:
        sampler_id = self._addresses.get(address)
        return self.directory.engines.get(sampler_id) if sampler_id is not None else None

    def _build_machines(self) -> None:
        members = [
            Member(
                node_id=f"{zone}-{number}",
                zone=zone,
                region="region",
                host="10.0.0.1",
                port=FIRST_PORT + index * self.plan.nodes_per_zone + number,
                http_port=0,
                incarnation=0,
            )
            for index, zone in enumerate(self.plan.zones)
            for number in range(1, self.plan.nodes_per_zone + 1)
        ]
        voters = [Voter(f"{zone}-1", f"disk-{zone}") for zone in self.plan.zones]
        by_node = {voter.node_id: voter for voter in voters}
        seeds = [member for member in members if member.node_id in by_node]
        for member in members:
            voter = by_node.get(member.node_id)
            disk = SimulatedDisk(voter, empty_ledger(voters)) if voter is not None else None
            self.directory.machines[member.node_id] = SimulatedMachine(
                self.world,
                self.network,
                self.platform,
                self.directory,
                member,
                seeds,
                disk,
                self.plan.tick_s,
                self.plan.scheduler,
                self.plan.disabled_mechanisms,
                self.plan.encode,
            )

    # Reading.

    @property
    def nodes(self) -> list[str]:
        """Names of all nodes."""
        return list(self.directory.machines)

    @property
    def voters(self) -> list[str]:
        """Names of the nodes with a disk."""
        return [name for name, m in self.directory.machines.items() if m.disk is not None]

    def machine(self, name: str) -> SimulatedMachine:
        """A node's process."""
        return self.directory.machines[name]

    def leader(self) -> str | None:
        """The node that may act as the controller now."""
        for name, machine in self.directory.machines.items():
            core = machine.core
            if core is None or machine.paused or core.replica is None:
                continue
            if core.replica.is_active_leader(self.world.now):
                return name
        return None

    def run_for(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.world.run_for(seconds)

    # Auditing.

    def _schedule_audit(self) -> None:
        self.world.after(AUDIT_S, self._audit)

    def _audit(self) -> None:
        now = self.world.now
        for machine in self.directory.machines.values():
            core = machine.core
            if core is None or machine.paused:
                continue
            leads = core.replica is not None and core.replica.is_active_leader(now)
            if leads and core.authority is not None:
                self.oracle.in_force(core.authority.in_force)
        for machine in self.directory.machines.values():
            core = machine.core
            if core is not None and not machine.paused:
                store = core.configuration.store
                self.oracle.node_acts_on(machine.node_id, store.revision, store.lease_valid(now))
        for name, engine in self.directory.engines.items():
            for began_at, attempt_id in engine.began:
                self.oracle.engine_began(began_at, name, attempt_id)
            engine.began.clear()
        report = self.trainer.audit.report
        self.oracle.trainer_saw(
            report.over_age, report.duplicated, report.wrong_tokens, report.wrong_versions
        )
        self._schedule_audit()

    def finish(self, seconds: float) -> list[str]:
        """Heals everything, lets the system settle, and returns the broken promises."""
        self.callers.stop()
        self.heal_all()
        self.run_for(seconds)
        self.oracle.check_lookups()
        return self.oracle.violations

    # Faults.

    def heal_all(self) -> None:
        """Ends every fault that lasts."""
        self.network.heal()
        parameters = self.network.parameters
        parameters.loss = parameters.duplication = parameters.late = 0.0
        self.platform.down_until = 0.0
        self.platform.lost_answer_probability = 0.0
        for name in self.nodes:
            core = self.machine(name).core
            if core is not None and core.draining:
                self.machine(name).kill()
            self.restart(name)

    def kill(self, name: str) -> None:
        """SIGKILL."""
        self.faults_injected += 1
        self.machine(name).kill()

    def restart(self, name: str) -> None:
        """Starts a dead node again with its disk."""
        if not self.machine(name).alive:
            self.machine(name).start()

    def replace_disk(self, name: str) -> None:
        """The node dies and comes back with an empty disk, as another voter identity."""
        machine = self.machine(name)
        if machine.disk is None:
            return
        self.faults_injected += 1
        machine.kill()
        first = [Voter(f"{zone}-1", f"disk-{zone}") for zone in self.plan.zones]
        identity = Voter(name, f"disk-{name}-{self.world.rng.getrandbits(32)}")
        machine.disk = SimulatedDisk(identity, empty_ledger(first))
        machine.start()

    def pause(self, name: str, seconds: float) -> None:
        """SIGSTOP, then SIGCONT."""
        if self.machine(name).alive:
            self.faults_injected += 1
            self.machine(name).pause(seconds)

    def drain(self, name: str) -> None:
        """SIGTERM: the node leaves, and ends once it is idle."""
        machine = self.machine(name)
        if not machine.alive:
            return
        machine.call(lambda core: core.drain(self.world.now))
        self._end_when_idle(name)

    def _end_when_idle(self, name: str) -> None:
        def look() -> None:
            machine = self.machine(name)
            if machine.core is None or not machine.core.draining:
                return
            if machine.core.idle:
                machine.kill()
            else:
                self._end_when_idle(name)

        self.world.after(0.5, look)

    def cut(self, one: str, other: str, seconds: float, both_ways: bool) -> None:
        """Cuts one zone from another (or from the platform)."""
        self.faults_injected += 1
        self.network.cut(one, other, seconds)
        if both_ways:
            self.network.cut(other, one, seconds)

    def isolate_zone(self, zone: str, seconds: float) -> None:
        """Cuts a zone from every other and from the platform."""
        for other in [*self.plan.zones, "platform"]:
            if other != zone:
                self.cut(zone, other, seconds, both_ways=True)

    def object_api_down(self, seconds: float) -> None:
        """The object API answers nobody for a while."""
        self.faults_injected += 1
        self.platform.down_until = self.world.now + seconds

    def lose_answers(self, probability: float) -> None:
        """Writes take effect, but their answers are lost."""
        self.faults_injected += 1
        self.platform.lost_answer_probability = probability

    def crash_engine(self, sampler_id: str, down_s: float) -> None:
        """An engine dies and comes back without its weights."""
        self.faults_injected += 1
        self.directory.engines[sampler_id].crash(down_s)

    def sampler_leaves(self, sampler_id: str) -> None:
        """The machine list says that a sampler is leaving."""
        self.platform.set_machine_state(sampler_id, MachineState.LEAVING)

    def unsettle_network(self, loss: float, duplication: float, late: float) -> None:
        """Messages between nodes are lost, doubled and late from now on."""
        self.faults_injected += 1
        parameters = self.network.parameters
        parameters.loss, parameters.duplication, parameters.late = loss, duplication, late

    def change_object(
        self, kind: ObjectKind, name: str, spec: dict[str, object], expected: int | None = None
    ) -> int | None:
        """An operator's write; None where it was refused, lost, or the API is down."""
        self._changes += 1
        change_id = f"change-{self._changes}"
        try:
            return self.platform.write(kind.value, name, expected, change_id, spec)
        except CasConflictError:
            return None

    def events(self, event: LogEvent) -> list[tuple[float, str, dict[str, object]]]:
        """All log events of one kind, with time and node."""
        found = [
            (at, name, fields)
            for name, machine in self.directory.machines.items()
            for at, kind, fields in machine.events
            if kind is event
        ]
        return sorted(found, key=lambda row: row[0])
